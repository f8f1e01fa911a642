// Package dispatch schedules accepted jobs on workers. Scheduler makes the decisions; Runner does the I/O for the entry that is the leader.
//
// Scheduler is a state machine without I/O. Its inputs are jobs, the worker directory, worker reports, and the results of commits and
// orders; its outputs are commits and orders. A run is recorded before its start order is sent, and the end of a run is recorded before it
// is acknowledged to the worker, which then forgets it. A new leader can therefore find all runs by reading the records and asking the
// workers.
package dispatch
