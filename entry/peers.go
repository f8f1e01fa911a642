package entry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"maps"
	"net"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/membership"
	"github.com/acaciatally/acaciatally/observation"
	"github.com/acaciatally/acaciatally/peer"
	"github.com/acaciatally/acaciatally/peer/peerpb"
	"github.com/acaciatally/acaciatally/queue"
	"github.com/acaciatally/acaciatally/slot"
)

// incarnationLength is the length of an incarnation in base32 characters. The 40 random bits suffice to distinguish the processes
// of one entry, and keep Hello messages short.
const incarnationLength = 8

// peers connects this entry to the other entries: sessions, membership and the slot service.
type peers struct {
	config     Config
	log        *changelog.Log
	self       membership.Entry
	membership *membership.Tracker
	slots      *slot.Service
	metrics    *metrics.Set
}

// newPeers creates the membership and the slot service; run starts them.
func newPeers(config Config, log *changelog.Log, set *metrics.Set) *peers {
	p := &peers{config: config, log: log, metrics: set, self: membership.Entry{
		ID: config.Entry.ID, Incarnation: rand.Text()[:incarnationLength], Address: config.Entry.PeerAddress, DataCentre: config.Entry.DataCentre,
	}}
	limits := config.Settings.Peers
	p.membership = membership.New(membership.Config{
		Self: p.self, Seeds: p.seeds(), Table: config.Table, ViewStore: viewStore{log}, Busy: p.busy, Metrics: set, Logger: config.Logger,
		HelloInterval: limits.HelloInterval, HeartbeatInterval: limits.HeartbeatInterval,
		Limits: membership.Limits{ViewLimit: config.Settings.Control.ViewLimit, HintTerm: limits.HintTerm},
	})
	p.slots = slot.New(p.slotConfig())
	return p
}

func (p *peers) slotConfig() slot.Config {
	limits, traffic := p.config.Settings.Peers, p.config.Settings.Traffic
	floors := [acaciatally.UrgencyClasses]float64{traffic.Floors.Urgent, traffic.Floors.Normal, traffic.Floors.Background}
	return slot.Config{
		Self: p.self.ID, DataCentre: p.self.DataCentre, Membership: p.membership, State: p.log.State, OnLeaving: p.membership.AddLeavingHint,
		Queue:   queue.Config{Floors: floors, MaxLength: traffic.QueueLength, MaxBytes: int64(traffic.QueueBytes)},
		Metrics: p.metrics, RetryShare: traffic.RetryBudget, ReplyTimeout: limits.AnswerLimit, ProbeInterval: limits.ProbeInterval,
	}
}

func (p *peers) seeds() (seeds []membership.Entry) {
	for _, entry := range p.config.Settings.Entries {
		seeds = append(seeds, membership.Entry{ID: entry.ID, Address: entry.PeerAddress, DataCentre: entry.DataCentre})
	}
	return seeds
}

// busy returns the instances on which this entry has work in progress. membership.New calls it before slots is set.
func (p *peers) busy() []acaciatally.InstanceID {
	if p.slots == nil {
		return nil
	}
	return p.slots.Busy()
}

// run keeps the sessions with the other entries until drained is done, and stops being a slot home when ctx is done.
func (p *peers) run(ctx, drained context.Context, sharer *observation.Sharer) error {
	listener, err := p.config.Listen(ctx, "tcp", p.self.Address.String())
	if err != nil {
		return err
	}
	handlers := p.membership.Handlers()
	maps.Copy(handlers, p.slots.Handlers())
	maps.Copy(handlers, sharer.Handlers())
	limits := p.config.Settings.Peers
	node, err := peer.New(peer.Config{
		Deployment: p.config.Settings.Deployment, Entry: p.self.ID, Incarnation: p.self.Incarnation, Key: []byte(limits.Key),
		Listener: listener, Dial: p.dial, Handlers: handlers, Metrics: p.metrics, Logger: p.config.Logger, KeepAlive: limits.KeepAlive, WriteTimeout: limits.WriteTimeout,
	})
	if err != nil {
		_ = listener.Close()
		return err
	}
	context.AfterFunc(ctx, p.stop)
	var group errgroup.Group
	group.Go(func() error { return node.Run(drained) })
	group.Go(func() error { return p.membership.Run(drained, node) })
	group.Go(func() error { return p.slots.Run(drained, node) })
	group.Go(func() error { return sharer.Run(drained, node) })
	return group.Wait()
}

func (p *peers) dial(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error) {
	if p.config.Dial == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	}
	return p.config.Dial(ctx, "tcp", address.String())
}

// AnnounceLeaving announces to the other entries that the instance is leaving and gets no new work.
func (p *peers) AnnounceLeaving(instance acaciatally.InstanceID) {
	p.membership.AddLeavingHint(instance)
}

func (p *peers) stop() {
	p.slots.ReleaseHomes()
	p.membership.AnnounceStop()
}

// updateViewFreshness passes the time of the last successful read of the changelog's head to the membership.
func (p *peers) updateViewFreshness() {
	p.membership.RecordHeadRead(p.log.HeadReadAt())
}

// viewStore implements membership.ViewStore with the changelog, so that entries can copy the control state from each other.
type viewStore struct{ log *changelog.Log }

// Version returns the version of the control state in this entry.
func (v viewStore) Version() uint64 { return v.log.State().Version }

// Poll applies new records from the table service.
func (v viewStore) Poll(ctx context.Context) (err error) { return v.log.Poll(ctx) }

// Export returns the records after version from, or a snapshot of the state if not all of them are kept.
func (v viewStore) Export(from uint64) (view *peerpb.View, err error) {
	records, complete := v.log.RecordsSince(from)
	state := v.log.State()
	view = &peerpb.View{Version: state.Version}
	if !complete {
		view.Snapshot, err = json.Marshal(state)
		return view, err
	}
	for _, record := range records {
		encoded, err := json.Marshal(record)
		if err != nil {
			return nil, err
		}
		view.Records = append(view.Records, encoded)
	}
	return view, nil
}

// Import applies a view from another entry; it never goes back to an older version.
func (v viewStore) Import(view *peerpb.View) (err error) {
	if len(view.Snapshot) > 0 {
		state := fleet.New()
		if err = json.Unmarshal(view.Snapshot, state); err != nil {
			return err
		}
		v.log.ImportState(state)
	}
	records := make([]fleet.Record, len(view.Records))
	for i, encoded := range view.Records {
		if err = json.Unmarshal(encoded, &records[i]); err != nil {
			return err
		}
	}
	return v.log.ImportRecords(records...)
}
