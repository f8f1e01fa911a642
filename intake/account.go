package intake

import (
	"context"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/overload"
)

// checkAccount returns a *NotAcceptedError for a new job of an account under pressure that is not admitted. Jobs with tasks that have to run at
// all times and jobs that start at scheduled times are not refused: their use does not depend on the wait of now.
func (s *Service) checkAccount(
	ctx context.Context, queue acaciatally.Queue, account acaciatally.AccountName, id acaciatally.JobID, spec acaciatally.JobSpec,
) error {
	if s.config.Overload == nil || account == "" {
		return nil
	}
	state := s.config.Overload()
	if state.Find(account) == nil || spec.Repeat > 0 || hasLongRunning(spec) {
		return nil
	}
	retryAfter, admitted := state.Admit(account, id, overload.EstimatedSlack(&queue, spec.Steps))
	if admitted || s.mayBeAccepted(ctx, queue, id) {
		return nil
	}
	s.config.EventLog.JobRefused(account, "account")
	return &acaciatally.NotAcceptedError{
		Reason: "the account has more jobs waiting than can be completed in time", RetryAfter: retryAfter, Overload: true,
	}
}
