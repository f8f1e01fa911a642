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
	// lostPause spaces attempts while the session to the slot home is being restored, within AnswerLimit.
	lostPause = 10 * time.Millisecond
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
	search := search{service: s, place: place{
		loan: s.nextLoan(), request: request, arrived: time.Now(), exclude: slices.Clone(request.Tried),
	}}
	for grant == nil && err == nil {
		if !s.config.Membership.MayServe() {
			return nil, isolated()
		}
		grant, err = search.step(ctx)
	}
	return grant, err
}

// search is the way of one request from slot home to slot home.
type search struct {
	service   *Service
	place     place
	silent    int       // slot homes that did not answer
	lostSince time.Time // first loss of the present slot home
}

// step asks one slot home, or the fallback; no grant and no error means that the search goes on.
func (c *search) step(ctx context.Context) (grant *acaciatally.Grant, err error) {
	s := c.service
	rg := s.circle.current()
	to := rg.first(c.place.request.Pool)
	if to == "" || c.silent >= maxSilent {
		c.silent = 0
		return s.fallBack(ctx, c.place.request)
	}
	l := s.open(to, c.place, "")
	if l == nil {
		return nil, unknownPool(string(c.place.request.Pool))
	}
	outcome, r := s.await(ctx, l, to, rg, c.place)
	switch outcome {
	case granted:
		return c.take(ctx, l, to, r.worker)
	case refusedByHome:
		return nil, r.refusal
	case noAnswer:
		c.passOver(to)
	case homeMoved:
		c.moveOn(ctx, to, r)
	case callerGone:
	}
	return nil, ctx.Err()
}

func (c *search) take(ctx context.Context, l lease, to acaciatally.EntryID, worker acaciatally.InstanceID) (*acaciatally.Grant, error) {
	if grant := c.service.take(l, to, c.place, worker); grant != nil {
		c.service.counts.waited.Update(time.Since(c.place.arrived).Seconds())
		return grant, nil
	}
	c.place.exclude = append(c.place.exclude, worker)
	sleep(ctx, retakePause)
	return nil, ctx.Err()
}

// passOver leaves a slot home out that did not answer.
func (c *search) passOver(to acaciatally.EntryID) {
	c.lostSince = time.Time{}
	c.service.circle.suspect(to)
	c.silent++
}

// moveOn prepares for the next slot home, or for the same one once its session is back within AnswerLimit.
func (c *search) moveOn(ctx context.Context, to acaciatally.EntryID, last reply) {
	switch {
	case last.moved:
		c.service.circle.suspect(to)
	case !last.lost:
		c.lostSince = time.Time{}
	case c.lostSince.IsZero():
		c.lostSince = time.Now()
		sleep(ctx, lostPause)
	case time.Since(c.lostSince) < c.service.config.AnswerLimit:
		sleep(ctx, lostPause)
	default:
		c.passOver(to)
	}
}

func isolated() *acaciatally.Refusal {
	return &acaciatally.Refusal{
		Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable, Reason: "this entry has no fresh view", RetryAfter: time.Second,
	}
}

// await waits for the slot home's final reply. It gives up the place when the caller leaves, when the slot home does not answer in
// time, and when another entry becomes the slot home.
func (s *Service) await(ctx context.Context, l lease, to acaciatally.EntryID, rg *ring, p place) (verdict, reply) {
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
			if rg.first(p.request.Pool) != to {
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
	breaks   int // of the lease at the present slot home, in a row
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
