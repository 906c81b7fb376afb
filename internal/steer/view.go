package steer

import (
	"net/netip"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// HostIndex identifies a host within one process; 0 means none.
type HostIndex uint8

// Host is a host of the group as the shards see it.
type Host struct {
	Index   HostIndex
	Name    string
	Hash    flow.NodeHash
	Packets netip.AddrPort
	// Leaving reports whether the host is about to hand over its flows; it
	// still owns them, but is no longer a successor.
	Leaving bool
}

// Departed is a former owner that departed recently, or that departed earlier and
// is not confirmed stopped.
type Departed struct {
	Host
	// At is when this host learned of the departure.
	At Time
	// Baseline is the bundle version by which its flows got their defaults.
	Baseline config.Version
	// ConfirmedStopped is set once the host is confirmed stopped; one that is not
	// may be behind a network partition and still deciding for flows.
	ConfirmedStopped bool
	// HandedOver reports whether it had handed over all its records.
	HandedOver bool
	// LeaseUntil is when the lease expires during which this host admits no
	// requests of the departed host's flows.
	LeaseUntil Time
}

// serviceKey identifies a service by a packet's protocol and destination.
type serviceKey struct {
	protocol flow.Protocol
	address  netip.AddrPort
}

// Tables holds the tables of one bundle version by service.
type Tables map[config.ServiceID]*Table

// View is an immutable snapshot of everything that shards share. The control
// goroutine publishes a new one whenever anything in it changes.
type View struct {
	// Epoch numbers the snapshots of one process.
	Epoch  uint64
	Bundle *config.Bundle
	// Current holds the tables of the bundle in force.
	Current Tables
	// History holds the tables of the versions that flows may still refer to.
	History map[config.Version]Tables
	// Baseline is the bundle version by whose defaults peers would resolve this
	// host's flows.
	Baseline config.Version
	Self     Host
	// Owners are the hosts that own flows, in no particular order; it holds
	// Self unless this host is joining or has left.
	Owners []Host
	// Leaving reports whether this host is handing over its flows for good.
	Leaving bool
	// Joining are the hosts that receive replicas before they become owners.
	Joining []Host
	// Partitioned reports whether owners are missing that may still run, so that
	// two hosts may decide for one flow.
	Partitioned bool
	// PartitionedSince is when the first of them went missing.
	PartitionedSince Time
	// Departed are the former owners whose flows this host may have to take over.
	Departed []Departed
	// OwnerSince is when this host became an owner, or when another owner last
	// returned after a network partition.
	OwnerSince Time
	// FirstOwner reports whether there was no owner before this host.
	FirstOwner bool
	// DefaultsUntil is until when unknown flows get their default endpoint,
	// since they may have begun at a host that sent no records of them.
	DefaultsUntil Time

	byAddress map[serviceKey]*Table
	// endpointAddresses holds the addresses that answers may come from.
	endpointAddresses map[endpointAddressKey]struct{}
}

// endpointAddressKey is an underlay address from which a service's answers may
// come.
type endpointAddressKey struct {
	service config.ServiceID
	address netip.AddrPort
}

// Index builds the lookup tables; it must be called once before publishing.
func (v *View) Index() {
	v.byAddress = make(map[serviceKey]*Table, len(v.Current))
	for _, t := range v.Current {
		v.byAddress[serviceKey{t.Service.Protocol, t.Service.Address}] = t
	}
	v.endpointAddresses = make(map[endpointAddressKey]struct{})
	v.indexEndpointAddresses(v.Current)
	for _, tables := range v.History {
		v.indexEndpointAddresses(tables)
	}
}

func (v *View) indexEndpointAddresses(tables Tables) {
	for id, t := range tables {
		for _, e := range t.Endpoints {
			v.endpointAddresses[endpointAddressKey{id, e.Config().Address}] = struct{}{}
		}
	}
}

// Lookup returns the table of the service to which the flow is addressed, or
// nil.
func (v *View) Lookup(key flow.Key) *Table {
	return v.byAddress[serviceKey{key.Protocol, key.Service}]
}

// Find returns the table of a service by its name, or nil.
func (v *View) Find(protocol flow.Protocol, name string) *Table {
	for _, t := range v.Current {
		if t.Service.Name == name && t.Service.Protocol == protocol {
			return t
		}
	}
	return nil
}

// Fingerprint hashes the key with the bundle's seed.
func (v *View) Fingerprint(key flow.Key) flow.Fingerprint {
	if v.Bundle == nil {
		return key.Fingerprint(0)
	}
	return key.Fingerprint(v.Bundle.HashSeed)
}

// ReadsRequests reports whether the flow's packets are parsed for requests.
func (v *View) ReadsRequests(key flow.Key) bool {
	t := v.Lookup(key)
	return t != nil && t.Service.Requests == config.RequestProtocolCoAP
}

// TableAt returns a service's table under a bundle version, or the current one
// if History lacks that version.
func (v *View) TableAt(version config.Version, id config.ServiceID) *Table {
	if t := v.History[version][id]; t != nil {
		return t
	}
	return v.Current[id]
}

// ranking is the order of the hosts for one flow.
type ranking struct {
	owner     *Host
	successor *Host
	// joining will be the owner or the successor once it has joined.
	joining *Host
	// departed is the host that departed last among those ranked above this host
	// or above the owner: the flow's former owner.
	departed *Departed
	// missing counts the hosts that held records of the flow which may be unknown
	// here. Each departed host ranked above this host or above the owner that has
	// not handed over its records adds one or two; see unreliableHolders.
	missing int
	// leaseUntil is when the last lease expires that this host has granted to a
	// departed host ranked above this host or above the owner.
	leaseUntil Time
}

// rank orders the hosts for a flow by rendezvous hashing.
func (v *View) rank(fp flow.Fingerprint) ranking {
	var r ranking
	var first, second uint64
	for i := range v.Owners {
		score := flow.Score(fp, v.Owners[i].Hash)
		if r.owner == nil || score > first {
			r.owner, first = &v.Owners[i], score
		}
	}
	for i := range v.Owners {
		if &v.Owners[i] == r.owner || v.Owners[i].Leaving {
			continue
		}
		score := flow.Score(fp, v.Owners[i].Hash)
		if r.successor == nil || score > second {
			r.successor, second = &v.Owners[i], score
		}
	}
	best := second
	for i := range v.Joining {
		score := flow.Score(fp, v.Joining[i].Hash)
		if score > best {
			r.joining, best = &v.Joining[i], score
		}
	}
	above := min(first, flow.Score(fp, v.Self.Hash))
	for i := range v.Departed {
		d := &v.Departed[i]
		if r.owner != nil && d.Hash == r.owner.Hash || flow.Score(fp, d.Hash) <= above {
			continue
		}
		r.leaseUntil = max(r.leaseUntil, d.LeaseUntil)
		if !d.HandedOver {
			r.missing += v.unreliableHolders(fp, d)
		}
		if r.departed == nil || d.At > r.departed.At {
			r.departed = d
		}
	}
	return r
}

// unreliableHolders counts the hosts that held a departed host's records and
// that this host cannot rely on: the departed host alone if the records came
// here or to a present owner, its successor as well if this host became an owner
// later and that successor is missing too.
func (v *View) unreliableHolders(fp flow.Fingerprint, d *Departed) int {
	if d.At > v.OwnerSince || v.formerSuccessorOwns(fp, d) {
		return 1
	}
	return 2
}

// formerSuccessorOwns reports whether a departed host's successor in the flow's
// order, disregarding this host, is an owner.
func (v *View) formerSuccessorOwns(fp flow.Fingerprint, d *Departed) bool {
	departed := flow.Score(fp, d.Hash)
	var best uint64
	owns := false
	for i := range v.Owners {
		score := flow.Score(fp, v.Owners[i].Hash)
		if v.Owners[i].Index != v.Self.Index && score < departed && score > best {
			best, owns = score, true
		}
	}
	for i := range v.Departed {
		score := flow.Score(fp, v.Departed[i].Hash)
		if !v.Departed[i].HandedOver && score < departed && score > best {
			best, owns = score, false
		}
	}
	return owns
}

// Rank returns the names of a flow's owner and successor, "" if there is none.
func (v *View) Rank(fp flow.Fingerprint) (owner, successor string) {
	r := v.rank(fp)
	if r.owner != nil {
		owner = r.owner.Name
	}
	if r.successor != nil {
		successor = r.successor.Name
	}
	return owner, successor
}

// recentlyJoined reports whether former owners may still hold flows that are
// unknown to this host.
func (v *View) recentlyJoined(now Time) bool {
	return !v.FirstOwner && now-v.OwnerSince < JoinGrace
}

// isEndpoint reports whether the address belongs to an endpoint of a service
// under any version held.
func (v *View) isEndpoint(id config.ServiceID, address netip.AddrPort) bool {
	_, ok := v.endpointAddresses[endpointAddressKey{id, address}]
	return ok
}
