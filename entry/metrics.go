package entry

import (
	"fmt"

	"github.com/acaciatally/acaciatally/fleet"
)

// countedPhases lists the phases that have a gauge of the instances in them.
var countedPhases = []fleet.Phase{
	fleet.Serving, fleet.Draining, fleet.Stopping, fleet.Rebooting, fleet.Checking, fleet.Failed, fleet.Quarantined,
}

// registerStateGauges registers the gauges of the configuration, of this entry's readiness and control lease, and of the changelog.
func (p *Process) registerStateGauges() {
	gauge := func(name string, value func() float64) { p.metrics.GetOrCreateGauge(name, value) }
	gauge("acaciatally_view_version", func() float64 { return float64(p.log.State().Version) })
	gauge("acaciatally_view_fresh", func() float64 { return boolToFloat(p.peers.membership.MayChange()) })
	gauge("acaciatally_ready", func() float64 { return boolToFloat(p.ready()) })
	gauge("acaciatally_control_holder", func() float64 { return boolToFloat(p.holder() == p.config.Entry.ID) })
	for _, phase := range countedPhases {
		gauge(fmt.Sprintf("acaciatally_instances{phase=%q}", phase), func() float64 { return float64(p.countInPhase(phase)) })
	}
	gauge(`acaciatally_changelog_calls{kind="read"}`, func() float64 { return float64(p.log.Counters().Reads) })
	gauge(`acaciatally_changelog_calls{kind="commit"}`, func() float64 { return float64(p.log.Counters().Writes) })
	gauge(`acaciatally_changelog_commits{end="conflict"}`, func() float64 { return float64(p.log.Counters().Conflicts) })
	gauge(`acaciatally_changelog_commits{end="unknown"}`, func() float64 { return float64(p.log.Counters().UnknownCommits) })
}

func (p *Process) countInPhase(phase fleet.Phase) (count int) {
	for _, instance := range p.log.State().Instances {
		if instance.Phase == phase {
			count++
		}
	}
	return count
}

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
