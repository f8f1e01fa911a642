package acaciatally

import (
	"context"
	"net/netip"
	"time"
)

// PoolDemand is the load offered to a pool, measured by the entries: arrival rate times slot time per request. Queued requests are
// not counted, because a past shortage of slots would then count as demand.
type PoolDemand struct {
	Pool  PoolName
	Slots float64
}

// InstanceReport counts one entry's attempts on one instance since its previous report.
type InstanceReport struct {
	Entry       EntryID
	Instance    InstanceID
	At          time.Time
	Connected   int // attempts that established a connection
	Unreachable int // attempts without a connection
	Succeeded   int // complete answers without an error status
	Failed      int // attempts that ran on the endpoint and failed
}

// Observer provides the control path with measurements from the traffic path of all entries; implementations never block.
type Observer interface {
	// Demand returns the current demand of each pool.
	Demand() []PoolDemand
	// Reports returns the reports received since the last call.
	Reports() []InstanceReport
}

// HealthCheck probes whether an instance is ready to serve.
type HealthCheck interface {
	// Check returns nil if the instance is ready, else the reason why it is not.
	Check(ctx context.Context, instance InstanceID, address netip.AddrPort) (err error)
}
