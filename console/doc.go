// Package console is the command line of the program.
package console
