package queue

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// Default values of Config.
const (
	defaultUrgentFloor     = 0.5
	defaultNormalFloor     = 0.3
	defaultBackgroundFloor = 0.1
	defaultMaxLength       = 4096     // requests
	defaultMaxBytes        = 16 << 20 // bytes
)

// defaultServiceTime is the estimate used until the first service time has been measured.
const defaultServiceTime = 100 * time.Millisecond

// Bounds limits the number and size of queued requests.
type Bounds struct {
	Length int   // requests
	Bytes  int64 // bytes of request bodies
}

// Config holds the settings of a Queue; zero values select the defaults.
type Config struct {
	// Floors are the shares of the pool's slots that are guaranteed to each urgency class.
	Floors [acaciatally.UrgencyClasses]float64
	// MaxLength is the maximum number of queued requests in the pool.
	MaxLength int
	// MaxBytes is the maximum total size of queued request bodies in the pool.
	MaxBytes int64
	// Class limits each class; a zero value gives each class a quarter of the pool's bounds and shares the last quarter among all.
	Class Bounds
	// Team limits each team in each class; a zero value lets a team queue as much as remains of its class's bounds.
	Team Bounds
}

// Item is a request waiting for a slot.
type Item struct {
	ID         string
	Team       acaciatally.TeamName
	Urgency    acaciatally.Urgency
	Deadline   time.Time              // zero for none
	Bytes      int64                  // size of the request body
	DataCentre acaciatally.DataCentre // data centre of the entry that holds the caller's connection
	Idempotent bool
}

func (i Item) valid() bool {
	return i.Urgency >= 0 && int(i.Urgency) < acaciatally.UrgencyClasses && i.Bytes >= 0
}

// Stats counts requests by class. Refused and Expired count all requests since the queue was created.
type Stats struct {
	Queued      [acaciatally.UrgencyClasses]int
	QueuedBytes [acaciatally.UrgencyClasses]int64
	Held        [acaciatally.UrgencyClasses]int // granted slots that have not been returned
	Refused     [acaciatally.UrgencyClasses]uint64
	Expired     [acaciatally.UrgencyClasses]uint64
	ServiceTime time.Duration // moving average
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
