package leadership

import (
	"context"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/backlog"
	"github.com/acaciatally/acaciatally/overload"
)

const (
	// callTimeout leaves time for a second renewal within the short term.
	callTimeout = 800 * time.Millisecond
	// retryTimeout is the timeout of a proposal after one whose response was lost, possibly because the store is slow.
	retryTimeout = 1300 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 100 * time.Millisecond
)

// EventLog logs the events of the election.
type EventLog interface {
	// LeaderChanged logs a change of the leader; version is that of the lease record, and self is true if the leader is this entry.
	LeaderChanged(row Row, version uint64, self bool)
	// RecordIgnored logs a record that can't be decoded.
	RecordIgnored(key acaciatally.RecordKey, version uint64, err error)
	// LeadershipChanged logs that this entry starts or stops leading, or that it failed to propose or release the lease or to request a
	// handover. The epoch is that of the lease, or 0 for a failed handover request.
	LeadershipChanged(epoch uint64, leads bool, reason string)
}

// ElectorConfig is the configuration of an Elector.
type ElectorConfig struct {
	Lease    Config
	Store    acaciatally.RecordStore
	Now      func() time.Duration // monotonic clock that also runs during system suspend
	EventLog EventLog
	// StartDelay returns the delay to publish with the lease while this entry leads; nil if there is none.
	StartDelay func() time.Duration
	// Overload returns the admission to publish with the lease while this entry leads; nil if there is none.
	Overload func() *overload.State
	// Backlog returns the room for new jobs to publish with the lease while this entry leads; nil if there is none.
	Backlog func() *backlog.State
	// Lead runs the leader until ctx ends and must not act after that.
	Lead func(ctx context.Context, epoch uint64)
}

// Elector takes part in the election and calls Lead while this entry holds the lease.
type Elector struct {
	config      ElectorConfig
	mutex       sync.Mutex
	lease       *Lease
	readVersion uint64          // store version up to which the lease table was read
	leadership  *leadershipTerm // nil while this entry does not lead
	lastUnknown bool            // the outcome of the last proposal is unknown
}

// leadershipTerm is a running call of Lead.
type leadershipTerm struct {
	epoch  uint64
	cancel context.CancelFunc
	done   chan struct{}
}

// NewElector returns an elector that is not running yet.
func NewElector(config ElectorConfig) *Elector {
	return &Elector{config: config, lease: New(config.Lease)}
}

// Leads reports whether this entry may act now as the leader of the epoch.
func (e *Elector) Leads(epoch uint64) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lease.Epoch() == epoch && e.lease.Leads(e.config.Now())
}

// StartDelay returns how long the tasks of a job submitted now would wait for the leader to start them.
func (e *Elector) StartDelay() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lease.StartDelay(e.config.Now())
}

// Backlog returns the room for new jobs, or nil if there is plenty, and the version of the lease with which it was published.
func (e *Elector) Backlog() (state *backlog.State, version uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lease.Backlog()
}

// Overload returns the admission of the new jobs of accounts under pressure, or nil.
func (e *Elector) Overload() *overload.State {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lease.Overload(e.config.Now())
}

// Resign ends the leadership at once, because another leader was noticed; epoch is its epoch, or 0 if it is not known.
func (e *Elector) Resign(epoch uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lease.Resign(epoch)
}

// Run takes part in the election until ctx ends, then releases the lease.
func (e *Elector) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("leadership").Wrapf(err, "run leader election") }()
	for ctx.Err() == nil {
		step, delay := e.next()
		e.syncLeadership(ctx)
		switch step {
		case Wait:
			e.wait(ctx, delay)
		case Renew, Acquire:
			e.propose(ctx)
		case RequestHandover:
			e.requestHandover(ctx)
		}
		e.syncLeadership(ctx)
	}
	e.endLeadership("stopping")
	e.release(context.WithoutCancel(ctx), "")
	return nil
}

// next returns the next step of the election, and for Wait its longest delay.
func (e *Elector) next() (step Step, delay time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lease.Next(e.config.Now())
}

// syncLeadership starts or ends the leadership according to the lease.
func (e *Elector) syncLeadership(ctx context.Context) {
	e.mutex.Lock()
	leads, epoch := e.lease.Leads(e.config.Now()), e.lease.Epoch()
	e.mutex.Unlock()
	if e.leadership != nil && (!leads || e.leadership.epoch != epoch) {
		e.endLeadership("lease lost")
	}
	if !leads || e.leadership != nil || ctx.Err() != nil {
		return
	}
	e.config.EventLog.LeadershipChanged(epoch, true, "lease acquired")
	leadCtx, cancel := context.WithCancel(ctx)
	e.leadership = &leadershipTerm{epoch: epoch, cancel: cancel, done: make(chan struct{})}
	go func(done chan struct{}) {
		defer close(done)
		e.config.Lead(leadCtx, epoch)
	}(e.leadership.done)
}

// endLeadership ends the running call of Lead, if there is one, and waits until it has returned.
func (e *Elector) endLeadership(reason string) {
	if e.leadership == nil {
		return
	}
	e.config.EventLog.LeadershipChanged(e.leadership.epoch, false, reason)
	e.leadership.cancel()
	<-e.leadership.done
	e.leadership = nil
}
