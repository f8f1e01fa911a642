package intake

import (
	"context"
	"errors"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// checkMaximum returns a *NotAcceptedError for a job that can never run, because one of its tasks, or the tasks of one of its gangs together,
// exceed the maximum of its account. There is no time after which a retry may succeed: only the operators can change that. The repetition of a
// call that was accepted before the maximum was lowered is answered as such.
func (s *Service) checkMaximum(
	ctx context.Context, queue acaciatally.Queue, account acaciatally.AccountName, id acaciatally.JobID, spec acaciatally.JobSpec,
) error {
	if account == "" || s.config.Routes == nil {
		return nil
	}
	routes := s.config.Routes()
	if routes == nil || !exceedsMaximum(routes.Accounts[account].Maximum, spec) {
		return nil
	}
	_, err := s.read(ctx, job.ProgressKey(queue.Name, id))
	if errors.Is(err, acaciatally.ErrJobNotFound) {
		return &acaciatally.NotAcceptedError{Reason: "a task exceeds the maximum of the account, so the job could never run"}
	}
	return err
}

// exceedsMaximum reports whether a task of the job, or the tasks of a gang together, need more than the maximum of a resource.
func exceedsMaximum(maximum acaciatally.ResourceVector, spec acaciatally.JobSpec) bool {
	for _, step := range spec.Steps {
		together := 1
		if step.Gang {
			together = step.Count
		}
		exceeds := func(maximum, needed int) bool { return maximum > 0 && needed*together > maximum }
		if exceeds(maximum.Processors, step.Resources.Processors) || exceeds(maximum.Memory, step.Resources.Memory) ||
			exceeds(maximum.Accelerators, step.Resources.Accelerators) {
			return true
		}
	}
	return false
}
