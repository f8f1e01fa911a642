// Package soak contains tests that run the program as separate processes, inject faults from outside, and check the behaviour that
// callers and workers observe.
package soak
