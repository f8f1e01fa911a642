package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	gangMembers = 4
	gangWork    = 4 * time.Second
	outage      = 4500 * time.Millisecond // of the store
	outageLead  = 300 * time.Millisecond  // from the begin of the outage to the end of the gang
	crashDelay  = 1200 * time.Millisecond // from the end of the gang to the crash
	crashTime   = 4500 * time.Millisecond
)

// gangEnd lets a gang end right after the store has gone down for all entries, and then lets a worker crash whose end of the gang is not acknowledged.
func gangEnd(sim *simulation, trouble bool) (broken []string, err error) {
	sim.services = []map[string]any{{"name": "intake"}}
	sim.addRoute("gang", "intake", 2, 0, nil)
	if err = sim.begin(3, 6); err != nil {
		return nil, err
	}
	c := newClient(sim)
	of := &job{id: newID(), path: "/gang/", pool: "intake", attempts: 2, spec: jobSpec{
		Spec: encodeBehaviour(behaviour{WorkMS: gangWork.Milliseconds()}),
		Steps: []stepSpec{{
			Count: gangMembers, CPU: 8000, MemMB: 1000, EstimateMS: int(gangWork.Milliseconds()), Gang: true, AntiAffinity: 1,
		}},
	}}
	if !c.submit(of) {
		return nil, errors.New("the job was not accepted in calm")
	}
	worksFrom, err := sim.awaitGang(of)
	if err != nil {
		return nil, err
	}
	ends := worksFrom.Add(gangWork)
	if trouble {
		time.Sleep(time.Until(ends.Add(-outageLead)))
		sim.disturb(outage, "the store answers 503 to all")
		sim.refuseAll(http.StatusServiceUnavailable)
		time.AfterFunc(outage, func() { sim.refuseAll(0) })
		time.Sleep(time.Until(ends.Add(crashDelay)))
		if w := sim.unacknowledged(of); w != nil {
			sim.crashWorker(w, crashTime, true)
		}
		time.Sleep(time.Until(sim.calmAt()))
	}
	time.Sleep(finishTime)
	return sim.judge.finish(c), nil
}

func (s *simulation) refuseAll(status int) {
	for _, e := range s.entries {
		e.faults.FailWithStatus(status)
	}
}

// awaitGang waits until all members of the gang are present, and returns since when they work.
func (s *simulation) awaitGang(of *job) (since time.Time, err error) {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		working := 0
		for _, w := range s.workers {
			w.mutex.Lock()
			for _, r := range w.running {
				if r.task[:len(of.id)] == of.id && !r.workFrom.IsZero() {
					since = r.workFrom
					working++
				}
			}
			w.mutex.Unlock()
		}
		if working == of.spec.Steps[0].Count {
			return since, nil
		}
	}
	return since, errors.New("the gang does not work in calm")
}

// unacknowledged returns the worker on which the end of a run of the job is not acknowledged, or nil if there is none.
func (s *simulation) unacknowledged(of *job) (found *worker) {
	s.judge.mutex.Lock()
	defer s.judge.mutex.Unlock()
	for index := range of.spec.Steps[0].Count {
		for _, entry := range s.judge.runs[fmt.Sprintf("%s.0.0.%d", of.id, index)] {
			acknowledged := "not acknowledged"
			if !entry.ackedAt.IsZero() {
				acknowledged = "acknowledged"
			}
			s.record("%s#%d on %s: %s, %s", entry.task, entry.attempt, entry.workerID, entry.how, acknowledged)
			if entry.how == "done" && entry.ackedAt.IsZero() {
				found = entry.worker
			}
		}
	}
	return found
}
