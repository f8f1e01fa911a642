// Package peer connects the entries of a deployment with each other. Each pair of entries shares one authenticated yamux session,
// whose streams carry length-delimited protobuf messages.
//
// Both sides of a new connection prove that they have the shared key from the settings with an HMAC over the random nonces of both
// sides. The handshake authenticates the peers only at the start of a session. Messages are neither encrypted nor signed, so the
// peer port must be on a network that only the entries can reach.
package peer
