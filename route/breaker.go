package route

import (
	"math"
	"time"
)

// windowParts is the number of parts in which the breaker's window moves on.
const windowParts = 6

// breaker is the circuit breaker of one worker.
type breaker struct {
	parts   [windowParts]samples
	current int
	since   time.Time // start of the current part

	open      bool
	openUntil time.Time
	probes    int // admitted and not yet reported
	successes int // of probes since the breaker opened
}

type samples struct{ total, errors int }

// admits returns how many further attempts the worker may receive: any number when closed, none at first when open, and
// then one more probe at once for each success.
func (b *breaker) admits(now time.Time, config *Config) int {
	if !b.open {
		return math.MaxInt
	}
	if now.Before(b.openUntil) {
		return 0
	}
	return max(0, min(b.successes+1, config.MaxProbes)-b.probes)
}

func (b *breaker) picked() {
	if b.open {
		b.probes++
	}
}

func (b *breaker) release() { b.probes = max(0, b.probes-1) }

func (b *breaker) answered(now time.Time, config *Config) {
	if !b.open {
		b.advance(now, config)
		b.parts[b.current].total++
		return
	}
	if b.probes == 0 {
		return // an attempt from before the breaker opened
	}
	b.probes--
	b.successes++
	if b.successes >= config.MaxProbes {
		*b = breaker{since: now}
	}
}

// failed counts an error. The breaker opens only while the worker's errors are unusual for its pool.
func (b *breaker) failed(now time.Time, unusual bool, config *Config) {
	if b.open {
		b.failedProbe(now, config)
		return
	}
	b.advance(now, config)
	b.parts[b.current].total++
	b.parts[b.current].errors++
	sum := b.sum()
	if unusual && sum.total >= config.BreakerSamples && float64(sum.errors) > config.BreakerShare*float64(sum.total) {
		b.trip(now, config)
	}
}

func (b *breaker) failedProbe(now time.Time, config *Config) {
	if b.probes == 0 {
		return // an attempt from before the breaker opened
	}
	b.probes--
	b.trip(now, config)
}

func (b *breaker) trip(now time.Time, config *Config) {
	*b = breaker{open: true, openUntil: now.Add(config.BreakerOpen), probes: b.probes}
}

// advance moves the window on to now.
func (b *breaker) advance(now time.Time, config *Config) {
	part := config.BreakerWindow / windowParts
	if now.Sub(b.since) >= config.BreakerWindow {
		b.parts, b.since = [windowParts]samples{}, now
		return
	}
	for now.Sub(b.since) >= part {
		b.current = (b.current + 1) % windowParts
		b.parts[b.current] = samples{}
		b.since = b.since.Add(part)
	}
}

func (b *breaker) sum() (sum samples) {
	for _, part := range b.parts {
		sum.total += part.total
		sum.errors += part.errors
	}
	return sum
}
