package queue

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

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
	// Class bounds each class; the default is an equal part of the pool's bounds, so that no class can crowd out another.
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

// Stats counts the queued and granted requests, by class.
type Stats struct {
	Queued      [acaciatally.UrgencyClasses]int
	QueuedBytes [acaciatally.UrgencyClasses]int64
	Held        [acaciatally.UrgencyClasses]int // granted slots that have not been returned
	Refused     [acaciatally.UrgencyClasses]uint64
	Expired     [acaciatally.UrgencyClasses]uint64
	ServiceTime time.Duration // learned mean
}
