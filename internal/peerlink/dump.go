package peerlink

import (
	"cmp"
	"slices"
)

// Dump is a snapshot of the links for operators.
type Dump struct {
	// WireSentBytes and WireReceivedBytes are totals over all links since the
	// start, including the overhead of yamux and TLS.
	WireSentBytes     int64 `json:"wire_sent_bytes"`
	WireReceivedBytes int64 `json:"wire_received_bytes"`
	// Refused counts refused inbound connections.
	Refused int64 `json:"refused"`
	// Inbound lists the hosts whose sending links are accepted here.
	Inbound []string   `json:"inbound"`
	Peers   []PeerDump `json:"peers"`
	// Kinds lists the message kinds that have been sent or received.
	Kinds []KindDump `json:"kinds"`
}

// KindDump counts the frames of one message kind since the start.
type KindDump struct {
	Kind             string `json:"kind"`
	SentMessages     int64  `json:"sent_messages"`
	SentBytes        int64  `json:"sent_bytes"`
	ReceivedMessages int64  `json:"received_messages"`
	ReceivedBytes    int64  `json:"received_bytes"`
}

// PeerDump is a snapshot of the sending link to one host.
type PeerDump struct {
	Host      string `json:"host"`
	Address   string `json:"address"`
	Connected bool   `json:"connected"`
	// Attempts counts dial attempts since the host became a peer.
	Attempts int64 `json:"attempts"`
	// QueuedFrames and QueuedBytes are waiting to be written.
	QueuedFrames int   `json:"queued_frames"`
	QueuedBytes  int64 `json:"queued_bytes"`
	// The remaining fields count frames since the host became a peer.
	SentMessages     int64 `json:"sent_messages"`
	SentBytes        int64 `json:"sent_bytes"`
	ReceivedMessages int64 `json:"received_messages"`
	ReceivedBytes    int64 `json:"received_bytes"`
	// DroppedMessages counts those that Send rejected with ErrQueueFull.
	DroppedMessages int64 `json:"dropped_messages"`
}

// Dump returns a snapshot of all links, sorted by host name.
func (m *Manager) Dump() Dump {
	d := Dump{
		WireSentBytes:     m.meter.wireSent.Count(),
		WireReceivedBytes: m.meter.wireReceived.Count(),
		Refused:           m.meter.refused.Count(),
		Inbound:           m.inbound.names(),
		Kinds:             m.meter.dumpKinds(),
	}
	slices.Sort(d.Inbound)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		d.Peers = append(d.Peers, m.dumpPeer(p))
	}
	slices.SortFunc(d.Peers, func(a, b PeerDump) int { return cmp.Compare(a.Host, b.Host) })
	return d
}

func (m *Manager) dumpPeer(p *peer) PeerDump {
	prefix := hostPrefix + p.host.Name
	d := PeerDump{
		Host:             p.host.Name,
		Address:          p.host.Control.String(),
		Attempts:         p.attempts.Load(),
		SentMessages:     m.meter.value(prefix + sentMessages),
		SentBytes:        m.meter.value(prefix + sentBytes),
		ReceivedMessages: m.meter.value(prefix + receivedMessages),
		ReceivedBytes:    m.meter.value(prefix + receivedBytes),
		DroppedMessages:  m.meter.value(prefix + droppedMessages),
	}
	if l := p.link.Load(); l != nil {
		d.Connected = true
		d.QueuedFrames = len(l.queue)
		d.QueuedBytes = l.queuedBytes.Load()
	}
	return d
}

// dumpKinds returns the counters per kind, in the order of the protocol definition.
func (m *meter) dumpKinds() []KindDump {
	var kinds []KindDump
	for _, name := range kindNames() {
		d := KindDump{
			Kind:             name,
			SentMessages:     m.value(kindPrefix + name + sentMessages),
			SentBytes:        m.value(kindPrefix + name + sentBytes),
			ReceivedMessages: m.value(kindPrefix + name + receivedMessages),
			ReceivedBytes:    m.value(kindPrefix + name + receivedBytes),
		}
		if d.SentMessages+d.ReceivedMessages > 0 {
			kinds = append(kinds, d)
		}
	}
	return kinds
}

// Connected returns the sorted names of the hosts whose sending link is up.
func (m *Manager) Connected() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, p := range m.peers {
		if p.link.Load() != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
