package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// randomSeed is the seed of the random scenario.
var randomSeed uint64

const (
	randomLength  = 50 * time.Second
	randomEntries = 4
)

// random plays a mix of all kinds of jobs under faults that a seed draws.
func random(sim *simulation, trouble bool) (broken []string, err error) {
	source := rand.New(rand.NewPCG(randomSeed, 3))
	sim.services = []map[string]any{{"name": "intake"}, {"name": "coating"}}
	policy := map[string]any{"advice": map[string]any{"decideMs": 20, "periodMs": 3, "validMs": 3000}}
	sim.addRoute("plain", "intake", 2, 0, nil)
	sim.addRoute("gang", "coating", 2, 1, nil)
	sim.addRoute("timed", "intake", 2, 1, nil)
	sim.addRoute("advised", "coating", 2, 0, policy)
	sim.addRoute("lasting", "intake", 4, 0, nil)
	if err = sim.begin(randomEntries, 6); err != nil {
		return nil, err
	}
	if err = sim.addWorkers("coating", 6, 64000, 262144); err != nil {
		return nil, err
	}
	c := newClient(sim)
	end := time.Now().Add(randomLength)
	var calls sync.WaitGroup
	calls.Go(func() { sim.randomFaults(rand.New(rand.NewPCG(randomSeed, 5)), end.Add(-8*time.Second), trouble) })
	for time.Now().Before(end) {
		of := randomJob(source)
		cancelAfter := time.Duration(0)
		if source.IntN(12) == 0 {
			cancelAfter = time.Duration(source.IntN(3000)) * time.Millisecond
		}
		calls.Go(func() {
			if c.submit(of) && cancelAfter > 0 {
				time.Sleep(cancelAfter)
				c.cancel(of)
			}
		})
		time.Sleep(time.Duration(30+source.IntN(160)) * time.Millisecond)
	}
	calls.Wait()
	time.Sleep(max(finishTime, time.Until(sim.calmAt().Add(finishTime))))
	if len(sim.judge.jobs) == 0 {
		return nil, errors.New("no job was sent")
	}
	return sim.judge.finish(c), nil
}

// randomJob draws a job.
func randomJob(source *rand.Rand) *job {
	of := &job{id: newID(), pool: "intake", attempts: 2}
	b := behaviour{WorkMS: int64(300 + source.IntN(1500))}
	if source.IntN(15) == 0 {
		b.Fails = 1
	}
	step := stepSpec{Count: 1 + source.IntN(8), CPU: 500 + source.IntN(8000), MemMB: 200 + source.IntN(8000), EstimateMS: int(b.WorkMS)}
	kind := source.IntN(12)
	switch {
	case kind < 4:
		of.path = "/plain/"
		second := step
		second.DependsOn, second.Count, second.AntiAffinity = []int{0}, 1+source.IntN(6), 1+source.IntN(2)
		if source.IntN(2) == 0 {
			step.Requirements = "a"
		}
		of.spec.Steps = []stepSpec{step, second}
	case kind < 7:
		of.path, of.pool = "/gang/", "coating"
		step.Gang, step.Checkpointing, step.Count = true, true, 2+source.IntN(10)
		b.WorkMS += 2000
		last := stepSpec{Count: 2, CPU: 500, MemMB: 100, EstimateMS: int(b.WorkMS), DependsOn: []int{0}, Checkpointing: true}
		of.spec.Steps = []stepSpec{step, last}
	case kind < 9:
		of.path = "/timed/"
		of.spec.Steps = []stepSpec{step}
		of.spec.RepeatCount, of.spec.IntervalMS = 1+source.IntN(5), int64(400+source.IntN(3000))
		of.spec.StartAtMS = time.Now().Add(time.Duration(source.IntN(5000)) * time.Millisecond).UnixMilli()
	case kind < 11:
		of.path, of.pool = "/advised/", "coating"
		step.advice = true
		second := step
		second.DependsOn = []int{0}
		of.spec.Steps = []stepSpec{step, second}
	default:
		of.path, of.attempts = "/lasting/", 4
		b.WorkMS, b.Fails = 0, 0
		of.spec.Steps = []stepSpec{{Count: 3, CPU: 1500, MemMB: 500, LongRunning: true, MayMiss: 1, AntiAffinity: 1}}
	}
	b.Note = of.id
	of.spec.Spec = encodeBehaviour(b)
	return of
}

// randomFaults brings about faults until a time.
func (s *simulation) randomFaults(source *rand.Rand, until time.Time, trouble bool) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(500+source.IntN(4500)) * time.Millisecond)
		if trouble {
			s.randomFault(source)
		}
	}
}

