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
	// maxHomeTimeouts is the number of slot homes that may fail to reply before the fallback is used.
	maxHomeTimeouts = 2
	// unusableGrantDelay is the delay before the next attempt after a grant that this entry's view forbids; the slot home may still
	// have an older view.
	unusableGrantDelay = 20 * time.Millisecond
	// reconnectDelay is the delay between attempts while the session to the slot home is being restored, within ReplyTimeout.
	reconnectDelay = 10 * time.Millisecond
	// fallbackTimeout bounds one wait for the fallback, after which the slot homes are tried again.
	fallbackTimeout = 500 * time.Millisecond
)

// homeResult is the result of one request to a slot home.
type homeResult int

const (
	resultGranted homeResult = iota
	resultRefused
	resultTimeout // no reply within ReplyTimeout
	resultHomeChanged
	resultCancelled
)

// Acquire waits for a slot until ctx ends. It fails with *acaciatally.Refusal when the request is refused, or with the error of ctx.
func (s *Service) Acquire(ctx context.Context, request acaciatally.Request) (grant *acaciatally.Grant, err error) {
	acquiring := acquisition{service: s, request: acquireRequest{
		slotID: s.nextSlotID(), callerRequest: request, arrivedAt: time.Now(), exclude: slices.Clone(request.AttemptedWorkers),
	}}
	for grant == nil && err == nil {
		if !s.config.Membership.MayServe() {
			return nil, noFreshViewRefusal()
		}
		grant, err = acquiring.attempt(ctx)
	}
	return grant, err
}

// acquisition is the progress of one call of Acquire, which may try several slot homes.
type acquisition struct {
	service   *Service
	request   acquireRequest
	timeouts  int       // slot homes that did not reply in time, since the last use of the fallback
	lostSince time.Time // first loss of the connection to the current slot home; zero if not lost
}

// attempt tries one slot home, or the fallback. If it returns neither a grant nor an error, the caller should try again.
func (a *acquisition) attempt(ctx context.Context) (grant *acaciatally.Grant, err error) {
	s := a.service
	candidates := s.selector.current()
	to := candidates.home(a.request.callerRequest.Pool)
	if to == "" || a.timeouts >= maxHomeTimeouts {
		a.timeouts = 0
		return s.acquireFallback(ctx, a.request.callerRequest)
	}
	handle := s.openHandle(to, a.request, "")
	if handle == nil {
		return nil, unknownPoolRefusal(string(a.request.callerRequest.Pool))
	}
	result, r := s.awaitReply(ctx, handle, to, candidates, a.request)
	switch result {
	case resultGranted:
		return a.accept(ctx, handle, to, r.worker)
	case resultRefused:
		return nil, r.refusal
	case resultTimeout:
		a.skipHome(to)
	case resultHomeChanged:
		a.handleHomeChange(ctx, to, r)
	case resultCancelled:
	}
	return nil, ctx.Err()
}

func (a *acquisition) accept(
	ctx context.Context, handle slotHandle, to acaciatally.EntryID, worker acaciatally.InstanceID,
) (*acaciatally.Grant, error) {
	if grant := a.service.accept(handle, to, a.request, worker); grant != nil {
		a.service.metrics.waitTime.Update(time.Since(a.request.arrivedAt).Seconds())
		return grant, nil
	}
	a.request.exclude = append(a.request.exclude, worker)
	acaciatally.Sleep(ctx, unusableGrantDelay)
	return nil, ctx.Err()
}

// skipHome excludes a slot home that did not reply.
func (a *acquisition) skipHome(to acaciatally.EntryID) {
	a.lostSince = time.Time{}
	a.service.selector.suspect(to)
	a.timeouts++
}

// handleHomeChange prepares the next attempt: at another slot home, or at the same one if its session is restored within ReplyTimeout.
func (a *acquisition) handleHomeChange(ctx context.Context, to acaciatally.EntryID, last reply) {
	switch {
	case last.moved:
		a.service.selector.suspect(to)
	case !last.lost:
		a.lostSince = time.Time{}
	case a.lostSince.IsZero():
		a.lostSince = time.Now()
		acaciatally.Sleep(ctx, reconnectDelay)
	case time.Since(a.lostSince) < a.service.config.ReplyTimeout:
		acaciatally.Sleep(ctx, reconnectDelay)
	default:
		a.skipHome(to)
	}
}

func noFreshViewRefusal() *acaciatally.Refusal {
	return &acaciatally.Refusal{
		Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable, Reason: "this entry has no fresh view", RetryAfter: time.Second,
	}
}

