package slot

import (
	"context"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/peer"
	"github.com/acaciatally/acaciatally/peer/peerpb"
	"github.com/acaciatally/acaciatally/queue"
)

// lease is one slot, or the place in the queue for it, at a slot home.
type lease interface {
	// replies delivers the slot home's replies; the last one may be that the slot home was lost.
	replies() <-chan reply
	// end returns the place or the slot; the zero result tells that the slot was not used. Later calls do nothing.
	end(result acaciatally.AttemptResult)
	// move tells that another slot home accounts for the slot now. This one goes on counting it for a while, so that it grants the
	// slot to nobody else before its waiting requests have moved too.
	move()
	// broken is closed when the slot home no longer accounts for the slot.
	broken() <-chan struct{}
}

// localLease is a lease at a slot home in this process.
type localLease struct {
	home   *home
	ticket *ticket
	once   sync.Once
}

func (l *localLease) replies() <-chan reply   { return l.ticket.replies }
func (l *localLease) broken() <-chan struct{} { return l.home.closed }

func (l *localLease) end(result acaciatally.AttemptResult) {
	l.once.Do(func() { l.home.send(event{kind: released, ticket: l.ticket, result: result}) })
}

func (l *localLease) move() {
	l.once.Do(func() { l.home.send(event{kind: unheard, ticket: l.ticket}) })
}

// remoteLease is a lease over one stream to the slot home.
type remoteLease struct {
	service *Service
	answers chan reply
	done    chan struct{}
	cancel  context.CancelFunc

	mu     sync.Mutex
	stream *peer.Stream
	ended  bool
}

func (l *remoteLease) replies() <-chan reply   { return l.answers }
func (l *remoteLease) broken() <-chan struct{} { return l.done }

// end sends the release without blocking the caller.
func (l *remoteLease) end(result acaciatally.AttemptResult) {
	l.finish(wireRelease(result))
}

func (l *remoteLease) move() {
	l.finish(&peerpb.SlotCall{Call: &peerpb.SlotCall_Release{Release: &peerpb.SlotRelease{Moved: true}}})
}

// finish sends the last message and ends the stream; when it cannot be sent, the slot home frees the slot after unheardTerm.
func (l *remoteLease) finish(last *peerpb.SlotCall) {
	l.mu.Lock()
	stream, again := l.stream, l.ended
	l.ended = true
	l.mu.Unlock()
	if again {
		return
	}
	if stream == nil {
		l.cancel()
		return
	}
	sent := l.service.spawn(func(context.Context) {
		defer l.cancel()
		defer stream.Close()
		_ = stream.Send(last)
	})
	if !sent {
		stream.Close()
		l.cancel()
	}
}

// attach gives the lease its stream, unless the lease has ended meanwhile.
func (l *remoteLease) attach(stream *peer.Stream) (attached bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream = stream
	return !l.ended
}

func (l *remoteLease) run(ctx context.Context, to acaciatally.EntryID, kind peer.Kind, first *peerpb.SlotCall) {
	defer close(l.done)
	defer l.answer(reply{lost: true})
	bounded, cancel := context.WithTimeout(ctx, l.service.config.AnswerLimit)
	defer cancel()
	stream, err := l.service.sessions.Open(bounded, to, kind)
	if err != nil {
		return
	}
	defer stream.Close()
	defer context.AfterFunc(ctx, stream.Close)()
	if !l.attach(stream) || stream.Send(first) != nil {
		return
	}
	for {
		var answer peerpb.SlotReply
		if err = stream.Receive(&answer); err != nil {
			return
		}
		l.answer(readReply(&answer))
	}
}

func (l *remoteLease) answer(r reply) {
	select {
	case l.answers <- r:
	default: // a slot home sends at most the notice and one final reply
	}
}

// place is what a request needs at a slot home.
type place struct {
	loan    string // identifies the slot across slot homes
	request acaciatally.Request
	arrived time.Time
	exclude []acaciatally.InstanceID
}

// open asks the slot home for a slot, or reports the held worker when one is named; it returns nil when the service does not run.
func (s *Service) open(to acaciatally.EntryID, p place, worker acaciatally.InstanceID) lease {
	if to == s.config.Self {
		return s.openLocal(p, worker)
	}
	kind, call := peer.Slot, &peerpb.SlotCall{Call: &peerpb.SlotCall_Request{Request: s.wireRequest(p)}}
	if worker != "" {
		kind = peer.Held
		call.Call = &peerpb.SlotCall_Held{Held: &peerpb.SlotHeld{Request: s.wireRequest(p), Worker: string(worker)}}
	}
	l := &remoteLease{service: s, answers: make(chan reply, replyLength), done: make(chan struct{})}
	own, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	started := s.spawn(func(ctx context.Context) {
		defer cancel()
		defer context.AfterFunc(ctx, cancel)()
		l.run(own, to, kind, call)
	})
	if !started {
		cancel()
		return nil
	}
	return l
}

func (s *Service) openLocal(p place, worker acaciatally.InstanceID) lease {
	serving := s.homeOf(p.request.Pool)
	if serving == nil {
		return nil
	}
	t := newTicket(queue.Item{
		Team: p.request.Team, Urgency: p.request.Urgency, Deadline: p.request.Deadline,
		Bytes: int64(len(p.request.Body)), DataCentre: s.config.DataCentre, Idempotent: p.request.Idempotent,
	})
	t.retry, t.exclude, t.loan = p.request.Retry, p.exclude, p.loan
	e := event{kind: asked, ticket: t}
	if worker != "" {
		e = event{kind: reportedHeld, ticket: t, worker: worker}
	}
	if !serving.send(e) {
		return nil
	}
	return &localLease{home: serving, ticket: t}
}

func (s *Service) wireRequest(p place) *peerpb.SlotRequest {
	request := &peerpb.SlotRequest{
		Id: p.loan, Pool: string(p.request.Pool), Team: string(p.request.Team), Urgency: int32(p.request.Urgency),
		RemainingUs: time.Until(p.request.Deadline).Microseconds(), WaitedUs: time.Since(p.arrived).Microseconds(),
		Bytes: int64(len(p.request.Body)), DataCentre: string(s.config.DataCentre), Idempotent: p.request.Idempotent,
		Retry: p.request.Retry,
	}
	for _, worker := range p.exclude {
		request.Exclude = append(request.Exclude, string(worker))
	}
	return request
}

func wireRelease(result acaciatally.AttemptResult) *peerpb.SlotCall {
	return &peerpb.SlotCall{Call: &peerpb.SlotCall_Release{Release: &peerpb.SlotRelease{
		Outcome: string(result.Outcome), Status: int32(result.Status), Refused: result.Refused, CutOff: result.CutOff,
		ServiceTimeUs: result.ServiceTime.Microseconds(),
	}}}
}

func readReply(answer *peerpb.SlotReply) reply {
	switch {
	case answer.GetQueued() != nil:
		return reply{queued: true}
	case answer.GetGrant() != nil:
		return reply{worker: acaciatally.InstanceID(answer.GetGrant().Worker)}
	case answer.GetRefusal() == nil:
		return reply{lost: true}
	}
	refusal := answer.GetRefusal()
	if refusal.Moved {
		return reply{moved: true}
	}
	return reply{refusal: &acaciatally.Refusal{
		Outcome: acaciatally.NotRun, Status: int(refusal.Status), Reason: refusal.Reason,
		RetryAfter: time.Duration(refusal.RetryAfterMs) * time.Millisecond,
	}}
}
