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
	requestTimeout = 5 * time.Second // time in which the request must arrive on an opened stream
	// maxRemaining bounds the time to the deadline that another entry may request, so that no stream stays open forever.
	maxRemaining = time.Hour
	// replyBuffer is the length of reply channels; a ticket has at most a queued notice and one final reply.
	replyBuffer = 4
)

// serveStream serves one stream, which carries one ticket from the request to the release. If the stream breaks, a waiting ticket ends at
// once and a held slot is reclaimed after lostHolderGrace.
func (s *Service) serveStream(_ context.Context, _ acaciatally.EntryID, stream *peer.Stream) {
	_ = stream.SetReceiveDeadline(time.Now().Add(requestTimeout))
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
	localHome := s.localHome(acaciatally.PoolName(request.Pool))
	if localHome == nil {
		_ = stream.Send(replyToProto(reply{refusal: unknownPoolRefusal(request.Pool)}, ""))
		return
	}
	t := ticketFromProto(request)
	_ = stream.SetReceiveDeadline(t.item.Deadline.Add(2 * heldSlotGrace))
	first := event{kind: eventRequest, ticket: t}
	if call.GetHeld() != nil {
		first = event{kind: eventHeld, ticket: t, worker: acaciatally.InstanceID(call.GetHeld().Worker)}
	}
	if !localHome.send(first) {
		_ = stream.Send(replyToProto(reply{moved: true}, ""))
		return
	}
	if first.kind == eventHeld || !s.sendFirstReply(stream, localHome, t) {
		localHome.send(awaitRelease(stream, t))
		return
	}
	finished := make(chan struct{})
	if !s.spawn(func(context.Context) { s.sendFinalReply(stream, t, finished) }) {
		close(finished)
	}
	localHome.send(awaitRelease(stream, t))
	stream.Close()
	close(t.streamClosed)
	<-finished
}

// sendFirstReply sends the first reply, which the slot home gives without delay, and reports whether the request was queued, so that a
// final reply will follow.
func (s *Service) sendFirstReply(stream *peer.Stream, localHome *home, t *ticket) (queued bool) {
	r := reply{moved: true}
	select {
	case r = <-t.replies:
	case <-localHome.closed:
	}
	if stream.Send(replyToProto(r, s.address(r.worker))) != nil {
		stream.Close()
		return false
	}
	return r.queued
}

// sendFinalReply sends the final reply to a queued request, unless the stream ends before.
func (s *Service) sendFinalReply(stream *peer.Stream, t *ticket, finished chan<- struct{}) {
	defer close(finished)
	select {
	case r := <-t.replies:
		if stream.Send(replyToProto(r, s.address(r.worker))) != nil {
			stream.Close()
		}
	case <-t.streamClosed:
	}
}

// address returns the address of the worker for a grant, or the empty string without a worker.
func (s *Service) address(worker acaciatally.InstanceID) string {
	if worker == "" {
		return ""
	}
	return s.config.State().Instances[worker].Address.String()
}

// awaitRelease waits for the end of the stream and returns the event that it means. A correct holder ends its stream with a release.
func awaitRelease(stream *peer.Stream, t *ticket) event {
	var call peerpb.SlotCall
	if err := stream.Receive(&call); err != nil {
		return event{kind: eventHolderLost, ticket: t}
	}
	release := call.GetRelease()
	if release == nil || release.Moved {
		return event{kind: eventHolderLost, ticket: t}
	}
	return event{kind: eventRelease, ticket: t, result: releaseFromProto(release)}
}

func releaseFromProto(release *peerpb.SlotRelease) acaciatally.AttemptResult {
	return acaciatally.AttemptResult{
		Outcome: acaciatally.Outcome(release.Outcome), Status: int(release.Status), Refused: release.Refused, EndedByCaller: release.CutOff,
		ServiceTime: max(0, time.Duration(release.ServiceTimeUs)*time.Microsecond),
	}
}

func ticketFromProto(request *peerpb.SlotRequest) *ticket {
	remaining := min(max(0, request.RemainingUs), maxRemaining.Microseconds())
	t := newTicket(queue.Item{
		Team: acaciatally.TeamName(request.Team), Urgency: acaciatally.Urgency(request.Urgency),
		Deadline: time.Now().Add(time.Duration(remaining) * time.Microsecond), Bytes: max(0, request.Bytes),
		DataCentre: acaciatally.DataCentre(request.DataCentre), Idempotent: request.Idempotent,
	})
	t.retry, t.slotID = request.Retry, request.Id
	for _, worker := range request.Exclude {
		t.exclude = append(t.exclude, acaciatally.InstanceID(worker))
	}
	return t
}

func newTicket(item queue.Item) *ticket {
	if item.Urgency < 0 || item.Urgency >= acaciatally.UrgencyClasses {
		item.Urgency = acaciatally.Background
	}
	return &ticket{item: item, replies: make(chan reply, replyBuffer), streamClosed: make(chan struct{})}
}

func unknownPoolRefusal(pool string) *acaciatally.Refusal {
	return &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: http.StatusNotFound, Reason: "no pool " + pool}
}

func replyToProto(r reply, address string) *peerpb.SlotReply {
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
