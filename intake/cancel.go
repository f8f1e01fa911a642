package intake

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

const (
	// withdrawalsPerSecond and withdrawalBurst bound the records that the callers of one entry can leave by cancelling jobs that do not exist.
	withdrawalsPerSecond = 20
	withdrawalBurst      = 100
)

// Cancel records the request to cancel a job; for a job that has ended, it does nothing. It fails with ErrJobNotFound, *NotAcceptedError or
// ErrUnknownOutcome. After ErrJobNotFound, a submission of the job by the same account that is still in progress can't take effect any more.
func (s *Service) Cancel(ctx context.Context, queue acaciatally.Queue, account acaciatally.AccountName, id acaciatally.JobID) (err error) {
	defer func() {
		s.config.EventLog.JobCancelled(queue, id, err)
		err = oops.In("intake").With("job", id).Wrapf(err, "cancel job")
	}()
	for {
		err = s.cancelByRecords(ctx, queue, account, id)
		if !errors.Is(err, errRecordsChanged) {
			return err
		}
		acaciatally.Sleep(ctx, commitRetryDelay)
	}
}

// errRecordsChanged reports that a job was accepted or withdrawn while its cancellation read its records.
var errRecordsChanged = errors.New("the job's records have changed")

// cancelByRecords cancels a job according to the records that it has. It fails with errRecordsChanged if they have changed meanwhile, and
// otherwise like Cancel.
func (s *Service) cancelByRecords(
	ctx context.Context, queue acaciatally.Queue, account acaciatally.AccountName, id acaciatally.JobID,
) error {
	accepted, err := s.read(ctx, job.AcceptedKey(queue.Name, id))
	if err == nil {
		return s.cancelAccepted(ctx, queue, account, id, accepted)
	}
	if !errors.Is(err, acaciatally.ErrJobNotFound) {
		return err
	}
	progress, err := s.recordedProgress(ctx, queue, id)
	switch {
	case errors.Is(err, acaciatally.ErrJobNotFound):
		return s.withdraw(ctx, queue, account, id)
	case err != nil:
		return err
	case progress.State == acaciatally.JobWithdrawn:
		return acaciatally.ErrJobNotFound
	case !progress.State.Ended():
		return errRecordsChanged
	}
	// An ended job has only a progress record, and nothing is left to cancel.
	return s.checkOwner(queue, id, progress.Account, account)
}

// cancelAccepted records the request to cancel a job that has not ended.
func (s *Service) cancelAccepted(
	ctx context.Context, queue acaciatally.Queue, account acaciatally.AccountName, id acaciatally.JobID, accepted acaciatally.Record,
) error {
	if account != "" {
		decoded, err := job.DecodeAccepted(accepted.Value)
		if err != nil {
			return err
		}
		if err = s.checkOwner(queue, id, decoded.Account, account); err != nil {
			return err
		}
	}
	err := s.commit(ctx, acaciatally.RecordTransaction{
		Conditions: []acaciatally.RecordCondition{{RecordKey: accepted.RecordKey, Version: accepted.Version}},
		Writes:     []acaciatally.RecordWrite{{RecordKey: job.CancelKey(queue.Name, id), Value: job.MarkerValue}},
	})
	var conflict *acaciatally.RecordConflictError
	if errors.As(err, &conflict) {
		return nil // the job has ended in the meantime
	}
	return err
}

// withdraw takes the ID of a job without records, so that a submission of the job whose outcome is unknown can't be accepted later. The
// cancel record tells the leader, which deletes both records. To other accounts, the ID is in use until then. withdraw returns ErrJobNotFound, or
// errRecordsChanged if the job has been accepted or withdrawn meanwhile.
func (s *Service) withdraw(ctx context.Context, queue acaciatally.Queue, account acaciatally.AccountName, id acaciatally.JobID) error {
	if err := s.checkWithdrawal(queue, account); err != nil {
		return err
	}
	progress, err := job.EncodeProgress(job.Progress{State: acaciatally.JobWithdrawn, Account: account})
	if err != nil {
		return err
	}
	err = s.commit(ctx, acaciatally.RecordTransaction{
		Conditions: []acaciatally.RecordCondition{{RecordKey: job.ProgressKey(queue.Name, id)}},
		Writes: []acaciatally.RecordWrite{
			{RecordKey: job.ProgressKey(queue.Name, id), Value: progress},
			{RecordKey: job.CancelKey(queue.Name, id), Value: job.MarkerValue},
		},
	})
	var conflict *acaciatally.RecordConflictError
	switch {
	case err == nil:
		return acaciatally.ErrJobNotFound
	case errors.As(err, &conflict):
		return errRecordsChanged
	}
	return err
}
