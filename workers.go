package acaciatally

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// WorkerID identifies one incarnation of a worker: it changes each time the worker of an instance starts.
type WorkerID string

// ErrWorkerMismatch reports that a different worker responded at the address.
var ErrWorkerMismatch = errors.New("a different worker responds at the address")

// ErrUnknownOutcome reports that no response arrived: the call may have been executed, or may still be executed later.
var ErrUnknownOutcome = errors.New("no answer, outcome not known")

// ErrNotSent reports that no part of a call left this process, for lack of a connection or of time; it goes with ErrUnavailable.
var ErrNotSent = errors.New("not sent")

// Worker is a worker's own registration in the directory.
type Worker struct {
	ID         WorkerID
	Instance   InstanceID // empty if the worker does not report it
	Address    netip.AddrPort
	Pool       PoolName
	DataCentre DataCentre
	StartTime  time.Time // start of this incarnation
	Draining   bool
	Remaining  time.Duration // minimum time left while draining
	Capacity   ResourceVector
	Labels     []string
	Rack       Rack
}

// HasLabel reports whether the worker has the label; every worker has the empty label.
func (w Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, known := range w.Labels {
		if known == label {
			return true
		}
	}
	return false
}

// TaskEnd is the way in which a run of a task ended.
type TaskEnd string

// The ways in which a run can end.
const (
	EndDone            TaskEnd = "Done"
	EndFailed          TaskEnd = "Failed"
	EndStopped         TaskEnd = "Stopped"
	EndLeaseExpired    TaskEnd = "Lapsed" // its lease expired
	EndGangMemberEnded TaskEnd = "Broken" // another member of its gang ended
	EndGangIncomplete  TaskEnd = "Alone"  // the other members of its gang did not start in time
)

// RunningTask is a run in progress, as reported by its worker.
type RunningTask struct {
	Task        TaskRef
	Attempt     int
	Checkpoint  string
	Percent     int
	TailLatency time.Duration // tail latency of a task that serves requests; zero for others
	Processors  int           // in use by a task that serves no requests, in thousandths of a core
}

// EndedTask is an ended run, as reported by its worker; numbers increase within one incarnation of the worker.
type EndedTask struct {
	Number     uint64
	Task       TaskRef
	Attempt    int
	End        TaskEnd
	Checkpoint string
}

// WorkerReport is a worker's response to a lease renewal.
type WorkerReport struct {
	Clock     time.Duration // the worker's own monotonic clock
	StartTime time.Time     // start of this incarnation; zero if the worker does not report it
	Running   []RunningTask
	Ended     []EndedTask
	// EndsIncomplete tells that further runs may have ended that a later report lists, once some of the listed ends are acknowledged.
	EndsIncomplete bool
}

// RunOrder identifies the run to which an order applies and carries the fencing token of the sender.
type RunOrder struct {
	Task    TaskRef
	Attempt int
	Fence   uint64
}

// StartOrder orders the start of a run.
type StartOrder struct {
	RunOrder
	Payload    string
	LeaseUntil time.Duration // on the worker's clock, for all runs on the worker
	Checkpoint string        // checkpoint to resume from; empty starts from the beginning
	Permission string        // ticket of the advice service; empty if the queue has no AdvicePolicy
	SendWithin time.Duration // the order must not be sent later than this from now on; 0 is unlimited
}

// RenewOrder extends the lease of all runs on a worker and requests its report.
type RenewOrder struct {
	Fence        uint64
	LeaseUntil   time.Duration // on the worker's clock; zero does not extend the lease
	Acknowledged uint64        // ended runs up to this number are recorded; the worker may drop them
	Wait         time.Duration // maximum time for which the worker may hold the response until a run ends
}

// RejectReason is the reason why a worker rejected an order.
type RejectReason string

