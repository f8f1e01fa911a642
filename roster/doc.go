// Package roster tracks the instances of the fleet during one term of leadership and controls their moves and maintenance: it has the
// worker of an instance drained, orders the operation, and repeats the order until its outcome is known. It does no I/O.
package roster
