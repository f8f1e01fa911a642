package acaciatally

import "time"

// Peer is this entry's knowledge about another entry.
type Peer struct {
	ID          EntryID
	DataCentre  DataCentre
	ViewVersion uint64        // version of the configuration in force there
	HeadReadAge time.Duration // age of the newest read of the log's head by that entry or by an entry that it is in contact with
	LastContact time.Time     // last contact with this entry, or with another entry that has reported it
}

// Membership reports which entries are live and what this entry is allowed to do, given its current view of the others.
type Membership interface {
	// Live returns the peers that were in contact recently, without this entry, sorted by id.
	Live() []Peer
	// MayChange reports whether this entry's view is fresh and it is in contact with a majority of entries. Only then may it start control
	// actions and commit changes.
	MayChange() bool
	// MayServe reports whether this entry may send new work to endpoints.
	MayServe() bool
	// Acknowledged reports whether an instance that left service at version gets no new work from any entry and has none in progress.
	Acknowledged(instance InstanceID, version uint64) bool
	// LeavingInstances returns the instances that peers report as leaving service although the log holds no such change.
	LeavingInstances() []InstanceID
}
