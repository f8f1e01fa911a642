// Package model describes the deployments and models machines, entries and load on a clock of its own.
package model
