// Package queue schedules the requests that wait for a slot of one pool.
package queue
