package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/overload"
)

// accountJobs counts the jobs of one account, without those with long-running tasks.
type accountJobs struct {
	arrived, begun int // since the last call of AccountLoads
	urgency        meanUrgency
	estimated      meanUrgency // by the callers' estimates
}

// meanUrgency is the moving mean of 1/s over slacks in s, so that many short ones count more than a few long ones.
type meanUrgency float64

func (m *meanUrgency) add(slack time.Duration) {
	urgency, mean := 1/slack.Seconds(), float64(*m)
	if mean == 0 {
		mean = urgency
	}
	moveMean(&mean, urgency)
	*m = meanUrgency(mean)
}

// slack returns the typical slack, 0 if there is none.
func (m *meanUrgency) slack() time.Duration {
	if *m == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / float64(*m))
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
	load.urgency.add(overload.Slack(&j.accepted.Queue, j.accepted.Spec.Steps, s.expectedStepTimes(j)))
	load.estimated.add(overload.EstimatedSlack(&j.accepted.Queue, j.accepted.Spec.Steps))
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
			load.Slack, load.EstimatedSlack = counted.urgency.slack(), counted.estimated.slack()
			load.Arrived, load.Begun = counted.arrived, counted.begun
			counted.arrived, counted.begun = 0, 0
		}
		loads = append(loads, load)
	}
	return loads
}
