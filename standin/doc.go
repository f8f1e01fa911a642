// Package standin provides in-memory simulations of the platform services and of workers, with fault injection, for tests and
// local trial runs.
package standin
