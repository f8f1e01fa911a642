// Package dispatch runs accepted jobs on workers: Machine decides, Runner does the input and output of the entry that leads.
//
// Machine is a state machine without I/O. It takes in jobs, the directory of workers, their reports, and the results of commits and
// orders, and returns commits and orders. A run is recorded before its start is ordered, and an end is recorded before the worker may
// forget it, so that a new leader finds all runs by reading the records and asking the workers.
package dispatch
