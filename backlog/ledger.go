package backlog

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// roomFactor is the room of a source as a multiple of what is free, less what it already has. One source alone can fill two thirds of the limit.
	roomFactor = 2
	// quietShare is the share of the limit up to which no state is published: every source has as much room as is free.
	quietShare = 0.5
	// queueShare is the share of the limit, beyond the limit, that is divided equally between the queues with jobs.
	queueShare = 0.25
	// resumeShare is the share of the limit below which jobs are read again that were left in the record store.
	resumeShare = 0.9
	// rateWindow is the time over which the freed memory is averaged.
	rateWindow = 5 * time.Second
	// memoryShare is the share of the memory for jobs. Requests on their way in have as much; the rest is for the process itself, for the records
	// of commits and reads, and for garbage.
	memoryShare = 0.2
	// MinLimit is the smallest limit with which the largest job is accepted while the leader publishes no State.
	MinLimit = 4 << 20
	// maxDefaultLimit is the limit of the smallest machines of the users' platform, of 184 MB.
	maxDefaultLimit = 36 << 20
	// maxSources bounds the size of the published state.
	maxSources = 32
)

// DefaultLimit returns the memory for jobs in a process with the given memory, both in bytes; 0 is unlimited. It is the same for all but the smallest
// processes, so that each of them can take over the jobs of any other.
func DefaultLimit(memory int64) int64 {
	if memory <= 0 {
		return 0
	}
	return min(maxDefaultLimit, max(MinLimit, int64(memoryShare*float64(memory))))
}

// Ledger accounts for the memory of the jobs that the leader knows, by source and by queue. It is not safe for concurrent use.
type Ledger struct {
	limit     int64 // bytes; 0 is unlimited
	total     usage
	sources   map[Source]*usage
	queues    map[acaciatally.QueueName]int64
	updatedAt time.Duration
}

// usage is what jobs take and how fast it is freed.
type usage struct {
	bytes          int64
	freed          int64   // bytes freed since the last update
	freedPerSecond float64 // moving mean
}

// NewLedger returns an empty ledger with a limit in bytes; 0 is unlimited.
func NewLedger(limit int64) *Ledger {
	return &Ledger{limit: limit, sources: map[Source]*usage{}, queues: map[acaciatally.QueueName]int64{}}
}

// Add adds the memory of a job of a source, which is in a queue; a negative number of bytes frees it.
func (l *Ledger) Add(source Source, queue acaciatally.QueueName, bytes int64) {
	if bytes == 0 {
		return
	}
	u := l.sources[source]
	if u == nil {
		u = &usage{}
		l.sources[source] = u
	}
	u.add(bytes)
	l.total.add(bytes)
	l.queues[queue] += bytes
	if l.queues[queue] == 0 {
		delete(l.queues, queue)
	}
}

func (u *usage) add(bytes int64) {
	u.bytes += bytes
	u.freed -= min(0, bytes)
}

// Bytes returns the memory of all jobs.
func (l *Ledger) Bytes() int64 { return l.total.bytes }

// Fits reports whether another job of a queue fits into memory. A queue always has its part of queueShare, whatever the other queues have.
func (l *Ledger) Fits(queue acaciatally.QueueName, bytes int64) bool {
	if l.limit == 0 || l.total.bytes+bytes <= l.limit {
		return true
	}
	return l.queues[queue]+bytes <= l.part()
}

// part returns the memory that each queue always has.
func (l *Ledger) part() int64 {
	return int64(queueShare*float64(l.limit)) / int64(len(l.queues)+1)
}

// HasRoom reports whether a source has room for more bytes, beside what other sources may need.
func (l *Ledger) HasRoom(source Source, bytes int64) bool {
	if l.limit == 0 {
		return true
	}
	if u := l.sources[source]; u != nil {
		bytes += u.bytes
	}
	return bytes <= roomFactor*(l.limit-l.total.bytes)
}

// Recovered reports whether enough memory is free to read jobs of a queue again that did not fit: a part of the limit, or of what the queue always has.
func (l *Ledger) Recovered(queue acaciatally.QueueName) bool {
	return l.total.bytes <= int64(resumeShare*float64(l.limit)) || l.queues[queue] <= l.part()/2
}

// State returns the state to publish. left reports whether accepted jobs wait in the record store because they do not fit; then there is no room
// for new ones.
func (l *Ledger) State(left bool, now time.Duration) *State {
	l.update(now)
	if l.limit == 0 || !left && l.total.bytes <= int64(quietShare*float64(l.limit)) {
		return nil
	}
	free := max(0, l.limit-l.total.bytes)
	if left {
		free = 0
	}
	state := &State{Room: l.total.room(free)}
	for source, u := range l.sources {
		if room := roomFactor*free - u.bytes; room < free {
			state.Sources = append(state.Sources, SourceRoom{Source: source, Room: u.room(max(0, room))})
		}
	}
	slices.SortFunc(state.Sources, func(a, b SourceRoom) int {
		return cmp.Or(
			cmp.Compare(l.sources[b.Source].bytes, l.sources[a.Source].bytes), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Queue, b.Queue),
		)
	})
	state.Sources = state.Sources[:min(len(state.Sources), maxSources)]
	return state
}

func (u *usage) room(free int64) Room {
	return Room{Free: free, FreedPerSecond: int64(u.freedPerSecond)}
}

// update updates the rates and forgets sources without jobs.
func (l *Ledger) update(now time.Duration) {
	elapsed := now - l.updatedAt
	if elapsed <= 0 {
		return
	}
	l.updatedAt = now
	l.total.update(elapsed)
	for source, u := range l.sources {
		if u.update(elapsed); u.bytes == 0 && u.freedPerSecond < 1 {
			delete(l.sources, source)
		}
	}
}

func (u *usage) update(elapsed time.Duration) {
	weight := min(1, elapsed.Seconds()/rateWindow.Seconds())
	u.freedPerSecond += weight * (float64(u.freed)/elapsed.Seconds() - u.freedPerSecond)
	u.freed = 0
}
