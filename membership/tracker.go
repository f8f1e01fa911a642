package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/peer"
	"github.com/acaciatally/acaciatally/peer/peerpb"
)

// ViewStore holds this entry's view of the control state, which entries exchange with each other.
type ViewStore interface {
	// Version returns the version in force.
	Version() uint64
	// Poll applies newer versions from the table service.
	Poll(ctx context.Context) (err error)
	// Export returns the changes after the version from, or a snapshot.
	Export(from uint64) (view *peerpb.View, err error)
	// Import applies a view from another entry; it never goes back to an older version.
	Import(view *peerpb.View) (err error)
}

// Sessions opens streams to other entries; *peer.Node is one.
type Sessions interface {
	SetPeers(peers []peer.Address)
	Open(ctx context.Context, to acaciatally.EntryID, kind peer.StreamKind) (stream *peer.Stream, err error)
}

// Config configures a Tracker; Default replaces zero values that have a default.
type Config struct {
	Self      Entry
	Seeds     []Entry // the entries named in the settings, used until the first scan
	Table     acaciatally.TableService
	ViewStore ViewStore
	// Busy returns the leaving instances on which this entry has requests in progress; the default returns none.
	Busy    func() []acaciatally.InstanceID
	Limits  Limits
	Metrics *metrics.Set
	Logger  *log.Logger

	HelloInterval     time.Duration // interval between Hellos to each partner, default 1 s
	HeartbeatInterval time.Duration // interval between writes of this entry's row, default 2 s
	CallTimeout       time.Duration // bound of a heartbeat or scan of the table service and, halved, of a poll; default 1 s
}

// Default replaces zero values by their defaults.
func (c *Config) Default() {
	defaults := map[*time.Duration]time.Duration{
		&c.HelloInterval: time.Second, &c.HeartbeatInterval: 2 * time.Second, &c.CallTimeout: time.Second,
	}
	for value, defaultValue := range defaults {
		if *value == 0 {
			*value = defaultValue
		}
	}
	if c.Limits.HeartbeatLimit == 0 {
		c.Limits.HeartbeatLimit = 2 * c.HeartbeatInterval
	}
	if c.Busy == nil {
		c.Busy = func() []acaciatally.InstanceID { return nil }
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Logger == nil {
		c.Logger = &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: discardWriter{}}}
	}
}

type discardWriter struct{}

func (discardWriter) Write(p []byte) (n int, err error) { return len(p), nil }

// Tracker runs a StateMachine. It implements acaciatally.Membership and is safe for concurrent use.
type Tracker struct {
	config        Config
	started       time.Time
	rows          rowStore
	fetchRequests chan acaciatally.EntryID // holds an entry with a newer view
	helloNow      chan struct{}            // requests Hellos before the next interval
	running       sync.WaitGroup

	mu         sync.Mutex
	machine    *StateMachine
	serveUntil atomic.Int64 // nanoseconds since started; atomic, so that the traffic path reads it without a lock
	senders    map[acaciatally.EntryID]*helloSender
}

// New returns a tracker that is not running yet.
func New(config Config) *Tracker {
	config.Default()
	started := time.Now()
	tracker := &Tracker{
		config: config, started: started, fetchRequests: make(chan acaciatally.EntryID, 1), helloNow: make(chan struct{}, 1),
		machine: NewStateMachine(config.Limits, started, config.Self, config.Seeds), senders: map[acaciatally.EntryID]*helloSender{},
	}
	tracker.rows = newRowStore(config)
	tracker.registerMetrics()
	return tracker
}

func (t *Tracker) registerMetrics() {
	set := t.config.Metrics
	set.GetOrCreateGauge("acaciatally_membership_live", func() float64 { return float64(len(t.Live())) })
	set.GetOrCreateGauge("acaciatally_membership_may_serve", func() float64 {
		if t.MayServe() {
			return 1
		}
		return 0
	})
}

