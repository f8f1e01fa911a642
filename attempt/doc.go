// Package attempt is the filter that sends a request to an endpoint, tells truthfully what became of it, and retries.
package attempt
