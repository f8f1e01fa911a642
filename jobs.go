package acaciatally

import (
	"fmt"
	"time"
)

// JobID identifies a job; the caller draws it.
type JobID string

// QueueName identifies a queue of jobs.
type QueueName string

// Room is an amount of what a worker offers or a task takes.
type Room struct {
	Processors   int `json:",omitempty"` // thousandths of a core
	Memory       int `json:",omitempty"` // MiB
	Accelerators int `json:",omitempty"`
}

// Plus returns the sum of both amounts.
func (r Room) Plus(other Room) Room {
	return Room{r.Processors + other.Processors, r.Memory + other.Memory, r.Accelerators + other.Accelerators}
}

// Minus returns what is left of r without other.
func (r Room) Minus(other Room) Room {
	return Room{r.Processors - other.Processors, r.Memory - other.Memory, r.Accelerators - other.Accelerators}
}

// Holds reports whether other fits into r.
func (r Room) Holds(other Room) bool {
	return other.Processors <= r.Processors && other.Memory <= r.Memory && other.Accelerators <= r.Accelerators
}

// Step is one step of a job: Count equal tasks that start once all tasks of the steps in After are done.
type Step struct {
	Count         int
	Room          Room
	Estimate      time.Duration `json:",omitempty"` // the caller's guess, often far off
	After         []int         `json:",omitempty"`
	Checkpoints   bool          `json:",omitempty"`
	Gang          bool          `json:",omitempty"` // the tasks run only all together
	SameRack      bool          `json:",omitempty"` // slower on more than one rack
	Label         string        `json:",omitempty"` // a label that the worker must have
	NearRack      string        `json:",omitempty"` // slower on any other rack
	PerWorker     int           `json:",omitempty"` // bound on tasks of the step on one worker; 0 is none
	Copies        bool          `json:",omitempty"` // several runs of one task may run at once
	Lasting       bool          `json:",omitempty"` // runs until the job is cancelled
	Image         string        `json:",omitempty"`
	TailObjective time.Duration `json:",omitempty"` // bound on the response time of a lasting task
	Backfill      bool          `json:",omitempty"` // uses processors that others leave free
	MayMiss       int           `json:",omitempty"` // disruption budget of a lasting step, in tasks
	HasMayMiss    bool          `json:",omitempty"`
}

// Takes returns what one task counts against a worker's capacity.
func (s Step) Takes() Room {
	room := s.Room
	if s.Backfill {
		room.Processors = 0
	}
	return room
}

// JobSpec is what a caller submits.
type JobSpec struct {
	Payload  string
	Steps    []Step
	Repeat   int           `json:",omitempty"` // occurrences of a scheduled job; 0 is a job that runs once, at once
	FirstAt  time.Time     `json:",omitzero"`  // of the first occurrence
	Interval time.Duration `json:",omitempty"`
}

// TaskRef names one task of a job.
type TaskRef struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the reference for logs.
func (t TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// JobState is what callers are told about a job.
type JobState string

// The states of a job.
const (
	JobQueued    JobState = "Queued"
	JobRunning   JobState = "Running"
	JobCompleted JobState = "Completed"
	JobFailed    JobState = "Failed"
	JobCancelled JobState = "Cancelled"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool {
	return s == JobCompleted || s == JobFailed || s == JobCancelled
}

// AdvicePolicy says that an outside service decides which workers may run a queue's steps.
type AdvicePolicy struct {
	Fixed     time.Duration // cost of one question
	PerWorker time.Duration // additional cost of each worker that is asked about
	Valid     time.Duration // how long a permission holds
}

// Queue is the configuration of a queue.
type Queue struct {
	Name      QueueName
	Host      string
	Prefix    string
	Pool      PoolName
	Priority  int // 0 comes first
	Attempts  int // failed runs of a task after which its job has failed
	Stretch   float64
	Objective time.Duration // time allowed beyond the stretched work
	Advice    *AdvicePolicy `json:",omitempty"`
}

// PoolOptions is the configuration of a pool.
type PoolOptions struct {
	Name    PoolName
	Guarded bool // its workers reject what does not fit
	Standby bool // its instances are off
	Health  string
}

// FrontLimits bounds what callers may send.
type FrontLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of what operators configure.
type Configuration struct {
	Version uint64
	Queues  []Queue
	Pools   map[PoolName]PoolOptions
	Limits  FrontLimits
}
