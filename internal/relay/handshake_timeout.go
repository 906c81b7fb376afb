package relay

import "time"

// Parameters of the handshake timeout.
const (
	// initialHandshakeTimeout is used until handshake ACKs have been seen:
	// several times the usual round trip between caller, host and endpoint.
	initialHandshakeTimeout = 25 * time.Millisecond
	// minHandshakeTimeout allows for small delays of the host in reading packets.
	minHandshakeTimeout = 6 * time.Millisecond
	// maxHandshakeTimeout is half of the 200 ms after which callers retransmit a
	// SYN.
	maxHandshakeTimeout = 100 * time.Millisecond
	// timerMargin allows for timers that fire late.
	timerMargin = 2 * time.Millisecond
)

// handshakeTimeout estimates the time from a SYN to its handshake ACK like TCP's
// retransmission timer (RFC 6298): mean plus four times the mean deviation.
type handshakeTimeout struct {
	mean      time.Duration
	deviation time.Duration
}

func newHandshakeTimeout() handshakeTimeout { return handshakeTimeout{} }

// addSample adds the time from one SYN to its handshake ACK.
func (h *handshakeTimeout) addSample(took time.Duration) {
	if h.mean == 0 {
		h.mean, h.deviation = took, took/2
		return
	}
	difference := took - h.mean
	h.mean += difference / 8
	if difference < 0 {
		difference = -difference
	}
	h.deviation += (difference - h.deviation) / 4
}

// current returns how long to wait for a handshake ACK.
func (h *handshakeTimeout) current() time.Duration {
	if h.mean == 0 {
		return initialHandshakeTimeout
	}
	return min(max(h.mean+4*h.deviation+timerMargin, minHandshakeTimeout), maxHandshakeTimeout)
}

// roundTrip returns the mean time from a SYN to its handshake ACK, 0 if it is not
// known.
func (h *handshakeTimeout) roundTrip() time.Duration { return h.mean }
