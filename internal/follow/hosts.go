package follow

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucangap/internal/event"
	"toucangap/platform"
)

// Host is a host's registration in the store.
type Host struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Feed is the address at which other hosts connect to follow this one.
	Feed netip.AddrPort `json:"feed"`
}

// Encode returns the registration's value in the store.
func (h Host) Encode() ([]byte, error) { return json.Marshal(h) }

func (r *Replica) applyHost(now time.Duration, name string, c *platform.Change) {
	if c.Removed {
		if h, ok := r.hosts[name]; ok {
			delete(r.hosts, name)
			r.absences[name] = absence{domain: h.Domain, removedAt: now}
			event.Log(r.logger, event.HostUnregistered, slog.String("host", name), logPosition(c.Position()))
		}
		return
	}
	var h Host
	if err := json.Unmarshal(c.Value, &h); err != nil || h.Name != name || !h.Feed.IsValid() {
		event.Log(r.logger, event.EntryInvalid, slog.String("host", name), logPosition(c.Position()))
		delete(r.hosts, name)
		return
	}
	if r.hosts[name] != h {
		event.Log(r.logger, event.HostListed, slog.String("host", name), slog.String("domain", h.Domain),
			slog.String("feed", h.Feed.String()), logPosition(c.Position()))
	}
	r.hosts[name] = h
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

// HostCount returns the number of registered hosts.
func (r *Replica) HostCount() int { return len(r.hosts) }

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

// Upstreams returns the hosts that may feed the named one, best first: those of
// its domain that rank higher, or, for the highest-ranked host of a domain,
// some higher-ranked hosts of other domains. Ranks only rise along a chain of
// feeds, so there are no cycles, and all hosts with the same registrations
// agree on the one that has no upstream and follows the store.
func Upstreams(hosts []Host, name, domain string) []Host {
	inner := higherRanked(hosts, name, func(h Host) bool { return h.Domain == domain })
	if len(inner) > 0 {
		return inner
	}
	outer := higherRanked(hosts, name, func(h Host) bool { return h.Domain != domain })
	return outer[:min(len(outer), maxOuterUpstreams)]
}

// feedSalt gives all feeds one common ranking. With a second ranking within
// domains, chains of feeds could form a cycle.
const feedSalt = "feed"

// higherRanked returns the matching hosts that rank above the named one, best
// first.
func higherRanked(hosts []Host, name string, matches func(Host) bool) []Host {
	own := rank(feedSalt, name)
	var found []Host
	for _, h := range hosts {
		if h.Name != name && matches(h) && rank(feedSalt, h.Name) > own {
			found = append(found, h)
		}
	}
	sortByRank(found, feedSalt)
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
	sortByRank(fallbacks, name)
	slices.SortStableFunc(fallbacks, func(a, b Host) int {
		return cmp.Compare(boolRank(a.Domain != domain), boolRank(b.Domain != domain))
	})
	return fallbacks
}

func sortByRank(hosts []Host, salt string) {
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(rank(salt, b.Name), rank(salt, a.Name)) })
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// rank returns a host's rendezvous hash for the salt; a higher one ranks higher.
func rank(salt, name string) uint64 { return xxhash.Sum64String(salt + "/" + name) }
