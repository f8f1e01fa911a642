// Package answer is the filter that writes the response of an endpoint to the caller. It also writes refusals.
package answer
