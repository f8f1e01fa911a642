// Package trace holds load traces and the bounds on latency, goodput and refused attempts that the request path must meet under them.
package trace
