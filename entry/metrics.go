package entry

import (
	"fmt"

	"github.com/acaciatally/acaciatally/fleet"
)

// phases lists the phases by which instances are counted.
var phases = []fleet.Phase{
	fleet.Serving, fleet.Draining, fleet.Stopping, fleet.Rebooting, fleet.Checking, fleet.Failed, fleet.Quarantined,
}

// exposeState registers gauges of the configuration in force and of this entry's part in control.
func (p *Process) exposeState() {
	gauge := func(name string, value func() float64) { p.metrics.GetOrCreateGauge(name, value) }
	gauge("acaciatally_view_version", func() float64 { return float64(p.log.State().Version) })
	gauge("acaciatally_view_fresh", func() float64 { return truth(p.peers.keeper.Fresh()) })
	gauge("acaciatally_ready", func() float64 { return truth(p.ready()) })
	gauge("acaciatally_control_holder", func() float64 { return truth(p.holder() == p.config.Entry.ID) })
	for _, phase := range phases {
		gauge(fmt.Sprintf("acaciatally_instances{phase=%q}", phase), func() float64 { return float64(p.count(phase)) })
	}
	gauge(`acaciatally_changelog_calls{kind="read"}`, func() float64 { return float64(p.log.Counters().Reads) })
	gauge(`acaciatally_changelog_calls{kind="commit"}`, func() float64 { return float64(p.log.Counters().Writes) })
	gauge(`acaciatally_changelog_commits{end="conflict"}`, func() float64 { return float64(p.log.Counters().Conflicts) })
	gauge(`acaciatally_changelog_commits{end="unknown"}`, func() float64 { return float64(p.log.Counters().UnknownCommits) })
}

func (p *Process) count(phase fleet.Phase) (count int) {
	for _, instance := range p.log.State().Instances {
		if instance.Phase == phase {
			count++
		}
	}
	return count
}

func truth(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
