package assessment

import (
	"fmt"

	"github.com/acaciatally/acaciatally/fleet"
)

// minDomainFailures is the number of failures in one domain from which on they are reported as correlated.
const minDomainFailures = 2

// nameDomains sets the domain of Failed verdicts that share one: the data centre when it has more failures than the rack, else the rack.
func nameDomains(state *fleet.State, verdicts []Finding) {
	racks, dataCentres := map[string]int{}, map[string]int{}
	for _, verdict := range verdicts {
		if verdict.Kind == Failed {
			instance := state.Instances[verdict.Instance]
			racks[string(instance.Rack)]++
			dataCentres[string(instance.DataCentre)]++
		}
	}
	for i, verdict := range verdicts {
		if verdict.Kind != Failed {
			continue
		}
		instance := state.Instances[verdict.Instance]
		rack, dataCentre := racks[string(instance.Rack)], dataCentres[string(instance.DataCentre)]
		switch {
		case dataCentre > rack && dataCentre >= minDomainFailures:
			verdicts[i].Domain = fmt.Sprintf("data centre %s: %d failures", instance.DataCentre, dataCentre)
		case rack >= minDomainFailures:
			verdicts[i].Domain = fmt.Sprintf("rack %s: %d failures", instance.Rack, rack)
		}
	}
}
