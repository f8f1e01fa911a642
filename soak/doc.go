// Package soak has the tests that run the real program as separate processes, inject faults from outside, and check what callers and
// workers see.
package soak
