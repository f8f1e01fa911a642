package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/acaciatally/acaciatally"
)

// FaultsConfig lists the services that Faults wraps; services that are not called may be nil.
type FaultsConfig struct {
	Table   acaciatally.TableService
	Objects acaciatally.ObjectStore
	List    acaciatally.InstanceList
	Control acaciatally.InstanceControl
	Leases  acaciatally.TaskLeases
	Seed    uint64 // seed for LossShare
}

// Faults wraps the platform's services and injects the faults set by Switches; it is safe for concurrent use.
type Faults struct {
	config   FaultsConfig
	mu       sync.Mutex
	switches Switches
	counters Counters
	random   *rand.Rand
	reads    *rate.Limiter
	writes   *rate.Limiter
}

// NewFaults returns a wrapper that injects no faults until Set is called.
func NewFaults(config FaultsConfig) *Faults {
	return &Faults{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		reads:  rate.NewLimiter(rate.Inf, 1),
		writes: rate.NewLimiter(rate.Inf, 1),
	}
}

// Set replaces all switches.
func (f *Faults) Set(switches Switches) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.switches = switches
	setRate(f.reads, switches.ReadsPerSecond)
	setRate(f.writes, switches.WritesPerSecond)
}

// burstsPerSecond sets the burst size of a rate limit: the calls of a tenth of a second may pass at once.
const burstsPerSecond = 10

func setRate(limiter *rate.Limiter, perSecond int) {
	if perSecond == 0 {
		limiter.SetLimit(rate.Inf)
		return
	}
	limiter.SetBurst(max(1, perSecond/burstsPerSecond))
	limiter.SetLimit(rate.Limit(perSecond))
}

// Switches returns the active switches; LoseCommitAnswers is the number of responses that are still to be lost.
func (f *Faults) Switches() Switches {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.switches
}

// Counters returns the counts since NewFaults.
func (f *Faults) Counters() Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counters
}

// callFaults holds the faults selected for one call when it starts.
type callFaults struct {
	delay        time.Duration
	down         bool
	requestLost  bool // the request is lost; the call is not executed
	responseLost bool // the response is lost; the call is executed
	lateCommit   bool // a commit is executed even if its context ends first
}

func (f *Faults) selectFaults(write bool) callFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	if write {
		f.counters.Writes++
	} else {
		f.counters.Reads++
	}
	selected := callFaults{delay: f.switches.Delay, down: f.switches.Down, lateCommit: f.switches.LateCommits}
	if f.switches.LossShare > 0 && f.random.Float64() < f.switches.LossShare {
		selected.responseLost = f.random.IntN(2) == 0
		selected.requestLost = !selected.responseLost
	}
	if selected.down || selected.requestLost || selected.responseLost {
		f.counters.Refused++
	}
	return selected
}

// takeLostResponse reports whether the response of this commit is to be lost, and decrements LoseCommitAnswers if so.
func (f *Faults) takeLostResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.switches.LoseCommitAnswers == 0 {
		return false
	}
	f.switches.LoseCommitAnswers--
	f.counters.Refused++
	return true
}

// waitBefore waits for the rate limit and half of the delay; an error means that the call must not be executed.
func (f *Faults) waitBefore(ctx context.Context, selected callFaults, write bool) error {
	limiter := f.reads
	if write {
		limiter = f.writes
	}
	if err := limiter.Wait(ctx); err != nil {
		return acaciatally.ErrUnavailable
	}
	if err := sleep(ctx, selected.delay/2); err != nil {
		return acaciatally.ErrUnavailable
	}
	if selected.down || selected.requestLost {
		return acaciatally.ErrUnavailable
	}
	return nil
}

// call executes a call with injected faults. A lost write fails with ErrUnknownCommit, since its caller cannot tell whether the
// request or the response was lost.
func (f *Faults) call(ctx context.Context, write bool, execute func() error) error {
	selected := f.selectFaults(write)
	lost := acaciatally.ErrUnavailable
	if write {
		lost = acaciatally.ErrUnknownCommit
	}
	if err := f.waitBefore(ctx, selected, write); err != nil {
		if selected.down || (ctx.Err() == nil && !selected.requestLost) {
			return err
		}
		return lost
	}
	if err := execute(); err != nil {
		return err
	}
	if sleep(ctx, selected.delay-selected.delay/2) != nil || selected.responseLost {
		return lost
	}
	return nil
}

func (f *Faults) countRowsRead(rows []acaciatally.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counters.RowsRead += len(rows)
	for _, row := range rows {
		f.counters.BytesRead += len(row.Key) + len(row.Value)
	}
}

func (f *Faults) countRowsWritten(writes []acaciatally.Write) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counters.RowsWritten += len(writes)
	for _, write := range writes {
		f.counters.BytesWrite += len(write.Key) + len(write.Value)
	}
}

func sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
