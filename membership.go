package acaciatally

import "time"

// Peer is what this entry knows of another entry.
type Peer struct {
	ID          EntryID
	DataCentre  DataCentre
	View        uint64        // version of the configuration in force there
	HeadReadAge time.Duration // time since that entry, or one that it hears, read the head of the log
	HeardAt     time.Time
}

// Membership tells which entries exist and what this entry may do in its present view of them.
type Membership interface {
	// Live returns the peers heard recently, without this entry, in order of id.
	Live() []Peer
	// Fresh reports whether this entry's view is fresh and most entries hear it, so that it may begin control actions and commit changes.
	Fresh() bool
	// MayServe reports whether this entry may send new work to endpoints.
	MayServe() bool
	// Acknowledged reports whether no entry sends new work to an instance that left service at version, or has work in progress on it.
	Acknowledged(instance InstanceID, version uint64) bool
	// Leaving returns the instances that are hinted to leave without a change in the log.
	Leaving() []InstanceID
}
