// Package leadership elects the entry that dispatches jobs. The lease of the leader is a single record of the store.
//
// Wall clocks are never compared: an entry acquires the lease of another one after it has seen the same version of the record for a
// whole term on its own clock, and a leader stops acting when a term has passed since it sent its last successful renewal.
package leadership
