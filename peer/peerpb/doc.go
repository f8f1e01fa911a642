// Package peerpb contains the generated protobuf messages that entries exchange.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
