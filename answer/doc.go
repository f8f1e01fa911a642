// Package answer is the filter that returns an endpoint's whole answer, or a refusal, to the caller.
package answer