// withMachine runs a step on the state machine under the lock and then updates serveUntil.
func (t *Tracker) withMachine(step func(m *StateMachine, now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	step(t.machine, now)
	t.serveUntil.Store(int64(t.machine.ServeUntil(now).Sub(t.started)))
}

// viewAndBusy reads the version before the busy instances, so that a request that began under an older version is listed as busy. It
// must be called without the lock, because config.Busy calls LeavingInstances.
func (t *Tracker) viewAndBusy() (view uint64, busy []acaciatally.InstanceID) {
	view = t.config.ViewStore.Version()
	return view, t.config.Busy()
}

// Live returns the other entries with recent contact that are not shutting down, in order of id.
func (t *Tracker) Live() (peers []acaciatally.Peer) {
	t.withMachine(func(m *StateMachine, now time.Time) { peers = m.Live(now) })
	return peers
}

// MayChange reports whether this entry may begin control actions and commit changes: its view is fresh, and it is in contact with more than
// half of the entries.
func (t *Tracker) MayChange() (allowed bool) {
	t.withMachine(func(m *StateMachine, now time.Time) { allowed = m.MayChange(now) })
	return allowed
}

// MayServe reports whether this entry may send new work to endpoints.
func (t *Tracker) MayServe() bool {
	return int64(time.Since(t.started)) < t.serveUntil.Load()
}

// Acknowledged reports whether no entry sends new work to an instance that left service at version, and none has work in progress on it.
func (t *Tracker) Acknowledged(instance acaciatally.InstanceID, version uint64) (acknowledged bool) {
	view, busy := t.viewAndBusy()
	t.withMachine(func(m *StateMachine, now time.Time) {
		m.SetView(view, busy)
		acknowledged = m.Acknowledged(now, instance, version)
	})
	return acknowledged
}

// LeavingInstances returns the instances that hints say are leaving service, without a change of the control state, in order of id.
func (t *Tracker) LeavingInstances() (leaving []acaciatally.InstanceID) {
	t.withMachine(func(m *StateMachine, now time.Time) { leaving = m.LeavingInstances(now) })
	return leaving
}

// AddLeavingHint records that an instance was seen to leave service. A new hint is sent to the partners without delay.
func (t *Tracker) AddLeavingHint(instance acaciatally.InstanceID) {
	isNew := false
	t.withMachine(func(m *StateMachine, now time.Time) { isNew = m.AddHint(now, instance) })
	if isNew {
		t.triggerHello()
	}
}

// RecordHeadRead records that this entry has applied the head of the change log from a read that began at the given time.
func (t *Tracker) RecordHeadRead(at time.Time) {
	view, busy := t.viewAndBusy()
	t.withMachine(func(m *StateMachine, _ time.Time) {
		m.SetView(view, busy)
		m.RecordHeadRead(at)
	})
}

// ViewChanged records that a new version is in force in this entry. The partners learn of it without delay by a Hello and relay it in the
// same way.
func (t *Tracker) ViewChanged() {
	view, busy := t.viewAndBusy()
	t.withMachine(func(m *StateMachine, _ time.Time) { m.SetView(view, busy) })
	t.triggerHello()
}

// AnnounceStop tells the other entries that this one is shutting down, so that they stop using it as a slot home.
func (t *Tracker) AnnounceStop() {
	t.withMachine(func(m *StateMachine, _ time.Time) { m.MarkStopping() })
	t.triggerHello()
}

func (t *Tracker) triggerHello() {
	select {
	case t.helloNow <- struct{}{}:
	default:
	}
}

// Run maintains the membership until ctx ends, and then deletes this entry's row.
func (t *Tracker) Run(ctx context.Context, sessions Sessions) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer t.running.Wait()
	defer cancel()
	t.running.Go(func() { t.runHeartbeats(ctx) })
	t.running.Go(func() { t.runFetches(ctx, sessions) })
	ticker := time.NewTicker(t.config.HelloInterval)
	defer ticker.Stop()
	for {
		t.updateSenders(ctx, sessions)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-t.helloNow:
			if !acaciatally.Sleep(ctx, minHelloInterval) {
				return nil
			}
		}
	}
}

// minHelloInterval bounds the rate of Hellos before the next interval.
const minHelloInterval = 20 * time.Millisecond
