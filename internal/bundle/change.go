package bundle

import (
	"fmt"

	"toucangap/internal/config"
)

// validateChange reports differences that are not allowed between a version
// and its successor.
func validateChange(old, b *config.Bundle, r reporter) {
	v := &validator{reporter: r, bundle: b}
	oldServices := servicesByID(old)
	newServices := servicesByID(b)
	v.require(b.Version > old.Version, atBundle("version"),
		fmt.Sprintf("%d does not follow version %d", b.Version, old.Version), fmt.Sprintf("%d or more", old.Version+1))
	v.require(b.HashSeed == old.HashSeed, atBundle("hash_seed"),
		"differs from the previous version, which would move open flows", fmt.Sprint(old.HashSeed))
	for i := range old.Services {
		before := &old.Services[i]
		if newServices[before.ID] == nil {
			v.reportRemovedService(before)
		}
	}
	for i := range b.Services {
		before := oldServices[b.Services[i].ID]
		if before != nil {
			v.checkServiceChange(i, before)
		}
	}
}

func servicesByID(b *config.Bundle) map[config.ServiceID]*config.Service {
	index := make(map[config.ServiceID]*config.Service, len(b.Services))
	for i := range b.Services {
		index[b.Services[i].ID] = &b.Services[i]
	}
	return index
}

// reportRemovedService reports a removed service, unless the bundle allows a
// change to remove all of a service's endpoints.
func (v *validator) reportRemovedService(before *config.Service) {
	if v.bundle.MaxRemovedShare >= 1 {
		return
	}
	v.report(atBundle("service"), fmt.Sprintf("service %q (%d) with %d endpoints is removed", before.Name, before.ID, len(before.Endpoints)),
		"max_removed_share = 1.0 if this is intended")
}

// checkServiceChange compares service i with its previous version. IDs must not
// be reused for another address. It does not compare a service whose address or
// protocol could not be parsed, which is reported elsewhere.
func (v *validator) checkServiceChange(i int, before *config.Service) {
	s := &v.bundle.Services[i]
	isParsed := s.Address.IsValid() && s.Protocol != 0
	isUnchanged := s.Address == before.Address && s.Protocol == before.Protocol
	v.require(isUnchanged || !isParsed, atService(i, "id"),
		fmt.Sprintf("%d was the ID of %s %s", s.ID, before.Protocol, before.Address), "an ID that was never used")
	for j, e := range s.Endpoints {
		earlier := before.Endpoint(e.ID)
		if earlier == nil {
			continue
		}
		v.require(e.Address == earlier.Address, atEndpoint(i, j, "id"),
			fmt.Sprintf("%d was the ID of %s", e.ID, earlier.Address), "an ID that was never used")
	}
	v.checkRemovedShare(i, before)
}

// checkRemovedShare reports a change that removes more of a service's
// endpoints than max_removed_share allows.
func (v *validator) checkRemovedShare(i int, before *config.Service) {
	removed := 0
	for _, e := range before.Endpoints {
		if v.bundle.Services[i].Endpoint(e.ID) == nil {
			removed++
		}
	}
	limit := v.bundle.MaxRemovedShare * float64(len(before.Endpoints))
	v.require(float64(removed) <= limit, atService(i, "endpoint"),
		fmt.Sprintf("%d of %d endpoints are removed at once", removed, len(before.Endpoints)),
		fmt.Sprintf("up to %d, or a higher max_removed_share", int(limit)))
}
