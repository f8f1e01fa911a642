package observation

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
)

// RecorderConfig configures a Recorder. A nil Clock is replaced by the system clock.
type RecorderConfig struct {
	Entry acaciatally.EntryID
	Slots acaciatally.SlotSource
	Clock acaciatally.Clock
}

// Recorder wraps a SlotSource and records the demand and the results of this entry's attempts. It is safe for concurrent use.
type Recorder struct {
	config RecorderConfig

	mu      sync.Mutex
	demand  map[acaciatally.PoolName]int // requests that are waiting for a slot or holding one
	reports map[acaciatally.InstanceID]*acaciatally.InstanceReport
}

// NewRecorder returns a recorder that acquires slots from config.Slots.
func NewRecorder(config RecorderConfig) *Recorder {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	return &Recorder{
		config:  config,
		demand:  map[acaciatally.PoolName]int{},
		reports: map[acaciatally.InstanceID]*acaciatally.InstanceReport{},
	}
}

// Acquire acquires a slot from the wrapped source and returns its errors. The request counts as demand until Acquire fails or the slot
// is released.
func (r *Recorder) Acquire(ctx context.Context, request acaciatally.Request) (grant *acaciatally.Grant, err error) {
	r.addDemand(request.Pool, 1)
	sourceGrant, err := r.config.Slots.Acquire(ctx, request)
	if err != nil {
		r.addDemand(request.Pool, -1)
		return nil, err
	}
	var once sync.Once
	wrapped := *sourceGrant
	wrapped.Release = func(result acaciatally.AttemptResult) {
		once.Do(func() { r.recordResult(request.Pool, sourceGrant.Worker, result) })
		sourceGrant.Release(result)
	}
	return &wrapped, nil
}

func (r *Recorder) addDemand(pool acaciatally.PoolName, requests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demand[pool] += requests
}

func (r *Recorder) recordResult(pool acaciatally.PoolName, worker acaciatally.InstanceID, result acaciatally.AttemptResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demand[pool]--
	if result == (acaciatally.AttemptResult{}) { // the slot was not used
		return
	}
	report := r.reports[worker]
	if report == nil {
		report = &acaciatally.InstanceReport{Entry: r.config.Entry, Instance: worker}
		r.reports[worker] = report
	}
	countAttempt(report, result)
}

// countAttempt adds the result of an attempt to the report. A refusal by a full or leaving instance shows only that the instance is
// reachable. An attempt that was ended by its caller is not counted, since it shows nothing about the instance.
func countAttempt(report *acaciatally.InstanceReport, result acaciatally.AttemptResult) {
	if result.EndedByCaller {
		return
	}
	if result.Outcome == acaciatally.NotRun && !result.Refused {
		report.Unreachable++
		return
	}
	if result.Refused {
		report.Connected++
		return
	}
	if result.Outcome == acaciatally.Unknown && result.Status == 0 {
		report.Failed++
		return
	}
	report.Connected++
	if result.Status >= http.StatusInternalServerError || result.Outcome != "" {
		report.Failed++
		return
	}
	report.Succeeded++
}

// Take returns this entry's current demand and its reports since the last call. The reports are removed from the recorder.
func (r *Recorder) Take() (demand []acaciatally.PoolDemand, reports []acaciatally.InstanceReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for pool, requests := range r.demand {
		demand = append(demand, acaciatally.PoolDemand{Pool: pool, Slots: float64(requests)})
		if requests == 0 {
			delete(r.demand, pool)
		}
	}
	now := r.config.Clock.Now()
	for _, report := range r.reports {
		report.At = now
		reports = append(reports, *report)
	}
	clear(r.reports)
	slices.SortFunc(demand, func(a, b acaciatally.PoolDemand) int { return compare(string(a.Pool), string(b.Pool)) })
	slices.SortFunc(reports, func(a, b acaciatally.InstanceReport) int { return compare(string(a.Instance), string(b.Instance)) })
	return demand, reports
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// maxDemandAge is the time for which the last reported demand of an entry is used. Entries report every second.
const maxDemandAge = 3 * time.Second
