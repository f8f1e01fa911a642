package model

import (
	"fmt"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/settings"
)

const (
	workersPerRack = 4
	// maxUnavailable is the disruption budget of the serving pools in the models; users set their own in the settings.
	maxUnavailable = 2
	// spareUnavailable is the disruption budget of the spare pool; it is larger so that several instances can be lent at once.
	spareUnavailable = 8
)

type poolSize struct {
	name    acaciatally.PoolName
	workers int
	spare   bool
}

// Authority returns the model of the Authority's deployment, which gives the most weight to roll-out time and protection.
func Authority() *settings.Settings {
	pools := []poolSize{{"intake", 9, false}, {"coating", 9, false}, {"booking", 11, false}, {"chamber", 12, false}, {"backoffice", 8, true}}
	deployment := build("Authority", []acaciatally.DataCentre{"hall-a", "hall-b", "annex"}, pools, 64, 256*settings.GiB)
	deployment.Weights = settings.Weights{Reserve: 1, Moves: 1, RollOut: 3, Protection: 3}
	return deployment
}

// Cavalcanti returns the model of Cavalcanti's deployment, which gives the most weight to reserve cost and moves.
func Cavalcanti() *settings.Settings {
	pools := []poolSize{{"balcao", 9, false}, {"atacado", 9, false}, {"fino", 11, false}, {"despacho", 12, false}, {"apoio", 8, true}}
	deployment := build("Cavalcanti", []acaciatally.DataCentre{"campina-a", "recife-b", "joao-c"}, pools, 32, 128*settings.GiB)
	deployment.Weights = settings.Weights{Reserve: 3, Moves: 3, RollOut: 1, Protection: 1}
	return deployment
}

// Deployments returns the models of both users, the Authority and Cavalcanti.
func Deployments() []*settings.Settings {
	return []*settings.Settings{Authority(), Cavalcanti()}
}

func build(name string, centres []acaciatally.DataCentre, pools []poolSize, processors float64, memory settings.Size) *settings.Settings {
	deployment := &settings.Settings{Deployment: name, DataCentres: centres}
	instanceCounts := map[acaciatally.DataCentre]int{}
	for _, size := range pools {
		pool := settings.Pool{Name: size.name, Spare: size.spare, MaxUnavailable: maxUnavailable, MinAvailable: size.workers - maxUnavailable}
		if size.spare {
			pool.MaxUnavailable, pool.MinAvailable = spareUnavailable, 0
		}
		for n := range size.workers {
			centre := centres[n%len(centres)]
			pool.Instances = append(pool.Instances, settings.Instance{
				ID: acaciatally.InstanceID(fmt.Sprintf("%s-%02d", size.name, n+1)), DataCentre: centre,
				Rack:       acaciatally.Rack(fmt.Sprintf("%s-%02d", centre, instanceCounts[centre]/workersPerRack+1)),
				Processors: processors, Memory: memory,
			})
			instanceCounts[centre]++
		}
		deployment.Pools = append(deployment.Pools, pool)
	}
	deployment.Default()
	return deployment
}

// targetPools is the number of pools at the target size of 2500 workers; smaller models have about one pool for every 41 workers.
const targetPools = 61

// NewSizedDeployment returns a model with four data centres and the given number of workers, in at least 2 pools, the first of which is the
// spare pool; at the target size there are 61.
func NewSizedDeployment(workers int) *settings.Settings {
	count := max(2, workers*targetPools/2500)
	var pools []poolSize
	for n := range count {
		size := workers / count
		if n < workers%count {
			size++
		}
		pools = append(pools, poolSize{acaciatally.PoolName(fmt.Sprintf("pool-%02d", n)), size, n == 0})
	}
	return build("Sized", []acaciatally.DataCentre{"centre-1", "centre-2", "centre-3", "centre-4"}, pools, 64, 256*settings.GiB)
}
