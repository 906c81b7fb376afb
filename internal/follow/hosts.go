package follow

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucangap/internal/coldstart"
	"toucangap/internal/event"
	"toucangap/internal/holders"
	"toucangap/platform"
)

// Host is a host's registration in the store.
type Host struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Feed is the address at which other hosts connect to follow this one.
	Feed netip.AddrPort `json:"feed"`
	// Notices is the address at which the host receives notices on flows (package holders);
	// zero if it takes none.
	Notices netip.AddrPort `json:"notices,omitzero"`
	// Capacity is what the host can feed, by its link and processor; see CapacityOf.
	Capacity int `json:"capacity,omitempty"`
}

// CapacityOf returns the capacity of a host with the share of a core and the link in
// Mbit/s. Only powers of two are told apart, so that hosts of one kind are equal.
func CapacityOf(cpuShare, linkMbps float64) int {
	return bits.Len(uint(max(0, cpuShare*linkMbps)))
}

// Encode returns the registration's value in the store.
func (h Host) Encode() ([]byte, error) { return json.Marshal(h) }

func (r *Replica) applyHost(now time.Duration, name string, c *platform.Change) {
	if c.Removed {
		if h, ok := r.hosts[name]; ok {
			delete(r.hosts, name)
			r.hostsRevision++
			r.registry.Remove(now, h.coldstartHost())
			r.absences[name] = absence{domain: h.Domain, removedAt: now}
			event.Log(r.logger, event.HostUnregistered, slog.String("host", name), logPosition(c.Position()))
		}
		return
	}
	var h Host
	if err := json.Unmarshal(c.Value, &h); err != nil || h.Name != name || !h.Feed.IsValid() {
		event.Log(r.logger, event.EntryInvalid, slog.String("host", name), logPosition(c.Position()))
		r.dropUnusable(c.Key)
		if old, ok := r.hosts[name]; ok {
			delete(r.hosts, name)
			r.hostsRevision++
			r.registry.Remove(now, old.coldstartHost())
		}
		return
	}
	if r.hosts[name] != h && !r.listing {
		event.Log(r.logger, event.HostListed, slog.String("host", name), slog.String("domain", h.Domain),
			slog.String("feed", h.Feed.String()), logPosition(c.Position()))
	}
	if old, ok := r.hosts[name]; ok && old.Domain != h.Domain {
		r.registry.Remove(now, old.coldstartHost())
	}
	if r.hosts[name] != h {
		r.hostsRevision++
	}
	r.hosts[name] = h
	r.registry.Put(now, h.coldstartHost())
	if a, ok := r.absences[name]; ok && !a.returned {
		a.returned, a.returnedAt = true, now
		r.absences[name] = a
	}
}

// absence is a period without a host's registration. Times are on the monotonic
// clock.
type absence struct {
	domain     string
	removedAt  time.Duration
	returned   bool
	returnedAt time.Duration
}

const (
	// maxRestartTime is how long a host whose registration is gone counts as
	// restarting.
	maxRestartTime = 5 * time.Second
	// rejoinDelay is how long routers take to use a returned host: the half second
	// between two readiness requests, and the latency of one.
	rejoinDelay = 700 * time.Millisecond
)

// expired reports whether the absence no longer counts.
func (a absence) expired(now time.Duration) bool {
	if a.returned {
		return now >= a.returnedAt+rejoinDelay
	}
	return now >= a.removedAt+maxRestartTime
}

// MayLeave reports whether the named host may leave the rotation: at least half of
// its domain's hosts must remain in it, unless no other host of the domain is
// restarting. With fewer, routers would use all hosts, also those that are down.
// Hosts that have just gone or returned, listed in restarting, do not count as in
// rotation; other hosts that may be down are not known here.
func (r *Replica) MayLeave(now time.Duration, name, domain string) (ok bool, restarting []string) {
	all, ready := 0, 0
	for other, h := range r.hosts {
		if h.Domain == domain && other != name {
			all++
			ready++
		}
	}
	for other, a := range r.absences {
		if a.expired(now) {
			delete(r.absences, other)
			continue
		}
		if a.domain != domain || other == name {
			continue
		}
		restarting = append(restarting, other)
		if a.returned {
			ready--
		} else {
			all++
		}
	}
	slices.Sort(restarting)
	// The leaving host counts toward the total.
	return len(restarting) == 0 || 2*ready >= all+1, restarting
}

func (h Host) coldstartHost() coldstart.Host { return coldstart.Host{Name: h.Name, Domain: h.Domain} }

// Registrations returns the registered hosts with the times of changes, or nil if there
// was no change since the last call or no service limits flows to cold endpoints.
func (r *Replica) Registrations() *coldstart.Hosts {
	if !r.registry.Changed() || !r.directory.Configuration().LimitsCold() {
		return nil
	}
	return r.registry.Snapshot()
}

