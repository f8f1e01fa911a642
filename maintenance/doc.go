// Package maintenance decides which instances of a wave are taken down next, within the bound on instances down at once and in time.
// It does no I/O.
package maintenance