func (s *simulation) randomFault(source *rand.Rand) {
	e, w := s.entries[source.IntN(len(s.entries))], s.workers[source.IntN(len(s.workers))]
	if leader := s.leader(); leader != nil && source.IntN(3) > 0 {
		e = leader
	}
	lasts := time.Duration(1500+source.IntN(4000)) * time.Millisecond
	switch source.IntN(15) {
	case 0, 1:
		e.kill(lasts)
	case 2:
		e.freeze(lasts)
	case 3:
		e.term()
	case 4, 5:
		s.crashWorker(w, lasts, source.IntN(2) == 0)
	case 6:
		s.disturb(lasts, "%s is cut off", w.id)
		w.mutex.Lock()
		w.silentTo = time.Now().Add(lasts)
		w.mutex.Unlock()
	case 7:
		s.disturb(lasts+10*time.Second, "orders to workers are carried out late")
		s.setLate(0.3)
		time.AfterFunc(lasts, func() { s.setLate(0) })
	case 8:
		s.disturb(lasts, "the store turns %s away", e.name)
		e.faults.FailWithStatus(http.StatusServiceUnavailable)
		time.AfterFunc(lasts, func() { e.faults.FailWithStatus(0) })
	case 9:
		s.disturb(lasts, "the store is down")
		for _, each := range s.entries {
			each.faults.Hang(true)
		}
		time.AfterFunc(lasts, func() {
			for _, each := range s.entries {
				each.faults.Hang(false)
			}
		})
	case 11:
		s.drainWorker(w)
	case 12:
		s.shrink(w, lasts)
	case 13, 14:
		s.disturb(lasts, "%s is cut off from the store", e.name)
		e.faults.Hang(true)
		time.AfterFunc(lasts, func() { e.faults.Hang(false) })
	case 10:
		s.disturb(5*time.Second, "answers of the store to %s are lost", e.name)
		e.faults.DropResponses(1+source.IntN(4), time.Duration(source.IntN(2500))*time.Millisecond)
	}
}

func (s *simulation) setLate(share float64) {
	for _, w := range s.workers {
		w.mutex.Lock()
		w.lateShare = share
		w.mutex.Unlock()
	}
}

// drainWorker empties a worker and takes it away; another one comes on its machine.
func (s *simulation) drainWorker(w *worker) {
	w.mutex.Lock()
	old, skip := w.id, w.down || w.draining
	w.draining = w.draining || !skip
	w.mutex.Unlock()
	if skip {
		return
	}
	s.disturb(6*time.Second, "%s drains", old)
	s.store.Put("servers", old, w.record())
	time.AfterFunc(4*time.Second, func() {
		w.mutex.Lock()
		same := w.id == old && !w.down
		w.mutex.Unlock()
		if !same {
			return
		}
		w.crash()
		s.store.Delete("servers", old)
		time.AfterFunc(1500*time.Millisecond, func() {
			id := fmt.Sprintf("%s-%d", old[:5], time.Now().UnixNano()%100000)
			w.restart(id)
			s.store.Put("servers", id, w.record())
		})
	})
}

// shrink lets the room of a worker shrink for a time.
func (s *simulation) shrink(w *worker, lasts time.Duration) {
	w.mutex.Lock()
	shrunk := !w.shrunkAt.IsZero()
	if !shrunk {
		w.shrunkAt = time.Now()
		w.cpu /= 2
	}
	id := w.id
	w.mutex.Unlock()
	if shrunk {
		return
	}
	s.disturb(lasts, "the room of %s shrinks", id)
	s.store.Put("servers", id, w.record())
	time.AfterFunc(lasts+8*time.Second, func() {
		w.mutex.Lock()
		w.cpu *= 2
		w.shrunkAt = time.Time{}
		w.mutex.Unlock()
	})
}

// crashWorker lets a worker crash and starts it again, under its ID or a new one.
func (s *simulation) crashWorker(w *worker, away time.Duration, sameID bool) {
	w.mutex.Lock()
	old, down := w.id, w.down
	w.mutex.Unlock()
	if down {
		return
	}
	s.disturb(away, "%s crashes, same ID again: %t", old, sameID)
	w.crash()
	id := old
	if !sameID {
		id = fmt.Sprintf("%s-%d", old[:5], time.Now().UnixNano()%100000)
		time.AfterFunc(3*beatTime, func() { s.store.Delete("servers", old) })
	}
	time.AfterFunc(away, func() {
		w.restart(id)
		s.store.Put("servers", id, w.record())
	})
}
