// Package ordering provides comparison functions that the standard library lacks.
package ordering
