package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/acaciatally/acaciatally"
)

// FaultsConfig names the services behind Faults; services that a test does not call may be nil.
type FaultsConfig struct {
	Table   acaciatally.TableService
	Objects acaciatally.ObjectStore
	List    acaciatally.InstanceList
	Control acaciatally.InstanceControl
	Leases  acaciatally.TaskLeases
	Seed    uint64 // of random losses
}

// Faults passes calls on to the platform's services and injects the faults that are switched on; it is safe for concurrent use.
type Faults struct {
	config   FaultsConfig
	mu       sync.Mutex
	switches Switches
	counters Counters
	random   *rand.Rand
	reads    *rate.Limiter
	writes   *rate.Limiter
}

// NewFaults returns a wrapper without active faults.
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
	limit(f.reads, switches.ReadsPerSecond)
	limit(f.writes, switches.WritesPerSecond)
}

// burstsPerSecond lets a tenth of a second's calls through at once.
const burstsPerSecond = 10

func limit(limiter *rate.Limiter, perSecond int) {
	if perSecond == 0 {
		limiter.SetLimit(rate.Inf)
		return
	}
	limiter.SetBurst(max(1, perSecond/burstsPerSecond))
	limiter.SetLimit(rate.Limit(perSecond))
}

// Switches returns the active switches; LoseCommitAnswers counts down.
func (f *Faults) Switches() Switches {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.switches
}

// Counters returns the counts since the start.
func (f *Faults) Counters() Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counters
}

// plan is what the switches decided about one call when it began.
type plan struct {
	delay      time.Duration
	down       bool
	lostBefore bool
	lostAfter  bool
	late       bool
}

func (f *Faults) plan(write bool) plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	if write {
		f.counters.Writes++
	} else {
		f.counters.Reads++
	}
	p := plan{delay: f.switches.Delay, down: f.switches.Down, late: f.switches.LateCommits}
	if f.switches.LossShare > 0 && f.random.Float64() < f.switches.LossShare {
		p.lostAfter = f.random.IntN(2) == 0
		p.lostBefore = !p.lostAfter
	}
	if p.down || p.lostBefore || p.lostAfter {
		f.counters.Refused++
	}
	return p
}

// loseAnswer consumes one of the commit answers to be lost.
func (f *Faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.switches.LoseCommitAnswers == 0 {
		return false
	}
	f.switches.LoseCommitAnswers--
	f.counters.Refused++
	return true
}

// before waits as long as the limits and the delay demand; an error means that the call had no effect.
func (f *Faults) before(ctx context.Context, p plan, write bool) error {
	limiter := f.reads
	if write {
		limiter = f.writes
	}
	if err := limiter.Wait(ctx); err != nil {
		return acaciatally.ErrUnavailable
	}
	if err := sleep(ctx, p.delay/2); err != nil {
		return acaciatally.ErrUnavailable
	}
	if p.down || p.lostBefore {
		return acaciatally.ErrUnavailable
	}
	return nil
}

// call passes on a call; a lost write fails with ErrUnknownCommit, since its caller cannot tell which half of it was lost.
func (f *Faults) call(ctx context.Context, write bool, effect func() error) error {
	p := f.plan(write)
	lost := acaciatally.ErrUnavailable
	if write {
		lost = acaciatally.ErrUnknownCommit
	}
	if err := f.before(ctx, p, write); err != nil {
		if p.down || (ctx.Err() == nil && !p.lostBefore) {
			return err
		}
		return lost
	}
	if err := effect(); err != nil {
		return err
	}
	if sleep(ctx, p.delay-p.delay/2) != nil || p.lostAfter {
		return lost
	}
	return nil
}

func (f *Faults) countRead(rows []acaciatally.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counters.RowsRead += len(rows)
	for _, row := range rows {
		f.counters.BytesRead += len(row.Key) + len(row.Value)
	}
}

func (f *Faults) countWritten(writes []acaciatally.Write) {
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
