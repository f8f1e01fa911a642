package slot

import (
	"context"
	"crypto/rand"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/peer"
)

// Service acquires slots for this entry's requests and runs this entry's slot homes. It implements acaciatally.SlotSource and is safe for
// concurrent use.
type Service struct {
	config       Config
	selector     *homeSelector
	slotIDPrefix string // unique to this process
	lastSlotID   atomic.Uint64
	metrics      *serviceMetrics
	running      sync.WaitGroup

	mu        sync.Mutex
	ctx       context.Context // ends with Run; nil before Run
	sessions  Sessions
	homes     map[acaciatally.PoolName]*home
	heldSlots map[*heldSlot]struct{}         // slots held by this entry
	inUse     map[acaciatally.InstanceID]int // requests in progress, including those with a slot from the fallback
}

// New returns a service that is not running yet.
func New(config Config) *Service {
	config.Default()
	service := &Service{
		config: config, slotIDPrefix: string(config.Self) + "/" + rand.Text() + "/", selector: newHomeSelector(config.Self, config.Membership),
		metrics: newServiceMetrics(config.Metrics), homes: map[acaciatally.PoolName]*home{}, heldSlots: map[*heldSlot]struct{}{},
		inUse: map[acaciatally.InstanceID]int{},
	}
	if service.config.Fallback == nil {
		service.config.Fallback = NewFallbackSource(config)
	}
	config.Metrics.GetOrCreateGauge("acaciatally_slot_held", func() float64 { return float64(service.Held()) })
	return service
}

// Run serves until ctx ends. It opens streams to the other entries through sessions.
func (s *Service) Run(ctx context.Context, sessions Sessions) (err error) {
	defer func() { err = oops.In("slot").Wrapf(err, "run slot service") }()
	ctx, cancel := context.WithCancel(ctx)
	defer s.running.Wait()
	defer s.close(cancel)
	s.mu.Lock()
	s.ctx, s.sessions = ctx, sessions
	s.mu.Unlock()
	s.spawn(func(ctx context.Context) { s.runProbes(ctx) })
	s.spawn(func(ctx context.Context) { s.selector.run(ctx) })
	s.trackHeldSlots(ctx)
	return nil
}

// close cancels the service's context under the lock, so that no goroutine is started once Run waits for the running ones.
func (s *Service) close(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancel()
}

// spawn runs work in a goroutine with the service's context and reports whether the service runs.
func (s *Service) spawn(work func(ctx context.Context)) (started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spawnLocked(work)
}

func (s *Service) spawnLocked(work func(ctx context.Context)) (started bool) {
	if s.ctx == nil || s.ctx.Err() != nil {
		return false
	}
	ctx := s.ctx
	s.running.Go(func() { work(ctx) })
	return true
}

func (s *Service) nextSlotID() string {
	return s.slotIDPrefix + strconv.FormatUint(s.lastSlotID.Add(1), 36)
}

// ReleaseHomes stops this entry from being a slot home for good. The requests that wait at its slot homes are sent to the next slot home.
func (s *Service) ReleaseHomes() {
	s.selector.stopping.Store(true)
	s.selector.refresh()
}

// Held returns the number of slots that this entry holds.
func (s *Service) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.heldSlots)
}

// Busy returns the instances that receive no new work but on which this entry has requests in progress, in order of id. A request is
// counted before its worker is checked against the control state, so that Busy misses none that began under a version older than the
// one that the caller read before this call.
func (s *Service) Busy() (busy []acaciatally.InstanceID) {
	state := s.config.State()
	leaving := s.config.Membership.LeavingInstances()
	s.mu.Lock()
	defer s.mu.Unlock()
	for worker := range s.inUse {
		if member, found := state.Instances[worker]; !found || !acceptsNewWork(member, member.Pool, leaving) {
			busy = append(busy, worker)
		}
	}
	slices.Sort(busy)
	return busy
}

// beginUse counts a request in progress on the worker.
func (s *Service) beginUse(worker acaciatally.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse[worker]++
}

// endUse ends the count of a request in progress on the worker.
func (s *Service) endUse(worker acaciatally.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inUse[worker]--; s.inUse[worker] <= 0 {
		delete(s.inUse, worker)
	}
}

// mayUse reports whether this entry may send new work of the pool to the worker now.
func (s *Service) mayUse(pool acaciatally.PoolName, worker acaciatally.InstanceID) (member fleet.Instance, allowed bool) {
	members := s.config.Membership
	member, found := s.config.State().Instances[worker]
	return member, found && acceptsNewWork(member, pool, members.LeavingInstances()) && members.MayServe()
}

// Tickets returns the number of requests that are queued or hold a slot at the slot homes of this process.
func (s *Service) Tickets() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, localHome := range s.homes {
		count += int(localHome.ticketCount.Load())
	}
	return count
}

// Self returns the id of this entry.
func (s *Service) Self() acaciatally.EntryID { return s.config.Self }

// Home returns the entry that is the pool's slot home in this entry's view.
func (s *Service) Home(pool acaciatally.PoolName) acaciatally.EntryID {
	return s.selector.current().home(pool)
}

// localHome returns the pool's slot home in this process and starts it if necessary. It returns nil when the pool does not exist or the
// service does not run.
func (s *Service) localHome(pool acaciatally.PoolName) *home {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing := s.homes[pool]; existing != nil {
		return existing
	}
	if _, found := s.config.State().Pools[pool]; !found {
		return nil
	}
	created := newHome(s, pool)
	if !s.spawnLocked(created.run) {
		return nil
	}
	s.homes[pool] = created
	return created
}

// Handlers returns the stream handlers of the service by stream kind.
func (s *Service) Handlers() map[peer.StreamKind]peer.Handler {
	return map[peer.StreamKind]peer.Handler{peer.StreamSlot: s.serveStream, peer.StreamHeldSlot: s.serveStream}
}
