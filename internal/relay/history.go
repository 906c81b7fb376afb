package relay

import (
	"time"

	"toucangap/internal/catalog"
)

// history knows which services a route's flows may still be at: a new
// configuration leaves open flows where they are.
type history struct {
	started  time.Duration
	lifetime time.Duration
	version  uint64
	// allowed is until when a flow of the route may be at the service; routes
	// whose services never changed are not in it.
	allowed map[routeService]time.Duration
	last    *catalog.View
}

type routeService struct {
	route   catalog.Address
	service string
}

func newHistory(now, lifetime time.Duration) history {
	return history{started: now, lifetime: lifetime, allowed: make(map[routeService]time.Duration)}
}

// update takes the services that a new configuration takes from routes.
func (h *history) update(now time.Duration, v *catalog.View) {
	if v.Configuration == nil || v.Configuration.Version == h.version {
		return
	}
	for key, until := range h.allowed {
		if now > until {
			delete(h.allowed, key)
		}
	}
	if h.last != nil && h.last.Configuration != nil {
		h.keepFormer(now, h.last.Configuration, v)
	}
	h.last, h.version = v, v.Configuration.Version
}

func (h *history) keepFormer(now time.Duration, former *catalog.Configuration, v *catalog.View) {
	for i := range former.Routes {
		old := &former.Routes[i]
		route := v.Route(old.Address)
		for _, share := range old.Shares {
			if route == nil || !route.Allows(share.Service) {
				h.allowed[routeService{old.Address, share.Service}] = now + h.lifetime
			}
		}
	}
}

// permits reports whether an open flow of the route may be at the service.
// A host that has started less than a flow's life ago can't know: the flow may
// be from a configuration before its time.
func (h *history) permits(now time.Duration, route *catalog.Route, service string) bool {
	if route.Allows(service) || now < h.started+h.lifetime {
		return true
	}
	return now <= h.allowed[routeService{route.Address, service}]
}
