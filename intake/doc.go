// Package intake carries out callers' requests: it records jobs and cancellations in the record store and reads states from it. Every
// entry does so by itself, without a request to the entry that dispatches the jobs.
package intake
