package settings

import (
	"bytes"
	"fmt"
	"net/netip"

	"toucangap/internal/tomldoc"
)

// listenKeys are the keys of the table of listeners.
var listenKeys = []string{"callers", "endpoints", "packets", "probe", "control", "admin"}

// check reports mistakes that concern several values together.
func check(s *Settings, root *tomldoc.Table) {
	checkNames(s, root)
	checkListeners(s, root)
	checkPeers(s, root)
	checkPlatform(s, root)
	checkTrust(s, root)
	checkTLS(s, root)
}

func checkNames(s *Settings, root *tomldoc.Table) {
	names := []struct{ key, value string }{
		{"name", s.Name},
		{"domain", s.Domain},
		{"group", s.Group},
	}
	for _, n := range names {
		if n.value == "" {
			root.Report(n.key, "is empty", "a name")
		}
	}
}

// listener is one address that the process listens on.
type listener struct {
	key       string
	transport string
	address   netip.AddrPort
}

// listeners returns all listeners in the order of listenKeys.
func (l Listen) listeners() []listener {
	return []listener{
		{"callers", "udp", l.Callers},
		{"endpoints", "udp", l.Endpoints},
		{"packets", "udp", l.Packets},
		{"probe", "udp", l.Probe},
		{"control", "tcp", l.Control},
		{"admin", "tcp", l.Admin},
	}
}

// overlaps reports whether two listeners would claim the same socket.
func (l listener) overlaps(other listener) bool {
	if l.transport != other.transport || l.address.Port() != other.address.Port() {
		return false
	}
	a, b := l.address.Addr(), other.address.Addr()
	if !a.IsValid() || !b.IsValid() {
		return false
	}
	return a == b || a.IsUnspecified() || b.IsUnspecified()
}

// checkListeners reports listeners that claim the same socket.
func checkListeners(s *Settings, root *tomldoc.Table) {
	reportOverlaps(s.Listen.listeners(), root.Table("listen"))
}

// reportOverlaps reports those of the listeners that claim an earlier one's
// socket.
func reportOverlaps(all []listener, table *tomldoc.Table) {
	for i, l := range all {
		for _, earlier := range all[:i] {
			if l.overlaps(earlier) {
				table.Report(l.key, fmt.Sprintf("%s %s is taken by listen.%s", l.transport, l.address, earlier.key), "an address of its own")
			}
		}
	}
}

// checkPeers reports peers that repeat or that are the host itself.
func checkPeers(s *Settings, root *tomldoc.Table) {
	seen := make(map[netip.AddrPort]bool)
	for i, peer := range s.Peers {
		key := tomldoc.ElementKey("peers", i)
		if !peer.IsValid() {
			continue
		}
		if seen[peer] {
			root.Report(key, fmt.Sprintf("%s is listed twice", peer), "each peer once")
		}
		seen[peer] = true
		if name := ownListener(s.Listen, peer); name != "" {
			root.Report(key, fmt.Sprintf("%s is this host's own listen.%s", peer, name), "addresses of other hosts")
		}
	}
}

// ownListener returns the key of the listener at the address, or "".
func ownListener(l Listen, address netip.AddrPort) string {
	for _, own := range l.listeners() {
		if own.address == address {
			return own.key
		}
	}
	return ""
}

func checkPlatform(s *Settings, root *tomldoc.Table) {
	if s.Platform.Timeout <= 0 {
		root.Table("platform").Report("timeout", fmt.Sprintf("%s is not positive", s.Platform.Timeout), "a duration above 0")
	}
}

// checkTrust reports a number of signatures that can't be reached and keys
// that two operators share.
func checkTrust(s *Settings, root *tomldoc.Table) {
	table := root.Table("bundle")
	if n := len(s.Bundle.Operators); s.Bundle.Required > n {
		table.Report("required", fmt.Sprintf("%d of %d operators can't sign", s.Bundle.Required, n), fmt.Sprintf("1 to %d", n))
	}
	operators := table.Table("operators")
	names := operators.Keys()
	for i, name := range names {
		for _, earlier := range names[:i] {
			key := s.Bundle.Operators[name]
			if len(key) > 0 && bytes.Equal(key, s.Bundle.Operators[earlier]) {
				operators.Report(name, "has the same key as "+earlier, "a key for each operator")
			}
		}
	}
}

// checkTLS reports files that are missing and listeners that need them.
func checkTLS(s *Settings, root *tomldoc.Table) {
	table := root.Table("tls")
	if s.TLS.IsComplete() && !s.TLS.Enabled() {
		checkLoopback(s, root)
		return
	}
	files := []struct{ key, value string }{
		{"authority", s.TLS.Authority},
		{"certificate", s.TLS.Certificate},
		{"key", s.TLS.Key},
	}
	for _, f := range files {
		if f.value == "" {
			table.Report(f.key, "is missing while other TLS files are given", "authority, certificate and key, or none of them")
		}
	}
}

// checkLoopback reports listeners that would take plain text from elsewhere.
func checkLoopback(s *Settings, root *tomldoc.Table) {
	table := root.Table("listen")
	for _, l := range s.Listen.listeners() {
		address := l.address.Addr()
		if l.transport == "tcp" && address.IsValid() && !address.IsLoopback() {
			table.Report(l.key, fmt.Sprintf("%s is not a loopback address and [tls] is not set", address), "a loopback address, or TLS files")
		}
	}
}
