package peerlink

import "toucangap/internal/peerpb"

// Notification is one of Received, Connected and Disconnected.
type Notification interface {
	notification()
}

// Received is a message from a peer. The first message on a new link is the peer's
// Hello.
type Received struct {
	Host     string
	Envelope *peerpb.Envelope
}

// Connected reports that the sending link to a peer is up, so Send can be used.
type Connected struct {
	Host string
}

// Disconnected reports that the sending link to a peer is down. Frames not yet
// written are lost.
type Disconnected struct {
	Host string
}

func (Received) notification()     {}
func (Connected) notification()    {}
func (Disconnected) notification() {}