// HostsRevision returns a number that changes with the registered hosts.
func (r *Replica) HostsRevision() uint64 { return r.hostsRevision }

// NoticeHosts returns the registered hosts as receivers of notices, in no particular order.
func (r *Replica) NoticeHosts() []holders.Host {
	list := make([]holders.Host, 0, len(r.hosts))
	for _, h := range r.hosts {
		list = append(list, holders.Host{Name: h.Name, Domain: h.Domain, Address: h.Notices})
	}
	return list
}

// HostCount returns the number of registered hosts.
func (r *Replica) HostCount() int { return len(r.hosts) }

// HostCountIn returns the number of hosts registered in a failure domain.
func (r *Replica) HostCountIn(domain string) (n int) {
	for _, h := range r.hosts {
		if h.Domain == domain {
			n++
		}
	}
	return n
}

// Hosts returns the registered hosts, ordered by name.
func (r *Replica) Hosts() []Host {
	hosts := make([]Host, 0, len(r.hosts))
	for _, h := range r.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts
}

// Secret returns the secret that hosts share, or nil, and whether the store holds
// one. A store that was restored from a copy may have lost it.
func (r *Replica) Secret() (secret []byte, stored bool) {
	item, known := r.items[platform.SecretKey]
	return r.secret, known && !item.removed
}

// maxOuterUpstreams bounds the hosts of other failure domains that are tried
// before a host follows the store itself.
const maxOuterUpstreams = 2

// feedFanOut is how many hosts of its domain a host feeds at most while all hosts are
// up. With it, 1,000 hosts of a domain are three feeds away from its first host.
const feedFanOut = 8

// Upstreams returns the hosts that may feed the given one, best first. The hosts of a
// domain form a tree by their rank, in which each one feeds up to feedFanOut others: a
// host follows its parent or, if that fails, its parent's ancestors and then other
// hosts that rank above it. The first host of a domain follows some higher-ranked
// hosts of other domains. Ranks only rise along a chain of feeds, so there are no
// cycles, and all hosts with the same registrations agree on the one that has no
// upstream and follows the store.
func Upstreams(hosts []Host, own Host) []Host {
	inner := higherRanked(hosts, own, func(h Host) bool { return h.Domain == own.Domain })
	if len(inner) > 0 {
		return byAncestry(inner)
	}
	outer := higherRanked(hosts, own, func(h Host) bool { return h.Domain != own.Domain })
	return outer[:min(len(outer), maxOuterUpstreams)]
}

// byAncestry orders the hosts of a domain that rank above one, given best first: its
// ancestors in the tree, nearest first, then the others.
func byAncestry(inner []Host) []Host {
	ordered := make([]Host, 0, len(inner))
	ancestor := make([]bool, len(inner))
	for position := len(inner); position > 0; {
		position = (position - 1) / feedFanOut
		ordered = append(ordered, inner[position])
		ancestor[position] = true
	}
	for i, h := range inner {
		if !ancestor[i] {
			ordered = append(ordered, h)
		}
	}
	return ordered
}

// feedSalt gives all feeds one common ranking. With a second ranking within
// domains, chains of feeds could form a cycle.
const feedSalt = "feed"

// compareRank orders hosts for feeds, the higher-ranked first: by capacity, since inner
// hosts of the tree send most, then by hash.
func compareRank(a, b Host) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(rank(feedSalt, b.Name), rank(feedSalt, a.Name)))
}

// higherRanked returns the matching hosts that rank above the given one, best first.
func higherRanked(hosts []Host, own Host, matches func(Host) bool) []Host {
	var found []Host
	for _, h := range hosts {
		if h.Name != own.Name && matches(h) && compareRank(h, own) < 0 {
			found = append(found, h)
		}
	}
	slices.SortFunc(found, compareRank)
	return found
}

// Fallbacks returns the hosts that may feed the named one while it can't reach
// the store, those of its own domain first. The order differs between hosts to
// spread the load.
func Fallbacks(hosts []Host, name, domain string) []Host {
	var fallbacks []Host
	for _, h := range hosts {
		if h.Name != name {
			fallbacks = append(fallbacks, h)
		}
	}
	slices.SortFunc(fallbacks, func(a, b Host) int { return cmp.Compare(rank(name, b.Name), rank(name, a.Name)) })
	slices.SortStableFunc(fallbacks, func(a, b Host) int {
		return cmp.Compare(boolRank(a.Domain != domain), boolRank(b.Domain != domain))
	})
	return fallbacks
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// rank returns a host's rendezvous hash for the salt; a higher one ranks higher.
func rank(salt, name string) uint64 { return xxhash.Sum64String(salt + "/" + name) }
