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
	"github.com/acaciatally/acaciatally/job"
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
	for ctx.Err() == nil && r.config.Leads() {
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
		pause(ctx, commitRetry)
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

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// followWorkers keeps the directory up to date.
func (r *Runner) followWorkers(ctx context.Context) error {
	for ctx.Err() == nil {
		page, err := r.config.Store.Read(ctx, acaciatally.RecordRange{Table: r.config.WorkerTable})
		if err != nil {
			pause(ctx, commitRetry)
			continue
		}
		r.Post(ctx, func() {
			clear(r.directory)
			r.list(page.Records)
		})
		r.follow(ctx, r.config.WorkerTable, page.Version, r.list)
	}
	return nil
}

// follow passes on the changes of a table until its history is gone.
func (r *Runner) follow(ctx context.Context, table string, version uint64, take func(records []acaciatally.Record)) {
	for ctx.Err() == nil {
		page, err := r.config.Store.Follow(ctx, table, version, followWait)
		if errors.Is(err, acaciatally.ErrHistoryGone) {
			return
		}
		if err != nil {
			pause(ctx, commitRetry)
			continue
		}
		version = page.Version
		if len(page.Records) > 0 {
			r.Post(ctx, func() { take(page.Records) })
			pause(ctx, followGap)
		}
	}
}

// list takes in entries of the directory; one that can't be decoded names no usable worker.
func (r *Runner) list(records []acaciatally.Record) {
	for _, record := range records {
		id := acaciatally.WorkerID(record.Key)
		if record.Deleted {
			delete(r.directory, id)
			continue
		}
		worker, err := r.config.DecodeWorker(record)
		if err != nil {
			r.config.Machine.Journal.EntryIgnored(record.RecordKey, record.Version, err)
			delete(r.directory, id)
			continue
		}
		r.directory[id] = worker
	}
	workers := make([]acaciatally.Worker, 0, len(r.directory))
	for _, worker := range r.directory {
		workers = append(workers, worker)
	}
	r.machine.SetDirectory(workers, r.config.Now())
}

// followJobs loads all partitions and then takes in new jobs and cancellations.
func (r *Runner) followJobs(ctx context.Context) error {
	for ctx.Err() == nil {
		partitions, err := r.config.Store.Partitions(ctx, job.ProgressTable)
		if err != nil {
			pause(ctx, commitRetry)
			continue
		}
		version, err := r.newest(ctx)
		if err != nil {
			pause(ctx, commitRetry)
			continue
		}
		var group errgroup.Group
		for _, name := range partitions {
			group.Go(func() error { return r.load(ctx, acaciatally.QueueName(name)) })
		}
		if group.Wait() != nil {
			continue
		}
		r.Post(ctx, func() { r.complete = true })
		r.follow(ctx, job.Table, version, func(records []acaciatally.Record) { r.arrive(ctx, records) })
	}
	return nil
}

// newest returns the newest version of the store.
func (r *Runner) newest(ctx context.Context) (version uint64, err error) {
	page, err := r.config.Store.Read(ctx, acaciatally.RecordRange{Table: OwnerTable})
	return page.Version, err
}

// arrive takes in changes of the table of jobs.
func (r *Runner) arrive(ctx context.Context, records []acaciatally.Record) {
	for _, record := range records {
		queue := acaciatally.QueueName(record.Partition)
		loaded, known := r.loaded[queue]
		switch {
		case record.Deleted || (known && record.Version <= loaded):
		case !known:
			r.loadLater(ctx, queue)
		default:
			r.take(queue, record)
		}
	}
}

// loadLater reads a partition that has had no jobs before; what arrives meanwhile is in what is read.
func (r *Runner) loadLater(ctx context.Context, queue acaciatally.QueueName) {
	if r.loading[queue] {
		return
	}
	r.loading[queue] = true
	r.send(func() {
		for ctx.Err() == nil && r.load(ctx, queue) != nil {
			pause(ctx, commitRetry)
		}
	})
}

// take takes in one new record of the table of jobs.
func (r *Runner) take(queue acaciatally.QueueName, record acaciatally.Record) {
	if id, cancels := job.Cancels(record); cancels {
		r.machine.Cancel(queue, id)
		return
	}
	accepted, err := job.DecodeAccepted(record.Value)
	if err != nil {
		r.config.Machine.Journal.EntryIgnored(record.RecordKey, record.Version, err)
		return
	}
	digest := job.Digest(accepted.Spec)
	progress := job.Progress{State: acaciatally.JobQueued, Digest: digest}
	r.machine.Load(acaciatally.JobID(record.Key), accepted, progress, r.config.Now())
}

// load claims a partition, so that no earlier leader writes there any more, and reads it.
func (r *Runner) load(ctx context.Context, queue acaciatally.QueueName) (err error) {
	owner, err := r.claimOnce(ctx, queue)
	if err != nil {
		pause(ctx, commitRetry)
		return err
	}
	progress, err := r.config.Store.Read(ctx, acaciatally.RecordRange{Table: job.ProgressTable, Partition: string(queue)})
	if err != nil {
		pause(ctx, commitRetry)
		return err
	}
	jobs, err := r.config.Store.Read(ctx, acaciatally.RecordRange{Table: job.Table, Partition: string(queue)})
	if err != nil {
		pause(ctx, commitRetry)
		return err
	}
	r.Post(ctx, func() { r.takePartition(queue, owner, progress.Records, jobs) })
	return nil
}

// takePartition takes in a partition as it was read: the jobs after their progress, so that each has one.
func (r *Runner) takePartition(queue acaciatally.QueueName, owner uint64, progress []acaciatally.Record, jobs acaciatally.RecordPage) {
	if !r.machine.Owns(queue) {
		r.machine.Claimed(queue, owner)
	}
	r.loaded[queue] = jobs.Version
	byID := r.takeProgress(queue, progress)
	for _, record := range jobs.Records {
		if _, cancels := job.Cancels(record); cancels {
			continue
		}
		accepted, err := job.DecodeAccepted(record.Value)
		if err != nil {
			r.config.Machine.Journal.EntryIgnored(record.RecordKey, record.Version, err)
			continue
		}
		known, found := byID[record.Key]
		if !found { // accepted after the progress was read
			known = job.Progress{State: acaciatally.JobQueued, Digest: job.Digest(accepted.Spec)}
		}
		if !known.State.Ended() {
			r.machine.Load(acaciatally.JobID(record.Key), accepted, known, r.config.Now())
		}
	}
	for _, record := range jobs.Records {
		if id, cancels := job.Cancels(record); cancels {
			r.machine.Cancel(queue, id)
		}
	}
}

// takeProgress decodes the progress of a partition's jobs; the ended ones are only retained.
func (r *Runner) takeProgress(queue acaciatally.QueueName, records []acaciatally.Record) (byID map[string]job.Progress) {
	byID = map[string]job.Progress{}
	for _, record := range records {
		decoded, err := job.DecodeProgress(record.Value)
		if err != nil {
			r.config.Machine.Journal.EntryIgnored(record.RecordKey, record.Version, err)
			continue
		}
		byID[record.Key] = decoded
		if decoded.State.Ended() {
			r.machine.Retain(queue, acaciatally.JobID(record.Key), r.config.Now())
		}
	}
	return byID
}

// claimOnce claims a partition that this tenure has not claimed before; otherwise its own commits continue.
func (r *Runner) claimOnce(ctx context.Context, queue acaciatally.QueueName) (version uint64, err error) {
	owned := make(chan bool, 1)
	r.Post(ctx, func() { owned <- r.machine.Owns(queue) })
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case known := <-owned:
		if known {
			return 0, nil
		}
	}
	return r.claim(ctx, queue)
}

// claim replaces the owner record of a partition.
func (r *Runner) claim(ctx context.Context, queue acaciatally.QueueName) (version uint64, err error) {
	key := OwnerKey(queue)
	mine := Owner{Epoch: r.config.Machine.Epoch}
	for ctx.Err() == nil {
		page, err := r.config.Store.Read(ctx, acaciatally.RecordRange{Table: key.Table, Partition: key.Partition})
		if err != nil {
			return 0, err
		}
		var current Owner
		for _, record := range page.Records {
			if err := json.Unmarshal(record.Value, &current); err != nil {
				return 0, err
			}
			version = record.Version
		}
		if current.Epoch > mine.Epoch {
			r.depose(ctx)
			return 0, ErrDeposed
		}
		if current == mine {
			return version, nil // an earlier try whose answer was lost
		}
		committed, err := r.config.Store.Commit(ctx, acaciatally.RecordTransaction{
			Conditions: []acaciatally.RecordCondition{{RecordKey: key, Version: version}},
			Writes:     []acaciatally.RecordWrite{{RecordKey: key, Value: EncodeOwner(mine)}},
		})
		if err == nil {
			return committed, nil
		}
		pause(ctx, commitRetry)
	}
	return 0, ctx.Err()
}
