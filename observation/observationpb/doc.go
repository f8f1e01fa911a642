// Package observationpb contains the generated protobuf message in which an entry reports its traffic statistics.
package observationpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative observation.proto
