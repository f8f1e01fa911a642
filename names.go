package acaciatally

// PoolName identifies a pool of instances.
type PoolName string

// InstanceID identifies an instance; a worker carries the id of its instance.
type InstanceID string

// TeamName identifies a team of callers.
type TeamName string

// DataCentre names a data centre, the larger failure domain.
type DataCentre string

// Rack names a rack, the smaller failure domain.
type Rack string

// EntryID identifies one process of the system.
type EntryID string
