package holders

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"toucangap/internal/catalog"
)

// Host is a host that takes notices.
type Host struct {
	Name   string
	Domain string
	// Address receives notices over UDP.
	Address netip.AddrPort
}

// registrarsPerRing is the number of registrars of a flow among the hosts of a failure
// domain, and among all hosts. Hosts that differ in one registration have at least one of
// them in common.
const registrarsPerRing = 2

// Directory selects the registrars of flows by consistent hashing. Some are in the host's own
// failure domain, which routers usually keep a flow in and which a network partition does not
// separate from it. The others are chosen among all hosts: routers use those of other domains
// while none of a domain is in rotation.
type Directory struct {
	own       Host
	home, all ring
}

// NewDirectory returns the directory of the registered hosts. Those without an address take no
// notices.
func NewDirectory(hosts []Host, own Host) *Directory {
	var home, all []Host
	for _, h := range hosts {
		if !h.Address.IsValid() {
			continue
		}
		all = append(all, h)
		if h.Domain == own.Domain {
			home = append(home, h)
		}
	}
	return &Directory{own: own, home: newRing(home), all: newRing(all)}
}

// Empty reports whether no host takes notices.
func (d *Directory) Empty() bool { return len(d.all) == 0 }

// Registrars returns the registrars of a flow, among which may be the host itself.
func (d *Directory) Registrars(f catalog.Flow) []Host {
	hash := f.Hash()
	found := make([]Host, 0, 2*registrarsPerRing)
	for _, r := range []ring{d.home, d.all} {
		for i := range min(registrarsPerRing, len(r)) {
			if h := r.successor(hash, i); !slices.Contains(found, h) {
				found = append(found, h)
			}
		}
	}
	return found
}

// point is a host's position on a ring.
type point struct {
	position uint64
	host     Host
}

// ring holds hosts in the order of their positions.
type ring []point

func newRing(hosts []Host) ring {
	r := make(ring, len(hosts))
	for i, h := range hosts {
		r[i] = point{position: xxhash.Sum64String("holders/" + h.Name), host: h}
	}
	slices.SortFunc(r, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.host.Name, b.host.Name))
	})
	return r
}

// successor returns the i-th host that follows the hash on the ring, counted from 0.
func (r ring) successor(hash uint64, i int) Host {
	first, _ := slices.BinarySearchFunc(r, hash, func(p point, h uint64) int { return cmp.Compare(p.position, h) })
	return r[(first+i)%len(r)].host
}
