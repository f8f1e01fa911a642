package acaciatally

import (
	"crypto/sha256"
	"fmt"
	"time"
)

// JobID identifies a job; the caller chooses it.
type JobID string

// QueueName identifies a queue of jobs.
type QueueName string

// ResourceVector is an amount of resources that a worker offers or a task reserves, in the units of the job scheduler.
type ResourceVector struct {
	Processors   int `json:",omitempty"` // thousandths of a core
	Memory       int `json:",omitempty"` // MiB
	Accelerators int `json:",omitempty"`
}

// Plus returns the sum of r and other.
func (r ResourceVector) Plus(other ResourceVector) ResourceVector {
	return ResourceVector{r.Processors + other.Processors, r.Memory + other.Memory, r.Accelerators + other.Accelerators}
}

// Minus returns r reduced by other; the result may be negative.
func (r ResourceVector) Minus(other ResourceVector) ResourceVector {
	return ResourceVector{r.Processors - other.Processors, r.Memory - other.Memory, r.Accelerators - other.Accelerators}
}

// Times returns r multiplied by count.
func (r ResourceVector) Times(count int) ResourceVector {
	return ResourceVector{r.Processors * count, r.Memory * count, r.Accelerators * count}
}

// Max returns the larger amount of each resource of r and other.
func (r ResourceVector) Max(other ResourceVector) ResourceVector {
	return ResourceVector{max(r.Processors, other.Processors), max(r.Memory, other.Memory), max(r.Accelerators, other.Accelerators)}
}

// IsZero reports whether r is no amount of any resource.
func (r ResourceVector) IsZero() bool { return r == ResourceVector{} }

// Fits reports whether other fits into r in every resource.
func (r ResourceVector) Fits(other ResourceVector) bool {
	return other.Processors <= r.Processors && other.Memory <= r.Memory && other.Accelerators <= r.Accelerators
}

// ExceededBy reports whether r is negative in a resource of which other takes some.
func (r ResourceVector) ExceededBy(other ResourceVector) bool {
	return r.Processors < 0 && other.Processors > 0 || r.Memory < 0 && other.Memory > 0 || r.Accelerators < 0 && other.Accelerators > 0
}

// Step is one step of a job: Count identical tasks that start once all tasks of the steps in After are done.
type Step struct {
	Count               int
	Resources           ResourceVector `json:"Room"`
	Estimate            time.Duration  `json:",omitempty"`        // run time estimated by the caller, often inaccurate
	After               []int          `json:",omitempty"`        // indices of the steps that must be done first
	Checkpoints         bool           `json:",omitempty"`        // a task can resume from a checkpoint
	Gang                bool           `json:",omitempty"`        // the tasks run all at the same time or not at all
	SameRack            bool           `json:",omitempty"`        // the tasks run slower when spread over several racks
	Label               string         `json:",omitempty"`        // a label that the worker must have
	NearRack            string         `json:",omitempty"`        // rack outside which the tasks run slower
	PerWorker           int            `json:",omitempty"`        // maximum number of the step's tasks on one worker; 0 is unlimited
	Copies              bool           `json:",omitempty"`        // speculative copies of a task may run at the same time
	LongRunning         bool           `json:"Lasting,omitempty"` // long-running: the tasks run until the job is cancelled
	Image               string         `json:",omitempty"`
	TailObjective       time.Duration  `json:",omitempty"`           // tail latency objective of a long-running task
	Backfill            bool           `json:",omitempty"`           // uses only processors that other tasks leave idle
	DisruptionBudget    int            `json:"MayMiss,omitempty"`    // disruption budget of a long-running step: tasks that may be down at once
	HasDisruptionBudget bool           `json:"HasMayMiss,omitempty"` // DisruptionBudget is set; tells a budget of 0 from none
}

// Reserved returns the resources that one task reserves on a worker; a backfill task reserves no processors.
func (s Step) Reserved() ResourceVector {
	resources := s.Resources
	if s.Backfill {
		resources.Processors = 0
	}
	return resources
}

// JobSpec is a job as submitted by a caller.
type JobSpec struct {
	Payload  string
	Steps    []Step
	Repeat   int           `json:",omitempty"` // number of occurrences of a scheduled job; 0 is a job that runs once, immediately
	FirstAt  time.Time     `json:",omitzero"`  // start of the first occurrence
	Interval time.Duration `json:",omitempty"` // time between the starts of two occurrences
}

// TaskRef identifies one task of a job.
type TaskRef struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String formats the reference for logs.
func (t TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// JobState is the state of a job.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "Queued"
	JobRunning   JobState = "Running"
	JobCompleted JobState = "Completed"
	JobFailed    JobState = "Failed"
	JobCancelled JobState = "Cancelled"
	// JobWithdrawn is the state of a job that was cancelled before it was accepted. For callers, there is no such job.
	JobWithdrawn JobState = "Withdrawn"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled || s == JobWithdrawn
}

// AdvicePolicy configures a queue whose steps run only on workers that an external service permits.
type AdvicePolicy struct {
	Fixed     time.Duration // fixed time that one request to the service takes
	PerWorker time.Duration // additional time for each worker in the request
	Valid     time.Duration // time for which a permission is valid
}

// Queue is the configuration of a queue.
type Queue struct {
	Name      QueueName
	Host      string
	Prefix    string
	Pool      PoolName
	Priority  int           // 0 is the highest priority
	Attempts  int           // failed runs of a task after which the job fails
	Stretch   float64       // latency objective as a multiple of the time of the job's longest chain of steps
	Objective time.Duration // constant part of the latency objective, added to the multiple
	Advice    *AdvicePolicy `json:",omitempty"`
	Public    bool          `json:",omitempty"` // calls need no key, and jobs belong to no account
}

// KeyDigest is the SHA-256 digest of a key of a client account; the key itself is not kept.
type KeyDigest [sha256.Size]byte

// Account is the configuration of a client account.
type Account struct {
	Name    AccountName
	Keys    []KeyDigest
	Weight  float64        // its share of the fleet while capacity is short, and the number of jobs per second to which it is entitled
	Maximum ResourceVector // what its runs may reserve on all workers together; 0 is no limit on the resource
}

// PoolOptions is the configuration of a pool.
type PoolOptions struct {
	Name             PoolName
	EnforcesCapacity bool   // its workers reject runs that exceed their free capacity
	Standby          bool   // its instances are powered off
	HealthPath       string // path of the health check; empty if there is none
}

// RequestLimits holds the limits on callers' requests and connections.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version uint64
	Queues  []Queue
	Pools   map[PoolName]PoolOptions
	Limits  RequestLimits
	// Accounts holds the client accounts by name. It is nil if the configuration has none; then no call needs a key.
	Accounts map[AccountName]Account
	// Warnings lists the parts of the operators' record that were ignored because they are not valid.
	Warnings []error
}
