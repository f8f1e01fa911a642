// Package slot lends the slots of a pool's workers to entries.
//
// The slot home of a pool is the live entry that comes first in rendezvous order. It runs one goroutine per pool, which owns the
// pool's queue and router. Client asks the slot home for a slot, in the same process or over one stream per slot, and keeps slots
// and waiting requests in step when the slot home changes. The slot accounting is an optimisation: two slot homes of one pool cost
// refusals by endpoints, never a promise.
package slot
