package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally"
)

const (
	// roundGap gathers what arrives together into one round of decisions.
	roundGap = 3 * time.Millisecond
	// roundEvery bounds how late a decision that only depends on time may be.
	roundEvery = 50 * time.Millisecond
	// followWait is how long a feed may wait; a silent connection is noticed soon after.
	followWait = time.Second
	// followGap gathers changes of a table into one answer.
	followGap = 15 * time.Millisecond
	// commitRetry is the pause after a commit or read without effect.
	commitRetry = 100 * time.Millisecond
	// actRetry is the pause between two looks at a right to act that has lapsed.
	actRetry    = 20 * time.Millisecond
	eventBuffer = 1024
)

// ErrDeposed reports that another leader has taken over.
var ErrDeposed = errors.New("another leader has taken over")

// DecodeWorker decodes an entry of the directory.
type DecodeWorker func(record acaciatally.Record) (worker acaciatally.Worker, err error)

// RunnerConfig is what a Runner needs.
type RunnerConfig struct {
	Store         acaciatally.RecordStore
	Orders        acaciatally.WorkerOrders
	Adviser       acaciatally.Adviser // nil leaves queues that need advice waiting
	WorkerTable   string
	DecodeWorker  DecodeWorker
	Configuration func() *acaciatally.Configuration // newest configuration; nil before the first one
	Now           func() time.Duration              // monotonic clock that counts suspension
	Leads         func() bool                       // whether this entry may act as the leader
	Deposed       func()                            // ends the tenure
	Machine       Config
	// Round is called after each round of decisions, in the goroutine that owns the machine.
	Round func(m *Machine, now time.Duration)
}

// Runner carries out one tenure of a leader.
type Runner struct {
	config    RunnerConfig
	machine   *Machine
	events    chan func()
	loaded    map[acaciatally.QueueName]uint64 // versions at which partitions were read
	loading   map[acaciatally.QueueName]bool
	directory map[acaciatally.WorkerID]acaciatally.Worker
	complete  bool // all partitions are read; before that a run of an unread job would seem to be unknown
	senders   sync.WaitGroup
}

// NewRunner returns a runner for one tenure.
func NewRunner(config RunnerConfig) *Runner {
	return &Runner{
		config: config, machine: New(config.Machine), events: make(chan func(), eventBuffer),
		loaded: map[acaciatally.QueueName]uint64{}, loading: map[acaciatally.QueueName]bool{},
		directory: map[acaciatally.WorkerID]acaciatally.Worker{},
	}
}

// Run dispatches until ctx ends or another leader takes over.
func (r *Runner) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("dispatch").With("epoch", r.config.Machine.Epoch).Wrapf(err, "dispatch jobs") }()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.decide(ctx) })
	group.Go(func() error { return r.followJobs(ctx) })
	group.Go(func() error { return r.followWorkers(ctx) })
	err = group.Wait()
	r.senders.Wait()
	return err
}

// Post runs f in the goroutine that owns the machine.
func (r *Runner) Post(ctx context.Context, f func()) {
	select {
	case r.events <- f:
	case <-ctx.Done():
	}
}

// decide owns the machine: it takes in events and acts on the decisions, one round at a time.
func (r *Runner) decide(ctx context.Context) error {
	timer := time.NewTicker(roundEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-r.events:
			f()
			if err := r.gather(ctx); err != nil {
				return nil //nolint:nilerr // the tenure has ended
			}
		case <-timer.C:
		}
		if r.complete && r.config.Leads() {
			r.round(ctx)
		}
	}
}

// gather takes in what arrives within a short time.
func (r *Runner) gather(ctx context.Context) error {
	pause := time.NewTimer(roundGap)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case f := <-r.events:
			f()
		case <-pause.C:
			return nil
		}
	}
}

