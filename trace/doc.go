// Package trace holds load traces and the bounds on latency, goodput and refused attempts that the traffic path must keep on them.
package trace
