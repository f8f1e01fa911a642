package task

import (
	"cmp"
	"time"

	"github.com/acaciatally/acaciatally"
)

// SchedulerConfig configures a Scheduler; zero values take the defaults.
type SchedulerConfig struct {
	Pool                acaciatally.PoolName
	LeaseTerm           time.Duration // of an attempt's lease
	MaxClockSkew        time.Duration // largest difference between two clocks
	MaxReportLag        time.Duration // largest lag of usage reports
	UrgentVacateTimeout time.Duration // time to write a checkpoint before a more urgent task takes the resources
	VacateTimeout       time.Duration // time to write a checkpoint when vacated for another reason
	CheckpointInterval  time.Duration // between two checkpoints; bounds the work lost with an attempt
	Retention           time.Duration // of ended tasks' rows
	Floors              Floors
	MaxStarts           int      // limits the rows written in one round
	MaxBytes            int64    // memory for tasks; further ones wait in the inbox and new ones are refused. 0 is unlimited
	Baseline            Baseline // replaces part of the scheduling policy in measurements
}

// Baseline is a simple scheduling policy against which the full policy is measured.
type Baseline int

// The baselines; FullPolicy is the full policy.
const (
	FullPolicy            Baseline = iota
	BaselineDeclaredSizes          // places tasks with their declared resources
	BaselineArrivalOrder           // also starts tasks in the order of their arrival, without teams and urgency
)

const (
	defaultLeaseTerm    = time.Minute
	defaultMaxClockSkew = 5 * time.Second
	defaultMaxReportLag = 30 * time.Second
	// defaultUrgentVacateTimeout is about half of the 1.7 s within which an urgent task has to start. The other half is left for the
	// commits and the start order.
	defaultUrgentVacateTimeout = 800 * time.Millisecond
	defaultVacateTimeout       = 30 * time.Second
	defaultCheckpointInterval  = 10 * time.Minute
	defaultRetention           = time.Hour
	defaultMaxStarts           = 200
)

func (c *SchedulerConfig) setDefaults() {
	c.LeaseTerm = cmp.Or(c.LeaseTerm, defaultLeaseTerm)
	c.MaxClockSkew = cmp.Or(c.MaxClockSkew, defaultMaxClockSkew)
	c.MaxReportLag = cmp.Or(c.MaxReportLag, defaultMaxReportLag)
	c.UrgentVacateTimeout = cmp.Or(c.UrgentVacateTimeout, defaultUrgentVacateTimeout)
	c.VacateTimeout = cmp.Or(c.VacateTimeout, defaultVacateTimeout)
	c.CheckpointInterval = cmp.Or(c.CheckpointInterval, defaultCheckpointInterval)
	c.Retention = cmp.Or(c.Retention, defaultRetention)
	c.Floors = cmp.Or(c.Floors, DefaultFloors)
	c.MaxStarts = cmp.Or(c.MaxStarts, defaultMaxStarts)
}
