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
	homes      map[acaciatally.PoolName]acaciatally.EntryID
}

// first returns the slot home of the pool, or the empty id when no entry may be one.
func (r *ring) first(pool acaciatally.PoolName) (home acaciatally.EntryID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	home, known := r.homes[pool]
	if known {
		return home
	}
	if order := membership.Rendezvous(string(pool), r.entries, 1); len(order) > 0 {
		home = order[0]
	}
	r.homes[pool] = home
	return home
}

// circle keeps the newest ring. An entry that did not answer as slot home is left out of it until the entry is heard again.
type circle struct {
	self     acaciatally.EntryID
	members  acaciatally.Membership
	stopping atomic.Bool
	newest   atomic.Pointer[ring]

	mu       sync.Mutex
	suspects map[acaciatally.EntryID]time.Time // since when
}

func newCircle(self acaciatally.EntryID, members acaciatally.Membership) *circle {
	c := &circle{self: self, members: members, suspects: map[acaciatally.EntryID]time.Time{}}
	c.publish(c.live(), 0)
	return c
}

func (c *circle) current() *ring { return c.newest.Load() }

// suspect leaves the entry out until it has said hello after this moment.
func (c *circle) suspect(entry acaciatally.EntryID) {
	if entry == c.self {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[entry] = time.Now()
	c.refreshLocked()
}

// refresh publishes a new ring when the live entries have changed.
func (c *circle) refresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshLocked()
}

func (c *circle) refreshLocked() {
	old := c.current()
	entries := c.live()
	if slices.Equal(entries, old.entries) {
		return
	}
	c.publish(entries, old.generation+1)
	close(old.changed)
}

func (c *circle) live() (entries []acaciatally.EntryID) {
	if !c.stopping.Load() {
		entries = append(entries, c.self)
	}
	for _, peer := range c.members.Live() {
		if since, suspected := c.suspects[peer.ID]; suspected && !peer.HeardAt.After(since) {
			continue
		}
		delete(c.suspects, peer.ID)
		entries = append(entries, peer.ID)
	}
	slices.Sort(entries)
	return entries
}

func (c *circle) publish(entries []acaciatally.EntryID, generation uint64) {
	c.newest.Store(&ring{
		generation: generation, entries: entries, changed: make(chan struct{}),
		homes: map[acaciatally.PoolName]acaciatally.EntryID{},
	})
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
