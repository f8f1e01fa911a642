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

// slotHandle is the requesting side's handle to a ticket at a slot home: a queued request or a held slot.
type slotHandle interface {
	// replies returns the channel of the slot home's replies; the last one may report that the slot home was lost.
	replies() <-chan reply
	// release withdraws the request or returns the slot; the zero result means that the slot was not used. Later calls do nothing.
	release(result acaciatally.AttemptResult)
	// releaseMoved tells the slot home that another one accounts for the slot now. The slot stays allocated at this slot home for
	// lostHolderGrace, so that it is not granted to a request that has yet to move to the other slot home.
	releaseMoved()
	// lost returns a channel that is closed when the slot home no longer accounts for the slot.
	lost() <-chan struct{}
}

// localHandle is a handle to a ticket at a slot home in this process.
type localHandle struct {
	home   *home
	ticket *ticket
	once   sync.Once
}

func (h *localHandle) replies() <-chan reply { return h.ticket.replies }
func (h *localHandle) lost() <-chan struct{} { return h.home.closed }

func (h *localHandle) release(result acaciatally.AttemptResult) {
	h.once.Do(func() { h.home.send(event{kind: eventRelease, ticket: h.ticket, result: result}) })
}

func (h *localHandle) releaseMoved() {
	h.once.Do(func() { h.home.send(event{kind: eventHolderLost, ticket: h.ticket}) })
}

// remoteHandle is a handle to a ticket at a slot home in another entry, over a stream of its own.
type remoteHandle struct {
	service   *Service
	replyChan chan reply
	done      chan struct{}
	cancel    context.CancelFunc

	mu       sync.Mutex
	stream   *peer.Stream
	released bool
}

func (h *remoteHandle) replies() <-chan reply { return h.replyChan }
func (h *remoteHandle) lost() <-chan struct{} { return h.done }

// release sends the release without blocking the caller.
func (h *remoteHandle) release(result acaciatally.AttemptResult) {
	h.sendFinal(releaseToProto(result))
}

func (h *remoteHandle) releaseMoved() {
	h.sendFinal(&peerpb.SlotCall{Call: &peerpb.SlotCall_Release{Release: &peerpb.SlotRelease{Moved: true}}})
}

// sendFinal sends the last message and closes the stream. If the message is lost, the slot home reclaims the slot after lostHolderGrace.
func (h *remoteHandle) sendFinal(last *peerpb.SlotCall) {
	h.mu.Lock()
	stream, alreadyReleased := h.stream, h.released
	h.released = true
	h.mu.Unlock()
	if alreadyReleased {
		return
	}
	if stream == nil {
		h.cancel()
		return
	}
	sent := h.service.spawn(func(context.Context) {
		defer h.cancel()
		defer stream.Close()
		_ = stream.Send(last)
	})
	if !sent {
		stream.Close()
		h.cancel()
	}
}

// setStream stores the opened stream and reports whether the handle is still in use.
func (h *remoteHandle) setStream(stream *peer.Stream) (active bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stream = stream
	return !h.released
}

// run opens the stream, sends the first message and delivers the replies until the stream ends.
func (h *remoteHandle) run(ctx context.Context, to acaciatally.EntryID, kind peer.StreamKind, first *peerpb.SlotCall) {
	defer close(h.done)
	defer h.deliver(reply{lost: true})
	bounded, cancel := context.WithTimeout(ctx, h.service.config.ReplyTimeout)
	defer cancel()
	stream, err := h.service.sessions.Open(bounded, to, kind)
	if err != nil {
		return
	}
	defer stream.Close()
	defer context.AfterFunc(ctx, stream.Close)()
	if !h.setStream(stream) || stream.Send(first) != nil {
		return
	}
	for {
		var message peerpb.SlotReply
		if err = stream.Receive(&message); err != nil {
			return
		}
		h.deliver(replyFromProto(&message))
	}
}

func (h *remoteHandle) deliver(r reply) {
	select {
	case h.replyChan <- r:
	default: // only a faulty slot home sends more than a queued notice and one final reply
	}
}

// acquireRequest is a caller's request with what each slot home needs to know about it.
type acquireRequest struct {
	slotID        string // identifies the request and its slot at all slot homes
	callerRequest acaciatally.Request
	arrivedAt     time.Time
	exclude       []acaciatally.InstanceID
}

