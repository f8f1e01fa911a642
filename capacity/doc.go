// Package capacity plans moves of instances between pools, so that each pool has the instances that its tasks need now and during
// the time that a move takes. Instances that no pool needs are moved to a standby pool. It does no I/O.
package capacity
