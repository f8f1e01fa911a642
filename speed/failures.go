package speed

import "time"

const (
	// outcomeWeight is the weight of a run in the moving share of failed runs.
	outcomeWeight = 0.125
	// unreliableShare is the share of failed runs from which a worker is unreliable, which takes three failures close to each other.
	// reliableShare is that below which it no longer is. A worker that fails half of its runs hardly ever gets there by chance: it takes 12 successes in a
	// row.
	unreliableShare, reliableShare = 0.25, 0.1
)

// failures is the share of a worker's runs that failed although their tasks could succeed.
type failures struct {
	share      float64
	unreliable bool
	lastAt     time.Duration
}

// ObserveOutcome adds a successful run, or one that failed and whose task has succeeded on another worker; failures of tasks that fail everywhere
// tell nothing. It returns whether Unreliable has changed.
func (w *Worker) ObserveOutcome(failed bool, now time.Duration) (changed bool) {
	f := &w.failures
	f.share *= 1 - outcomeWeight
	if failed {
		f.share += outcomeWeight
		f.lastAt = now
	}
	was := f.unreliable
	switch {
	case f.share >= unreliableShare:
		f.unreliable = true
	case f.share < reliableShare:
		f.unreliable = false
	}
	return f.unreliable != was
}

// ForgetFailures ends the verdict of a worker without failures for forgetTime and returns whether it has changed.
func (w *Worker) ForgetFailures(now time.Duration) (changed bool) {
	if !w.failures.unreliable || now <= w.failures.lastAt+forgetTime {
		return false
	}
	w.failures = failures{}
	return true
}

// Unreliable reports whether the worker fails many runs of tasks that succeed on others.
func (w *Worker) Unreliable() bool { return w.failures.unreliable }

// Deferred reports whether the worker is slow or unreliable, so that it comes after others.
func (w *Worker) Deferred() bool { return w.slow || w.failures.unreliable }