// openHandle requests a slot from the slot home, or reports a held slot of the worker if one is given. It returns nil when the service
// does not run, and when the slot home is in this process and the pool does not exist or the slot home has ended.
func (s *Service) openHandle(to acaciatally.EntryID, request acquireRequest, worker acaciatally.InstanceID) slotHandle {
	if to == s.config.Self {
		return s.openLocalHandle(request, worker)
	}
	kind, call := peer.StreamSlot, &peerpb.SlotCall{Call: &peerpb.SlotCall_Request{Request: s.requestToProto(request)}}
	if worker != "" {
		kind = peer.StreamHeldSlot
		call.Call = &peerpb.SlotCall_Held{Held: &peerpb.SlotHeld{Request: s.requestToProto(request), Worker: string(worker)}}
	}
	handle := &remoteHandle{service: s, replyChan: make(chan reply, replyBuffer), done: make(chan struct{})}
	streamCtx, cancel := context.WithCancel(context.Background())
	handle.cancel = cancel
	started := s.spawn(func(ctx context.Context) {
		defer cancel()
		defer context.AfterFunc(ctx, cancel)()
		handle.run(streamCtx, to, kind, call)
	})
	if !started {
		cancel()
		return nil
	}
	return handle
}

func (s *Service) openLocalHandle(request acquireRequest, worker acaciatally.InstanceID) slotHandle {
	localHome := s.localHome(request.callerRequest.Pool)
	if localHome == nil {
		return nil
	}
	t := newTicket(queue.Item{
		Team: request.callerRequest.Team, Urgency: request.callerRequest.Urgency, Deadline: request.callerRequest.Deadline,
		Bytes: int64(len(request.callerRequest.Body)), DataCentre: s.config.DataCentre, Idempotent: request.callerRequest.Idempotent,
	})
	t.retry, t.exclude, t.slotID = request.callerRequest.Retry, request.exclude, request.slotID
	e := event{kind: eventRequest, ticket: t}
	if worker != "" {
		e = event{kind: eventHeld, ticket: t, worker: worker}
	}
	if !localHome.send(e) {
		return nil
	}
	return &localHandle{home: localHome, ticket: t}
}

func (s *Service) requestToProto(request acquireRequest) *peerpb.SlotRequest {
	message := &peerpb.SlotRequest{
		Id: request.slotID, Pool: string(request.callerRequest.Pool), Team: string(request.callerRequest.Team),
		Urgency:     int32(request.callerRequest.Urgency),
		RemainingUs: time.Until(request.callerRequest.Deadline).Microseconds(), WaitedUs: time.Since(request.arrivedAt).Microseconds(),
		Bytes: int64(len(request.callerRequest.Body)), DataCentre: string(s.config.DataCentre), Idempotent: request.callerRequest.Idempotent,
		Retry: request.callerRequest.Retry,
	}
	for _, worker := range request.exclude {
		message.Exclude = append(message.Exclude, string(worker))
	}
	return message
}

func releaseToProto(result acaciatally.AttemptResult) *peerpb.SlotCall {
	return &peerpb.SlotCall{Call: &peerpb.SlotCall_Release{Release: &peerpb.SlotRelease{
		Outcome: string(result.Outcome), Status: int32(result.Status), Refused: result.Refused, CutOff: result.EndedByCaller,
		ServiceTimeUs: result.ServiceTime.Microseconds(),
	}}}
}

func replyFromProto(message *peerpb.SlotReply) reply {
	switch {
	case message.GetQueued() != nil:
		return reply{queued: true}
	case message.GetGrant() != nil:
		return reply{worker: acaciatally.InstanceID(message.GetGrant().Worker)}
	case message.GetRefusal() == nil:
		return reply{lost: true}
	}
	refusal := message.GetRefusal()
	if refusal.Moved {
		return reply{moved: true}
	}
	return reply{refusal: &acaciatally.Refusal{
		Outcome: acaciatally.NotRun, Status: int(refusal.Status), Reason: refusal.Reason,
		RetryAfter: time.Duration(refusal.RetryAfterMs) * time.Millisecond,
	}}
}
