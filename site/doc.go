// Package site runs one entry of a deployment whose jobs are dispatched to workers: callers, election, dispatching and fleet.
package site
