package intake

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/backlog"
	"github.com/acaciatally/acaciatally/job"
	"github.com/acaciatally/acaciatally/overload"
)

const (
	// storeRetryAfter is the time after which callers may retry while the record store is not available.
	storeRetryAfter = time.Second
	// commitRetryDelay is the delay between two attempts at a commit whose outcome is unknown.
	commitRetryDelay = 50 * time.Millisecond
	// maxStartDelay is how long the tasks of an accepted job may wait for the leader to start them; jobs are refused beyond that.
	maxStartDelay = 4 * time.Second
)

// Config is the configuration of a Service.
type Config struct {
	Store          acaciatally.RecordStore
	Routes         func() *Routes // returns the current routes; nil before the first configuration
	StoreReachable func() bool    // reports whether the record store has responded recently; otherwise callers are refused at once
	// StartDelay returns how long the tasks of a job submitted now would wait for the leader to start them; nil if that is not known.
	StartDelay func() time.Duration
	// ConfigurationAge returns the time since the configuration was certainly the newest one; nil if that is not measured.
	ConfigurationAge func() time.Duration
	// MaxConfigurationAge is the age of the configuration beyond which keys can't be checked; 0 is DefaultMaxConfigurationAge.
	MaxConfigurationAge time.Duration
	// Overload returns the admission of new jobs of accounts under pressure, as the leader publishes it; nil if there is none.
	Overload func() *overload.State
	// AdmitBytes reports whether the leader has memory for the given bytes of a source of jobs, or else the time after which it probably has; nil
	// if jobs are not refused for that.
	AdmitBytes func(source backlog.Source, bytes int64) (retryAfter time.Duration, admitted bool)

	EventLog EventLog
	// MaxRecordBytes is the size of the largest record that the store takes; 0 is job.DefaultRecordBytes.
	MaxRecordBytes int
}

// Service carries out callers' requests with the record store; it is safe for concurrent use.
type Service struct {
	config      Config
	withdrawals *rate.Limiter // of cancellations that leave a record of a job that was not accepted
	mutex       sync.Mutex
	batchers    map[acaciatally.QueueName]*batcher
	counts      singleflight.Group // of the waiting jobs of a queue
}

// New returns a Service.
func New(config Config) *Service {
	if config.MaxRecordBytes == 0 {
		config.MaxRecordBytes = job.DefaultRecordBytes
	}
	if config.MaxConfigurationAge == 0 {
		config.MaxConfigurationAge = DefaultMaxConfigurationAge
	}
	return &Service{
		config: config, withdrawals: rate.NewLimiter(withdrawalsPerSecond, withdrawalBurst),
		batchers: map[acaciatally.QueueName]*batcher{},
	}
}

func (s *Service) batcher(queue acaciatally.QueueName) *batcher {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.batchers[queue] == nil {
		s.batchers[queue] = &batcher{store: s.config.Store, queue: queue, eventLog: s.config.EventLog}
	}
	return s.batchers[queue]
}

// Limits returns the configured limits of callers' requests; they are zero before the first configuration.
func (s *Service) Limits() acaciatally.RequestLimits {
	if routes := s.config.Routes(); routes != nil {
		return routes.Limits
	}
	return acaciatally.RequestLimits{}
}

// Queue returns the queue of a host and path, and the rest of the path. It fails with ErrQueueNotFound or, before the first configuration,
// *NotAcceptedError.
func (s *Service) Queue(host, path string) (queue acaciatally.Queue, rest string, err error) {
	routes := s.config.Routes()
	if routes == nil {
		return queue, "", errNoConfiguration()
	}
	queue, rest, found := routes.Find(host, path)
	if !found {
		return queue, "", acaciatally.ErrQueueNotFound
	}
	return queue, rest, nil
}

func errNoConfiguration() error {
	return &acaciatally.NotAcceptedError{Reason: "no configuration yet", RetryAfter: storeRetryAfter}
}

