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

// slopeWaves are the fleets whose waves are run to their end.
var slopeWaves = []int{100, 300, 800}

// waves measures the length of a wave over the whole fleet in modelled time beside the bound on its earliest end.
func (s *slopes) waves() error {
	for _, workers := range slopeWaves {
		span, bound, err := RollOut{}.wave(s.ctx, model.Sized(workers), s.seed)
		if err != nil {
			return err
		}
		s.add("WaveSpan", workers, "Workers", span.Seconds(), "s")
		s.add("WaveEarliestEnd", workers, "Workers", bound.Seconds(), "s")
	}
	return nil
}

// grants measures the processor time of a grant and its release, in the asking entry and the slot home together.
func (s *slopes) grants() error {
	for _, workers := range []int{grantWorkers, slopePoolWorkers, 400} {
		if err := s.grantsOf(workers); err != nil {
			return err
		}
	}
	return nil
}

func (s *slopes) grantsOf(workers int) error {
	g, err := startGroup(s.ctx, s.seed, 3, workers)
	if err != nil {
		return err
	}
	defer g.stop()
	holder, pool, err := g.awaitRemote(s.ctx)
	if err != nil {
		return err
	}
	for _, asking := range []struct {
		measure string
		from    *member
	}{{"RemoteGrantTime", holder}, {"LocalGrantTime", g.home(holder, pool)}} {
		acquire := func(int) error { return g.acquire(s, asking.from, pool) }
		if _, err = timed(slopeWarmUp, acquire); err != nil {
			return err
		}
		micros, err := timed(slopeGrants, acquire)
		if err != nil {
			return err
		}
		s.add(asking.measure, workers, "Workers", micros, "us")
	}
	return nil
}

// home returns the entry that is the slot home of a pool in the view of another one.
func (g *group) home(in *member, pool acaciatally.PoolName) *member {
	for _, m := range g.members {
		if m.slots.Self() == in.slots.Home(pool) {
			return m
		}
	}
	return in
}

func (g *group) acquire(s *slopes, from *member, pool acaciatally.PoolName) error {
	now := time.Now()
	for _, m := range g.members {
		m.keeper.HeadRead(now)
	}
	grant, err := from.slots.Acquire(s.ctx, acaciatally.Request{
		ID: "grant", Pool: pool, Team: "team", Urgency: acaciatally.Normal, Deadline: now.Add(time.Second),
	})
	if err == nil {
		grant.Release(acaciatally.AttemptResult{Status: 200, ServiceTime: time.Millisecond})
	}
	return err
}

// groups measures what an entry without callers spends on the others: Hellos, sessions, and its row in the table service.
func (s *slopes) groups() error {
	for _, entries := range slopeEntries {
		if err := s.group(entries); err != nil {
			return err
		}
	}
	return nil
}

func (s *slopes) group(entries int) error {
	empty := heap()
	g, err := startGroup(s.ctx, s.seed, entries, grantWorkers)
	if err != nil {
		return err
	}
	defer g.stop()
	if !wait(s.ctx, helloWarmUp) {
		return s.ctx.Err()
	}
	memory := (heap() - empty) / float64(entries)
	table, bytes, messages, began := g.table.calls(), g.sent(helloBytes), g.sent(helloMessages), time.Now()
	micros, err := timed(1, func(int) error {
		wait(s.ctx, helloSpan)
		return s.ctx.Err()
	})
	if err != nil {
		return err
	}
	span := time.Since(began).Seconds()
	each := span * float64(entries)
	s.add("EntryHelloBytes", entries, "Entries", float64(g.sent(helloBytes)-bytes)/each, "B/s")
	s.add("EntryHelloMessages", entries, "Entries", float64(g.sent(helloMessages)-messages)/each, "messages/s")
	s.add("EntryIdleTime", entries, "Entries", micros/each, "us/s")
	s.add("EntrySessionMemory", entries, "Entries", memory, "B")
	s.addCalls("Membership", entries, "Entries", g.table.calls().since(table, span), "s")
	return nil
}