// The reasons for a rejected order.
const (
	RejectFence        RejectReason = "Fence"      // the worker has seen a higher fencing token
	RejectSuperseded   RejectReason = "Old"        // this attempt or a later one was stopped or has ended on the worker
	RejectLeaseExpired RejectReason = "Late"       // the lease has expired
	RejectCapacity     RejectReason = "Room"       // the run exceeds the free capacity
	RejectPermission   RejectReason = "Permission" // the ticket is not valid
	RejectMalformed    RejectReason = "Malformed"
)

// OrderRejectedError reports that a worker rejected an order and changed nothing.
type OrderRejectedError struct {
	Reason RejectReason
}

// Error returns the message with the reason.
func (e *OrderRejectedError) Error() string {
	return fmt.Sprintf("order rejected: %s", e.Reason)
}

// WorkerOrders sends orders to workers; its calls fail with *OrderRejectedError, ErrWorkerMismatch, ErrUnavailable or ErrUnknownOutcome.
type WorkerOrders interface {
	// Start starts a run; repeating it changes nothing.
	Start(ctx context.Context, worker Worker, order StartOrder) (err error)
	// Stop ends a run; if its start order arrives later, the worker rejects it.
	Stop(ctx context.Context, worker Worker, order RunOrder) (err error)
	// Throttle limits a run to a share of its processors, in percent.
	Throttle(ctx context.Context, worker Worker, order RunOrder, percent int) (err error)
	// Renew extends the worker's lease and returns the worker's running and ended tasks.
	Renew(ctx context.Context, worker Worker, order RenewOrder) (report WorkerReport, err error)
}

// Permission allows one worker to run a step; the worker checks the ticket.
type Permission struct {
	Worker WorkerID
	Ticket string
}

// Advice is the response of the advice service.
type Advice struct {
	Permissions []Permission
	Valid       time.Duration // time for which the permissions are valid
}

// Adviser is a client of the advice service, which decides which workers may run a step.
type Adviser interface {
	// Advise returns permissions for the workers that may run the step; it fails with ErrUnavailable.
	Advise(ctx context.Context, job JobID, occurrence, step int, workers []WorkerID) (advice Advice, err error)
}

// InstanceState is the state of an instance in the fleet.
type InstanceState string

// The states of an instance.
const (
	InstanceUp          InstanceState = "Up"
	InstanceMoving      InstanceState = "Moving"
	InstanceMaintenance InstanceState = "Maintenance"
	InstanceDown        InstanceState = "Down"
)

// FleetInstance is one instance as the platform's fleet interface lists it.
type FleetInstance struct {
	ID         InstanceID
	Pool       PoolName
	State      InstanceState
	DataCentre DataCentre
	Rack       Rack
	Worker     WorkerID
	Capacity   ResourceVector
}

// FleetLease identifies the sender of an order to an instance: the lease holder and its fencing token.
type FleetLease struct {
	Holder string
	Fence  uint64
}

// InstanceBusyError reports that an instance can't take an order at present.
type InstanceBusyError struct{ Reason string }

// Error returns the message with the reason.
func (e *InstanceBusyError) Error() string { return "instance busy: " + e.Reason }

// FleetControl moves instances and starts their maintenance; its calls fail with *OrderRejectedError, *InstanceBusyError, ErrUnavailable or
// ErrUnknownOutcome.
type FleetControl interface {
	// ListInstances lists all instances.
	ListInstances(ctx context.Context) (instances []FleetInstance, err error)
	// Move moves an instance to another pool; all runs on it end immediately.
	Move(ctx context.Context, lease FleetLease, instance InstanceID, pool PoolName) (err error)
	// StartMaintenance takes an instance down for maintenance in a wave; all runs on it end immediately.
	StartMaintenance(ctx context.Context, lease FleetLease, instance InstanceID, wave int) (err error)
}

// MaintenanceWave is an operator's request for maintenance of a set of instances.
type MaintenanceWave struct {
	Number        int
	Instances     []InstanceID
	Duration      time.Duration // time in which the whole wave must be done
	MaxConcurrent int           // maximum number of instances taken out of service at the same time
}
