package fleet

import (
	"fmt"

	"github.com/acaciatally/acaciatally"
)

// BudgetError reports the rule of a pool's availability budget that a planned disruption would break.
type BudgetError struct {
	Pool   acaciatally.PoolName
	Reason string
}

// Error returns the pool and the rule.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("budget of pool %s: %s", e.Pool, e.Reason)
}

// Allows returns a *BudgetError when a planned disruption of the serving instance would break its pool's budget.
func (s *State) Allows(instance Instance, cause Cause) (err error) {
	pool := s.Pools[instance.Pool]
	available, unavailable := 0, 0
	for _, other := range s.members(instance.Pool) {
		if other.Phase == Serving {
			available++
			continue
		}
		unavailable++
		if !cause.guardsDomain() || !other.Cause.guardsDomain() {
			continue
		}
		if other.Rack == instance.Rack || other.DataCentre == instance.DataCentre {
			return &BudgetError{Pool: pool.Name, Reason: fmt.Sprintf("%s of the same failure domain is %s", other.ID, other.Phase)}
		}
	}
	if available-1 < pool.MinAvailable {
		return &BudgetError{Pool: pool.Name, Reason: fmt.Sprintf("%d available, %d must stay", available, pool.MinAvailable)}
	}
	if unavailable+1 > pool.MaxUnavailable {
		return &BudgetError{Pool: pool.Name, Reason: fmt.Sprintf("%d unavailable of at most %d", unavailable, pool.MaxUnavailable)}
	}
	return nil
}
