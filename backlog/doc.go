// Package backlog bounds the memory that accepted jobs take in the entry that dispatches them, and divides it between the sources of jobs.
//
// Ledger accounts for the jobs that the leader knows; its State is published to all entries. Admission decides with that state, before a job is
// accepted, whether there is room for it. Both take the time as an argument and do no I/O.
package backlog
