package rhythm

import (
	"math"
	"time"
)

const (
	// minPeriod is the shortest period that is looked for; shorter bursts end before a move can help.
	minPeriod = 8
	// recentBuckets is the span whose peak is the forecast while no period is known.
	recentBuckets = 20
	// nearbyShare accepts a shorter period instead of its multiple when it explains the history nearly as well.
	nearbyShare = 0.9
)

// Config tunes a Forecaster; zero values are replaced by the defaults.
type Config struct {
	Bucket         time.Duration // default 1 s
	Buckets        int           // buckets kept, default 600
	MaxPeriod      int           // buckets, default 240
	SearchInterval time.Duration // time between two searches for the period, default 10 s
	MinConfidence  float64       // share below which no period is assumed, default 0.5
}

func (c *Config) setDefaults() {
	if c.Bucket == 0 {
		c.Bucket = time.Second
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

// Forecast is the expected peak of the demand over a span.
type Forecast struct {
	Slots        float64
	Period       time.Duration // 0 when none is known
	Confidence   float64       // between 0 and 1
	ShortHistory bool          // the history is too short to call a pool idle
}

// Forecaster forecasts the demand of one pool from a bounded history; it is not safe for concurrent use.
type Forecaster struct {
	config     Config
	buckets    []bucket
	first      int64 // index of the first sample ever
	last       int64 // index of the newest bucket
	learnedAt  int64
	period     float64 // buckets, 0 when none is known
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

func (r *Forecaster) index(at time.Time) int64 {
	return at.UnixNano() / int64(r.config.Bucket)
}

// Observe adds a sample of the demand; samples older than the history are ignored.
func (r *Forecaster) Observe(at time.Time, slots float64) {
	index := r.index(at)
	if index <= r.last-int64(len(r.buckets)) || math.IsNaN(slots) || slots < 0 {
		return
	}
	if r.first == 0 {
		r.first = index
	}
	r.last = max(r.last, index)
	slot := &r.buckets[index%int64(len(r.buckets))]
	if !slot.known || slot.index != index {
		*slot = bucket{index: index, known: true}
	}
	slot.peak = max(slot.peak, slots)
}

// warmUp is the history before a quiet pool counts as idle: a burst may come after minutes of a twentieth of the mean.
const warmUp = 3 * time.Minute

// Forecast returns the peak expected between two times.
func (r *Forecaster) Forecast(from, to time.Time) (forecast Forecast) {
	forecast = r.forecast(from, to)
	forecast.ShortHistory = r.last-r.first < int64(warmUp/r.config.Bucket)
	return forecast
}

func (r *Forecaster) forecast(from, to time.Time) Forecast {
	if r.last-r.learnedAt >= int64(r.config.SearchInterval/r.config.Bucket) {
		r.learn()
		r.learnedAt = r.last
	}
	recent := r.peak(r.last-recentBuckets, r.last)
	if r.period == 0 {
		return Forecast{Slots: recent, Confidence: r.confidence}
	}
	first, last := r.index(from), r.index(to)
	forecast := Forecast{Period: time.Duration(r.period * float64(r.config.Bucket)), Confidence: r.confidence}
	if first <= r.last+1 {
		forecast.Slots = r.level(r.last) // what is there now counts, whatever the history says
	}
	forecast.Slots = max(forecast.Slots, r.seasonal(first, last))
	return forecast
}

// seasonal returns the larger of the peaks one and two periods before the span, which survives the loss of data of one period.
func (r *Forecaster) seasonal(first, last int64) (slots float64) {
	back := max(1, math.Ceil(float64(last-r.last)/r.period))
	found := 0
	for n := back; n < back+4 && found < 2; n++ {
		shift := int64(math.Round(n * r.period))
		if r.coverage(first-shift-1, last-shift+1) < 0.5 {
			continue
		}
		found++
		slots = max(slots, r.peak(first-shift-1, last-shift+1))
	}
	return slots
}

func (r *Forecaster) at(index int64) (slots float64, known bool) {
	if index < 0 || index > r.last || index <= r.last-int64(len(r.buckets)) {
		return 0, false
	}
	one := r.buckets[index%int64(len(r.buckets))]
	return one.peak, one.known && one.index == index
}

// level returns the mean of a bucket and its neighbours, so that noise does not pass for a higher peak.
func (r *Forecaster) level(index int64) (slots float64) {
	sum, count := 0.0, 0.0
	for near := index - 1; near <= index+1; near++ {
		if one, known := r.at(near); known {
			sum, count = sum+one, count+1
		}
	}
	if count == 0 {
		return 0
	}
	return sum / count
}

// peak returns the highest level of a span; buckets at the edges of a burst count in full through their inner neighbours.
func (r *Forecaster) peak(first, last int64) (slots float64) {
	for index := first; index <= last; index++ {
		slots = max(slots, r.level(index))
	}
	return slots
}

func (r *Forecaster) coverage(first, last int64) float64 {
	known := 0
	for index := first; index <= last; index++ {
		if _, found := r.at(index); found {
			known++
		}
	}
	return float64(known) / float64(last-first+1)
}
