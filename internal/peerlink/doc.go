// Package peerlink maintains the control links between hosts.
//
// Each host dials one TCP connection to each of its peers and sends only on that
// connection, so two hosts that send to each other have two connections. A
// connection carries one yamux stream of length-delimited peerpb.Envelope
// frames. The first frame in either direction is a Hello: the dialer's identifies
// the sender, the listener's confirms that the dialer was accepted.
//
// The Manager is designed for a single control goroutine, which sets the desired
// peers, sends without blocking, and reads typed notifications from one channel.
// Frames sent between a Connected and the next Disconnected of a host arrive in
// order and at most once. A frame still queued when a link breaks is lost and is
// never sent on the next link. A received Hello means that the peer's link is
// new, so sequence numbers of messages must start anew.
//
// Without TLS the package listens and dials on loopback addresses only.
package peerlink
