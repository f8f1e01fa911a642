package model

import (
	"fmt"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/settings"
)

const (
	workersPerRack = 4
	// maxUnavailable is the budget of the serving pools in the models; the users' own budgets are in their settings.
	maxUnavailable = 2
	// spareUnavailable lets the spare pool lend several instances at once.
	spareUnavailable = 8
)

type poolSize struct {
	name    acaciatally.PoolName
	workers int
	spare   bool
}

// Authority returns the model of the Authority's deployment, which weighs roll-out time and protection most.
func Authority() *settings.Settings {
	pools := []poolSize{{"intake", 9, false}, {"coating", 9, false}, {"booking", 11, false}, {"chamber", 12, false}, {"backoffice", 8, true}}
	deployment := build("Authority", []acaciatally.DataCentre{"hall-a", "hall-b", "annex"}, pools, 64, 256*settings.GiB)
	deployment.Weights = settings.Weights{Reserve: 1, Moves: 1, RollOut: 3, Protection: 3}
	return deployment
}

// Cavalcanti returns the model of Cavalcanti's deployment, which weighs reserve cost and moves most.
func Cavalcanti() *settings.Settings {
	pools := []poolSize{{"balcao", 9, false}, {"atacado", 9, false}, {"fino", 11, false}, {"despacho", 12, false}, {"apoio", 8, true}}
	deployment := build("Cavalcanti", []acaciatally.DataCentre{"campina-a", "recife-b", "joao-c"}, pools, 32, 128*settings.GiB)
	deployment.Weights = settings.Weights{Reserve: 3, Moves: 3, RollOut: 1, Protection: 1}
	return deployment
}

// Deployments returns the models of all deployments.
func Deployments() []*settings.Settings {
	return []*settings.Settings{Authority(), Cavalcanti()}
}

func build(name string, centres []acaciatally.DataCentre, pools []poolSize, processors float64, memory settings.Size) *settings.Settings {
	deployment := &settings.Settings{Deployment: name, DataCentres: centres}
	placed := map[acaciatally.DataCentre]int{}
	for _, size := range pools {
		pool := settings.Pool{Name: size.name, Spare: size.spare, MaxUnavailable: maxUnavailable, MinAvailable: size.workers - maxUnavailable}
		if size.spare {
			pool.MaxUnavailable, pool.MinAvailable = spareUnavailable, 0
		}
		for n := range size.workers {
			centre := centres[n%len(centres)]
			pool.Instances = append(pool.Instances, settings.Instance{
				ID: acaciatally.InstanceID(fmt.Sprintf("%s-%02d", size.name, n+1)), DataCentre: centre,
				Rack:       acaciatally.Rack(fmt.Sprintf("%s-%02d", centre, placed[centre]/workersPerRack+1)),
				Processors: processors, Memory: memory,
			})
			placed[centre]++
		}
		deployment.Pools = append(deployment.Pools, pool)
	}
	deployment.Default()
	return deployment
}
