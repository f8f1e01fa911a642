// Package urgency implements the filter that reads a request's urgency class, deadline and idempotence from its method and header.
package urgency
