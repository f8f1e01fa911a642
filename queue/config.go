package queue

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// The defaults of a Config.
const (
	defaultUrgentFloor     = 0.5
	defaultNormalFloor     = 0.3
	defaultBackgroundFloor = 0.1
	defaultMaxLength       = 4096     // requests
	defaultMaxBytes        = 16 << 20 // bytes
)

// unknownServiceTime is assumed until the first request has been served.
const unknownServiceTime = 100 * time.Millisecond

// Bounds limits what may be queued.
type Bounds struct {
	Length int   // requests
	Bytes  int64 // bytes of request bodies
}

// Config is what a Queue needs; zero values take the defaults.
type Config struct {
	// Floors are the shares of the pool's slots that each urgency class is sure of.
	Floors [acaciatally.UrgencyClasses]float64
	// MaxLength bounds the queued requests of the pool.
	MaxLength int
	// MaxBytes bounds the queued bytes of the pool.
	MaxBytes int64
	// Class bounds each class; without it each class has a quarter of the pool's bounds, and all share the last quarter.
	Class Bounds
	// Team bounds each team in each class; without it a team may queue as much as its class has room left.
	Team Bounds
}

// Item is a request that waits for a slot.
type Item struct {
	ID         string
	Team       acaciatally.TeamName
	Urgency    acaciatally.Urgency
	Deadline   time.Time
	Bytes      int64
	DataCentre acaciatally.DataCentre // data centre of the entry that holds the caller's connection
	Idempotent bool
}

func (i Item) valid() bool {
	return i.Urgency >= 0 && int(i.Urgency) < acaciatally.UrgencyClasses && i.Bytes >= 0
}

// Stats counts the queued and granted requests, by class.
type Stats struct {
	Queued      [acaciatally.UrgencyClasses]int
	QueuedBytes [acaciatally.UrgencyClasses]int64
	Held        [acaciatally.UrgencyClasses]int // granted slots that have not been returned
	Refused     [acaciatally.UrgencyClasses]uint64
	Expired     [acaciatally.UrgencyClasses]uint64
	ServiceTime time.Duration // learned mean
}

func (c Config) withDefaults() Config {
	if c.Floors == ([acaciatally.UrgencyClasses]float64{}) {
		c.Floors = [acaciatally.UrgencyClasses]float64{defaultUrgentFloor, defaultNormalFloor, defaultBackgroundFloor}
	}
	if c.MaxLength == 0 {
		c.MaxLength = defaultMaxLength
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = defaultMaxBytes
	}
	return c
}
