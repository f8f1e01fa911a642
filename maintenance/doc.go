// Package maintenance plans which instances of a maintenance wave to drain next, so that the wave finishes in time and never has more
// instances out of service than allowed. It does no I/O.
package maintenance
