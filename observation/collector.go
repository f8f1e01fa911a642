package observation

import (
	"slices"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/observation/observationpb"
)

// maxReports bounds the reports that are kept while the control path does not take them.
const maxReports = 20000

// Collector gathers the observations of all entries; it implements acaciatally.Observer and is safe for concurrent use.
type Collector struct {
	clock acaciatally.Clock

	mu      sync.Mutex
	demand  map[acaciatally.EntryID]entryDemand
	reports []acaciatally.InstanceReport
}

type entryDemand struct {
	at    time.Time
	pools []acaciatally.PoolDemand
}

// NewCollector returns a collector without observations.
func NewCollector(clock acaciatally.Clock) *Collector {
	if clock == nil {
		clock = acaciatally.SystemClock{}
	}
	return &Collector{clock: clock, demand: map[acaciatally.EntryID]entryDemand{}}
}

// Add takes in what one entry observed.
func (c *Collector) Add(entry acaciatally.EntryID, demand []acaciatally.PoolDemand, reports []acaciatally.InstanceReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand[entry] = entryDemand{at: c.clock.Now(), pools: demand}
	c.reports = append(c.reports, reports...)
	if extra := len(c.reports) - maxReports; extra > 0 {
		c.reports = slices.Delete(c.reports, 0, extra)
	}
}

// Receive takes in a message of another entry.
func (c *Collector) Receive(from acaciatally.EntryID, message *observationpb.Observation) {
	now := c.clock.Now()
	demand := make([]acaciatally.PoolDemand, len(message.Demand))
	for i, pool := range message.Demand {
		demand[i] = acaciatally.PoolDemand{Pool: acaciatally.PoolName(pool.Pool), Slots: pool.Slots}
	}
	reports := make([]acaciatally.InstanceReport, len(message.Reports))
	for i, report := range message.Reports {
		reports[i] = acaciatally.InstanceReport{
			Entry: from, Instance: acaciatally.InstanceID(report.Instance), At: now, Connected: int(report.Connected),
			Unreachable: int(report.Unreachable), Succeeded: int(report.Succeeded), Failed: int(report.Failed),
		}
	}
	c.Add(from, demand, reports)
}

// Demand returns the sum of the entries' demand by pool; entries that have gone silent no longer count.
func (c *Collector) Demand() (demand []acaciatally.PoolDemand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sums := map[acaciatally.PoolName]float64{}
	now := c.clock.Now()
	for entry, known := range c.demand {
		if now.Sub(known.at) > demandAge {
			delete(c.demand, entry)
			continue
		}
		for _, pool := range known.pools {
			sums[pool.Pool] += pool.Slots
		}
	}
	for pool, slots := range sums {
		demand = append(demand, acaciatally.PoolDemand{Pool: pool, Slots: slots})
	}
	slices.SortFunc(demand, func(a, b acaciatally.PoolDemand) int { return compare(string(a.Pool), string(b.Pool)) })
	return demand
}

// Reports returns the reports that came in since the last call.
func (c *Collector) Reports() (reports []acaciatally.InstanceReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports, c.reports = c.reports, nil
	return reports
}
