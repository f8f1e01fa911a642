// Package attempt provides the filter that sends a request to an endpoint, classifies the outcome, and retries where that is safe.
package attempt
