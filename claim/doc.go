// Package claim is the filter that lets a request that is not idempotent run at most once, through rows in the table service.
package claim
