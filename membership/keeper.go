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

// Views is the control state that entries keep in step with each other.
type Views interface {
	// Version returns the version in force.
	Version() uint64
	// Poll brings in what the table service has.
	Poll(ctx context.Context) (err error)
	// Export returns what is newer than from.
	Export(from uint64) (view *peerpb.View, err error)
	// Import brings in a view from another entry; it never goes back.
	Import(view *peerpb.View) (err error)
}

// Sessions opens streams to other entries; *peer.Node is one.
type Sessions interface {
	SetPeers(peers []peer.Address)
	Open(ctx context.Context, to acaciatally.EntryID, kind peer.Kind) (stream *peer.Stream, err error)
}

// Config is what a Keeper needs; zero durations take the defaults.
type Config struct {
	Self  Entry
	Seeds []Entry // the entries of the settings, used until the first scan
	Table acaciatally.TableService
	Views Views
	// Busy returns the leaving instances on which this entry has requests in progress.
	Busy    func() []acaciatally.InstanceID
	Rules   Rules
	Metrics *metrics.Set
	Logger  *log.Logger

	HelloInterval     time.Duration // default 1 s
	HeartbeatInterval time.Duration // default 2 s
	CallTimeout       time.Duration // bound of one call to the table service, default 1 s
}

// Default fills in the values that are left out.
func (c *Config) Default() {
	defaults := map[*time.Duration]time.Duration{
		&c.HelloInterval: time.Second, &c.HeartbeatInterval: 2 * time.Second, &c.CallTimeout: time.Second,
	}
	for value, fallback := range defaults {
		if *value == 0 {
			*value = fallback
		}
	}
	if c.Rules.HeartbeatLimit == 0 {
		c.Rules.HeartbeatLimit = 2 * c.HeartbeatInterval
	}
	if c.Busy == nil {
		c.Busy = func() []acaciatally.InstanceID { return nil }
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Logger == nil {
		c.Logger = &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: nowhere{}}}
	}
}

type nowhere struct{}

func (nowhere) Write(p []byte) (n int, err error) { return len(p), nil }

// Keeper runs a Machine; it implements acaciatally.Membership and is safe for concurrent use.
type Keeper struct {
	config   Config
	started  time.Time
	table    rowKeeper
	fetching chan acaciatally.EntryID // holds an entry whose view is newer
	now      chan struct{}            // asks for a Hello out of turn
	running  sync.WaitGroup

	mu         sync.Mutex
	machine    *Machine
	serveUntil atomic.Int64 // time since started, so that the traffic path reads it without a lock
	senders    map[acaciatally.EntryID]*sender
}

// New returns a keeper that is not yet running.
func New(config Config) *Keeper {
	config.Default()
	started := time.Now()
	keeper := &Keeper{
		config: config, started: started, fetching: make(chan acaciatally.EntryID, 1), now: make(chan struct{}, 1),
		machine: NewMachine(config.Rules, started, config.Self, config.Seeds), senders: map[acaciatally.EntryID]*sender{},
	}
	keeper.table = newRowKeeper(config)
	keeper.observe()
	return keeper
}

func (k *Keeper) observe() {
	set := k.config.Metrics
	set.GetOrCreateGauge("acaciatally_membership_live", func() float64 { return float64(len(k.Live())) })
	set.GetOrCreateGauge("acaciatally_membership_may_serve", func() float64 {
		if k.MayServe() {
			return 1
		}
		return 0
	})
}

// with runs a step of the machine and publishes until when this entry may serve.
func (k *Keeper) with(step func(m *Machine, now time.Time)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	step(k.machine, now)
	k.serveUntil.Store(int64(k.machine.ServeUntil(now).Sub(k.started)))
}

// status reads the version before the busy instances, so that a request that began under an older version is listed as busy. It
// must be called without the lock, because the source of the busy instances asks for the hints.
func (k *Keeper) status() (view uint64, busy []acaciatally.InstanceID) {
	view = k.config.Views.Version()
	return view, k.config.Busy()
}

// Live returns the peers heard recently, without this entry, in order of id.
func (k *Keeper) Live() (peers []acaciatally.Peer) {
	k.with(func(m *Machine, now time.Time) { peers = m.Live(now) })
	return peers
}

// Fresh reports whether this entry may begin control actions and commit changes.
func (k *Keeper) Fresh() (fresh bool) {
	k.with(func(m *Machine, now time.Time) { fresh = m.MayChange(now) })
	return fresh
}

// MayServe reports whether this entry may send new work to endpoints.
func (k *Keeper) MayServe() bool {
	return int64(time.Since(k.started)) < k.serveUntil.Load()
}

// Acknowledged reports whether no entry sends new work to an instance that left service at version, or has work in progress on it.
func (k *Keeper) Acknowledged(instance acaciatally.InstanceID, version uint64) (acknowledged bool) {
	view, busy := k.status()
	k.with(func(m *Machine, now time.Time) {
		m.SetView(view, busy)
		acknowledged = m.Acknowledged(now, instance, version)
	})
	return acknowledged
}

// Leaving returns the instances that are hinted to leave without a change in the log.
func (k *Keeper) Leaving() (leaving []acaciatally.InstanceID) {
	k.with(func(m *Machine, now time.Time) { leaving = m.Leaving(now) })
	return leaving
}

// Hint tells that an instance was seen to leave, and tells the other entries at once when this is news.
func (k *Keeper) Hint(instance acaciatally.InstanceID) {
	news := false
	k.with(func(m *Machine, now time.Time) { news = m.Hint(now, instance) })
	if news {
		k.helloNow()
	}
}

// HeadRead tells that this entry applied the head of the log that it began to read at that time.
func (k *Keeper) HeadRead(at time.Time) {
	view, busy := k.status()
	k.with(func(m *Machine, _ time.Time) {
		m.SetView(view, busy)
		m.HeadRead(at)
	})
}

// Changed tells that a new version is in force here; the partners learn it at once by a Hello and pass it on in the same way.
func (k *Keeper) Changed() {
	view, busy := k.status()
	k.with(func(m *Machine, _ time.Time) { m.SetView(view, busy) })
	k.helloNow()
}

// Stop tells the other entries that this one shuts down, so that it is no slot home any more.
func (k *Keeper) Stop() {
	k.with(func(m *Machine, _ time.Time) { m.Stop() })
	k.helloNow()
}

func (k *Keeper) helloNow() {
	select {
	case k.now <- struct{}{}:
	default:
	}
}

// Run keeps the membership until ctx ends, then deletes this entry's row.
func (k *Keeper) Run(ctx context.Context, sessions Sessions) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer k.running.Wait()
	defer cancel()
	k.running.Go(func() { k.heartbeats(ctx) })
	k.running.Go(func() { k.fetches(ctx, sessions) })
	ticker := time.NewTicker(k.config.HelloInterval)
	defer ticker.Stop()
	for {
		k.hellos(ctx, sessions)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-k.now:
			if !pause(ctx, minHelloGap) {
				return nil
			}
		}
	}
}

// minHelloGap bounds the rate of Hellos out of turn.
const minHelloGap = 20 * time.Millisecond

func pause(ctx context.Context, wait time.Duration) (finished bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
