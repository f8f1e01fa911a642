package acaciatally

// PoolName identifies a pool of instances.
type PoolName string

// InstanceID identifies an instance and the worker on it.
type InstanceID string

// TeamName identifies a team of callers, the unit of quotas.
type TeamName string

// AccountName identifies a client account of the job API. It is empty for calls of public queues, and where no accounts are configured.
type AccountName string

// DataCentre is the name of a data centre, the larger failure domain.
type DataCentre string

// Rack is the name of a rack, the smaller failure domain.
type Rack string

// EntryID identifies an entry, one process of the system.
type EntryID string
