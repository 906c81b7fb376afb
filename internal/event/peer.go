package event

import "log/slog"

// The events of the peer area: connections between hosts.
const (
	PeerConnected ID = 5000 + iota
	PeerDisconnected
	PeerUnreachable
	PeerRefused
)

var peerArea = Area{
	Name: "peer",
	Definitions: []Definition{
		{PeerConnected, slog.LevelInfo, "peer connected", "None."},
		{PeerDisconnected, slog.LevelWarn, "link to peer lost", "None if the peer stopped; otherwise check the network between the two hosts."},
		{PeerUnreachable, slog.LevelWarn, "peer cannot be reached", "Check that the peer runs, its control address and its certificate; the connection is retried."},
		{PeerRefused, slog.LevelWarn, "inbound peer connection refused", "Check what connects; with TLS, the certificate must contain the host's name."},
	},
}
