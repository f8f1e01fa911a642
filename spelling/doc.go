// Package spelling finds the valid word nearest to a misspelt one.
package spelling
