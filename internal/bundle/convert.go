package bundle

import (
	"slices"

	"toucangap/internal/config"
)

// toCanonical copies a bundle and puts its lists in canonical order.
func toCanonical(b *config.Bundle) *canonicalBundle {
	c := &canonicalBundle{
		canonicalHeader: canonicalHeader{
			Format:          canonicalFormat,
			Version:         b.Version,
			HashSeed:        b.HashSeed,
			Domains:         append([]string{}, b.Domains...),
			MaxRemovedShare: b.MaxRemovedShare,
			Limits:          canonicalLimits(b.Limits),
		},
		Services: make([]canonicalService, len(b.Services)),
	}
	for i := range b.Services {
		c.Services[i] = toCanonicalService(&b.Services[i])
	}
	c.sort()
	return c
}

func toCanonicalService(s *config.Service) canonicalService {
	c := canonicalService{
		serviceHeader: newServiceHeader(s),
		Endpoints:     make([]canonicalEndpoint, len(s.Endpoints)),
	}
	for i, e := range s.Endpoints {
		c.Endpoints[i] = canonicalEndpoint(e)
	}
	return c
}

func newServiceHeader(s *config.Service) serviceHeader {
	return serviceHeader{
		ID:              s.ID,
		Name:            s.Name,
		Protocol:        s.Protocol,
		Address:         s.Address,
		Group:           s.Group,
		Requests:        s.Requests,
		Class:           s.Class,
		Dial:            s.Balance,
		DefaultDeadline: s.DefaultDeadline,
		MaxDeadline:     s.MaxDeadline,
	}
}

// bundle converts the encoded form to a bundle.
func (c *canonicalBundle) bundle() *config.Bundle {
	b := &config.Bundle{
		Version:         c.Version,
		HashSeed:        c.HashSeed,
		Domains:         slices.Clone(c.Domains),
		MaxRemovedShare: c.MaxRemovedShare,
		Limits:          config.Limits(c.Limits),
		Services:        make([]config.Service, len(c.Services)),
	}
	for i := range c.Services {
		b.Services[i] = c.Services[i].service()
	}
	return b
}

func (c *canonicalService) service() config.Service {
	s := config.Service{
		ID:              c.ID,
		Name:            c.Name,
		Protocol:        c.Protocol,
		Address:         c.Address,
		Group:           c.Group,
		Requests:        c.Requests,
		Class:           c.Class,
		Balance:         c.Dial,
		DefaultDeadline: c.DefaultDeadline,
		MaxDeadline:     c.MaxDeadline,
		Endpoints:       make([]config.Endpoint, len(c.Endpoints)),
	}
	for i, e := range c.Endpoints {
		s.Endpoints[i] = config.Endpoint(e)
	}
	return s
}
