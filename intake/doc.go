// Package intake serves callers at every entry: it records jobs and cancellations and reads states, without asking the entry that
// dispatches.
package intake
