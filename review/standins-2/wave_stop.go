package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Case 9: a lasting subtask is stopped for the upkeep of its machine, which other work keeps from beginning, and runs nowhere meanwhile.

const (
	lastingJob = "00000000000000f1"
	otherJob   = "00000000000000f2"
	// otherWork is the work of the subtask that keeps the machine from its upkeep.
	otherWork = 40 * time.Second
	// waveTime is the time of the wave; the site's largest is 27 s.
	waveTime = 27 * time.Second
	// lastRunBound and lastingBound are how long after its last run a lasting subtask counts, and how long it may have no run then.
	lastRunBound = 6 * time.Second
	waveWatch    = 50 * time.Second
)

func playWaveStop(record *recorder, trouble bool) (broken bool, err error) {
	d, err := newDeployment(record, workload{
		duration: func(task string) time.Duration {
			switch {
			case strings.HasPrefix(task, lastingJob):
				return -1
			case strings.HasPrefix(task, otherJob):
				return otherWork
			}
			return 300 * time.Millisecond
		},
		crashAfter: func(string) time.Duration { return 0 },
	})
	if err != nil {
		return false, err
	}
	defer d.close()
	if err = d.start(4); err != nil {
		return false, err
	}
	lasting := job(map[string]any{
		"count": 4, "cpu": workerCPU / 4, "memMb": 256, "estimateMs": 900, "longRunning": true, "antiAffinity": 1, "mayMiss": 1,
	})
	if status := d.submit(d.entries[0], lastingJob, lasting); status != http.StatusOK {
		return false, fmt.Errorf("the submission was answered %d", status)
	}
	if err = waitFor(10*time.Second, "lasting subtasks", func() bool { return d.goingOn(lastingJob) == 4 }); err != nil {
		return false, err
	}
	if status := d.submit(d.entries[0], otherJob, job(step(1, workerCPU/4, int(otherWork.Milliseconds())))); status != http.StatusOK {
		return false, fmt.Errorf("the submission was answered %d", status)
	}
	if err = waitFor(10*time.Second, "other work", func() bool { return d.goingOn(otherJob) == 1 }); err != nil {
		return false, err
	}
	// The seven seconds before the first look are calm but for the wave.
	time.Sleep(2 * time.Second)
	due := d.machineOf(d.runs(func(task string) bool { return strings.HasPrefix(task, otherJob) })[0].worker)
	if trouble {
		d.store.Put("op", fmt.Sprintf("wave/%d", waveNumber), map[string]any{
			"wave": waveNumber, "machines": []string{due}, "durationS": waveTime.Seconds(), "maximum": 1,
		})
		record.printf("operator: wave %d over %s, one at a time, in %s", waveNumber, due, waveTime)
	}
	return d.watchStopped(due), nil
}

// goingOn returns how many runs of a submission go on.
func (d *deployment) goingOn(id string) (count int) {
	for _, r := range d.runs(func(task string) bool { return strings.HasPrefix(task, id) }) {
		if r.endedAt.IsZero() {
			count++
		}
	}
	return count
}

// watchStopped reports whether a lasting subtask had no run for lastingBound, from lastRunBound after its last run, while a worker that is up and
// not draining had room for it twice over, within its limit per worker.
func (d *deployment) watchStopped(due string) (broken bool) {
	for deadline := time.Now().Add(waveWatch); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for task, last := range d.lastRuns(lastingJob) {
			if last.endedAt.IsZero() || time.Since(last.endedAt) < lastRunBound+lastingBound {
				continue
			}
			free := d.freeProcessors(due)
			if !broken && free >= 2*workerCPU/4 {
				broken = true
				d.record.printf("rule: %s has no run %s after its last one ended %s; on %s, where no other of its step runs, %d of %d are free",
					task, time.Since(last.endedAt).Round(time.Millisecond), last.end, due, free, workerCPU)
			}
		}
	}
	for task, last := range d.lastRuns(lastingJob) {
		d.record.printf("%s: last run #%d on %s, started at %.1f s", task, last.attempt, d.machineOf(last.worker), last.startedAt.Sub(d.record.started).Seconds())
	}
	return broken
}

// lastRuns returns the last run of each subtask of a submission.
func (d *deployment) lastRuns(id string) map[string]run {
	last := map[string]run{}
	for _, r := range d.runs(func(task string) bool { return strings.HasPrefix(task, id) }) {
		if known, found := last[r.task]; !found || r.startedAt.After(known.startedAt) {
			last[r.task] = r
		}
	}
	return last
}

// freeProcessors returns the processors that are free on a machine that is up, in thousandths of a core; all tasks have the same size.
func (d *deployment) freeProcessors(machineID string) int {
	d.control.mutex.Lock()
	var current *worker
	for _, m := range d.control.machines {
		if m.id == machineID && m.state == "up" {
			current = m.worker
		}
	}
	d.control.mutex.Unlock()
	if current == nil {
		return 0
	}
	free := workerCPU
	for _, r := range current.history() {
		if r.endedAt.IsZero() {
			free -= workerCPU / 4
		}
	}
	return free
}
