package route

import (
	"math"
	"time"
)

// windowBuckets is the number of buckets in the breaker's sliding window.
const windowBuckets = 6

// breaker is the circuit breaker of one worker. While it is open and openUntil has passed, it is half-open and admits probes.
type breaker struct {
	buckets     [windowBuckets]counts
	current     int
	bucketStart time.Time // start of the current bucket

	open      bool
	openUntil time.Time
	probes    int // probes in progress
	successes int // successful probes since the breaker opened
}

type counts struct{ total, errors int }

// allowed returns how many further attempts the worker may receive: any number while the breaker is closed, none until openUntil,
// and then as many concurrent probes as have succeeded so far plus one, at most MaxProbes.
func (b *breaker) allowed(now time.Time, config *Config) int {
	if !b.open {
		return math.MaxInt
	}
	if now.Before(b.openUntil) {
		return 0
	}
	return max(0, min(b.successes+1, config.MaxProbes)-b.probes)
}

func (b *breaker) recordPick() {
	if b.open {
		b.probes++
	}
}

func (b *breaker) release() { b.probes = max(0, b.probes-1) }

func (b *breaker) recordSuccess(now time.Time, config *Config) {
	if !b.open {
		b.advance(now, config)
		b.buckets[b.current].total++
		return
	}
	if b.probes == 0 {
		return // the attempt began before the breaker opened
	}
	b.probes--
	b.successes++
	if b.successes >= config.MaxProbes {
		*b = breaker{bucketStart: now}
	}
}

// recordFailure counts an error. The breaker opens only if the worker's error rate is an outlier in its pool.
func (b *breaker) recordFailure(now time.Time, outlier bool, config *Config) {
	if b.open {
		b.recordProbeFailure(now, config)
		return
	}
	b.advance(now, config)
	b.buckets[b.current].total++
	b.buckets[b.current].errors++
	sum := b.sum()
	if outlier && sum.total >= config.BreakerSamples && float64(sum.errors) > config.BreakerShare*float64(sum.total) {
		b.trip(now, config)
	}
}

func (b *breaker) recordProbeFailure(now time.Time, config *Config) {
	if b.probes == 0 {
		return // the attempt began before the breaker opened
	}
	b.probes--
	b.trip(now, config)
}

func (b *breaker) trip(now time.Time, config *Config) {
	*b = breaker{open: true, openUntil: now.Add(config.BreakerOpen), probes: b.probes}
}

// advance moves the sliding window forward to now.
func (b *breaker) advance(now time.Time, config *Config) {
	width := config.BreakerWindow / windowBuckets
	if now.Sub(b.bucketStart) >= config.BreakerWindow {
		b.buckets, b.bucketStart = [windowBuckets]counts{}, now
		return
	}
	for now.Sub(b.bucketStart) >= width {
		b.current = (b.current + 1) % windowBuckets
		b.buckets[b.current] = counts{}
		b.bucketStart = b.bucketStart.Add(width)
	}
}

func (b *breaker) sum() (sum counts) {
	for _, bucket := range b.buckets {
		sum.total += bucket.total
		sum.errors += bucket.errors
	}
	return sum
}
