// Package peer connects the entries with each other: one authenticated yamux session per pair of entries, over which streams of
// varint-framed protobuf messages run.
//
// Both sides of a new connection prove with an HMAC over both sides' random nonces that they hold the shared key from the settings.
// The proof authenticates the peers at the start of a session; the messages are neither encrypted nor signed, so the peer port
// belongs on a network that only the entries reach.
package peer
