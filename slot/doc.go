// Package slot grants the concurrency slots of a pool's workers to requests at all entries.
//
// The slot home of a pool is the live entry that ranks first in rendezvous hashing for the pool; it queues the pool's requests and
// grants the slots. It runs one goroutine per pool, which owns the pool's queue and router. Service.Acquire requests a slot from the
// slot home, in the same process or over one stream per slot. When the slot home changes, the Service reports the slots that it holds
// to the new one and requeues its waiting requests there.
//
// Slot accounting is an optimisation that no guarantee to callers depends on. If two entries take themselves for the slot home of one
// pool, workers may be overcommitted and endpoints reject the excess attempts.
package slot
