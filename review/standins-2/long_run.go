package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Case 6: a submission whose subtasks work for minutes: each of them is stopped after a few seconds, and started again from the beginning.

const (
	longJob = "00000000000000c1"
	// longWork and usualWork are the work of a subtask with and without the disruption.
	longWork  = 5 * time.Minute
	usualWork = 2 * time.Second
	// finishBound is finish_s, counted from the last submission; idleBound is how long a submission may have nothing running.
	finishBound = 14 * time.Second
	idleBound   = 3 * time.Second
	longWatch   = 60 * time.Second
)

func playLongRun(record *recorder, trouble bool) (broken bool, err error) {
	work := usualWork
	if trouble {
		work = longWork
	}
	d, err := newDeployment(record, workload{
		duration: func(task string) time.Duration {
			if strings.HasPrefix(task, longJob) {
				return work
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
	if status := d.submit(d.entries[0], longJob, job(step(8, workerCPU/2, int(work.Milliseconds())))); status != http.StatusOK {
		return false, fmt.Errorf("the submission was answered %d", status)
	}
	time.Sleep(finishBound)
	broken = d.watchIdle()
	longest, starts := d.longestRun()
	record.printf("client: the submission is %s; its 8 subtasks were started %d times; the longest run took %s of %s",
		d.state(d.entries[0], longJob), starts, longest.Round(time.Millisecond), work)
	return broken, nil
}

// watchIdle reports whether the submission, while it is neither completed nor failed, had nothing running for idleBound. Nothing else is submitted, so
// the whole capacity is free meanwhile.
func (d *deployment) watchIdle() (broken bool) {
	idleSince := time.Time{}
	for deadline := time.Now().Add(longWatch); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		running := 0
		for _, r := range d.runs(isLong) {
			if r.endedAt.IsZero() {
				running++
			}
		}
		if running > 0 {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			state := d.state(d.entries[0], longJob)
			if state == "completed" || state == "failed" {
				return broken
			}
			idleSince = time.Now()
			d.record.printf("rule: nothing of the submission runs on any of the 4 machines, which are idle; it is told as %s", state)
		}
		if time.Since(idleSince) > idleBound {
			d.record.printf("rule: nothing of the submission has run for %s", time.Since(idleSince).Round(time.Millisecond))
			broken, idleSince = true, time.Time{}
		}
	}
	return broken
}

func isLong(task string) bool { return strings.HasPrefix(task, longJob) }

// longestRun returns the run time of the longest run of the submission and the number of its runs.
func (d *deployment) longestRun() (longest time.Duration, starts int) {
	for _, r := range d.runs(isLong) {
		end := r.endedAt
		if end.IsZero() {
			end = time.Now()
		}
		longest = max(longest, end.Sub(r.startedAt))
		starts++
	}
	return longest, starts
}
