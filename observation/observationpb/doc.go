// Package observationpb holds the message in which an entry reports its traffic.
package observationpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative observation.proto
