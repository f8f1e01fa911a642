package task

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/acaciatally/acaciatally"
)

// ErrTaskNotFound reports that the team has no task of that id.
var ErrTaskNotFound = errors.New("no such task")

// ErrTaskIDInUse reports that the id belongs to a task that differs from the submitted one.
var ErrTaskIDInUse = errors.New("a different task has this id")

// FrontendConfig configures a Frontend; zero values take the defaults.
type FrontendConfig struct {
	Table         acaciatally.TableService
	Leases        acaciatally.TaskLeases
	Clock         acaciatally.Clock
	BatchInterval time.Duration // for which calls are collected into one transaction
	BatchSize     int           // maximum number of tasks in one transaction
	QueueLength   int           // maximum number of calls of one kind that wait for a transaction
	Timeout       time.Duration // of each call to the platform
}

const (
	defaultBatchInterval = 20 * time.Millisecond
	defaultBatchSize     = 100
	defaultQueueLength   = 2000
	refusalRetryAfter    = time.Second
)

// Frontend accepts, shows and cancels tasks in an entry; it is safe for concurrent use.
type Frontend struct {
	config        FrontendConfig
	submissions   chan *submission
	cancellations chan *cancellation
	pools         fullPools // belongs to the goroutine that submits
}

// NewFrontend returns a frontend whose calls wait until Run is called.
func NewFrontend(config FrontendConfig) *Frontend {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	if config.BatchInterval == 0 {
		config.BatchInterval = defaultBatchInterval
	}
	if config.BatchSize == 0 {
		config.BatchSize = defaultBatchSize
	}
	if config.QueueLength == 0 {
		config.QueueLength = defaultQueueLength
	}
	if config.Timeout == 0 {
		config.Timeout = defaultCallTimeout
	}
	return &Frontend{
		config:        config,
		submissions:   make(chan *submission, config.QueueLength),
		cancellations: make(chan *cancellation, config.QueueLength),
		pools:         fullPools{full: map[acaciatally.PoolName]bool{}, checkedAt: map[acaciatally.PoolName]time.Time{}},
	}
}

// Run processes the calls until ctx ends; the error is always nil.
func (f *Frontend) Run(ctx context.Context) (err error) {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for batch := f.collectSubmissions(ctx); len(batch) > 0; batch = f.collectSubmissions(ctx) {
			f.submit(ctx, batch)
		}
		return nil
	})
	group.Go(func() error {
		for batch := f.collectCancellations(ctx); len(batch) > 0; batch = f.collectCancellations(ctx) {
			f.cancel(ctx, batch)
		}
		return nil
	})
	return group.Wait()
}

// Submit stores a task durably; repeating it with the same content returns the current record of the task. It fails with
// *InvalidSpecError, ErrTaskIDInUse, or a *acaciatally.Refusal whose outcome is NotRun only if the task will certainly not run.
func (f *Frontend) Submit(ctx context.Context, spec Spec) (record Record, err error) {
	if err = spec.Validate(); err != nil {
		return Record{}, err
	}
	call := &submission{spec: spec, result: newResult()}
	select {
	case f.submissions <- call:
	default:
		return Record{}, refusal(acaciatally.NotRun, "too many tasks are being submitted")
	}
	return call.wait(ctx, "the submission was not finished in time")
}

// Cancel cancels a task; a task that has already ended is returned unchanged. It fails with ErrTaskNotFound or a *acaciatally.Refusal.
func (f *Frontend) Cancel(ctx context.Context, team acaciatally.TeamName, id string) (record Record, err error) {
	call := &cancellation{team: team, id: id, result: newResult()}
	select {
	case f.cancellations <- call:
	default:
		return Record{}, refusal(acaciatally.NotRun, "too many tasks are being cancelled")
	}
	return call.wait(ctx, "the cancellation was not finished in time")
}

// Show returns the record of a task of the team; it fails with ErrTaskNotFound or acaciatally.ErrUnavailable.
func (f *Frontend) Show(ctx context.Context, team acaciatally.TeamName, id string) (record Record, err error) {
	found, err := f.find(ctx, []string{id})
	if err != nil {
		return Record{}, err
	}
	if len(found) == 0 || found[0].record.Spec.Team != team {
		return Record{}, ErrTaskNotFound
	}
	return found[0].record, nil
}

func refusal(outcome acaciatally.Outcome, reason string) error {
	return &acaciatally.Refusal{Outcome: outcome, Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: refusalRetryAfter}
}

type storedRecord struct {
	record  Record
	version uint64
}

// find returns the tasks that exist among ids, in order of ids; it takes two reads.
func (f *Frontend) find(ctx context.Context, ids []string) (found []storedRecord, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.config.Timeout)
	defer cancel()
	keys := make([]string, 0, len(ids))
	for _, id := range ids {
		keys = append(keys, indexKey(id))
	}
	indexes, err := f.config.Table.Read(ctx, keys...)
	if err != nil || len(indexes) == 0 {
		return nil, err
	}
	keys = keys[:0]
	for _, index := range indexes {
		keys = append(keys, RowKey(acaciatally.PoolName(index.Value), index.Key[len(indexPrefix):]))
	}
	rows, err := f.config.Table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		record, err := Decode(row.Value)
		if err != nil {
			return nil, err
		}
		found = append(found, storedRecord{record: record, version: row.Version})
	}
	return found, nil
}
