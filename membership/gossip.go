package membership

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/peer"
	"github.com/acaciatally/acaciatally/peer/peerpb"
)

const (
	openTimeout  = time.Second      // time in which the stream for Hellos must be open
	fetchTimeout = 5 * time.Second  // time in which a peer must request or send a view
	helloTimeout = 30 * time.Second // time without a Hello after which its stream is closed
)

// helloSender sends Hellos to one entry over a long-lived stream. Each entry has its own, so that a blocked send delays no other one.
type helloSender struct {
	wake   chan struct{}
	cancel context.CancelFunc
}

// updateSenders lets the sender of each partner send a Hello, and starts and stops senders when the partners change.
func (t *Tracker) updateSenders(ctx context.Context, sessions Sessions) {
	var partners []acaciatally.EntryID
	var addresses []peer.Address
	view, busy := t.viewAndBusy()
	t.withMachine(func(m *StateMachine, _ time.Time) {
		m.SetView(view, busy)
		partners = m.Partners()
		addresses = m.peerAddresses(partners)
	})
	sessions.SetPeers(addresses)
	wanted := map[acaciatally.EntryID]bool{}
	for _, partner := range partners {
		wanted[partner] = true
		sender := t.senders[partner]
		if sender == nil {
			sender = t.startSender(ctx, sessions, partner)
			t.senders[partner] = sender
		}
		select {
		case sender.wake <- struct{}{}:
		default:
		}
	}
	for id, sender := range t.senders {
		if !wanted[id] {
			sender.cancel()
			delete(t.senders, id)
		}
	}
}

// peerAddresses returns the addresses of the known entries. Sessions with the partners are kept open.
func (m *StateMachine) peerAddresses(partners []acaciatally.EntryID) (addresses []peer.Address) {
	keep := map[acaciatally.EntryID]bool{}
	for _, partner := range partners {
		keep[partner] = true
	}
	for id, other := range m.peers {
		if other.row.Address.IsValid() {
			addresses = append(addresses, peer.Address{Entry: id, Address: other.row.Address, KeepConnected: keep[id]})
		}
	}
	return addresses
}

func (t *Tracker) startSender(ctx context.Context, sessions Sessions, to acaciatally.EntryID) *helloSender {
	ctx, cancel := context.WithCancel(ctx)
	started := &helloSender{wake: make(chan struct{}, 1), cancel: cancel}
	t.running.Go(func() {
		defer cancel()
		t.sendHellos(ctx, sessions, to, started.wake)
	})
	return started
}

func (t *Tracker) sendHellos(ctx context.Context, sessions Sessions, to acaciatally.EntryID, wake <-chan struct{}) {
	var stream *peer.Stream
	defer func() {
		if stream != nil {
			stream.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		if stream == nil {
			stream = t.openHelloStream(ctx, sessions, to)
		}
		if stream == nil {
			continue
		}
		var hello *peerpb.Hello
		t.withMachine(func(m *StateMachine, now time.Time) { hello = m.HelloFor(now, to) })
		if err := stream.Send(hello); err != nil {
			stream.Close()
			stream = nil
		}
	}
}

func (t *Tracker) openHelloStream(ctx context.Context, sessions Sessions, to acaciatally.EntryID) *peer.Stream {
	bounded, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	stream, err := sessions.Open(bounded, to, peer.StreamHello)
	if err != nil {
		return nil
	}
	return stream
}

// Handlers returns the stream handlers of the tracker by stream kind.
func (t *Tracker) Handlers() map[peer.StreamKind]peer.Handler {
	return map[peer.StreamKind]peer.Handler{
		peer.StreamHello: t.serveHello, peer.StreamViewFetch: t.serveViewFetch,
	}
}

func (t *Tracker) serveHello(_ context.Context, from acaciatally.EntryID, stream *peer.Stream) {
	for {
		_ = stream.SetReceiveDeadline(time.Now().Add(helloTimeout))
		var hello peerpb.Hello
		if err := stream.Receive(&hello); err != nil {
			return
		}
		var result HelloResult
		t.withMachine(func(m *StateMachine, now time.Time) { result = m.ReceiveHello(now, from, &hello) })
		if result.NewerView {
			t.requestFetch(from)
		}
		if result.StampNeeded || result.NewHint {
			t.triggerHello()
		}
	}
}

func (t *Tracker) serveViewFetch(_ context.Context, _ acaciatally.EntryID, stream *peer.Stream) {
	_ = stream.SetReceiveDeadline(time.Now().Add(fetchTimeout))
	var fetch peerpb.ViewFetch
	if err := stream.Receive(&fetch); err != nil {
		return
	}
	view, err := t.config.ViewStore.Export(fetch.From)
	if err != nil {
		t.config.Logger.Warn().Err(err).Msg("cannot export view")
		return
	}
	_ = stream.Send(view)
}

// requestFetch requests a fetch of the newer view of an entry. It does nothing if a request is pending, because that fetch
// returns later versions too.
func (t *Tracker) requestFetch(from acaciatally.EntryID) {
	select {
	case t.fetchRequests <- from:
	default:
	}
}

func (t *Tracker) runFetches(ctx context.Context, sessions Sessions) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-t.fetchRequests:
			t.catchUp(ctx, sessions, from)
		}
	}
}

// catchUp reads newer versions from the table service, or from the peer if the table service yields none in time.
func (t *Tracker) catchUp(ctx context.Context, sessions Sessions, from acaciatally.EntryID) {
	before := t.config.ViewStore.Version()
	bounded, cancel := context.WithTimeout(ctx, t.config.CallTimeout/2)
	defer cancel()
	start := time.Now()
	if err := t.config.ViewStore.Poll(bounded); err == nil && t.config.ViewStore.Version() > before {
		t.RecordHeadRead(start)
		t.ViewChanged()
		return
	}
	if err := t.fetchView(ctx, sessions, from, before); err != nil {
		t.config.Logger.Warn().Err(err).Str("peer", string(from)).Msg("cannot fetch view from peer")
		return
	}
	if t.config.ViewStore.Version() > before {
		t.ViewChanged()
	}
}

func (t *Tracker) fetchView(ctx context.Context, sessions Sessions, from acaciatally.EntryID, version uint64) error {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	stream, err := sessions.Open(bounded, from, peer.StreamViewFetch)
	if err != nil {
		return err
	}
	defer stream.Close()
	_ = stream.SetReceiveDeadline(time.Now().Add(fetchTimeout))
	if err = stream.Send(&peerpb.ViewFetch{From: version}); err != nil {
		return err
	}
	var view peerpb.View
	if err = stream.Receive(&view); err != nil {
		return err
	}
	return t.config.ViewStore.Import(&view)
}
