package site

import (
	"sync/atomic"
	"time"

	"github.com/acaciatally/acaciatally/backlog"
	"github.com/acaciatally/acaciatally/dispatch"
)

// backlogRoom is the room for new jobs: what this entry publishes while it leads, and what it admits by the state that the leader has published.
type backlogRoom struct {
	admission *backlog.Admission
	now       func() time.Duration
	published func() (state *backlog.State, version uint64) // by the leader
	own       atomic.Pointer[backlog.State]                 // to publish while this entry leads
	bytes     atomic.Int64                                  // that the jobs take in this entry while it leads
}

// admit reports whether the leader has memory for the given bytes of a source, or else the time after which it probably has.
func (b *backlogRoom) admit(source backlog.Source, bytes int64) (retryAfter time.Duration, admitted bool) {
	state, version := b.published()
	return b.admission.Admit(state, version, source, bytes, b.now())
}

// begin continues with the state of the leader before until this entry has read all jobs.
func (b *backlogRoom) begin() {
	state, _ := b.published()
	b.own.Store(state)
}

// update takes in the jobs of a round.
func (b *backlogRoom) update(scheduler *dispatch.Scheduler, left bool, now time.Duration) {
	b.own.Store(scheduler.Backlog(left, now))
	b.bytes.Store(scheduler.BacklogBytes())
}

// end handles that this entry does not lead any more.
func (b *backlogRoom) end() {
	b.own.Store(nil)
	b.bytes.Store(0)
}
