// Package command parses and evaluates the operators' query and command language.
package command
