package sharing

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally"
)

// granted returns what a party gets of the divided capacity with its entitlement.
func granted(fleet acaciatally.ResourceVector, p Party, entitled float64) (got amounts) {
	got = amountsOf(p.Demand)
	for r := range got {
		got[r] *= p.ServedPart(fleet, entitled)
	}
	return got
}

func processors(thousandths int) acaciatally.ResourceVector {
	return acaciatally.ResourceVector{Processors: thousandths}
}

// TestDivide guards against shares that do not follow the weights, and against capacity that is kept for a party that can't use it.
func TestDivide(t *testing.T) {
	fleet := acaciatally.ResourceVector{Processors: 1000, Memory: 1000}
	unlimited := math.Inf(1)
	tests := map[string]struct {
		parties  []Party
		entitled []float64
	}{
		"all fits":           {[]Party{{Weight: 1, Demand: processors(600)}, {Weight: 9, Demand: processors(400)}}, []float64{unlimited, unlimited}},
		"by weight":          {[]Party{{Weight: 1, Demand: processors(2000)}, {Weight: 3, Demand: processors(2000)}}, []float64{0.25, 0.75}},
		"lent":               {[]Party{{Weight: 1, Demand: processors(2000)}, {Weight: 3, Demand: processors(100)}}, []float64{0.9, 2.7}},
		"held elsewhere":     {[]Party{{Weight: 1, Held: processors(400), Demand: processors(900)}, {Weight: 1, Demand: processors(900)}}, []float64{0.7, 0.7}},
		"other resource":     {[]Party{{Weight: 1, Demand: processors(2000)}, {Weight: 1, Demand: acaciatally.ResourceVector{Memory: 500}}}, []float64{1, unlimited}},
		"no demand":          {[]Party{{Weight: 1, Demand: processors(2000)}, {Weight: 2}}, []float64{1, 2}},
		"two resources":      {[]Party{{Weight: 1, Demand: processors(2000)}, {Weight: 1, Demand: acaciatally.ResourceVector{Memory: 4000}}}, []float64{1, 1}},
		"dominant resources": {[]Party{{Weight: 1, Demand: acaciatally.ResourceVector{Processors: 9000, Memory: 3000}}, {Weight: 1, Demand: acaciatally.ResourceVector{Processors: 3000, Memory: 9000}}}, []float64{0.75, 0.75}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for i, entitled := range Divide(fleet, fleet, test.parties, nil) {
				if math.IsInf(test.entitled[i], 1) {
					require.True(t, math.IsInf(entitled, 1))
					continue
				}
				require.InDelta(t, test.entitled[i], entitled, 1e-6)
			}
		})
	}
}

func drawParties(t *rapid.T) (fleet acaciatally.ResourceVector, parties []Party) {
	amount := rapid.IntRange(0, 5000)
	fleet = acaciatally.ResourceVector{Processors: rapid.IntRange(1, 9000).Draw(t, "cpu"), Memory: rapid.IntRange(1, 9000).Draw(t, "memory")}
	for range rapid.IntRange(1, 8).Draw(t, "parties") {
		parties = append(parties, Party{
			Weight: rapid.Float64Range(0.1, 20).Draw(t, "weight"),
			Demand: acaciatally.ResourceVector{Processors: amount.Draw(t, "p"), Memory: amount.Draw(t, "m")},
		})
	}
	return fleet, parties
}

// TestDivideProperties guards against shares that exceed the capacity, leave some of it unused while a party could use it, leave a party below
// its share by weight although it could use more, or depend on the order of the parties.
func TestDivideProperties(t *testing.T) {
	const tolerance = 1e-5
	rapid.Check(t, func(t *rapid.T) {
		fleet, parties := drawParties(t)
		entitled := Divide(fleet, fleet, parties, nil)
		var taken amounts
		weights := 0.0
		for i, p := range parties {
			got := granted(fleet, p, entitled[i])
			for r := range taken {
				taken[r] += got[r]
			}
			if !p.Demand.IsZero() {
				weights += p.Weight
			}
		}
		capacity := amountsOf(fleet)
		for r := range taken {
			require.LessOrEqual(t, taken[r], capacity[r]*(1+tolerance), "feasible")
		}
		for i, p := range parties {
			demand, got := amountsOf(p.Demand), granted(fleet, p, entitled[i])
			share, wanted := dominantShare(got, capacity), dominantShare(demand, capacity)
			if p.Demand.IsZero() {
				continue
			}
			require.GreaterOrEqual(t, share, min(wanted, p.Weight/weights)*(1-tolerance), "at least its share by weight")
			if share < wanted*(1-tolerance) {
				full := false
				for r := range demand {
					full = full || demand[r] > 0 && taken[r] >= capacity[r]*(1-tolerance)-tolerance
				}
				require.True(t, full, "work conserving")
			}
		}
		turned := make([]Party, 0, len(parties))
		for i := range parties {
			turned = append(turned, parties[len(parties)-1-i])
		}
		for i, other := range Divide(fleet, fleet, turned, nil) {
			if before := entitled[len(parties)-1-i]; before != other {
				require.InEpsilon(t, before+1, other+1, tolerance, "order independent")
			}
		}
	})
}

// TestDivideMonotone guards against an account that is given less because its weight was raised.
func TestDivideMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet, parties := drawParties(t)
		chosen := rapid.IntRange(0, len(parties)-1).Draw(t, "chosen")
		before := granted(fleet, parties[chosen], Divide(fleet, fleet, parties, nil)[chosen])
		parties[chosen].Weight *= rapid.Float64Range(1, 5).Draw(t, "factor")
		after := granted(fleet, parties[chosen], Divide(fleet, fleet, parties, nil)[chosen])
		capacity := amountsOf(fleet)
		require.GreaterOrEqual(t, dominantShare(after, capacity), dominantShare(before, capacity)*(1-1e-5))
	})
}
