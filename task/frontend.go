package task

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally"
)

// ErrNoTask reports that the team has no task of that id.
var ErrNoTask = errors.New("no such task")

// ErrOtherTask reports that the id belongs to a task that differs from the submitted one.
var ErrOtherTask = errors.New("a different task has this id")

// FrontendConfig is what a Frontend needs; zero values take the defaults.
type FrontendConfig struct {
	Table    acaciatally.TableService
	Leases   acaciatally.TaskLeases
	Clock    acaciatally.Clock
	Interval time.Duration // for which calls are collected into one transaction
	Batch    int           // tasks of one transaction
	Queue    int           // calls that wait for a transaction
	Timeout  time.Duration // of each call to the platform
}

const (
	defaultInterval    = 20 * time.Millisecond
	defaultBatch       = 100
	defaultQueue       = 2000
	frontendRetryAfter = time.Second
)

// Frontend accepts, shows and cancels tasks in an entry; it is safe for concurrent use.
type Frontend struct {
	config        FrontendConfig
	submissions   chan *submission
	cancellations chan *cancellation
}

type submission struct {
	spec    Spec
	record  Record
	err     error
	maybe   bool // a transaction with the row may have taken effect
	settled bool
	done    chan struct{}
}

type cancellation struct {
	team    acaciatally.TeamName
	id      string
	record  Record
	err     error
	settled bool
	done    chan struct{}
}

// NewFrontend returns a frontend whose calls wait until Run is called.
func NewFrontend(config FrontendConfig) *Frontend {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	if config.Interval == 0 {
		config.Interval = defaultInterval
	}
	if config.Batch == 0 {
		config.Batch = defaultBatch
	}
	if config.Queue == 0 {
		config.Queue = defaultQueue
	}
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	return &Frontend{
		config:        config,
		submissions:   make(chan *submission, config.Queue),
		cancellations: make(chan *cancellation, config.Queue),
	}
}

// Run carries out the calls until ctx ends.
func (d *Frontend) Run(ctx context.Context) (err error) {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for batch := d.collectSubmissions(ctx); len(batch) > 0; batch = d.collectSubmissions(ctx) {
			d.submit(ctx, batch)
		}
		return nil
	})
	group.Go(func() error {
		for batch := d.collectCancellations(ctx); len(batch) > 0; batch = d.collectCancellations(ctx) {
			d.cancel(ctx, batch)
		}
		return nil
	})
	return group.Wait()
}

// Submit accepts a task durably; repeating it with the same content returns the task as it is. It fails with *InvalidSpecError,
// ErrOtherTask, or a *acaciatally.Refusal whose outcome is NotRun only if the task will certainly not run.
func (d *Frontend) Submit(ctx context.Context, spec Spec) (record Record, err error) {
	if err = spec.Validate(); err != nil {
		return Record{}, err
	}
	call := &submission{spec: spec, done: make(chan struct{})}
	select {
	case d.submissions <- call:
	default:
		return Record{}, refusal(acaciatally.NotRun, "too many tasks are being submitted")
	}
	select {
	case <-call.done:
		return call.record, call.err
	case <-ctx.Done():
		return Record{}, refusal(acaciatally.Unknown, "the submission was not finished in time")
	}
}

// Cancel ends a task; it fails with ErrNoTask or a *acaciatally.Refusal, and returns a task that had ended before as it is.
func (d *Frontend) Cancel(ctx context.Context, team acaciatally.TeamName, id string) (record Record, err error) {
	call := &cancellation{team: team, id: id, done: make(chan struct{})}
	select {
	case d.cancellations <- call:
	default:
		return Record{}, refusal(acaciatally.NotRun, "too many tasks are being cancelled")
	}
	select {
	case <-call.done:
		return call.record, call.err
	case <-ctx.Done():
		return Record{}, refusal(acaciatally.Unknown, "the cancellation was not finished in time")
	}
}

// Show returns a task of the team; it fails with ErrNoTask or acaciatally.ErrUnavailable.
func (d *Frontend) Show(ctx context.Context, team acaciatally.TeamName, id string) (record Record, err error) {
	found, err := d.find(ctx, []string{id})
	if err != nil {
		return Record{}, err
	}
	if len(found) == 0 || found[0].record.Spec.Team != team {
		return Record{}, ErrNoTask
	}
	return found[0].record, nil
}

func refusal(outcome acaciatally.Outcome, reason string) error {
	return &acaciatally.Refusal{Outcome: outcome, Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: frontendRetryAfter}
}

type stored struct {
	record  Record
	version uint64
}

// find reads the tasks that exist among ids with two reads, in order of ids.
func (d *Frontend) find(ctx context.Context, ids []string) (found []stored, err error) {
	ctx, cancel := context.WithTimeout(ctx, d.config.Timeout)
	defer cancel()
	keys := make([]string, 0, len(ids))
	for _, id := range ids {
		keys = append(keys, indexKey(id))
	}
	indexes, err := d.config.Table.Read(ctx, keys...)
	if err != nil || len(indexes) == 0 {
		return nil, err
	}
	keys = keys[:0]
	for _, index := range indexes {
		keys = append(keys, RowKey(acaciatally.PoolName(index.Value), index.Key[len(indexPrefix):]))
	}
	rows, err := d.config.Table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		record, err := Decode(row.Value)
		if err != nil {
			return nil, err
		}
		found = append(found, stored{record: record, version: row.Version})
	}
	return found, nil
}

func (d *Frontend) collectSubmissions(ctx context.Context) (batch []*submission) {
	select {
	case first := <-d.submissions:
		batch = append(batch, first)
	case <-ctx.Done():
		return nil
	}
	timer := time.NewTimer(d.config.Interval)
	defer timer.Stop()
	for len(batch) < d.config.Batch {
		select {
		case next := <-d.submissions:
			batch = append(batch, next)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

func (d *Frontend) collectCancellations(ctx context.Context) (batch []*cancellation) {
	select {
	case first := <-d.cancellations:
		batch = append(batch, first)
	case <-ctx.Done():
		return nil
	}
	timer := time.NewTimer(d.config.Interval)
	defer timer.Stop()
	for len(batch) < d.config.Batch {
		select {
		case next := <-d.cancellations:
			batch = append(batch, next)
		case <-timer.C:
			return batch
		}
	}
	return batch
}
