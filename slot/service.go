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

// Service is this entry's part in lending slots: the slot homes that it runs and the slots that it holds. It implements
// acaciatally.SlotSource and is safe for concurrent use.
type Service struct {
	config  Config
	circle  *circle
	name    string // prefix of the ids of this process's loans
	lent    atomic.Uint64
	counts  *counts
	running sync.WaitGroup

	mu       sync.Mutex
	ctx      context.Context // ends with Run; nil before
	sessions Sessions
	homes    map[acaciatally.PoolName]*home
	loans    map[*loan]struct{}             // slots held by this entry
	inUse    map[acaciatally.InstanceID]int // requests in progress, whoever granted the slot
}

// New returns a service that is not yet running.
func New(config Config) *Service {
	config.Default()
	service := &Service{
		config: config, name: string(config.Self) + "/" + rand.Text() + "/", circle: newCircle(config.Self, config.Membership), counts: newCounts(config.Metrics),
		homes: map[acaciatally.PoolName]*home{}, loans: map[*loan]struct{}{},
		inUse: map[acaciatally.InstanceID]int{},
	}
	if service.config.Fallback == nil {
		service.config.Fallback = NewChoice(config)
	}
	config.Metrics.GetOrCreateGauge("acaciatally_slot_held", func() float64 { return float64(service.Held()) })
	return service
}

// Run serves until ctx ends; sessions reaches the other entries.
func (s *Service) Run(ctx context.Context, sessions Sessions) (err error) {
	defer func() { err = oops.In("slot").Wrapf(err, "lend slots") }()
	ctx, cancel := context.WithCancel(ctx)
	defer s.running.Wait()
	defer s.close(cancel)
	s.mu.Lock()
	s.ctx, s.sessions = ctx, sessions
	s.mu.Unlock()
	s.spawn(func(ctx context.Context) { s.probes(ctx) })
	s.spawn(func(ctx context.Context) { s.circle.run(ctx) })
	s.follow(ctx)
	return nil
}

// close ends the service under the lock, so that nothing is started once the wait for what runs has begun.
func (s *Service) close(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancel()
}

// spawn runs work that ends with the service and reports whether the service runs.
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

func (s *Service) nextLoan() string {
	return s.name + strconv.FormatUint(s.lent.Add(1), 36)
}

// Stop gives up this entry's slot homes: requests that wait are sent to the next slot home.
func (s *Service) Stop() {
	s.circle.stopping.Store(true)
	s.circle.refresh()
}

// Held returns the number of slots that this entry holds.
func (s *Service) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.loans)
}

// Busy returns the instances out of service on which this entry has requests in progress, in order of id. A use is counted before
// the control state is checked, so that Busy never misses one that began under a version older than the one read before the call.
func (s *Service) Busy() (busy []acaciatally.InstanceID) {
	state := s.config.State()
	leaving := s.config.Membership.Leaving()
	s.mu.Lock()
	defer s.mu.Unlock()
	for worker := range s.inUse {
		if member, found := state.Instances[worker]; !found || !serves(member, member.Pool, leaving) {
			busy = append(busy, worker)
		}
	}
	slices.Sort(busy)
	return busy
}

func (s *Service) use(worker acaciatally.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse[worker]++
}

func (s *Service) leave(worker acaciatally.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inUse[worker]--; s.inUse[worker] <= 0 {
		delete(s.inUse, worker)
	}
}

// usable reports whether this entry may send new work of the pool to the worker now.
func (s *Service) usable(pool acaciatally.PoolName, worker acaciatally.InstanceID) (member fleet.Instance, allowed bool) {
	members := s.config.Membership
	member, found := s.config.State().Instances[worker]
	return member, found && serves(member, pool, members.Leaving()) && members.MayServe()
}

// Tickets returns the number of requests that wait or hold a slot at the slot homes of this process.
func (s *Service) Tickets() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, known := range s.homes {
		count += int(known.tickets.Load())
	}
	return count
}

// Self returns the id of this entry.
func (s *Service) Self() acaciatally.EntryID { return s.config.Self }

// Home returns the entry that is the pool's slot home in this entry's view.
func (s *Service) Home(pool acaciatally.PoolName) acaciatally.EntryID {
	return s.circle.current().first(pool)
}

// homeOf returns the pool's home in this process, or nil when the pool does not exist or the service does not run.
func (s *Service) homeOf(pool acaciatally.PoolName) *home {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.homes[pool]; known != nil {
		return known
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

// Handlers returns the handlers of the stream kinds that the service serves.
func (s *Service) Handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{peer.Slot: s.serve, peer.Held: s.serve}
}
