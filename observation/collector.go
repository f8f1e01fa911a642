package observation

import (
	"slices"
	"sync"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/observation/observationpb"
)

// maxReports limits the reports that are kept between two calls of Reports. The oldest reports are discarded first.
const maxReports = 20000

// Collector collects the observations of all entries. It implements acaciatally.Observer and is safe for concurrent use.
type Collector struct {
	clock acaciatally.Clock

	mu      sync.Mutex
	demand  map[acaciatally.EntryID]entryDemand
	reports []acaciatally.InstanceReport
}

type entryDemand struct {
	receivedAt time.Time
	pools      []acaciatally.PoolDemand
}

// NewCollector returns an empty collector. A nil clock is replaced by the system clock.
func NewCollector(clock acaciatally.Clock) *Collector {
	if clock == nil {
		clock = acaciatally.SystemClock{}
	}
	return &Collector{clock: clock, demand: map[acaciatally.EntryID]entryDemand{}}
}

// Add stores the current demand of one entry and appends its reports.
func (c *Collector) Add(entry acaciatally.EntryID, demand []acaciatally.PoolDemand, reports []acaciatally.InstanceReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demand[entry] = entryDemand{receivedAt: c.clock.Now(), pools: demand}
	c.reports = append(c.reports, reports...)
	if excess := len(c.reports) - maxReports; excess > 0 {
		c.reports = slices.Delete(c.reports, 0, excess)
	}
}

// Receive adds the observations in a message from another entry.
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

// Demand returns the demand of each pool summed over all entries, sorted by pool. Entries without a recent report are left out.
func (c *Collector) Demand() (demand []acaciatally.PoolDemand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sums := map[acaciatally.PoolName]float64{}
	now := c.clock.Now()
	for entry, received := range c.demand {
		if now.Sub(received.receivedAt) > maxDemandAge {
			delete(c.demand, entry)
			continue
		}
		for _, pool := range received.pools {
			sums[pool.Pool] += pool.Slots
		}
	}
	for pool, slots := range sums {
		demand = append(demand, acaciatally.PoolDemand{Pool: pool, Slots: slots})
	}
	slices.SortFunc(demand, func(a, b acaciatally.PoolDemand) int { return compare(string(a.Pool), string(b.Pool)) })
	return demand
}

// Reports returns and removes the reports received since the last call.
func (c *Collector) Reports() (reports []acaciatally.InstanceReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports, c.reports = c.reports, nil
	return reports
}
