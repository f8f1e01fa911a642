package observation

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
)

// RecorderConfig is what a Recorder needs.
type RecorderConfig struct {
	Entry acaciatally.EntryID
	Slots acaciatally.SlotSource
	Clock acaciatally.Clock
}

// Recorder is a SlotSource that notes the demand and the results of this entry's attempts; it is safe for concurrent use.
type Recorder struct {
	config RecorderConfig

	mu      sync.Mutex
	demand  map[acaciatally.PoolName]int // requests that wait for a slot or hold one
	reports map[acaciatally.InstanceID]*acaciatally.InstanceReport
}

// NewRecorder returns a recorder in front of a source of slots.
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

// Acquire waits for a slot and notes the request until it gives up or releases the slot; it fails as the source does.
func (r *Recorder) Acquire(ctx context.Context, request acaciatally.Request) (grant *acaciatally.Grant, err error) {
	r.add(request.Pool, 1)
	granted, err := r.config.Slots.Acquire(ctx, request)
	if err != nil {
		r.add(request.Pool, -1)
		return nil, err
	}
	var once sync.Once
	observed := *granted
	observed.Release = func(result acaciatally.AttemptResult) {
		once.Do(func() { r.released(request.Pool, granted.Worker, result) })
		granted.Release(result)
	}
	return &observed, nil
}

func (r *Recorder) add(pool acaciatally.PoolName, requests int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demand[pool] += requests
}

func (r *Recorder) released(pool acaciatally.PoolName, worker acaciatally.InstanceID, result acaciatally.AttemptResult) {
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
	count(report, result)
}

// count sorts an attempt; a refusal of a full or leaving instance proves that it is reachable and says nothing else. An attempt
// that its caller ended says nothing of the instance.
func count(report *acaciatally.InstanceReport, result acaciatally.AttemptResult) {
	if result.CutOff {
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

// Take returns this entry's present demand and the reports since the last call.
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

// demandAge is how long an entry's demand counts after its last report; reports come each second.
const demandAge = 3 * time.Second
