package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Case 10: the leader is killed while its order for an upkeep has no answer. The next leader goes on with another machine, and the first order is
// carried out while that machine is down.

const (
	waveNumber = 1
	// firstLate and lastLate bound when an order without an answer is carried out; the pages say 2 to 12 s.
	firstLate = 2 * time.Second
	lastLate  = 12 * time.Second
	// restartDelay is how long a killed process is away.
	restartDelay = time.Second
	busyJobs     = 4
)

// lateOrder holds back the first order for an upkeep.
type lateOrder struct {
	d     *deployment
	mutex sync.Mutex
	taken bool
	sent  chan string // name of the entry that sent the order
}

// late returns a channel that is closed when the order is to be carried out: as soon as a machine of the wave is down, within the bounds of the
// pages, or else at their end.
func (o *lateOrder) late(path, machineID, holder string) <-chan struct{} {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.taken || path != "/-/machine-upkeep" {
		return nil
	}
	o.taken = true
	due := make(chan struct{})
	sentAt := time.Now()
	go func() {
		defer close(due)
		time.Sleep(firstLate)
		for time.Since(sentAt) < lastLate && !o.d.control.anyDown(waveNumber) {
			time.Sleep(20 * time.Millisecond)
		}
	}()
	o.d.record.printf("control: the order of %s for %s is held up", holder, machineID)
	o.sent <- holder
	return due
}

func playLateUpkeep(record *recorder, trouble bool) (broken bool, err error) {
	d, err := newDeployment(record, workload{
		duration: func(task string) time.Duration {
			if strings.HasPrefix(task, "00000000000000b") {
				return 8 * time.Second
			}
			return 300 * time.Millisecond
		},
		crashAfter: func(string) time.Duration { return 0 },
	})
	if err != nil {
		return false, err
	}
	defer d.close()
	held := &lateOrder{d: d, sent: make(chan string, 1)}
	if trouble {
		d.control.late = held.late
	}
	if err = d.start(4); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	machines := []string{}
	for _, m := range d.control.machines {
		machines = append(machines, m.id)
	}
	d.store.Put("op", fmt.Sprintf("wave/%d", waveNumber), map[string]any{"wave": waveNumber, "machines": machines, "durationS": 40, "maximum": 1})
	record.printf("operator: wave %d over %v, one at a time, in 40 s", waveNumber, machines)
	leader := d.leader()
	if leader == nil {
		return false, errNoLeader
	}
	if trouble {
		select {
		case holder := <-held.sent:
			if leader = d.leader(); leader == nil || leader.name != holder {
				return false, fmt.Errorf("the order came from %s, which does not lead", holder)
			}
		case <-time.After(15 * time.Second):
			return false, fmt.Errorf("no order for an upkeep")
		}
		restarted := make(chan error, 1)
		go func() { restarted <- leader.killAndRestart(restartDelay) }()
		defer func() { err = errors.Join(err, <-restarted) }()
	}
	d.busy(leader)
	for deadline := time.Now().Add(45 * time.Second); time.Now().Before(deadline) && len(d.control.begun()) < len(machines); {
		time.Sleep(100 * time.Millisecond)
	}
	return d.checkWave()
}

// busy submits jobs that fill one machine for some seconds, to an entry that is not the given one.
func (d *deployment) busy(not *entry) {
	for _, e := range d.entries {
		if e == not {
			continue
		}
		for number := range busyJobs {
			if status := d.submit(e, fmt.Sprintf("00000000000000b%d", number), job(step(1, workerCPU/busyJobs, 8000))); status != http.StatusOK {
				d.record.printf("client: the submission was not accepted")
			}
		}
		return
	}
}

// checkWave reports whether an upkeep began while as many machines of the wave as allowed were down for theirs.
func (d *deployment) checkWave() (broken bool, err error) {
	begun := d.control.begun()
	for _, u := range begun {
		if len(u.down) >= 1 {
			d.record.printf("rule: the upkeep of %s began while %v was down for its upkeep, with a maximum of 1", u.machine, u.down)
			broken = true
		}
	}
	if len(begun) == 0 {
		return false, fmt.Errorf("no upkeep began")
	}
	d.record.printf("%d upkeeps began", len(begun))
	return broken, nil
}
