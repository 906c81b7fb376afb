package peerlink

import (
	"io"

	"github.com/hashicorp/yamux"
)

// muxConfig returns the session settings. Only the dialer sends pings, since a
// ping and its reply show both ends that the link is alive. The session's own log
// output is discarded: the package logs the end of each link with its error.
func muxConfig(pings bool) *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = 1
	c.EnableKeepAlive = pings
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = handshakeTimeout
	c.StreamCloseTimeout = handshakeTimeout
	c.LogOutput = io.Discard
	return c
}
