package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Case 12, not among the five: an order on the pace of a subtask that fills is carried out late, after a newer one. The leader goes on with the newer share, and the
// subtask that serves beside it stays over its target.

const (
	serveJob = "00000000000000d1"
	fillJob  = "00000000000000d2"
	targetMS = 100
	// latePaceBy is how long the order is held up; the pages say 2 to 12 s.
	latePaceBy = 8 * time.Second
	harmBound  = 4 * time.Second
	// quietBefore is how long after the late order its effect counts: contactMs, for which a disturbance is near.
	quietBefore = 3 * time.Second
	paceWatch   = 20 * time.Second
)

// servingLoad is the load of the subtask that serves. Its tail has a part of its own and one that grows with the share of what fills.
type servingLoad struct {
	high    atomic.Bool
	armed   atomic.Bool  // the next order on full pace is held up
	heldAt  atomic.Int64 // when the held-up order arrived, in Unix nanoseconds; 0 before
	trouble bool
}

func (l *servingLoad) tail(fillShare int) int {
	if l.high.Load() {
		return 80 + 6*fillShare/10
	}
	return 20 + 3*fillShare/10
}

func (l *servingLoad) latePace(_ string, percent int) time.Duration {
	if !l.armed.Load() || percent != 100 || !l.heldAt.CompareAndSwap(0, time.Now().UnixNano()) {
		return 0
	}
	if !l.trouble {
		return 0
	}
	return latePaceBy
}

func playLatePace(record *recorder, trouble bool) (broken bool, err error) {
	load := &servingLoad{trouble: trouble}
	load.high.Store(true)
	d, err := newDeployment(record, workload{
		duration: func(task string) time.Duration {
			if strings.HasPrefix(task, serveJob) || strings.HasPrefix(task, fillJob) {
				return -1
			}
			return 300 * time.Millisecond
		},
		crashAfter: func(string) time.Duration { return 0 },
		tail:       load.tail, latePace: load.latePace,
		serves: func(task string) bool { return strings.HasPrefix(task, serveJob) },
		fills:  func(task string) bool { return strings.HasPrefix(task, fillJob) },
	})
	if err != nil {
		return false, err
	}
	defer d.close()
	if err = d.start(3); err != nil {
		return false, err
	}
	serving := job(map[string]any{
		"count": 3, "cpu": 4000, "memMb": 256, "estimateMs": 900, "longRunning": true, "antiAffinity": 1, "mayMiss": 1, "image": "serves", "targetMs": targetMS,
	})
	filling := job(map[string]any{"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": 900, "longRunning": true, "image": "fills", "fills": true})
	for id, body := range map[string]any{serveJob: serving, fillJob: filling} {
		if status := d.submit(d.entries[0], id, body); status != http.StatusOK {
			return false, fmt.Errorf("a submission was answered %d", status)
		}
	}
	time.Sleep(4 * time.Second)
	record.printf("load of the subtask that serves falls")
	load.high.Store(false)
	load.armed.Store(true)
	if err = waitFor(20*time.Second, "an order on full pace", func() bool { return load.heldAt.Load() != 0 }); err != nil {
		return false, err
	}
	// The order is repeated; then the load rises again, and the leader paces down.
	if err = waitFor(5*time.Second, "full pace", func() bool { return d.fillShare() == 100 }); err != nil {
		return false, err
	}
	record.printf("load of the subtask that serves rises")
	load.high.Store(true)
	if err = waitFor(4*time.Second, "a lower pace", func() bool { return d.fillShare() < 100 }); err != nil {
		return false, err
	}
	record.printf("what fills works at %d percent; the tail is %d ms, the target %d ms", d.fillShare(), d.servingTail(), targetMS)
	late := time.Unix(0, load.heldAt.Load()).Add(latePaceBy)
	time.Sleep(time.Until(late.Add(quietBefore)))
	return d.watchTail(load)
}

// watchTail reports whether the subtask that serves is over its target for harmBound on end, and would not be without what fills beside it.
func (d *deployment) watchTail(load *servingLoad) (broken bool, err error) {
	since := time.Time{}
	for deadline := time.Now().Add(paceWatch); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		tail := d.servingTail()
		if tail <= targetMS || load.tail(0) > targetMS {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
			d.record.printf("rule: the tail is %d ms, over the target of %d ms; without what fills it would be %d ms", tail, targetMS, load.tail(0))
		}
		if time.Since(since) > harmBound && !broken {
			broken = true
			d.record.printf("rule: the subtask has been over its target for %s", time.Since(since).Round(time.Millisecond))
		}
	}
	if broken {
		d.record.printf("rule: at the end it had been over its target for %s", time.Since(since).Round(time.Millisecond))
	}
	return broken, nil
}

// servingTail returns the highest tail of a serving subtask.
func (d *deployment) servingTail() (tail int) {
	d.mutex.Lock()
	workers := append([]*worker(nil), d.workers...)
	d.mutex.Unlock()
	for _, w := range workers {
		w.mutex.Lock()
		for _, r := range w.running {
			if w.work.serves(r.task) {
				tail = max(tail, w.load(r))
			}
		}
		w.mutex.Unlock()
	}
	return tail
}

// fillShare returns the highest share of a task that fills, in percent.
func (d *deployment) fillShare() (share int) {
	d.mutex.Lock()
	workers := append([]*worker(nil), d.workers...)
	d.mutex.Unlock()
	for _, w := range workers {
		w.mutex.Lock()
		share = max(share, w.fillShare())
		w.mutex.Unlock()
	}
	return share
}

// waitFor waits until a condition holds.
func waitFor(limit time.Duration, what string, holds func() bool) error {
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("no %s within %s", what, limit)
		}
	}
	return nil
}
