package experiment

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/model"
)

const (
	slopeGrants = 5000
	slopeWarmUp = 200
)

// slopeWaves are the fleet sizes whose maintenance waves are run to completion.
var slopeWaves = []int{100, 300, 800}

// measureWaves measures the duration of a wave over the whole fleet, in simulated time, and the lower bound on it.
func (s *slopesRun) measureWaves() error {
	for _, workers := range slopeWaves {
		duration, bound, err := RollOut{}.runWave(s.ctx, model.NewSizedDeployment(workers), s.seed)
		if err != nil {
			return err
		}
		s.add("WaveSpan", workers, "Workers", duration.Seconds(), "s")
		s.add("WaveEarliestEnd", workers, "Workers", bound.Seconds(), "s")
	}
	return nil
}

// measureGrantTimes measures the CPU time of a slot grant and its release, in the requesting entry and the slot home together.
func (s *slopesRun) measureGrantTimes() error {
	for _, workers := range []int{workersPerPool, slopePoolWorkers, 400} {
		if err := s.measureGrantTimesOf(workers); err != nil {
			return err
		}
	}
	return nil
}

func (s *slopesRun) measureGrantTimesOf(workers int) error {
	g, err := startGroup(s.ctx, s.seed, 3, workers)
	if err != nil {
		return err
	}
	defer g.stop()
	requester, pool, err := g.waitForRemoteHome(s.ctx)
	if err != nil {
		return err
	}
	for _, origin := range []struct {
		measure string
		entry   *groupEntry
	}{{"RemoteGrantTime", requester}, {"LocalGrantTime", g.slotHome(requester, pool)}} {
		acquire := func(int) error { return g.acquire(s, origin.entry, pool) }
		if _, err = cpuTimePerRun(slopeWarmUp, acquire); err != nil {
			return err
		}
		micros, err := cpuTimePerRun(slopeGrants, acquire)
		if err != nil {
			return err
		}
		s.add(origin.measure, workers, "Workers", micros, "us")
	}
	return nil
}

// slotHome returns the entry that is the slot home of a pool according to the viewer.
func (g *group) slotHome(viewer *groupEntry, pool acaciatally.PoolName) *groupEntry {
	for _, m := range g.members {
		if m.slots.Self() == viewer.slots.Home(pool) {
			return m
		}
	}
	return viewer
}

func (g *group) acquire(s *slopesRun, from *groupEntry, pool acaciatally.PoolName) error {
	now := time.Now()
	for _, m := range g.members {
		m.membership.RecordHeadRead(now)
	}
	grant, err := from.slots.Acquire(s.ctx, acaciatally.Request{
		ID: "grant", Pool: pool, Team: "team", Urgency: acaciatally.Normal, Deadline: now.Add(time.Second),
	})
	if err == nil {
		grant.Release(acaciatally.AttemptResult{Status: 200, ServiceTime: time.Millisecond})
	}
	return err
}

// measureIdleEntries measures the cost of an entry without callers: Hello messages, CPU time, peer sessions and calls of the table
// service for membership.
func (s *slopesRun) measureIdleEntries() error {
	for _, entries := range slopeEntries {
		if err := s.measureIdleGroup(entries); err != nil {
			return err
		}
	}
	return nil
}

func (s *slopesRun) measureIdleGroup(entries int) error {
	before := memoryInUse()
	g, err := startGroup(s.ctx, s.seed, entries, workersPerPool)
	if err != nil {
		return err
	}
	defer g.stop()
	if !acaciatally.Sleep(s.ctx, helloWarmUp) {
		return s.ctx.Err()
	}
	memory := (memoryInUse() - before) / float64(entries)
	tableCalls, helloBytesBefore, helloMessagesBefore, start := g.table.counts(), g.counterSum(helloBytes), g.counterSum(helloMessages), time.Now()
	micros, err := cpuTimePerRun(1, func(int) error {
		acaciatally.Sleep(s.ctx, helloMeasureTime)
		return s.ctx.Err()
	})
	if err != nil {
		return err
	}
	duration := time.Since(start).Seconds()
	entrySeconds := duration * float64(entries)
	s.add("EntryHelloBytes", entries, "Entries", float64(g.counterSum(helloBytes)-helloBytesBefore)/entrySeconds, "B/s")
	s.add("EntryHelloMessages", entries, "Entries", float64(g.counterSum(helloMessages)-helloMessagesBefore)/entrySeconds, "messages/s")
	s.add("EntryIdleTime", entries, "Entries", micros/entrySeconds, "us/s")
	s.add("EntrySessionMemory", entries, "Entries", memory, "B")
	s.addCalls("Membership", entries, "Entries", g.table.counts().perUnitSince(tableCalls, duration), "s")
	return nil
}
