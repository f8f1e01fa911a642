// Package task stores submitted tasks durably, places them on the workers of a pool and tracks each of them until its outcome is
// recorded.
//
// A Frontend in every entry accepts, shows and cancels tasks. For each pool, the holder of the lease "Tasks/<pool>" runs a Runner,
// which drives a Scheduler. The Scheduler performs no I/O: it receives rows, reports and results of orders with the current time, and
// returns the rows to write and the orders to send. An order is sent only after the row that it follows from has been written, so that
// a new controller can continue from the rows.
package task
