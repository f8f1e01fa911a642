// Package task accepts tasks durably, places them on the workers of a pool and carries them through to a truthful end.
//
// A Frontend in every entry accepts, shows and cancels tasks. For each pool, the holder of the lease "Tasks/<pool>" runs a Runner,
// which feeds a Machine. The Machine is pure: it is told of rows, reports and results with the time, and returns the rows to save
// and the orders to send. An order follows only from a row that has been saved, so that a new controller continues from the rows.
package task
