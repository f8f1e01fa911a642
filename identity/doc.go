// Package identity is the filter that parses the ID, team and pool of a request and reads its body into memory, up to a limit.
package identity
