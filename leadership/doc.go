// Package leadership elects the entry that dispatches, by a lease that is one record of the store.
//
// Nobody compares wall clocks: an entry takes the lease over after it has seen the same version of the record for a whole term on
// its own clock, and a leader stops acting when a term has passed since it sent its last successful renewal.
package leadership
