package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	firstRoutes  = 16   // routes of the first configuration
	addedRoutes  = 1100 // routes that one change of the configuration adds
	taskWork     = 25 * time.Second
	submitPeriod = 12 * time.Millisecond
)

// manyQueues lets the configuration grow to more than a thousand routes, hands one job in on each, and kills the leader while their tasks run.
func manyQueues(sim *simulation, trouble bool) (broken []string, err error) {
	sim.services = []map[string]any{{"name": "intake"}}
	for i := range firstRoutes {
		sim.addRoute(fmt.Sprintf("q%04d", i), "intake", 2, 0, nil)
	}
	if err = sim.begin(3, 6); err != nil {
		return nil, err
	}
	for range addedRoutes {
		sim.addRoute(fmt.Sprintf("q%04d", len(sim.routes)), "intake", 2, 0, nil)
	}
	sim.configure()
	time.Sleep(3 * time.Second)
	c := newClient(sim)
	jobs := make([]*job, 0, len(sim.routes))
	var calls sync.WaitGroup
	for i := range sim.routes {
		of := &job{
			id: newID(), path: fmt.Sprintf("/q%04d/", i), pool: "intake", attempts: 2,
			spec: jobSpec{
				Spec:  encodeBehaviour(behaviour{WorkMS: taskWork.Milliseconds()}),
				Steps: []stepSpec{{Count: 1, CPU: 100, MemMB: 64, EstimateMS: int(taskWork.Milliseconds())}},
			},
		}
		jobs = append(jobs, of)
		calls.Go(func() { c.submit(of) })
		time.Sleep(submitPeriod)
	}
	calls.Wait()
	for _, of := range jobs {
		if of.acceptedAt.IsZero() {
			return nil, errors.New("a job was not accepted in calm")
		}
	}
	submitted := time.Now()
	time.Sleep(3 * time.Second)
	if trouble {
		leader := sim.leader()
		if leader == nil {
			return nil, errors.New("no entry leads")
		}
		leader.kill(3500 * time.Millisecond)
	}
	time.Sleep(time.Until(submitted.Add(taskWork + finishTime)))
	return sim.judge.finish(c), nil
}

// begin writes the first configuration, starts the workers of the pool intake and the entries, and waits until an entry leads.
func (s *simulation) begin(entries, workers int) error {
	s.configure()
	if err := s.serve(s.subnet+".2:8621", s.advice); err != nil {
		return err
	}
	if err := s.addWorkers("intake", workers, 64000, 262144); err != nil {
		return err
	}
	for i := range entries {
		if err := s.addEntry(i + 1); err != nil {
			return err
		}
	}
	go s.beat()
	go s.checkReady()
	time.Sleep(4 * time.Second)
	if s.leader() == nil {
		return errors.New("no entry leads after the start")
	}
	return nil
}

// finish asks for the states of all jobs, and returns what is broken. A job that has not ended is lost if none of its runs is at work for 3 s although
// under half of the capacity of its workers is in use.
func (j *judge) finish(c *client) []string {
	for _, of := range j.unfinished() {
		status := c.state(of)
		j.sim.record("GET %s -> %d %s", of.path+of.id, status, of.state)
	}
	left := j.unfinished()
	capacity := j.sim.capacity()
	j.mutex.Lock()
	lastAtWork := map[string]bool{}
	for _, of := range left {
		lastAtWork[of.id] = j.atWork(of.id) || j.busy(of.pool, capacity)
	}
	j.mutex.Unlock()
	deadline := time.Now().Add(3 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
		capacity = j.sim.capacity()
		j.mutex.Lock()
		for _, of := range left {
			lastAtWork[of.id] = lastAtWork[of.id] || j.atWork(of.id) || j.busy(of.pool, capacity)
		}
		j.mutex.Unlock()
	}
	for _, of := range left {
		c.state(of)
	}
	still := j.unfinished()
	j.mutex.Lock()
	defer j.mutex.Unlock()
	lost := 0
	for _, of := range left {
		if !lastAtWork[of.id] && slices.Contains(still, of) && !of.waitsForItsTime() {
			if lost++; lost <= 10 {
				j.broken("LOST", "job %s%s was accepted, is %q, and has had nothing running for 3 s while the workers have room", of.path, of.id, of.state)
			}
		}
	}
	if lost > 10 {
		j.broken("LOST", "so have %d jobs in all", lost)
	}
	return j.broke
}

// waitsForItsTime reports whether an occurrence of the job was not due 4 s ago.
func (of *job) waitsForItsTime() bool {
	last := time.UnixMilli(of.spec.StartAtMS + int64(of.spec.RepeatCount-1)*of.spec.IntervalMS)
	return of.spec.RepeatCount > 0 && time.Since(last) < 4*time.Second
}

// capacity returns the processors of the workers of each pool that are up.
func (s *simulation) capacity() map[string]int {
	total := map[string]int{}
	for _, w := range s.workers {
		w.mutex.Lock()
		if !w.down {
			total[w.pool] += w.cpu
		}
		w.mutex.Unlock()
	}
	return total
}

// busy reports whether half of the processors of a pool's workers are in use, or more. The mutex is held.
func (j *judge) busy(pool string, capacity map[string]int) bool {
	used := 0
	for w, entries := range j.live {
		for entry := range entries {
			if _, step := j.find(entry.task); w.pool == pool && step != nil && entry.endedAt.IsZero() {
				used += step.CPU
			}
		}
	}
	return 2*used >= capacity[pool]
}

// atWork reports whether a run of the job is at work. The mutex is held.
func (j *judge) atWork(id string) bool {
	for _, entries := range j.live {
		for entry := range entries {
			if entry.endedAt.IsZero() && len(entry.task) > len(id) && entry.task[:len(id)] == id {
				return true
			}
		}
	}
	return false
}
