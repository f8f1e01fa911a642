package backlog

import (
	"sync"
	"time"
)

const (
	// otherEntries is how many other entries are assumed to accept as much as this one while a state is in force.
	otherEntries = 3
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller returns.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Admission decides at one entry which new jobs there is room for. It is safe for concurrent use.
type Admission struct {
	limit    int64 // bytes of the jobs of all entries; 0 is unlimited
	mutex    sync.Mutex
	version  uint64
	accepted [2]map[Source]int64      // bytes accepted since the current version of the state, and during the one before
	returns  map[Source]time.Duration // when the callers refused so far have returned
}

// NewAdmission returns the admission of an entry whose jobs may take limit bytes together with those of all others; 0 is unlimited.
func NewAdmission(limit int64) *Admission {
	return &Admission{
		limit: limit, accepted: [2]map[Source]int64{{}, {}}, returns: map[Source]time.Duration{},
	}
}

// Admit reports whether there is room for a job, or for the record of one, that takes the given bytes. Otherwise it returns the time after which there
// probably is. The version is that of the state, which may be nil.
func (a *Admission) Admit(state *State, version uint64, source Source, bytes int64, now time.Duration) (retryAfter time.Duration, admitted bool) {
	if a.limit == 0 {
		return 0, true
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.setVersion(version)
	if state == nil {
		state = &State{Room: Room{Free: int64((1 - quietShare) * float64(a.limit))}}
	}
	room := state.of(source)
	if !a.fits(source, room, state.Free-a.takenByAll(), bytes) {
		return a.book(source, room, bytes, now), false
	}
	a.accepted[0][source] += bytes
	return 0, true
}

// fits reports whether a job fits into the room of its source and into what is free, of which no source may take more than roomFactor allows.
func (a *Admission) fits(source Source, room Room, free, bytes int64) bool {
	taken := a.taken(source) + bytes
	return bytes <= free && taken <= min(room.Free, roomFactor*free)
}

// setVersion starts the count of another version of the state. Jobs that were accepted during the version before may not be in the new state yet.
func (a *Admission) setVersion(version uint64) {
	if version == a.version {
		return
	}
	a.version = version
	a.accepted[0], a.accepted[1] = map[Source]int64{}, a.accepted[0]
}

// taken returns what the jobs of a source that the state does not know may take at all entries.
func (a *Admission) taken(source Source) int64 {
	return (1 + otherEntries) * (a.accepted[0][source] + a.accepted[1][source])
}

func (a *Admission) takenByAll() (total int64) {
	for _, accepted := range a.accepted {
		for source := range accepted {
			total += (1 + otherEntries) * accepted[source]
		}
	}
	return total
}

// book returns when a refused caller may return, after those that were refused before it, at the rate at which room becomes free.
func (a *Admission) book(source Source, room Room, bytes int64, now time.Duration) (retryAfter time.Duration) {
	if bytes <= room.Free {
		return minRetryAfter // only the room until the next version of the state is taken
	}
	if room.FreedPerSecond == 0 {
		return maxRetryAfter
	}
	latest := now + maxRetryAfter
	start := min(latest, max(a.returns[source], now+room.timeToFree(bytes-room.Free)))
	a.returns[source] = min(latest, start+room.timeToFree(bytes))
	return max(minRetryAfter, start-now)
}

// timeToFree returns how long it takes until the given bytes become free, at most maxRetryAfter.
func (r Room) timeToFree(bytes int64) time.Duration {
	seconds := float64(bytes) / float64(r.FreedPerSecond)
	return time.Duration(min(maxRetryAfter.Seconds(), seconds) * float64(time.Second))
}