// Submit records a job; repeating it changes nothing. It fails with ErrJobIDInUse, ErrJobTooLarge, ErrJobWithdrawn,
// *NotAcceptedError or ErrUnknownOutcome.
func (s *Service) Submit(
	ctx context.Context, queue acaciatally.Queue, account acaciatally.AccountName, id acaciatally.JobID, spec acaciatally.JobSpec,
) (err error) {
	startedAt := time.Now()
	defer func() {
		s.config.EventLog.JobSubmitted(queue, id, time.Since(startedAt), err)
		err = oops.In("intake").With("job", id).Wrapf(err, "submit job")
	}()
	transaction, digest, err := newTransaction(queue, account, id, spec, startedAt)
	if err != nil {
		return err
	}
	if !s.recordable(spec, account, transaction) {
		return acaciatally.ErrJobTooLarge
	}
	if err = s.checkStore(); err != nil {
		return err
	}
	if err = s.checkMaximum(ctx, queue, account, id, spec); err != nil {
		return err
	}
	if err = s.checkStartDelay(ctx, queue, account, id, spec); err != nil {
		return err
	}
	if err = s.checkAccount(ctx, queue, account, id, spec); err != nil {
		return err
	}
	if err = s.checkBacklog(ctx, queue, account, id, &spec); err != nil {
		return err
	}
	return s.batcher(queue.Name).add(ctx, &submission{id: id, account: account, transaction: transaction, digest: digest})
}

// recordable reports whether the store takes the job's records, also later those of its progress.
func (s *Service) recordable(spec acaciatally.JobSpec, account acaciatally.AccountName, transaction acaciatally.RecordTransaction) bool {
	for _, write := range transaction.Writes {
		if len(write.Value) > s.config.MaxRecordBytes {
			return false
		}
	}
	return job.MaxOccurrenceBytes(spec)+job.AccountBytes(account) <= s.config.MaxRecordBytes
}

// checkStore returns a *NotAcceptedError while the record store does not respond, so that the caller tries another entry at once.
func (s *Service) checkStore() error {
	if s.config.StoreReachable == nil || s.config.StoreReachable() {
		return nil
	}
	return &acaciatally.NotAcceptedError{Reason: "the record store does not answer", RetryAfter: storeRetryAfter}
}

// checkStartDelay returns a *NotAcceptedError while the leader can't start the job's tasks in time. Jobs with tasks that have to run at all
// times are accepted, and so is the repetition of a call that was accepted.
func (s *Service) checkStartDelay(
	ctx context.Context, queue acaciatally.Queue, account acaciatally.AccountName, id acaciatally.JobID, spec acaciatally.JobSpec,
) error {
	if s.config.StartDelay == nil {
		return nil
	}
	delay := s.config.StartDelay()
	if delay <= maxStartDelay || hasLongRunning(spec) || s.mayBeAccepted(ctx, queue, id) {
		return nil
	}
	s.config.EventLog.JobRefused(account, "leader")
	return &acaciatally.NotAcceptedError{Reason: "more tasks wait than can be started in time", RetryAfter: delay - maxStartDelay, Overload: true}
}

func hasLongRunning(spec acaciatally.JobSpec) bool {
	return slices.ContainsFunc(spec.Steps, func(step acaciatally.Step) bool { return step.LongRunning })
}

// mayBeAccepted reports whether a job of this ID was accepted before or that can't be told. Such a call is not refused because of load: it may
// be the repetition of one that was accepted.
func (s *Service) mayBeAccepted(ctx context.Context, queue acaciatally.Queue, id acaciatally.JobID) bool {
	_, err := s.read(ctx, job.ProgressKey(queue.Name, id))
	return !errors.Is(err, acaciatally.ErrJobNotFound)
}

func newTransaction(
	queue acaciatally.Queue, account acaciatally.AccountName, id acaciatally.JobID, spec acaciatally.JobSpec, now time.Time,
) (transaction acaciatally.RecordTransaction, digest uint64, err error) {
	digest = job.Digest(spec)
	accepted, err := job.EncodeAccepted(job.Accepted{Spec: spec, Queue: queue, Account: account, Received: now.UTC()})
	if err != nil {
		return transaction, 0, err
	}
	progress, err := job.EncodeProgress(job.Progress{State: acaciatally.JobQueued, Digest: digest, Account: account})
	if err != nil {
		return transaction, 0, err
	}
	transaction = acaciatally.RecordTransaction{
		Conditions: []acaciatally.RecordCondition{{RecordKey: job.ProgressKey(queue.Name, id)}},
		Writes: []acaciatally.RecordWrite{
			{RecordKey: job.AcceptedKey(queue.Name, id), Value: accepted},
			{RecordKey: job.ProgressKey(queue.Name, id), Value: progress},
		},
	}
	if spec.Repeat == 0 {
		transaction.Writes = append(transaction.Writes, acaciatally.RecordWrite{RecordKey: job.WaitingKey(queue.Name, id), Value: job.MarkerValue})
	}
	return transaction, digest, nil
}

