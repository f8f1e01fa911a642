package assessment

import (
	"fmt"

	"github.com/acaciatally/acaciatally/fleet"
)

// correlatedFailures is how many failures in one domain are named as one event.
const correlatedFailures = 2

// correlate names the smallest failure domain that a failed instance shares with other failures.
func correlate(state *fleet.State, verdicts []Verdict) {
	racks, centres := map[string]int{}, map[string]int{}
	for _, verdict := range verdicts {
		if verdict.Kind == Failed {
			instance := state.Instances[verdict.Instance]
			racks[string(instance.Rack)]++
			centres[string(instance.DataCentre)]++
		}
	}
	for i, verdict := range verdicts {
		if verdict.Kind != Failed {
			continue
		}
		instance := state.Instances[verdict.Instance]
		rack, centre := racks[string(instance.Rack)], centres[string(instance.DataCentre)]
		switch {
		case centre > rack && centre >= correlatedFailures:
			verdicts[i].Domain = fmt.Sprintf("data centre %s: %d failures", instance.DataCentre, centre)
		case rack >= correlatedFailures:
			verdicts[i].Domain = fmt.Sprintf("rack %s: %d failures", instance.Rack, rack)
		}
	}
}