// awaitReply waits for the slot home's final reply. It withdraws the request when ctx ends, when the slot home does not reply within
// ReplyTimeout, and when another entry becomes the slot home.
func (s *Service) awaitReply(
	ctx context.Context, handle slotHandle, to acaciatally.EntryID, candidates *candidateSet, request acquireRequest,
) (homeResult, reply) {
	timer := time.NewTimer(s.config.ReplyTimeout)
	defer timer.Stop()
	replied := to == s.config.Self
	for {
		var timeout <-chan time.Time
		if !replied {
			timeout = timer.C
		}
		select {
		case <-ctx.Done():
			handle.release(acaciatally.AttemptResult{})
			return resultCancelled, reply{}
		case <-timeout:
			handle.release(acaciatally.AttemptResult{})
			return resultTimeout, reply{}
		case <-candidates.changed:
			candidates = s.selector.current()
			if candidates.home(request.callerRequest.Pool) != to {
				handle.release(acaciatally.AttemptResult{})
				return resultHomeChanged, reply{}
			}
		case <-handle.lost():
			return s.finalReplyAfterLoss(handle)
		case r := <-handle.replies():
			if result, final := classifyReply(r); final {
				if result != resultGranted {
					handle.release(acaciatally.AttemptResult{})
				}
				return result, r
			}
			replied = true
		}
	}
}

// finalReplyAfterLoss returns a refusal that arrived before the slot home was lost. A grant that arrived is dropped, because the slot
// home no longer accounts for its slot.
func (s *Service) finalReplyAfterLoss(handle slotHandle) (homeResult, reply) {
	defer handle.release(acaciatally.AttemptResult{})
	for {
		select {
		case r := <-handle.replies():
			if result, final := classifyReply(r); final && result == resultRefused {
				return result, r
			}
		default:
			return resultHomeChanged, reply{lost: true}
		}
	}
}

func classifyReply(r reply) (result homeResult, final bool) {
	switch {
	case r.queued:
		return 0, false
	case r.worker != "":
		return resultGranted, true
	case r.refusal != nil:
		return resultRefused, true
	default:
		return resultHomeChanged, true
	}
}

// accept records a granted slot as held and returns its grant. It returns nil when this entry's view forbids new work on the worker.
func (s *Service) accept(handle slotHandle, to acaciatally.EntryID, request acquireRequest, worker acaciatally.InstanceID) *acaciatally.Grant {
	s.beginUse(worker)
	member, allowed := s.mayUse(request.callerRequest.Pool, worker)
	if !allowed {
		s.endUse(worker)
		handle.release(acaciatally.AttemptResult{})
		s.metrics.unusable.Inc()
		return nil
	}
	slot := &heldSlot{service: s, request: request, worker: worker, handle: handle, home: to}
	s.mu.Lock()
	s.heldSlots[slot] = struct{}{}
	s.mu.Unlock()
	s.metrics.recordGrant(to == s.config.Self)
	return &acaciatally.Grant{Worker: worker, Address: member.Address, Release: slot.release}
}

// acquireFallback waits up to fallbackTimeout for the fallback. If it returns neither a grant nor an error, the slot homes
// should be tried again.
func (s *Service) acquireFallback(ctx context.Context, request acaciatally.Request) (grant *acaciatally.Grant, err error) {
	s.metrics.fallback.Inc()
	bounded, cancel := context.WithTimeout(ctx, fallbackTimeout)
	defer cancel()
	grant, err = s.config.Fallback.Acquire(bounded, request)
	switch {
	case err == nil:
		return s.acceptFallback(grant, request.Pool), nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case errors.Is(err, context.DeadlineExceeded):
		return nil, nil
	}
	return nil, err
}

// acceptFallback records the use of a worker granted by the fallback. It returns nil when this entry's view has come to forbid new work
// on the worker.
func (s *Service) acceptFallback(fallbackGrant *acaciatally.Grant, pool acaciatally.PoolName) *acaciatally.Grant {
	s.beginUse(fallbackGrant.Worker)
	var once sync.Once
	grant := &acaciatally.Grant{Worker: fallbackGrant.Worker, Address: fallbackGrant.Address, Release: func(result acaciatally.AttemptResult) {
		once.Do(func() {
			fallbackGrant.Release(result)
			s.endUse(fallbackGrant.Worker)
		})
	}}
	if _, allowed := s.mayUse(pool, fallbackGrant.Worker); !allowed {
		grant.Release(acaciatally.AttemptResult{})
		return nil
	}
	return grant
}

// heldSlot is a slot that this entry holds.
type heldSlot struct {
	service *Service
	request acquireRequest
	worker  acaciatally.InstanceID

	mu                sync.Mutex
	handle            slotHandle
	home              acaciatally.EntryID
	released          bool
	result            acaciatally.AttemptResult
	consecutiveLosses int // of the handle at the current slot home
}

// release returns the slot with the attempt's result. Later calls do nothing.
func (s *heldSlot) release(result acaciatally.AttemptResult) {
	s.mu.Lock()
	alreadyReleased, current := s.released, s.handle
	s.released, s.result = true, result
	s.mu.Unlock()
	if alreadyReleased {
		return
	}
	current.release(result)
	s.service.mu.Lock()
	delete(s.service.heldSlots, s)
	s.service.mu.Unlock()
	s.service.endUse(s.worker)
}
