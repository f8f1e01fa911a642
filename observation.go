package acaciatally

import (
	"context"
	"net/netip"
	"time"
)

// PoolDemand is the demand of a pool as the entries see it: slots in use and requests queued.
type PoolDemand struct {
	Pool  PoolName
	Slots float64
}

// InstanceReport is what one entry saw of one instance since its last report.
type InstanceReport struct {
	Entry       EntryID
	Instance    InstanceID
	At          time.Time
	Connected   int // attempts that reached the instance
	Unreachable int // attempts without a connection
	Succeeded   int // whole answers without an error status
	Failed      int // attempts that ran and failed
}

// Observer gives the control path what the traffic path of the entries has seen; implementations never block.
type Observer interface {
	// Demand returns the present demand of each pool.
	Demand() []PoolDemand
	// Reports returns the reports that came in since the last call.
	Reports() []InstanceReport
}

// HealthCheck asks an instance whether it is ready to serve.
type HealthCheck interface {
	// Check returns nil when the instance is ready.
	Check(ctx context.Context, instance InstanceID, address netip.AddrPort) (err error)
}
