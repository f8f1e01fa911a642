// Package capacity plans moves of instances between pools, so that each pool has the instances that its tasks need now and until a move
// could bring more, and the remaining instances are in a standby pool. It does no I/O.
package capacity
