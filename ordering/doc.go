// Package ordering compares values that the standard library does not compare.
package ordering
