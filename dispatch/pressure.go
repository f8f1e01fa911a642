package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// AccountPressure is how long a new job of an account that is beyond the account's entitlement would wait for capacity.
type AccountPressure struct {
	Account acaciatally.AccountName
	Wait    time.Duration
}

// accountPressure returns the accounts whose jobs beyond their entitlement wait. It is a stand-in until shares by weight are built.
func (s *Scheduler) accountPressure(_ time.Duration) []AccountPressure { return nil }
