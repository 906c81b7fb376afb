package membership

import (
	"net/netip"

	"toucangap/internal/config"
	"toucangap/internal/peerpb"
)

// update encodes what is known about the member as a gossip update.
func (m *member) update(describe bool) *peerpb.Rumor {
	r := &peerpb.Rumor{
		Name:        m.host.Name,
		Incarnation: m.host.Incarnation,
		State:       peerpb.HostState(m.host.State),
		Suspect:     m.suspect,
	}
	if describe {
		r.Description = &peerpb.Description{
			Version: m.version,
			Domain:  m.host.Domain,
			Group:   m.host.Group,
			Packets: addressBytes(m.host.Packets),
			Control: addressBytes(m.host.Control),
			Probe:   addressBytes(m.host.Probe),
		}
	}
	return r
}

// applyDescription replaces a host's description. If the description is
// malformed or has no probe address, it reports false and changes nothing.
func applyDescription(host *config.Host, d *peerpb.Description) bool {
	var described config.Host
	described.Name, described.Incarnation, described.State = host.Name, host.Incarnation, host.State
	described.Domain, described.Group = d.GetDomain(), d.GetGroup()
	ok := readAddress(&described.Packets, d.GetPackets()) &&
		readAddress(&described.Control, d.GetControl()) &&
		readAddress(&described.Probe, d.GetProbe()) &&
		described.Probe.IsValid()
	if ok {
		*host = described
	}
	return ok
}

// addressBytes returns nil for the zero address.
func addressBytes(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	b, err := a.MarshalBinary()
	if err != nil {
		return nil
	}
	return b
}

// readAddress decodes an address and reports false if it is malformed. No bytes
// mean the zero address.
func readAddress(a *netip.AddrPort, b []byte) bool {
	if len(b) == 0 {
		return true
	}
	return a.UnmarshalBinary(b) == nil
}
