// Package command implements the operators' query and command language: the parser, the evaluation on an entry, and the HTTP server and
// client that carry statements.
package command
