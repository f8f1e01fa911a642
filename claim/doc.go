// Package claim provides the filter that makes non-idempotent requests run at most once. Before an entry sends such a request, it
// claims the request id with a conditional write of a row in the table service.
package claim
