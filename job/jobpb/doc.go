// Package jobpb contains the generated protobuf messages in which the progress of jobs is stored.
package jobpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative job.proto
