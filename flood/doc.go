// Package flood tests the program's own processes under clients that the operators do not control: many that send large bodies or headers and
// do not finish them.
package flood
