package slot

import (
	"context"
	"net/http"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/peer"
	"github.com/acaciatally/acaciatally/peer/peerpb"
	"github.com/acaciatally/acaciatally/queue"
)

const (
	firstLimit = 5 * time.Second // time in which an opened stream must carry its request
	// maxRemaining bounds the deadlines that another entry may ask for, so that no stream stays for ever.
	maxRemaining = time.Hour
	// replyLength holds the notice that the request waits and the final reply.
	replyLength = 4
)

// serve serves one stream: one slot from the request to the release. A stream that breaks frees the place at once and the slot after
// unheardTerm.
func (s *Service) serve(_ context.Context, _ acaciatally.EntryID, stream *peer.Stream) {
	_ = stream.SetReceiveDeadline(time.Now().Add(firstLimit))
	var call peerpb.SlotCall
	if err := stream.Receive(&call); err != nil {
		return
	}
	request := call.GetRequest()
	if call.GetHeld() != nil {
		request = call.GetHeld().GetRequest()
	}
	if request == nil {
		return
	}
	serving := s.homeOf(acaciatally.PoolName(request.Pool))
	if serving == nil {
		_ = stream.Send(wireReply(reply{refusal: unknownPool(request.Pool)}, ""))
		return
	}
	t := ticketOf(request)
	_ = stream.SetReceiveDeadline(t.item.Deadline.Add(2 * heldGrace))
	first := event{kind: asked, ticket: t}
	if call.GetHeld() != nil {
		first = event{kind: reportedHeld, ticket: t, worker: acaciatally.InstanceID(call.GetHeld().Worker)}
	}
	if !serving.send(first) {
		_ = stream.Send(wireReply(reply{moved: true}, ""))
		return
	}
	if first.kind == reportedHeld || !s.firstReply(stream, serving, t) {
		serving.send(awaitRelease(stream, t))
		return
	}
	finished := make(chan struct{})
	if !s.spawn(func(context.Context) { s.secondReply(stream, t, finished) }) {
		close(finished)
	}
	serving.send(awaitRelease(stream, t))
	stream.Close()
	close(t.left)
	<-finished
}

// firstReply sends the first reply, which the home gives at once, and reports whether another one will follow.
func (s *Service) firstReply(stream *peer.Stream, serving *home, t *ticket) (more bool) {
	r := reply{moved: true}
	select {
	case r = <-t.replies:
	case <-serving.closed:
	}
	if stream.Send(wireReply(r, s.address(r.worker))) != nil {
		stream.Close()
		return false
	}
	return r.queued
}

// secondReply sends the final reply to a request that waited, unless the stream ends before.
func (s *Service) secondReply(stream *peer.Stream, t *ticket, finished chan<- struct{}) {
	defer close(finished)
	select {
	case r := <-t.replies:
		if stream.Send(wireReply(r, s.address(r.worker))) != nil {
			stream.Close()
		}
	case <-t.left:
	}
}

func (s *Service) address(worker acaciatally.InstanceID) string {
	if worker == "" {
		return ""
	}
	return s.config.State().Instances[worker].Address.String()
}

// awaitRelease returns how the stream ended. Each holder that is well ends its stream with a release.
func awaitRelease(stream *peer.Stream, t *ticket) event {
	var call peerpb.SlotCall
	if err := stream.Receive(&call); err != nil {
		return event{kind: unheard, ticket: t}
	}
	release := call.GetRelease()
	if release == nil || release.Moved {
		return event{kind: unheard, ticket: t}
	}
	return event{kind: released, ticket: t, result: readRelease(release)}
}

func readRelease(release *peerpb.SlotRelease) acaciatally.AttemptResult {
	return acaciatally.AttemptResult{
		Outcome: acaciatally.Outcome(release.Outcome), Status: int(release.Status), Refused: release.Refused, CutOff: release.CutOff,
		ServiceTime: max(0, time.Duration(release.ServiceTimeUs)*time.Microsecond),
	}
}

func ticketOf(request *peerpb.SlotRequest) *ticket {
	remaining := min(max(0, request.RemainingUs), maxRemaining.Microseconds())
	t := newTicket(queue.Item{
		Team: acaciatally.TeamName(request.Team), Urgency: acaciatally.Urgency(request.Urgency),
		Deadline: time.Now().Add(time.Duration(remaining) * time.Microsecond), Bytes: max(0, request.Bytes),
		DataCentre: acaciatally.DataCentre(request.DataCentre), Idempotent: request.Idempotent,
	})
	t.retry, t.loan = request.Retry, request.Id
	for _, worker := range request.Exclude {
		t.exclude = append(t.exclude, acaciatally.InstanceID(worker))
	}
	return t
}

func newTicket(item queue.Item) *ticket {
	if item.Urgency < 0 || item.Urgency >= acaciatally.UrgencyClasses {
		item.Urgency = acaciatally.Background
	}
	return &ticket{item: item, replies: make(chan reply, replyLength), left: make(chan struct{})}
}

func unknownPool(pool string) *acaciatally.Refusal {
	return &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: http.StatusNotFound, Reason: "no pool " + pool}
}

func wireReply(r reply, address string) *peerpb.SlotReply {
	switch {
	case r.queued:
		return &peerpb.SlotReply{Reply: &peerpb.SlotReply_Queued{Queued: &peerpb.SlotQueued{}}}
	case r.worker != "":
		return &peerpb.SlotReply{Reply: &peerpb.SlotReply_Grant{Grant: &peerpb.SlotGrant{Worker: string(r.worker), Address: address}}}
	}
	refusal := &peerpb.SlotRefusal{Moved: r.moved}
	if r.refusal != nil {
		refusal.Reason, refusal.Status = r.refusal.Reason, int32(r.refusal.Status)
		refusal.RetryAfterMs = r.refusal.RetryAfter.Milliseconds()
	}
	return &peerpb.SlotReply{Reply: &peerpb.SlotReply_Refusal{Refusal: refusal}}
}
