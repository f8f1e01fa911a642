// Package capacity decides which instances move between pools, so that each pool has the instances that its work needs now and in the
// time that a move takes, and the rest are on standby. It does no I/O.
package capacity
