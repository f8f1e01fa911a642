// Package standin simulates the platform and its workers for tests and trial runs, with fault injection.
package standin
