package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Case 7: the policy of a queue allows a lasting subtask only on one of four machines, which are full of other work. Room is made for it on
// another machine, again and again, and it never runs.

const (
	auditJob     = "00000000000000e1"
	fillerJob    = "00000000000000e2"
	fillerWork   = 60 * time.Second
	fillers      = 16
	lastingBound = 3 * time.Second
	// calmBefore is how long before the bound all has to be calm.
	calmBefore   = 4 * time.Second
	lastingWatch = 30 * time.Second
)

func playAllowedWorker(record *recorder, trouble bool) (broken bool, err error) {
	d, err := newDeployment(record, workload{
		duration: func(task string) time.Duration {
			switch {
			case isAudit(task):
				return -1
			case isFiller(task):
				return fillerWork
			}
			return 300 * time.Millisecond
		},
		crashAfter: func(string) time.Duration { return 0 },
	})
	if err != nil {
		return false, err
	}
	defer d.close()
	allowed := ""
	d.advice.allows = func(machineID string) bool { return !trouble || machineID == allowed }
	d.work.ticketed = isAudit
	if err = d.start(4); err != nil {
		return false, err
	}
	if status := d.submit(d.entries[0], fillerJob, job(step(fillers, workerCPU/4, int(fillerWork.Milliseconds())))); status != http.StatusOK {
		return false, fmt.Errorf("the submission was answered %d", status)
	}
	if err = waitFor(10*time.Second, "full pool", func() bool { return len(d.runs(isFiller)) == fillers }); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	allowed = d.control.machines[len(d.control.machines)-1].id
	if trouble {
		record.printf("advice: the policy allows the audit only on %s", allowed)
	}
	lasting := job(map[string]any{"count": 1, "cpu": workerCPU / 4, "memMb": 256, "estimateMs": 900, "longRunning": true})
	if status := d.submitTo(d.entries[0], auditPrefix, auditJob, lasting); status != http.StatusOK {
		return false, fmt.Errorf("the submission was answered %d", status)
	}
	accepted := time.Now()
	return d.watchLasting(accepted), nil
}

func isFiller(task string) bool { return strings.HasPrefix(task, fillerJob) }

func isAudit(task string) bool { return strings.HasPrefix(task, auditJob) }

// stoppedFillers returns how many runs of the other work were stopped, by machine.
func (d *deployment) stoppedFillers() map[string]int {
	stopped := map[string]int{}
	for _, r := range d.runs(isFiller) {
		if r.end == "stopped" {
			stopped[d.machineOf(r.worker)]++
		}
	}
	return stopped
}

// watchLasting reports whether the lasting subtask had no run for lastingBound, after calmBefore.
func (d *deployment) watchLasting(accepted time.Time) (broken bool) {
	for deadline := accepted.Add(lastingWatch); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		runs := d.runs(isAudit)
		if len(runs) > 0 {
			d.record.printf("runs of the other work that were stopped, by machine: %v", d.stoppedFillers())
			d.record.printf("the lasting subtask runs on %s, %s after its submission was accepted", runs[0].worker, runs[0].startedAt.Sub(accepted).Round(time.Millisecond))
			return broken
		}
		if !broken && time.Since(accepted) > calmBefore+lastingBound {
			broken = true
			d.record.printf("rule: the lasting subtask has no run %s after its submission was accepted, with all calm", time.Since(accepted).Round(time.Millisecond))
		}
	}
	d.record.printf("runs of the other work that were stopped, by machine: %v", d.stoppedFillers())
	d.record.printf("rule: the lasting subtask has no run %s after its submission was accepted; it is told as %s",
		time.Since(accepted).Round(time.Millisecond), d.stateOf(d.entries[0], auditPrefix, auditJob))
	return broken
}
