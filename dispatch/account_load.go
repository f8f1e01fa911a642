package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/overload"
)

// accountJobs counts the jobs of one account, without those with long-running tasks.
type accountJobs struct {
	arrived, begun int     // since the last call of AccountLoads
	urgency        float64 // moving mean of 1/s over the allowed times; short allowed times count more than a few long ones
}

// allowed returns the typical allowed time of the account's jobs, 0 if none has arrived.
func (l *accountJobs) allowed() time.Duration {
	if l.urgency == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / l.urgency)
}

// countAccountArrival counts a loaded job of an account.
func (s *Scheduler) countAccountArrival(j *activeJob) {
	if j.accepted.Account == "" || j.hasLongRunning || j.accepted.Spec.Repeat > 0 {
		return
	}
	load := s.accountJobs[j.accepted.Account]
	if load == nil {
		load = &accountJobs{}
		if s.accountJobs == nil {
			s.accountJobs = map[acaciatally.AccountName]*accountJobs{}
		}
		s.accountJobs[j.accepted.Account] = load
	}
	load.arrived++
	urgency := 1 / overload.AllowedTime(&j.accepted.Queue, &j.accepted.Spec).Seconds()
	if load.urgency == 0 {
		load.urgency = urgency
	}
	moveMean(&load.urgency, urgency)
}

// countAccountBegin counts a job of an account when the first of its tasks has got a worker.
func (s *Scheduler) countAccountBegin(j *activeJob) {
	load := s.accountJobs[j.accepted.Account]
	if load == nil || j.counted || j.hasLongRunning || j.accepted.Spec.Repeat > 0 || !j.begun() {
		return
	}
	j.counted = true
	load.begun++
}

// begun reports whether a task of the job has or had a run.
func (j *activeJob) begun() bool {
	for _, o := range j.openOccurrences {
		for _, tasks := range o.steps {
			if anyStarted(tasks) {
				return true
			}
		}
	}
	return j.state == acaciatally.JobCompleted || j.state == acaciatally.JobFailed
}

// AccountLoads returns the load of all configured accounts with the jobs that have arrived and begun since the last call.
func (s *Scheduler) AccountLoads(now time.Duration) (loads []overload.Load) {
	if s.configuration == nil || len(s.configuration.Accounts) == 0 {
		clear(s.accountJobs)
		return nil
	}
	for _, j := range s.jobs {
		if j.accepted.Account != "" {
			s.countAccountBegin(j)
		}
	}
	waits := map[acaciatally.AccountName]time.Duration{}
	for _, pressure := range s.accountPressure(now) {
		waits[pressure.Account] = pressure.Wait
	}
	for name, account := range s.configuration.Accounts {
		load := overload.Load{Account: name, Weight: account.Weight, Wait: waits[name]}
		if counted := s.accountJobs[name]; counted != nil {
			load.Allowed, load.Arrived, load.Begun = counted.allowed(), counted.arrived, counted.begun
			counted.arrived, counted.begun = 0, 0
		}
		loads = append(loads, load)
	}
	return loads
}
