// Package identity is the filter that reads who sends a request, to which pool, and its bounded body.
package identity
