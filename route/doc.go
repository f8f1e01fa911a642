// Package route selects the worker for a granted slot, based on load, recent errors and circuit breakers.
package route
