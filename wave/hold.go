package wave

import (
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally/fleet"
)

type failure struct {
	at      time.Time
	domains []string
}

// Held reports whether failures hold all waves at the given time, and why.
func (p *Planner) Held(now time.Time, state *fleet.State) (reason string, held bool) {
	failures := p.recentFailures(now, state)
	for i := len(failures) - 1; i >= 0; i-- {
		if reason, found := p.reachesLimit(failures[:i+1]); found {
			return reason, true
		}
	}
	return "", false
}

// recentFailures returns the failures in order of time, without those before the last quiet period.
func (p *Planner) recentFailures(now time.Time, state *fleet.State) (failures []failure) {
	for pool := range state.Pools {
		members := state.SharedMembers(pool)
		for i := range members {
			if instance := &members[i]; !instance.FailedAt.IsZero() {
				failures = append(failures, failure{at: instance.FailedAt, domains: []string{
					"pool " + string(pool), "rack " + string(instance.Rack), "data centre " + string(instance.DataCentre),
				}})
			}
		}
	}
	slices.SortFunc(failures, func(a, b failure) int { return a.at.Compare(b.at) })
	next := now
	for i := len(failures) - 1; i >= 0; i-- {
		if next.Sub(failures[i].at) >= p.config.QuietPeriod {
			return failures[i+1:]
		}
		next = failures[i].at
	}
	return failures
}

// reachesLimit reports whether the last failure reaches the failure limit of its pool, rack or data centre within the failure window.
func (p *Planner) reachesLimit(failures []failure) (reason string, found bool) {
	last := failures[len(failures)-1]
	for _, domain := range last.domains {
		count := 0
		for _, other := range failures {
			if last.at.Sub(other.at) <= p.config.FailureWindow && slices.Contains(other.domains, domain) {
				count++
			}
		}
		if count >= p.config.FailureLimit {
			return fmt.Sprintf("%d failures within %s in %s", count, p.config.FailureWindow, domain), true
		}
	}
	return "", false
}
