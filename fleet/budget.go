package fleet

import (
	"fmt"

	"github.com/acaciatally/acaciatally"
)

// BudgetError reports the rule of the availability budget of a pool that a planned disruption would violate.
type BudgetError struct {
	Pool   acaciatally.PoolName
	Reason string
}

// Error returns the pool and the violated rule.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("budget of pool %s: %s", e.Pool, e.Reason)
}

// CheckBudget returns a *BudgetError if a planned disruption of the serving instance would violate the budget of its pool.
func (s *State) CheckBudget(instance Instance, cause Cause) (err error) {
	pool := s.Pools[instance.Pool]
	available, unavailable := 0, 0
	members := s.members(instance.Pool)
	for i := range members {
		other := &members[i]
		if other.Phase == Serving {
			available++
			continue
		}
		unavailable++
		if !cause.exclusiveDomain() || !other.Cause.exclusiveDomain() {
			continue
		}
		if other.Rack == instance.Rack || other.DataCentre == instance.DataCentre {
			return &BudgetError{Pool: pool.Name, Reason: fmt.Sprintf("%s in the same failure domain is %s", other.ID, other.Phase)}
		}
	}
	if available-1 < pool.MinAvailable {
		return &BudgetError{Pool: pool.Name, Reason: fmt.Sprintf("%d available, at least %d required", available, pool.MinAvailable)}
	}
	if unavailable+1 > pool.MaxUnavailable {
		return &BudgetError{Pool: pool.Name, Reason: fmt.Sprintf("%d unavailable, at most %d allowed", unavailable, pool.MaxUnavailable)}
	}
	return nil
}
