package intake

import (
	"context"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/backlog"
)

// checkBacklog returns a *NotAcceptedError for a new job for which the leader has no memory. What is accepted has to be kept until it has ended and
// its state has expired, so there is no later point at which its memory could be bounded.
func (s *Service) checkBacklog(
	ctx context.Context, queue acaciatally.Queue, account acaciatally.AccountName, id acaciatally.JobID, spec *acaciatally.JobSpec,
) error {
	if s.config.AdmitBytes == nil {
		return nil
	}
	retryAfter, admitted := s.config.AdmitBytes(backlog.SourceOf(queue.Name, account), backlog.JobBytes(spec, 1))
	if admitted || s.mayBeAccepted(ctx, queue, id) {
		return nil
	}
	s.config.EventLog.JobRefused(account, "memory")
	return &acaciatally.NotAcceptedError{Reason: "the jobs that were accepted take all memory there is for them", RetryAfter: retryAfter, Overload: true}
}

// checkWithdrawal returns a *NotAcceptedError for the cancellation of a job without records if another such record would be too many.
func (s *Service) checkWithdrawal(queue acaciatally.Queue, account acaciatally.AccountName) error {
	refusal := &acaciatally.NotAcceptedError{Reason: "too many cancellations of unknown jobs", RetryAfter: storeRetryAfter, Overload: true}
	if !s.withdrawals.Allow() {
		return refusal
	}
	if s.config.AdmitBytes == nil {
		return nil
	}
	retryAfter, admitted := s.config.AdmitBytes(backlog.SourceOf(queue.Name, account), backlog.EndedBytes)
	if !admitted {
		refusal.RetryAfter = retryAfter
		return refusal
	}
	return nil
}
