// Package console implements the command-line interface of the acaciatally program.
package console
