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

// accountPressure returns the accounts whose jobs beyond their entitlement wait. It is a stand-in until the shares by weight are merged: jobs begin
// at the rate of the runs in progress over the mean run time of their queue, or at the account's weight if that is more. Late jobs go after new ones and
// are left out; with them, jobs would be refused until the last late one has begun.
func (s *Scheduler) accountPressure(now time.Duration) (pressures []AccountPressure) {
	waiting, running := map[acaciatally.AccountName]int{}, map[acaciatally.AccountName]float64{}
	for _, j := range s.jobs {
		account := j.accepted.Account
		if account == "" || !j.live() || j.hasLongRunning || j.accepted.Spec.Repeat > 0 {
			continue
		}
		if !j.begun() {
			if s.latenessOf(j, now) == inTime {
				waiting[account]++
			}
			continue
		}
		runTime := defaultRunTime
		if known := s.runTimes[j.accepted.Queue.Name]; known != nil {
			runTime = known.task
		}
		running[account] += 1 / runTime.Seconds()
	}
	for name, count := range waiting {
		weight := s.configuration.Accounts[name].Weight
		if beyond := float64(count) - weight; beyond > 0 {
			wait := beyond / max(running[name], weight, 1)
			pressures = append(pressures, AccountPressure{Account: name, Wait: time.Duration(wait * float64(time.Second))})
		}
	}
	return pressures
}
