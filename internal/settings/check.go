package settings

import (
	"bytes"
	"fmt"
	"net/netip"

	"toucangap/internal/tomldoc"
)

// listenKeys are the keys of the listen table, all of which are required.
var listenKeys = []string{"callers", "endpoints", "packets", "probe", "control", "admin"}

// check reports errors that the conversion of single values does not find.
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

// listener is an address that the process listens on.
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

// overlaps reports whether two listeners would bind the same address.
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

// checkListeners reports listeners that would bind the same address.
func checkListeners(s *Settings, root *tomldoc.Table) {
	reportOverlaps(s.Listen.listeners(), root.Table("listen"))
}

// reportOverlaps reports each listener that would bind the address of an
// earlier one.
func reportOverlaps(all []listener, table *tomldoc.Table) {
	for i, l := range all {
		for _, earlier := range all[:i] {
			if l.overlaps(earlier) {
				table.Report(l.key, fmt.Sprintf("%s %s is already used by listen.%s", l.transport, l.address, earlier.key), "a unique address")
			}
		}
	}
}

// checkPeers reports duplicate peers and peers that are the host itself.
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
		if name := localListener(s.Listen, peer); name != "" {
			root.Report(key, fmt.Sprintf("%s is this host's own listen.%s", peer, name), "addresses of other hosts")
		}
	}
}

// localListener returns the key of this host's listener at the address, or "" if
// there is none.
func localListener(l Listen, address netip.AddrPort) string {
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

// checkTrust reports a required number of signatures that exceeds the number of
// operators, and keys that two operators share.
func checkTrust(s *Settings, root *tomldoc.Table) {
	table := root.Table("bundle")
	if n := len(s.Bundle.Operators); s.Bundle.Required > n {
		table.Report("required", fmt.Sprintf("%d signatures are required from %d operators", s.Bundle.Required, n), fmt.Sprintf("1 to %d", n))
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

// checkTLS reports TLS files that are missing while others are given and, if none
// is given, listeners that require TLS.
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

// checkLoopback reports TCP listeners that would accept plain-text connections
// from other machines.
func checkLoopback(s *Settings, root *tomldoc.Table) {
	table := root.Table("listen")
	for _, l := range s.Listen.listeners() {
		address := l.address.Addr()
		if l.transport == "tcp" && address.IsValid() && !address.IsLoopback() {
			table.Report(l.key, fmt.Sprintf("%s is not a loopback address and [tls] is not set", address), "a loopback address, or TLS files")
		}
	}
}
