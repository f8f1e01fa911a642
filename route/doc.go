// Package route chooses the worker for a granted slot.
package route
