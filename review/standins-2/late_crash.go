package main

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"
)

// Case 11, not among the five: a subtask crashes each worker that starts it, some seconds after its start, and is started again without end.

const (
	crashJob = "00000000000000c8"
	// crashAfter is how long the subtask works before its worker crashes.
	crashAfter = 11500 * time.Millisecond
	crashWork  = 15 * time.Second
	// crashesToGiveUp and maxLaterStarts are the figures of the rule.
	crashesToGiveUp = 3
	maxLaterStarts  = 2
	crashWatch      = 95 * time.Second
)

func playLateCrash(record *recorder, trouble bool) (broken bool, err error) {
	d, err := newDeployment(record, workload{
		duration: func(task string) time.Duration {
			if strings.HasPrefix(task, crashJob) {
				return crashWork
			}
			return 300 * time.Millisecond
		},
		crashAfter: func(task string) time.Duration {
			if trouble && strings.HasPrefix(task, crashJob) {
				return crashAfter
			}
			return 0
		},
	})
	if err != nil {
		return false, err
	}
	defer d.close()
	if err = d.start(4); err != nil {
		return false, err
	}
	if status := d.submit(d.entries[0], crashJob, job(step(1, 1000, int(crashWork.Milliseconds())))); status != http.StatusOK {
		return false, fmt.Errorf("the submission was answered %d", status)
	}
	deadline := time.Now().Add(crashWatch)
	for time.Now().Before(deadline) {
		time.Sleep(time.Second)
		if state := d.state(d.entries[0], crashJob); state == "completed" || state == "failed" {
			record.printf("client: the submission is %s", state)
			break
		}
		if d.laterStarts() > maxLaterStarts {
			break
		}
	}
	later := d.laterStarts()
	record.printf("the subtask was started %d times after %d workers had crashed under it", later, crashesToGiveUp)
	return later > maxLaterStarts, nil
}

// laterStarts returns how often the subtask was started after crashesToGiveUp workers had crashed under it.
func (d *deployment) laterStarts() (count int) {
	runs := d.runs(func(task string) bool { return strings.HasPrefix(task, crashJob) })
	sort.Slice(runs, func(i, j int) bool { return runs[i].startedAt.Before(runs[j].startedAt) })
	crashes := 0
	for _, r := range runs {
		if crashes >= crashesToGiveUp {
			count++
		}
		if r.end == "crashed" {
			crashes++
		}
	}
	return count
}
