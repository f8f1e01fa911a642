// Package logbook writes one structured line for each decision, within a bounded volume and without ever blocking its caller.
package logbook
