package membership

import (
	"net/netip"
	"slices"
	"time"

	"toucangap/internal/config"
	"toucangap/internal/peerpb"
)

// contacts holds the hosts that are unknown or considered dead, and are pinged
// at a low rate.
type contacts struct {
	// next is when the next of them is pinged.
	next time.Duration
	// listed holds the other hosts of this group that are alive by the
	// platform's list.
	listed []config.Host
	// unknownSenders holds the senders of messages that are not in the view.
	unknownSenders []unknownSender
}

type unknownSender struct {
	address netip.AddrPort
	// tries counts the pings to the address.
	tries int
}

// addUnknownSender adds an address to be pinged, unless it is known already or
// there are too many.
func (c *contacts) addUnknownSender(address netip.AddrPort) {
	known := slices.ContainsFunc(c.unknownSenders, func(s unknownSender) bool { return s.address == address })
	if known || len(c.unknownSenders) >= maxUnknownSenders {
		return
	}
	c.unknownSenders = append(c.unknownSenders, unknownSender{address: address})
}

// SetPlatformHosts sets the platform's list of hosts. The list may be stale: an
// unknown host on it is pinged and added once it answers; a host of the view
// that is missing from it, or listed in another state, stays as it is. Hosts of
// other groups are ignored.
func (m *Members) SetPlatformHosts(hosts []config.Host) {
	m.contacts.listed = nil
	for _, host := range hosts {
		usable := alive(host.State) && host.Probe.IsValid()
		if usable && host.Group == m.self.host.Group && host.Name != m.self.host.Name {
			m.contacts.listed = append(m.contacts.listed, host)
		}
	}
}

// contactNext pings one of the dead and unknown hosts, chosen at random, every
// ContactInterval or, as long as this host is alone, every period.
func (m *Members) contactNext() {
	if m.now < m.contacts.next {
		return
	}
	m.contacts.next = m.now + m.options.ContactInterval
	if len(m.alive) == 0 {
		m.contacts.next = m.now + m.options.Period
	}
	addresses := m.contactAddresses()
	if len(addresses) == 0 {
		return
	}
	m.contact(addresses[m.rng.IntN(len(addresses))])
}

// contact introduces this host to any host that answers at the address.
func (m *Members) contact(address netip.AddrPort) {
	for i := range m.contacts.unknownSenders {
		if m.contacts.unknownSenders[i].address == address {
			m.contacts.unknownSenders[i].tries++
		}
	}
	message := m.message(peerpb.Probe_PING, m.prober.nextSequence())
	message.Introduce = true
	m.attach(message, attachment{to: m.tombstoneAt(address), describeSelf: true, correctReceiver: m.tombstoneAt(address) != nil})
	m.send(address, message)
}

// contactAddresses returns the addresses at which dead and unknown hosts may be
// found.
func (m *Members) contactAddresses() []netip.AddrPort {
	var found []netip.AddrPort
	add := func(a netip.AddrPort) {
		if m.addresses[a] == nil && a != m.self.host.Probe && !slices.Contains(found, a) {
			found = append(found, a)
		}
	}
	for _, t := range m.tombstones {
		if t.member.host.State == config.HostDead {
			add(t.member.host.Probe)
		}
	}
	for _, host := range m.contacts.listed {
		if m.members[host.Name] == nil {
			add(host.Probe)
		}
	}
	for _, seed := range m.options.Seeds {
		add(seed)
	}
	m.contacts.unknownSenders = slices.DeleteFunc(m.contacts.unknownSenders, func(s unknownSender) bool {
		return m.addresses[s.address] != nil || s.tries >= maxContactTries
	})
	for _, s := range m.contacts.unknownSenders {
		add(s.address)
	}
	return found
}

// tombstoneAt returns the dead or left host at the address, or nil.
func (m *Members) tombstoneAt(address netip.AddrPort) *member {
	for _, t := range m.tombstones {
		if t.member.index < 0 && t.member.host.Probe == address {
			return t.member
		}
	}
	return nil
}
