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

// Host is a host as it registers in the store.
type Host struct {
	Name   string         `json:"name"`
	Domain string         `json:"domain"`
	Feed   netip.AddrPort `json:"feed"`
}

// Encode returns the host's registration.
func (h Host) Encode() ([]byte, error) { return json.Marshal(h) }

func (k *Keeper) host(now time.Duration, name string, c *platform.Change) {
	if c.Removed {
		if h, ok := k.hosts[name]; ok {
			delete(k.hosts, name)
			k.absences[name] = absence{domain: h.Domain, goneAt: now}
			event.Log(k.logger, event.HostGone, slog.String("host", name), slog.Uint64("revision", c.Revision))
		}
		return
	}
	var h Host
	if err := json.Unmarshal(c.Value, &h); err != nil || h.Name != name || !h.Feed.IsValid() {
		event.Log(k.logger, event.EntryUnreadable, slog.String("host", name), slog.Uint64("revision", c.Revision))
		delete(k.hosts, name)
		return
	}
	if k.hosts[name] != h {
		event.Log(k.logger, event.HostListed, slog.String("host", name), slog.String("domain", h.Domain),
			slog.String("feed", h.Feed.String()), slog.Uint64("revision", c.Revision))
	}
	k.hosts[name] = h
	if a, ok := k.absences[name]; ok && !a.back {
		a.back, a.backAt = true, now
		k.absences[name] = a
	}
}

// absence is a time without a host's registration.
type absence struct {
	domain string
	goneAt time.Duration
	back   bool
	backAt time.Duration
}

const (
	// restartTime is how long a host that has gone is held to be restarting.
	restartTime = 5 * time.Second
	// settleTime is how long routers take to use a host that has come back: a
	// question that they ask twice a second, and its way.
	settleTime = 700 * time.Millisecond
)

// over reports whether the absence means nothing any more.
func (a absence) over(now time.Duration) bool {
	if a.back {
		return now >= a.backAt+settleTime
	}
	return now >= a.goneAt+restartTime
}

// MayLeave reports whether the named host may leave the rotation: at least half
// of its domain's hosts are then left in it. With fewer routers would use all of
// them, also those that are down. Hosts that have gone or come back just now are
// not counted as in rotation; others that may be down are not known here.
func (k *Keeper) MayLeave(now time.Duration, name, domain string) (ok bool, restarting []string) {
	all, ready := 0, 0
	for other, h := range k.hosts {
		if h.Domain == domain && other != name {
			all++
			ready++
		}
	}
	for other, a := range k.absences {
		if a.over(now) {
			delete(k.absences, other)
			continue
		}
		if a.domain != domain || other == name {
			continue
		}
		restarting = append(restarting, other)
		if a.back {
			ready--
		} else {
			all++
		}
	}
	slices.Sort(restarting)
	// The leaving host itself counts as one of all.
	return len(restarting) == 0 || 2*ready >= all+1, restarting
}

// Hosts returns the registered hosts by name.
func (k *Keeper) Hosts() []Host {
	hosts := make([]Host, 0, len(k.hosts))
	for _, h := range k.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts
}

// Secret returns the secret that hosts share, or nil.
func (k *Keeper) Secret() []byte { return k.secret }

// maxOuterFeeders bounds the hosts of other failure domains that are asked
// before a host follows the store itself.
const maxOuterFeeders = 2

// Feeders returns the hosts that may feed the named one, the best first: those
// of its domain that rank above it, or, for the first of a domain, some of other
// domains that rank above it among all hosts. Ranks only rise along a chain of
// feeds, so that there is no circle; all hosts with the same registrations agree
// on the one that finds no feeder and follows the store.
func Feeders(hosts []Host, name, domain string) []Host {
	inner := above(hosts, name, func(h Host) bool { return h.Domain == domain })
	if len(inner) > 0 {
		return inner
	}
	outer := above(hosts, name, func(h Host) bool { return h.Domain != domain })
	return outer[:min(len(outer), maxOuterFeeders)]
}

// feedSalt makes the one rank by which hosts feed each other. With a second
// one, for hosts within a domain, chains of feeds could close to a circle.
const feedSalt = "feed"

// above returns the matching hosts that rank above the named one, best first.
func above(hosts []Host, name string, matches func(Host) bool) []Host {
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

// Helpers returns the hosts that may feed the named one while it can't reach
// the store, those of its own domain first. The order differs from host to
// host, so that not all ask the same one.
func Helpers(hosts []Host, name, domain string) []Host {
	var helpers []Host
	for _, h := range hosts {
		if h.Name != name {
			helpers = append(helpers, h)
		}
	}
	sortByRank(helpers, name)
	slices.SortStableFunc(helpers, func(a, b Host) int {
		return cmp.Compare(boolRank(a.Domain != domain), boolRank(b.Domain != domain))
	})
	return helpers
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

// rank orders hosts by rendezvous hashing.
func rank(salt, name string) uint64 { return xxhash.Sum64String(salt + "/" + name) }
