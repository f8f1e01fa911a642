// Package spelling suggests the valid word that is closest to a misspelled one.
package spelling
