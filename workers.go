package acaciatally

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// WorkerID identifies one life of an instance as a worker.
type WorkerID string

// ErrOtherWorker reports that another worker answers at the address.
var ErrOtherWorker = errors.New("another worker answers at the address")

// ErrNoAnswer reports that an order may have been carried out, or may be carried out later.
var ErrNoAnswer = errors.New("no answer, outcome not known")

// Worker is what a worker says of itself in the directory.
type Worker struct {
	ID         WorkerID
	Instance   InstanceID // empty when the worker does not say it
	Address    netip.AddrPort
	Pool       PoolName
	DataCentre DataCentre
	Born       time.Time // start of this life
	Draining   bool
	Remaining  time.Duration // least time left while draining
	Capacity   Room
	Labels     []string
	Rack       Rack
}

// HasLabel reports whether the worker carries the label; the empty label is carried by all.
func (w Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, own := range w.Labels {
		if own == label {
			return true
		}
	}
	return false
}

// TaskEnd is how a run of a task ended.
type TaskEnd string

// The ends of a run.
const (
	EndDone    TaskEnd = "Done"
	EndFailed  TaskEnd = "Failed"
	EndStopped TaskEnd = "Stopped"
	EndLapsed  TaskEnd = "Lapsed" // its lease expired
	EndBroken  TaskEnd = "Broken" // another member of its gang ended
	EndAlone   TaskEnd = "Alone"  // the other members of its gang did not come
)

// RunningTask is a run that a worker lists as present.
type RunningTask struct {
	Task       TaskRef
	Attempt    int
	Checkpoint string
	Percent    int
	Tail       time.Duration // response time of a serving task; zero for others
	Processors int           // in use by any other task, thousandths of a core
}

// EndedTask is the end of a run; numbers rise within one life of a worker.
type EndedTask struct {
	Number     uint64
	Task       TaskRef
	Attempt    int
	End        TaskEnd
	Checkpoint string
}

// WorkerReport is a worker's answer to a renewal.
type WorkerReport struct {
	Clock   time.Duration // the worker's own monotonic clock
	Born    time.Time     // zero when the worker does not say it
	Running []RunningTask
	Ended   []EndedTask
}

// RunOrder names the run that an order is about and the fencing token of its sender.
type RunOrder struct {
	Task    TaskRef
	Attempt int
	Fence   uint64
}

// StartOrder starts a run.
type StartOrder struct {
	RunOrder
	Payload    string
	LeaseUntil time.Duration // on the worker's clock, for everything that runs there
	Checkpoint string        // empty starts from the beginning
	Permission string        // ticket of the advice service; empty where the queue has none
}

// RenewOrder extends the lease of everything on a worker and asks for its lists.
type RenewOrder struct {
	Fence        uint64
	LeaseUntil   time.Duration // on the worker's clock; zero extends nothing
	Acknowledged uint64        // ends up to this number are recorded and may be forgotten
	Wait         time.Duration // how long the answer may wait for an end
}

// RejectReason is why a worker refused an order.
type RejectReason string

// The reasons of a refused order.
const (
	RejectFence      RejectReason = "Fence"      // a higher fencing token was seen
	RejectOld        RejectReason = "Old"        // a run as high was stopped or ended there
	RejectLate       RejectReason = "Late"       // the lease is over
	RejectRoom       RejectReason = "Room"       // it does not fit
	RejectPermission RejectReason = "Permission" // the ticket is not valid
	RejectMalformed  RejectReason = "Malformed"
)

// OrderRejectedError reports that a worker refused an order and did nothing.
type OrderRejectedError struct {
	Reason RejectReason
}

// Error returns the message with the reason.
func (e *OrderRejectedError) Error() string {
	return fmt.Sprintf("order rejected: %s", e.Reason)
}

// WorkerOrders gives orders to workers; its calls fail with *OrderRejectedError, ErrOtherWorker, ErrUnavailable or ErrNoAnswer.
type WorkerOrders interface {
	// Start starts a run; repeating it changes nothing.
	Start(ctx context.Context, worker Worker, order StartOrder) (err error)
	// Stop ends a run; a run that has not arrived yet will be refused.
	Stop(ctx context.Context, worker Worker, order RunOrder) (err error)
	// Pace lets a run use only a share of its processors, in percent.
	Pace(ctx context.Context, worker Worker, order RunOrder, percent int) (err error)
	// Renew extends the worker's lease and returns what runs and what has ended there.
	Renew(ctx context.Context, worker Worker, order RenewOrder) (report WorkerReport, err error)
}

// Permission allows a worker to run a step.
type Permission struct {
	Worker WorkerID
	Ticket string
}

// Advice is the answer of the advice service.
type Advice struct {
	Permissions []Permission
	Valid       time.Duration
}

// Adviser asks the service that decides which workers may run a step.
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
	Capacity   Room
}

// FleetLease is the identity under which instances are ordered.
type FleetLease struct {
	Holder string
	Fence  uint64
}

// InstanceBusyError reports that an instance can't be ordered now.
type InstanceBusyError struct{ Reason string }

// Error returns the message with the reason.
func (e *InstanceBusyError) Error() string { return "instance not ordered: " + e.Reason }

// FleetControl moves and maintains instances; its calls fail with *OrderRejectedError, *InstanceBusyError, ErrUnavailable or
// ErrNoAnswer.
type FleetControl interface {
	// Fleet lists all instances.
	Fleet(ctx context.Context) (instances []FleetInstance, err error)
	// Move takes an instance to another pool; all that runs on it ends at once.
	Move(ctx context.Context, lease FleetLease, instance InstanceID, pool PoolName) (err error)
	// Maintain takes an instance down for its maintenance in a wave; all that runs on it ends at once.
	Maintain(ctx context.Context, lease FleetLease, instance InstanceID, wave int) (err error)
}

// MaintenanceWave is an operator's request to maintain instances.
type MaintenanceWave struct {
	Number    int
	Instances []InstanceID
	Within    time.Duration
	AtOnce    int
}
