package main

import (
	"fmt"
	"strings"
	"time"
)

// checkTwice checks TWICE: no start after a run has ended done if that end was ever taken note of, unless the worker's lease lapsed between
// the two; and no two runs of one subtask at the same time on workers that are up.
func checkTwice(b *bench) (broken []string) {
	events := b.log.all()
	doneAt := map[string]time.Time{} // subtask to its first end done that was taken note of
	for i, e := range events {
		if e.kind == eventEnd && e.how == "done" && notedLater(events[i+1:], e) {
			if _, known := doneAt[e.task]; !known {
				doneAt[e.task] = e.at
			}
		}
	}
	runningOn := map[string]event{}
	for _, e := range events {
		switch e.kind {
		case eventStart:
			if at, done := doneAt[e.task]; done && e.at.After(at) {
				broken = append(broken, fmt.Sprintf("TWICE %s starts on %s as run %d at %s, after it had ended done at %s",
					e.task, e.worker, e.attempt, b.log.since(e.at), b.log.since(at)))
			}
			if other, runs := runningOn[e.task]; runs {
				broken = append(broken, fmt.Sprintf("TWICE %s starts on %s as run %d at %s, while it runs on %s as run %d since %s",
					e.task, e.worker, e.attempt, b.log.since(e.at), other.worker, other.attempt, b.log.since(other.at)))
			}
			runningOn[e.task] = e
		case eventEnd, eventCrash:
			if current, runs := runningOn[e.task]; runs && current.worker == e.worker && current.attempt == e.attempt {
				delete(runningOn, e.task)
			}
		}
	}
	return broken
}

// notedLater reports whether the end is taken note of in the events that follow, before the lease of its worker lapses.
func notedLater(following []event, end event) bool {
	for _, e := range following {
		if e.worker != end.worker || e.life != end.life {
			continue
		}
		switch e.kind {
		case eventLapse, eventCrash:
			return false
		case eventAck:
			if e.number == end.number {
				return true
			}
		}
	}
	return false
}

// startsOf returns the starts of the subtasks whose names begin with the prefix.
func startsOf(b *bench, prefix string) (starts []event) {
	for _, e := range b.log.all() {
		if e.kind == eventStart && strings.HasPrefix(e.task, prefix) {
			starts = append(starts, e)
		}
	}
	return starts
}