// commit retries a commit whose outcome is unknown, which is safe because of the transaction's conditions. It fails with
// *NotAcceptedError only if no attempt can have taken effect.
func (s *Service) commit(ctx context.Context, transaction acaciatally.RecordTransaction) error {
	outcomeUnknown := false
	for {
		_, err := s.config.Store.Commit(ctx, transaction)
		var conflict *acaciatally.RecordConflictError
		switch {
		case err == nil || errors.As(err, &conflict):
			return err
		case errors.Is(err, acaciatally.ErrUnknownCommit):
			outcomeUnknown = true
		case !outcomeUnknown:
			return &acaciatally.NotAcceptedError{Reason: "the record store refuses", RetryAfter: storeRetryAfter}
		}
		select {
		case <-ctx.Done():
			return acaciatally.ErrUnknownOutcome
		case <-time.After(commitRetryDelay):
		}
	}
}

// State returns a job's state. It fails with ErrJobNotFound or *NotAcceptedError.
func (s *Service) State(
	ctx context.Context, queue acaciatally.Queue, account acaciatally.AccountName, id acaciatally.JobID,
) (state acaciatally.JobState, err error) {
	defer func() {
		s.config.EventLog.StateRead(queue, id, state, err)
		err = oops.In("intake").With("job", id).Wrapf(err, "read state")
	}()
	return s.recordedState(ctx, queue, account, id)
}

// recordedState returns the state in a job's progress record. It fails with ErrJobNotFound if there is no record, if the job was withdrawn or
// if it belongs to another account, or with *NotAcceptedError.
func (s *Service) recordedState(
	ctx context.Context, queue acaciatally.Queue, account acaciatally.AccountName, id acaciatally.JobID,
) (state acaciatally.JobState, err error) {
	progress, err := s.recordedProgress(ctx, queue, id)
	if err != nil {
		return "", err
	}
	if err = s.checkOwner(queue, id, progress.Account, account); err != nil {
		return "", err
	}
	if progress.State == acaciatally.JobWithdrawn {
		return "", acaciatally.ErrJobNotFound
	}
	return progress.State, nil
}

// recordedProgress returns a job's recorded progress. It fails with ErrJobNotFound if there is no record, or with *NotAcceptedError.
func (s *Service) recordedProgress(ctx context.Context, queue acaciatally.Queue, id acaciatally.JobID) (progress job.Progress, err error) {
	record, err := s.read(ctx, job.ProgressKey(queue.Name, id))
	if err != nil {
		return progress, err
	}
	return job.DecodeProgress(record.Value)
}

// checkOwner returns ErrJobNotFound if a job of the owner is not accessible to calls of the account.
func (s *Service) checkOwner(queue acaciatally.Queue, id acaciatally.JobID, owner, account acaciatally.AccountName) error {
	if job.Accessible(owner, account) {
		return nil
	}
	s.config.EventLog.OwnerMismatch(queue.Name, id, account)
	return acaciatally.ErrJobNotFound
}

// read returns one record. It fails with ErrJobNotFound if the record does not exist, or with *NotAcceptedError.
func (s *Service) read(ctx context.Context, key acaciatally.RecordKey) (record acaciatally.Record, err error) {
	if err = s.checkStore(); err != nil {
		return record, err
	}
	page, err := s.config.Store.Read(ctx, acaciatally.RecordRange{
		Table: key.Table, Partition: key.Partition, From: key.Key, To: key.Key + "\x00",
	})
	if err != nil {
		return record, &acaciatally.NotAcceptedError{Reason: "the record store refuses", RetryAfter: storeRetryAfter}
	}
	if len(page.Records) == 0 {
		return record, acaciatally.ErrJobNotFound
	}
	return page.Records[0], nil
}
