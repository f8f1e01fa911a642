package membership

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/peer"
	"github.com/acaciatally/acaciatally/peer/peerpb"
)

const (
	sendLimit  = time.Second     // time in which a session must come about for a Hello
	fetchLimit = 5 * time.Second // time in which a peer must send its view
	staleHello = 30 * time.Second
)

// sender says hello to one entry over a lasting stream; a send that hangs holds up no other entry.
type sender struct {
	wake   chan struct{}
	cancel context.CancelFunc
}

// hellos wakes the sender of each partner and starts and stops senders as partners come and go.
func (k *Keeper) hellos(ctx context.Context, sessions Sessions) {
	var partners []acaciatally.EntryID
	var addresses []peer.Address
	view, busy := k.status()
	k.with(func(m *Machine, _ time.Time) {
		m.SetView(view, busy)
		partners = m.Partners()
		addresses = m.addresses(partners)
	})
	sessions.SetPeers(addresses)
	wanted := map[acaciatally.EntryID]bool{}
	for _, partner := range partners {
		wanted[partner] = true
		known := k.senders[partner]
		if known == nil {
			known = k.startSender(ctx, sessions, partner)
			k.senders[partner] = known
		}
		select {
		case known.wake <- struct{}{}:
		default:
		}
	}
	for id, known := range k.senders {
		if !wanted[id] {
			known.cancel()
			delete(k.senders, id)
		}
	}
}

// addresses returns where the known entries listen; sessions with the partners are kept.
func (m *Machine) addresses(partners []acaciatally.EntryID) (addresses []peer.Address) {
	keep := map[acaciatally.EntryID]bool{}
	for _, partner := range partners {
		keep[partner] = true
	}
	for id, known := range m.entries {
		if known.row.Address.IsValid() {
			addresses = append(addresses, peer.Address{Entry: id, Address: known.row.Address, Keep: keep[id]})
		}
	}
	return addresses
}

func (k *Keeper) startSender(ctx context.Context, sessions Sessions, to acaciatally.EntryID) *sender {
	ctx, cancel := context.WithCancel(ctx)
	started := &sender{wake: make(chan struct{}, 1), cancel: cancel}
	k.running.Go(func() {
		defer cancel()
		k.send(ctx, sessions, to, started.wake)
	})
	return started
}

func (k *Keeper) send(ctx context.Context, sessions Sessions, to acaciatally.EntryID, wake <-chan struct{}) {
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
			stream = k.openHello(ctx, sessions, to)
		}
		if stream == nil {
			continue
		}
		var hello *peerpb.Hello
		k.with(func(m *Machine, now time.Time) { hello = m.HelloTo(now, to) })
		if err := stream.Send(hello); err != nil {
			stream.Close()
			stream = nil
		}
	}
}

func (k *Keeper) openHello(ctx context.Context, sessions Sessions, to acaciatally.EntryID) *peer.Stream {
	bounded, cancel := context.WithTimeout(ctx, sendLimit)
	defer cancel()
	stream, err := sessions.Open(bounded, to, peer.Hello)
	if err != nil {
		return nil
	}
	return stream
}

// Handlers returns the handlers of the stream kinds that the keeper serves.
func (k *Keeper) Handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{
		peer.Hello: k.serveHello, peer.ViewFetch: k.serveFetch,
	}
}

func (k *Keeper) serveHello(_ context.Context, from acaciatally.EntryID, stream *peer.Stream) {
	for {
		_ = stream.SetReceiveDeadline(time.Now().Add(staleHello))
		var hello peerpb.Hello
		if err := stream.Receive(&hello); err != nil {
			return
		}
		var news News
		k.with(func(m *Machine, now time.Time) { news = m.Hear(now, from, &hello) })
		if news.View {
			k.fetch(from)
		}
		if news.First || news.Hint {
			k.helloNow()
		}
	}
}

func (k *Keeper) serveFetch(_ context.Context, _ acaciatally.EntryID, stream *peer.Stream) {
	_ = stream.SetReceiveDeadline(time.Now().Add(fetchLimit))
	var fetch peerpb.ViewFetch
	if err := stream.Receive(&fetch); err != nil {
		return
	}
	view, err := k.config.Views.Export(fetch.From)
	if err != nil {
		k.config.Logger.Warn().Err(err).Msg("cannot export the view")
		return
	}
	_ = stream.Send(view)
}

// fetch asks for the newer view of an entry; a fetch in progress picks up later news by itself.
func (k *Keeper) fetch(from acaciatally.EntryID) {
	select {
	case k.fetching <- from:
	default:
	}
}

func (k *Keeper) fetches(ctx context.Context, sessions Sessions) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-k.fetching:
			k.bringIn(ctx, sessions, from)
		}
	}
}

// bringIn reads the log from the table service, or the whole view from the peer when the table service does not answer in time.
func (k *Keeper) bringIn(ctx context.Context, sessions Sessions, from acaciatally.EntryID) {
	before := k.config.Views.Version()
	bounded, cancel := context.WithTimeout(ctx, k.config.CallTimeout/2)
	defer cancel()
	start := time.Now()
	if err := k.config.Views.Poll(bounded); err == nil && k.config.Views.Version() > before {
		k.HeadRead(start)
		k.Changed()
		return
	}
	if err := k.fetchFrom(ctx, sessions, from, before); err != nil {
		k.config.Logger.Warn().Err(err).Str("peer", string(from)).Msg("cannot fetch the view")
		return
	}
	if k.config.Views.Version() > before {
		k.Changed()
	}
}

func (k *Keeper) fetchFrom(ctx context.Context, sessions Sessions, from acaciatally.EntryID, version uint64) error {
	bounded, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	stream, err := sessions.Open(bounded, from, peer.ViewFetch)
	if err != nil {
		return err
	}
	defer stream.Close()
	_ = stream.SetReceiveDeadline(time.Now().Add(fetchLimit))
	if err = stream.Send(&peerpb.ViewFetch{From: version}); err != nil {
		return err
	}
	var view peerpb.View
	if err = stream.Receive(&view); err != nil {
		return err
	}
	return k.config.Views.Import(&view)
}
