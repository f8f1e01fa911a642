package slot

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// maxSilent is the number of slot homes that may fail to answer before the fallback is used.
	maxSilent = 2
	// retakePause spaces attempts after a grant that this entry may not use, until the slot home has the newer view too.
	retakePause = 20 * time.Millisecond
	// fallbackTerm bounds one wait in the fallback, after which the slot homes are asked again.
	fallbackTerm = 500 * time.Millisecond
)

// verdict is how one attempt at a slot home ended.
type verdict int

const (
	granted verdict = iota
	refusedByHome
	noAnswer // within AnswerLimit
	homeMoved
	callerGone
)

// Acquire waits for a slot until ctx ends; it fails with *acaciatally.Refusal when the request is turned away.
func (s *Service) Acquire(ctx context.Context, request acaciatally.Request) (grant *acaciatally.Grant, err error) {
	p := place{request: request, arrived: time.Now(), exclude: slices.Clone(request.Tried)}
	silent := 0
	for {
		if !s.config.Membership.MayServe() {
			return nil, isolated()
		}
		to, rg := s.pickHome(request.Pool)
		if to == "" || silent >= maxSilent {
			if grant, err = s.fallBack(ctx, p.request); grant != nil || err != nil {
				return grant, err
			}
			silent = 0
			continue
		}
		l := s.open(to, p, "")
		if l == nil {
			return nil, unknownPool(string(request.Pool))
		}
		outcome, r := s.await(ctx, l, to, rg, request.Pool)
		switch outcome {
		case callerGone:
			return nil, ctx.Err()
		case refusedByHome:
			return nil, r.refusal
		case noAnswer:
			s.suspect(to)
			silent++
		case homeMoved:
			if r.moved || r.lost {
				s.suspect(to)
			}
		case granted:
			if grant = s.take(l, to, p, r.worker); grant != nil {
				s.counts.waited.Update(time.Since(p.arrived).Seconds())
				return grant, nil
			}
			p.exclude = append(p.exclude, r.worker)
			if !sleep(ctx, retakePause) {
				return nil, ctx.Err()
			}
		}
	}
}

func isolated() *acaciatally.Refusal {
	return &acaciatally.Refusal{
		Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable, Reason: "this entry has no fresh view", RetryAfter: time.Second,
	}
}

// pickHome returns the first slot home in rendezvous order that is not suspected.
func (s *Service) pickHome(pool acaciatally.PoolName) (acaciatally.EntryID, *ring) {
	rg := s.circle.current()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, candidate := range rg.homes(pool) {
		until, suspected := s.suspects[candidate]
		if suspected && !now.Before(until) {
			delete(s.suspects, candidate)
			suspected = false
		}
		if !suspected {
			return candidate, rg
		}
	}
	return "", rg
}

func (s *Service) suspect(entry acaciatally.EntryID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry != s.config.Self {
		s.suspects[entry] = time.Now().Add(s.config.SuspectTerm)
	}
}

// await waits for the slot home's final reply. It gives up the place when the caller leaves, when the slot home does not answer in
// time, and when another entry becomes the slot home.
func (s *Service) await(ctx context.Context, l lease, to acaciatally.EntryID, rg *ring, pool acaciatally.PoolName) (verdict, reply) {
	timer := time.NewTimer(s.config.AnswerLimit)
	defer timer.Stop()
	answered := to == s.config.Self
	for {
		var unanswered <-chan time.Time
		if !answered {
			unanswered = timer.C
		}
		select {
		case <-ctx.Done():
			l.end(acaciatally.AttemptResult{})
			return callerGone, reply{}
		case <-unanswered:
			l.end(acaciatally.AttemptResult{})
			return noAnswer, reply{}
		case <-rg.changed:
			rg = s.circle.current()
			if order := rg.homes(pool); len(order) == 0 || order[0] != to {
				l.end(acaciatally.AttemptResult{})
				return homeMoved, reply{}
			}
		case <-l.broken():
			return s.lastReply(l)
		case r := <-l.replies():
			if outcome, final := judge(r); final {
				if outcome != granted {
					l.end(acaciatally.AttemptResult{})
				}
				return outcome, r
			}
			answered = true
		}
	}
}

// lastReply returns a final reply that arrived before the slot home was lost; a grant counts no longer.
func (s *Service) lastReply(l lease) (verdict, reply) {
	defer l.end(acaciatally.AttemptResult{})
	for {
		select {
		case r := <-l.replies():
			if outcome, final := judge(r); final && outcome == refusedByHome {
				return outcome, r
			}
		default:
			return homeMoved, reply{lost: true}
		}
	}
}

func judge(r reply) (outcome verdict, final bool) {
	switch {
	case r.queued:
		return 0, false
	case r.worker != "":
		return granted, true
	case r.refusal != nil:
		return refusedByHome, true
	default:
		return homeMoved, true
	}
}

// take turns a grant into the right to use the worker, unless this entry's own view forbids it.
func (s *Service) take(l lease, to acaciatally.EntryID, p place, worker acaciatally.InstanceID) *acaciatally.Grant {
	s.use(worker)
	member, allowed := s.usable(p.request.Pool, worker)
	if !allowed {
		s.leave(worker)
		l.end(acaciatally.AttemptResult{})
		s.counts.unusable.Inc()
		return nil
	}
	taken := &loan{service: s, place: p, worker: worker, lease: l, home: to}
	s.mu.Lock()
	s.loans[taken] = struct{}{}
	s.mu.Unlock()
	s.counts.taken(to == s.config.Self)
	return &acaciatally.Grant{Worker: worker, Address: member.Address, Release: taken.release}
}

// fallBack tries the fallback for a while; no grant and no error means that the slot homes should be asked again.
func (s *Service) fallBack(ctx context.Context, request acaciatally.Request) (grant *acaciatally.Grant, err error) {
	s.counts.fallback.Inc()
	bounded, cancel := context.WithTimeout(ctx, fallbackTerm)
	defer cancel()
	grant, err = s.config.Fallback.Acquire(bounded, request)
	switch {
	case err == nil:
		return s.takeFallback(grant, request.Pool), nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case errors.Is(err, context.DeadlineExceeded):
		return nil, nil
	}
	return nil, err
}

// takeFallback counts the use of a worker granted by the fallback; no grant means that this entry's view forbids it by now.
func (s *Service) takeFallback(inner *acaciatally.Grant, pool acaciatally.PoolName) *acaciatally.Grant {
	s.use(inner.Worker)
	var once sync.Once
	grant := &acaciatally.Grant{Worker: inner.Worker, Address: inner.Address, Release: func(result acaciatally.AttemptResult) {
		once.Do(func() {
			inner.Release(result)
			s.leave(inner.Worker)
		})
	}}
	if _, allowed := s.usable(pool, inner.Worker); !allowed {
		grant.Release(acaciatally.AttemptResult{})
		return nil
	}
	return grant
}

// loan is a slot that this entry holds.
type loan struct {
	service *Service
	place   place
	worker  acaciatally.InstanceID

	mu       sync.Mutex
	lease    lease
	home     acaciatally.EntryID
	released bool
	result   acaciatally.AttemptResult
}

// release returns the slot with the attempt's result; later calls do nothing.
func (l *loan) release(result acaciatally.AttemptResult) {
	l.mu.Lock()
	again, current := l.released, l.lease
	l.released, l.result = true, result
	l.mu.Unlock()
	if again {
		return
	}
	current.end(result)
	l.service.mu.Lock()
	delete(l.service.loans, l)
	l.service.mu.Unlock()
	l.service.leave(l.worker)
}

func sleep(ctx context.Context, wait time.Duration) (finished bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
