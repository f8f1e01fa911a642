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

// selectorInterval is the interval at which the live entries are read; a change of slot home is noticed within it.
const selectorInterval = 50 * time.Millisecond

// candidateSet is one version of the set of live entries that may be slot homes.
type candidateSet struct {
	generation uint64
	entries    []acaciatally.EntryID
	changed    chan struct{} // closed when a newer version exists
	mu         sync.Mutex
	homes      map[acaciatally.PoolName]acaciatally.EntryID
}

// home returns the slot home of the pool, or the empty id when there is no candidate.
func (s *candidateSet) home(pool acaciatally.PoolName) (home acaciatally.EntryID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	home, known := s.homes[pool]
	if known {
		return home
	}
	if order := membership.Rendezvous(string(pool), s.entries, 1); len(order) > 0 {
		home = order[0]
	}
	s.homes[pool] = home
	return home
}

// homeSelector maintains the latest candidateSet. An entry that did not reply as slot home is excluded until a later
// contact with it is known.
type homeSelector struct {
	self     acaciatally.EntryID
	members  acaciatally.Membership
	stopping atomic.Bool
	latest   atomic.Pointer[candidateSet]

	mu          sync.Mutex
	suspectedAt map[acaciatally.EntryID]time.Time // time of the last suspicion
}

func newHomeSelector(self acaciatally.EntryID, members acaciatally.Membership) *homeSelector {
	s := &homeSelector{self: self, members: members, suspectedAt: map[acaciatally.EntryID]time.Time{}}
	s.publish(s.candidates(), 0)
	return s
}

func (s *homeSelector) current() *candidateSet { return s.latest.Load() }

// suspect excludes the entry until a contact with it after now is known. It does nothing for this entry itself.
func (s *homeSelector) suspect(entry acaciatally.EntryID) {
	if entry == s.self {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspectedAt[entry] = time.Now()
	s.refreshLocked()
}

// refresh publishes a new candidateSet when the candidates have changed.
func (s *homeSelector) refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refreshLocked()
}

func (s *homeSelector) refreshLocked() {
	old := s.current()
	entries := s.candidates()
	if slices.Equal(entries, old.entries) {
		return
	}
	s.publish(entries, old.generation+1)
	close(old.changed)
}

func (s *homeSelector) candidates() (entries []acaciatally.EntryID) {
	if !s.stopping.Load() {
		entries = append(entries, s.self)
	}
	for _, peer := range s.members.Live() {
		if since, suspected := s.suspectedAt[peer.ID]; suspected && !peer.LastContact.After(since) {
			continue
		}
		delete(s.suspectedAt, peer.ID)
		entries = append(entries, peer.ID)
	}
	slices.Sort(entries)
	return entries
}

func (s *homeSelector) publish(entries []acaciatally.EntryID, generation uint64) {
	s.latest.Store(&candidateSet{
		generation: generation, entries: entries, changed: make(chan struct{}),
		homes: map[acaciatally.PoolName]acaciatally.EntryID{},
	})
}

func (s *homeSelector) run(ctx context.Context) {
	ticker := time.NewTicker(selectorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.refresh()
		}
	}
}
