package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Case 8: a client that had no answer to its submission cancels it and is told that there is no such submission; the submission lands
// afterwards and runs.

const (
	victimID = "00000000000000c6"
	// lossyTime is how long the store loses answers; the site's largest is 4.5 s.
	lossyTime = 2500 * time.Millisecond
	// maxLostShare is the largest share of the writes that may be lost.
	maxLostShare = 0.3
	// lateBy is when a lost write is done; the pages say 1 to 6 s.
	lateBy = 5 * time.Second
	// watchTime is how long the runs are watched after the end of the disruption's last effect.
	watchTime = 12 * time.Second
)

// lossyStore loses the answers to the writes that record the victim, for lossyTime.
type lossyStore struct {
	until         atomic.Int64 // end of the loss in Unix nanoseconds; 0 before it begins
	writes, lost  atomic.Int64
	lastLate      atomic.Int64 // when the last late write is done, in Unix nanoseconds
	transactionOf string
}

func (s *lossyStore) lateWrite(_ string, body []byte) time.Duration {
	now := time.Now()
	if until := s.until.Load(); until == 0 || now.UnixNano() > until {
		return 0
	}
	s.writes.Add(1)
	var transaction struct {
		Writes []struct{ Table, Key string } `json:"writes"`
	}
	if json.Unmarshal(body, &transaction) != nil {
		return 0
	}
	for _, write := range transaction.Writes {
		if write.Table == "Job" && write.Key == s.transactionOf {
			s.lost.Add(1)
			s.lastLate.Store(now.Add(lateBy).UnixNano())
			return lateBy
		}
	}
	return 0
}

func playLateCancel(record *recorder, trouble bool) (broken bool, err error) {
	d, err := newDeployment(record, workload{
		duration: func(task string) time.Duration {
			if strings.HasPrefix(task, victimID) {
				return -1
			}
			return 300 * time.Millisecond
		},
		crashAfter: func(string) time.Duration { return 0 },
	})
	if err != nil {
		return false, err
	}
	defer d.close()
	lossy := &lossyStore{transactionOf: victimID}
	d.lateWrite = lossy.lateWrite
	if err = d.start(4); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stopTraffic := d.traffic(8)
	defer stopTraffic()
	time.Sleep(time.Second)

	if trouble {
		lossy.until.Store(time.Now().Add(lossyTime).UnixNano())
		record.printf("store: loses answers for %s", lossyTime)
	}
	victim := job(map[string]any{"count": 2, "cpu": 1000, "memMb": 256, "estimateMs": 900, "longRunning": true, "antiAffinity": 1})
	submitted := d.submit(d.entries[0], victimID, victim)
	cancelled := d.cancel(d.entries[1], victimID)
	if cancelled != http.StatusOK && cancelled != http.StatusGone {
		return false, fmt.Errorf("the cancel was answered %d", cancelled)
	}
	acked := time.Now()
	if writes, lost := lossy.writes.Load(), lossy.lost.Load(); trouble {
		record.printf("store: lost the answers to %d of %d writes", lost, writes)
		if lost == 0 || float64(lost) > maxLostShare*float64(writes) {
			return false, fmt.Errorf("%d of %d writes lost", lost, writes)
		}
	}
	// The bound of the rule is over, and the last late write was done over contactMs ago.
	bound := acked.Add(cancelBound + stopBound)
	if last := time.Unix(0, lossy.lastLate.Load()).Add(3 * time.Second); last.After(bound) {
		bound = last
	}
	time.Sleep(time.Until(bound.Add(watchTime)))
	record.printf("submission answered %d, cancel answered %d", submitted, cancelled)
	for _, e := range d.entries {
		record.printf("client: GET %s%s from %s: %s", callerPrefix, victimID, e.name, d.state(e, victimID))
	}
	return d.checkCancelled(acked, bound)
}

// checkCancelled reports whether a subtask of the victim was started later than cancel_ms after the ack of its cancelling, or runs after the
// bound.
func (d *deployment) checkCancelled(acked, bound time.Time) (broken bool, err error) {
	for _, r := range d.runs(func(task string) bool { return strings.HasPrefix(task, victimID) }) {
		if r.startedAt.After(acked.Add(cancelBound)) {
			d.record.printf("rule: %s #%d was started %s after the ack of the cancel", r.task, r.attempt, r.startedAt.Sub(acked).Round(time.Millisecond))
			broken = true
		}
		if r.endedAt.IsZero() {
			d.record.printf("rule: %s #%d on %s still runs %s after the ack of the cancel, %s after the end of the bound",
				r.task, r.attempt, r.worker, time.Since(acked).Round(time.Millisecond), time.Since(bound).Round(time.Millisecond))
			broken = true
		}
	}
	return broken, nil
}

// traffic submits jobs at a rate to the entries in turn until the returned function is called.
func (d *deployment) traffic(perSecond int) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-done:
				return
			case <-ticker.C:
				e := d.entries[number%len(d.entries)]
				go d.call(e, http.MethodPost, fmt.Sprintf("%s%016x", callerPrefix, 0x1000+number), job(step(2, 500, 300)))
			}
		}
	}()
	return func() { close(done) }
}

var errNoLeader = errors.New("no entry leads")
