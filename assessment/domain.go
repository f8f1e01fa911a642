package assessment

import (
	"fmt"

	"github.com/acaciatally/acaciatally/fleet"
)

// minDomainFailures is the number of failures in one domain from which on they are reported as correlated.
const minDomainFailures = 2

// nameDomains sets the domain of Failed findings that share one: the data centre when it has more failures than the rack, else the rack.
func nameDomains(state *fleet.State, findings []Finding) {
	racks, dataCentres := map[string]int{}, map[string]int{}
	for _, finding := range findings {
		if finding.Kind == Failed {
			instance := state.Instances[finding.Instance]
			racks[string(instance.Rack)]++
			dataCentres[string(instance.DataCentre)]++
		}
	}
	for i, finding := range findings {
		if finding.Kind != Failed {
			continue
		}
		instance := state.Instances[finding.Instance]
		rack, dataCentre := racks[string(instance.Rack)], dataCentres[string(instance.DataCentre)]
		switch {
		case dataCentre > rack && dataCentre >= minDomainFailures:
			findings[i].Domain = fmt.Sprintf("data centre %s: %d failures", instance.DataCentre, dataCentre)
		case rack >= minDomainFailures:
			findings[i].Domain = fmt.Sprintf("rack %s: %d failures", instance.Rack, rack)
		}
	}
}
