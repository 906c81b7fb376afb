package relay

import (
	"time"

	"toucangap/internal/catalog"
)

// history records the services that a route's open flows may still use: a new
// configuration does not move open flows.
type history struct {
	started  time.Duration
	lifetime time.Duration
	version  uint64
	// allowedUntil is the time until which open flows of a route may stay at a
	// service that it no longer allows; routes whose services never changed have no
	// entry.
	allowedUntil map[routeService]time.Duration
	lastView     *catalog.View
}

type routeService struct {
	route   catalog.Address
	service string
}

func newHistory(now, lifetime time.Duration) history {
	return history{started: now, lifetime: lifetime, allowedUntil: make(map[routeService]time.Duration)}
}

// update records the services that a new configuration removes from routes.
func (h *history) update(now time.Duration, v *catalog.View) {
	if v.Configuration == nil || v.Configuration.Version == h.version {
		return
	}
	for key, until := range h.allowedUntil {
		if now > until {
			delete(h.allowedUntil, key)
		}
	}
	if h.lastView != nil && h.lastView.Configuration != nil {
		h.allowFormerServices(now, h.lastView.Configuration, v)
	}
	h.lastView, h.version = v, v.Configuration.Version
}

// allowFormerServices permits open flows, for one flow lifetime, at the services of
// the former routes that the view no longer allows.
func (h *history) allowFormerServices(now time.Duration, former *catalog.Configuration, v *catalog.View) {
	for i := range former.Routes {
		old := &former.Routes[i]
		route := v.Route(old.Address)
		for _, share := range old.Shares {
			if route == nil || !route.Allows(share.Service) {
				h.allowedUntil[routeService{old.Address, share.Service}] = now + h.lifetime
			}
		}
	}
}

// permits reports whether an open flow of the route may be at the service. Until
// the host has run for one flow lifetime, all services are permitted: the flow may
// have been placed under a configuration that the host has not seen.
func (h *history) permits(now time.Duration, route *catalog.Route, service string) bool {
	if route.Allows(service) || now < h.started+h.lifetime {
		return true
	}
	return now <= h.allowedUntil[routeService{route.Address, service}]
}
