package forecast

import (
	"math"
	"time"
)

const (
	// minPeriod is the shortest period searched for, in buckets; the bursts of a shorter one end before a move takes effect.
	minPeriod = 8
	// recentBuckets is the length of the recent history whose peak is the forecast while no period is known.
	recentBuckets = 20
	// shorterPeriodShare is the share of the highest score at which a shorter period is preferred. A multiple of the true period
	// scores about as high as the period itself.
	shorterPeriodShare = 0.9
)

// Config tunes a Forecaster; zero values are replaced by the defaults.
type Config struct {
	BucketWidth    time.Duration // time span of a bucket, default 1 s
	Buckets        int           // length of the history in buckets, default 600
	MaxPeriod      int           // longest period searched for, in buckets, default 240
	SearchInterval time.Duration // time between searches for the period, default 10 s
	MinConfidence  float64       // autocorrelation below which no period is assumed, default 0.5
}

func (c *Config) setDefaults() {
	if c.BucketWidth == 0 {
		c.BucketWidth = time.Second
	}
	if c.Buckets == 0 {
		c.Buckets = 600
	}
	if c.MaxPeriod == 0 {
		c.MaxPeriod = 240
	}
	if c.SearchInterval == 0 {
		c.SearchInterval = 10 * time.Second
	}
	if c.MinConfidence == 0 {
		c.MinConfidence = 0.5
	}
}

// Forecast is the expected peak of the demand over a time span.
type Forecast struct {
	Slots        float64       // expected peak, in slots
	Period       time.Duration // 0 when none is known
	Confidence   float64       // autocorrelation at the period, between 0 and 1
	ShortHistory bool          // the history is too short to regard the pool as idle
}

// Forecaster forecasts the demand of one pool from a bounded history; it is not safe for concurrent use.
type Forecaster struct {
	config     Config
	buckets    []bucket
	first      int64   // index of the first sample, 0 before it
	last       int64   // index of the newest bucket
	searchedAt int64   // index at the last search for the period
	period     float64 // in buckets, 0 when none is known
	confidence float64
}

type bucket struct {
	index int64
	peak  float64
	known bool
}

// New returns a forecaster without history.
func New(config Config) *Forecaster {
	config.setDefaults()
	return &Forecaster{config: config, buckets: make([]bucket, config.Buckets)}
}

func (f *Forecaster) index(at time.Time) int64 {
	return at.UnixNano() / int64(f.config.BucketWidth)
}

// Observe adds a sample of the demand. It ignores samples older than the history and values that are negative or not a number.
func (f *Forecaster) Observe(at time.Time, slots float64) {
	index := f.index(at)
	if index <= f.last-int64(len(f.buckets)) || math.IsNaN(slots) || slots < 0 {
		return
	}
	if f.first == 0 {
		f.first = index
	}
	f.last = max(f.last, index)
	current := &f.buckets[index%int64(len(f.buckets))]
	if !current.known || current.index != index {
		*current = bucket{index: index, known: true}
	}
	current.peak = max(current.peak, slots)
}

// minHistory is the length of history needed to regard a quiet pool as idle: a burst may follow minutes in which
// the demand is a twentieth of its mean.
const minHistory = 3 * time.Minute

// Forecast returns the expected peak of the demand between two times.
func (f *Forecaster) Forecast(from, to time.Time) (forecast Forecast) {
	forecast = f.forecast(from, to)
	forecast.ShortHistory = f.last-f.first < int64(minHistory/f.config.BucketWidth)
	return forecast
}

func (f *Forecaster) forecast(from, to time.Time) Forecast {
	if f.last-f.searchedAt >= int64(f.config.SearchInterval/f.config.BucketWidth) {
		f.findPeriod()
		f.searchedAt = f.last
	}
	recent := f.maxSmoothed(f.last-recentBuckets, f.last)
	if f.period == 0 {
		return Forecast{Slots: recent, Confidence: f.confidence}
	}
	first, last := f.index(from), f.index(to)
	forecast := Forecast{Period: time.Duration(f.period * float64(f.config.BucketWidth)), Confidence: f.confidence}
	if first <= f.last+1 {
		forecast.Slots = f.smoothed(f.last) // the present demand counts even when the history predicts less
	}
	forecast.Slots = max(forecast.Slots, f.seasonal(first, last))
	return forecast
}

// seasonal returns the larger of the peaks at the same phase of the last two periods. A period with less than half of its samples is
// skipped in favour of an earlier one, so that the loss of one period's data does not hide a burst.
func (f *Forecaster) seasonal(first, last int64) (slots float64) {
	back := max(1, math.Ceil(float64(last-f.last)/f.period))
	found := 0
	for n := back; n < back+4 && found < 2; n++ {
		shift := int64(math.Round(n * f.period))
		if f.coverage(first-shift-1, last-shift+1) < 0.5 {
			continue
		}
		found++
		slots = max(slots, f.maxSmoothed(first-shift-1, last-shift+1))
	}
	return slots
}

// valueAt returns the peak of a bucket, or false when it has no sample or is outside the history.
func (f *Forecaster) valueAt(index int64) (slots float64, known bool) {
	if index < 0 || index > f.last || index <= f.last-int64(len(f.buckets)) {
		return 0, false
	}
	bucket := f.buckets[index%int64(len(f.buckets))]
	return bucket.peak, bucket.known && bucket.index == index
}

// smoothed returns the mean of a bucket and its neighbours, so that noise does not count as a higher peak.
func (f *Forecaster) smoothed(index int64) (slots float64) {
	sum, count := 0.0, 0.0
	for neighbour := index - 1; neighbour <= index+1; neighbour++ {
		if value, known := f.valueAt(neighbour); known {
			sum, count = sum+value, count+1
		}
	}
	if count == 0 {
		return 0
	}
	return sum / count
}

// maxSmoothed returns the highest smoothed value of a range of buckets. Smoothing lowers the buckets at the edges of a burst, but their
// inner neighbours have the full value.
func (f *Forecaster) maxSmoothed(first, last int64) (slots float64) {
	for index := first; index <= last; index++ {
		slots = max(slots, f.smoothed(index))
	}
	return slots
}

// coverage returns the share of a range of buckets that have samples.
func (f *Forecaster) coverage(first, last int64) float64 {
	known := 0
	for index := first; index <= last; index++ {
		if _, found := f.valueAt(index); found {
			known++
		}
	}
	return float64(known) / float64(last-first+1)
}