func (r *Runner) round(ctx context.Context) {
	now := r.config.Now()
	if configuration := r.config.Configuration(); configuration != nil {
		r.machine.Configure(configuration)
	}
	r.machine.Plan(now, time.Now())
	if r.config.Round != nil {
		r.config.Round(r.machine, now)
	}
	for _, commit := range r.machine.Commits(now) {
		r.send(func() { r.commit(ctx, commit) })
	}
	for _, order := range r.machine.Orders(now) {
		r.send(func() { r.order(ctx, order) })
	}
	if r.config.Adviser != nil {
		for _, question := range r.machine.Questions(now) {
			r.send(func() { r.ask(ctx, question) })
		}
	}
	for _, renewal := range r.machine.Renewals(now) {
		r.send(func() { r.renew(ctx, renewal) })
	}
}

// errRightLapsed reports that an order was not sent, since the right to act had lapsed for a moment; it is to be decided anew.
var errRightLapsed = errors.New("the right to act had lapsed")

// mayAct waits while this entry must not act and its tenure has not ended; false means that it has. The right to act may lapse and come
// back within one tenure, when the answer to a renewal is late.
func (r *Runner) mayAct(ctx context.Context) bool {
	for ctx.Err() == nil {
		if r.config.Leads() {
			return true
		}
		acaciatally.Pause(ctx, actRetry)
	}
	return false
}

func (r *Runner) send(f func()) {
	r.senders.Go(f)
}

func (r *Runner) renew(ctx context.Context, renewal Renewal) {
	sent := r.config.Now()
	report, err := r.config.Orders.Renew(ctx, renewal.Worker, renewal.Order)
	r.Post(ctx, func() {
		if err != nil {
			r.machine.RenewalFailed(renewal.Worker.ID, err, r.config.Now())
			return
		}
		r.machine.Report(renewal.Worker.ID, report, sent, r.config.Now())
	})
}

func (r *Runner) order(ctx context.Context, order Order) {
	var err error
	if !r.config.Leads() {
		if r.mayAct(ctx) {
			r.Post(ctx, func() { r.machine.Ordered(order, errRightLapsed, r.config.Now()) })
		}
		return
	}
	switch order.Kind {
	case OrderStart:
		err = r.config.Orders.Start(ctx, order.Worker, order.Start)
	case OrderStop:
		err = r.config.Orders.Stop(ctx, order.Worker, order.Start.RunOrder)
	case OrderPace:
		err = r.config.Orders.Pace(ctx, order.Worker, order.Start.RunOrder, order.Percent)
	}
	r.Post(ctx, func() { r.machine.Ordered(order, err, r.config.Now()) })
}

func (r *Runner) ask(ctx context.Context, question Question) {
	advice, err := r.config.Adviser.Advise(ctx, question.Job, question.Occurrence, question.Step, question.Workers)
	r.Post(ctx, func() { r.machine.Advised(question, advice, err, r.config.Now()) })
}

// commit sends a transaction; one whose answer was lost is repeated as it is, since its condition lets it take effect only once.
func (r *Runner) commit(ctx context.Context, commit *Commit) {
	unsure := false
	for r.mayAct(ctx) {
		version, err := r.config.Store.Commit(ctx, commit.Transaction)
		var conflict *acaciatally.RecordConflictError
		switch {
		case err == nil:
			r.Post(ctx, func() { r.machine.Committed(commit, version, r.config.Now()) })
			return
		case errors.As(err, &conflict):
			r.conflict(ctx, commit, conflict)
			return
		case errors.Is(err, acaciatally.ErrUnknownCommit):
			unsure = true
		case !unsure:
			r.Post(ctx, func() { r.machine.CommitFailed(commit, r.config.Now()+commitRetry) })
			return
		}
		acaciatally.Pause(ctx, commitRetry)
	}
}

// conflict finds out whether an earlier try of the commit took effect, or another leader has written.
func (r *Runner) conflict(ctx context.Context, commit *Commit, conflict *acaciatally.RecordConflictError) {
	current, found := conflict.Find(OwnerKey(commit.Queue))
	var owner Owner
	if found && json.Unmarshal(current.Value, &owner) == nil && owner == commit.Owner {
		r.Post(ctx, func() { r.machine.Committed(commit, current.Version, r.config.Now()) })
		return
	}
	r.depose(ctx)
}

// depose ends the tenure.
func (r *Runner) depose(ctx context.Context) {
	r.config.Machine.Journal.Deposed(r.config.Machine.Epoch)
	r.config.Deposed()
	<-ctx.Done()
}
