package slot

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/membership"
)

// ringInterval is how often the live entries are read; a change of slot home is noticed within it.
const ringInterval = 50 * time.Millisecond

// ring is one version of the live entries that may be slot homes.
type ring struct {
	generation uint64
	entries    []acaciatally.EntryID
	changed    chan struct{} // closed when a newer version exists
	mu         sync.Mutex
	orders     map[acaciatally.PoolName][]acaciatally.EntryID
}

// maxOrder bounds the slot homes that are tried for one request before the fallback.
const maxOrder = 4

// homes returns the first entries in rendezvous order of the pool.
func (r *ring) homes(pool acaciatally.PoolName) []acaciatally.EntryID {
	r.mu.Lock()
	defer r.mu.Unlock()
	order, known := r.orders[pool]
	if !known {
		order = membership.Rendezvous(string(pool), r.entries, maxOrder)
		r.orders[pool] = order
	}
	return order
}

// first returns the slot home of the pool, or the empty id when no entry may be one.
func (r *ring) first(pool acaciatally.PoolName) acaciatally.EntryID {
	if order := r.homes(pool); len(order) > 0 {
		return order[0]
	}
	return ""
}

// circle keeps the newest ring.
type circle struct {
	self     acaciatally.EntryID
	members  acaciatally.Membership
	stopping atomic.Bool
	newest   atomic.Pointer[ring]
}

func newCircle(self acaciatally.EntryID, members acaciatally.Membership) *circle {
	c := &circle{self: self, members: members}
	c.publish(c.live(), 0)
	return c
}

func (c *circle) current() *ring { return c.newest.Load() }

func (c *circle) live() (entries []acaciatally.EntryID) {
	if !c.stopping.Load() {
		entries = append(entries, c.self)
	}
	for _, peer := range c.members.Live() {
		entries = append(entries, peer.ID)
	}
	slices.Sort(entries)
	return entries
}

func (c *circle) publish(entries []acaciatally.EntryID, generation uint64) {
	c.newest.Store(&ring{
		generation: generation, entries: entries, changed: make(chan struct{}),
		orders: map[acaciatally.PoolName][]acaciatally.EntryID{},
	})
}

// refresh publishes a new ring when the live entries have changed.
func (c *circle) refresh() {
	old := c.current()
	entries := c.live()
	if slices.Equal(entries, old.entries) {
		return
	}
	c.publish(entries, old.generation+1)
	close(old.changed)
}

func (c *circle) run(ctx context.Context) {
	ticker := time.NewTicker(ringInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.refresh()
		}
	}
}
