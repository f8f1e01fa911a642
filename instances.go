package acaciatally

import (
	"context"
	"net/netip"
	"time"
)

// ListedInstance is one entry of the platform's instance list, which is eventually consistent.
type ListedInstance struct {
	ID      InstanceID
	Address netip.AddrPort
	Leaving bool
	SeenAt  time.Time
}

// InstanceList is the platform's eventually consistent list of live and leaving instances.
type InstanceList interface {
	// Instances returns the platform's current list; it fails with ErrUnavailable.
	Instances(ctx context.Context) (instances []ListedInstance, err error)
}

// OperationState is the state of an operation on an instance.
type OperationState string

// The states of an operation on an instance.
const (
	OperationRunning OperationState = "Running"
	OperationDone    OperationState = "Done"
	OperationFailed  OperationState = "Failed"
	OperationAbsent  OperationState = "Absent"
)

// InstanceControl drains and reboots the pools' instances; the operation id makes every call idempotent.
type InstanceControl interface {
	// Drain asks the instance to finish its requests in progress and accept no new ones.
	Drain(ctx context.Context, operation string, instance InstanceID) (err error)
	// Reboot restarts a drained instance.
	Reboot(ctx context.Context, operation string, instance InstanceID) (err error)
	// Undrain returns a drained instance to service without a reboot.
	Undrain(ctx context.Context, operation string, instance InstanceID) (err error)
	// Operation returns the state of an operation; it fails with ErrUnavailable.
	Operation(ctx context.Context, operation string) (state OperationState, err error)
}

// Resources is an amount of resources that a worker offers or a task needs.
type Resources struct {
	Processors   float64 // cores
	Memory       int64   // bytes
	Accelerators int
}

// TaskLease instructs a worker to run one attempt of a task until Expires.
type TaskLease struct {
	Task       string
	Attempt    int
	Worker     InstanceID
	Resources  Resources
	Command    []byte
	Checkpoint string // object name of the checkpoint to resume from; empty starts from the beginning
	Expires    time.Time
}

// TaskUsage is a worker's report on one attempt, delivered with a delay.
type TaskUsage struct {
	Task       string
	Attempt    int
	Worker     InstanceID
	Used       Resources
	ReportedAt time.Time
	State      TaskRunState
	Checkpoint string
	Reason     string
}

// TaskRunState is the state of an attempt as its worker reports it.
type TaskRunState string

// The states of an attempt on a worker.
const (
	TaskRunning      TaskRunState = "Running"
	TaskDone         TaskRunState = "Done"
	TaskFailed       TaskRunState = "Failed"
	TaskStopped      TaskRunState = "Stopped"
	TaskLeaseExpired TaskRunState = "LeaseExpired"
)

// TaskLeases runs tasks on workers under leases; task and attempt make each call idempotent.
type TaskLeases interface {
	// Start starts an attempt; it fails with ErrUnavailable or ErrRejected.
	Start(ctx context.Context, lease TaskLease) (err error)
	// Renew extends the lease of an attempt; it fails with ErrLeaseExpired once the lease has expired.
	Renew(ctx context.Context, task string, attempt int, expires time.Time) (err error)
	// Checkpoint asks an attempt to write its state to the object store.
	Checkpoint(ctx context.Context, task string, attempt int) (err error)
	// Throttle limits an attempt to a share of its processors, between 0 and 1.
	Throttle(ctx context.Context, task string, attempt int, share float64) (err error)
	// Stop ends an attempt.
	Stop(ctx context.Context, task string, attempt int) (err error)
	// Usage returns the latest reports on all attempts on the given workers; the reports are delayed.
	Usage(ctx context.Context, workers ...InstanceID) (usage []TaskUsage, err error)
}

// Clock returns the current time; tests replace it.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// SystemClock is the system clock.
type SystemClock struct{}

// Now returns the current system time.
func (SystemClock) Now() time.Time { return time.Now() }
