// Package urgency is the filter that reads a request's urgency class, deadline and idempotence.
package urgency
