package task

import (
	"fmt"

	"github.com/acaciatally/acaciatally"
)

func add(a, b acaciatally.Resources) acaciatally.Resources {
	return acaciatally.Resources{
		Processors: a.Processors + b.Processors, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators,
	}
}

func subtract(a, b acaciatally.Resources) acaciatally.Resources {
	return acaciatally.Resources{
		Processors: a.Processors - b.Processors, Memory: a.Memory - b.Memory, Accelerators: a.Accelerators - b.Accelerators,
	}
}

func maxResources(a, b acaciatally.Resources) acaciatally.Resources {
	return acaciatally.Resources{
		Processors: max(a.Processors, b.Processors), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func minResources(a, b acaciatally.Resources) acaciatally.Resources {
	return acaciatally.Resources{
		Processors: min(a.Processors, b.Processors), Memory: min(a.Memory, b.Memory), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

func scale(a acaciatally.Resources, factor float64) acaciatally.Resources {
	return acaciatally.Resources{Processors: a.Processors * factor, Memory: int64(float64(a.Memory) * factor), Accelerators: a.Accelerators}
}

// roundingTolerance absorbs rounding errors in sums of processor shares.
const roundingTolerance = 1e-6

func fits(need, free acaciatally.Resources) bool {
	return need.Processors <= free.Processors+roundingTolerance && need.Memory <= free.Memory && need.Accelerators <= free.Accelerators
}

// dominantShare returns the largest fraction of whole that amount uses in any single resource.
func dominantShare(amount, whole acaciatally.Resources) (share float64) {
	if whole.Processors > 0 {
		share = max(share, amount.Processors/whole.Processors)
	}
	if whole.Memory > 0 {
		share = max(share, float64(amount.Memory)/float64(whole.Memory))
	}
	if whole.Accelerators > 0 {
		share = max(share, float64(amount.Accelerators)/float64(whole.Accelerators))
	}
	return share
}

func formatResources(amount acaciatally.Resources) string {
	text := fmt.Sprintf("%.3g cores, %.3g GiB", amount.Processors, float64(amount.Memory)/(1<<30))
	if amount.Accelerators > 0 {
		text += fmt.Sprintf(", %d accelerators", amount.Accelerators)
	}
	return text
}
