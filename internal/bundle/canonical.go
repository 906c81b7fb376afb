package bundle

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// canonicalFormat is the version of the canonical encoding.
const canonicalFormat = 1

// maxCanonicalBytes limits the decompressed size of a bundle or delta that a
// host accepts.
const maxCanonicalBytes = 64 << 20

// ErrNotCanonical means that data is not the canonical encoding of a bundle.
var ErrNotCanonical = merry.Sentinel("not the canonical encoding of a bundle")

// canonicalBundle is the encoded form of a bundle. The order of its fields is
// part of the format, and its lists are sorted by ID or name.
type canonicalBundle struct {
	canonicalHeader
	Services []canonicalService `json:"services"`
}

// canonicalHeader holds the fields of a bundle other than its services.
type canonicalHeader struct {
	Format          int             `json:"format"`
	Version         config.Version  `json:"version"`
	HashSeed        uint64          `json:"hash_seed"`
	Domains         []string        `json:"domains"`
	MaxRemovedShare float64         `json:"max_removed_share"`
	Limits          canonicalLimits `json:"limits"`
}

type canonicalLimits struct {
	ControlBytesPerSecond int           `json:"control_bytes_per_second"`
	RequestsPerSecond     int           `json:"requests_per_second"`
	FlowsPerHost          int           `json:"flows_per_host"`
	FlowIdle              time.Duration `json:"flow_idle_ns"`
}

// canonicalService is the encoded form of a service: its own fields, followed
// by its endpoints.
type canonicalService struct {
	serviceHeader
	Endpoints []canonicalEndpoint `json:"endpoints"`
}

// serviceHeader holds the fields of a service other than its endpoints.
type serviceHeader struct {
	ID              config.ServiceID       `json:"id"`
	Name            string                 `json:"name"`
	Protocol        flow.Protocol          `json:"protocol"`
	Address         netip.AddrPort         `json:"address"`
	Group           string                 `json:"group"`
	Requests        config.RequestProtocol `json:"requests"`
	Class           config.AdmissionClass  `json:"class"`
	Dial            config.BalancePolicy   `json:"dial"`
	DefaultDeadline time.Duration          `json:"default_deadline_ns"`
	MaxDeadline     time.Duration          `json:"max_deadline_ns"`
}

type canonicalEndpoint struct {
	ID       config.EndpointID `json:"id"`
	Name     string            `json:"name"`
	Domain   string            `json:"domain"`
	Address  netip.AddrPort    `json:"address"`
	Weight   int               `json:"weight"`
	Slots    int               `json:"slots"`
	MaxFlows int               `json:"max_flows"`
}

// Canonical returns the canonical encoding. It does not depend on the order of
// the bundle's lists.
func Canonical(b *config.Bundle) ([]byte, error) {
	encoded, err := encodeLines(toCanonical(b))
	if err != nil {
		return nil, err
	}
	return encoded.bytes(), nil
}

// encodeLines encodes the bundle, whose lists must be in canonical order.
func encodeLines(c *canonicalBundle) (canonicalLines, error) {
	encoded := make(canonicalLines, 1+len(c.Services))
	var err error
	encoded[0], err = encodeLine(c.canonicalHeader)
	if err != nil {
		return nil, err
	}
	for i := range c.Services {
		encoded[1+i], err = encodeLine(c.Services[i])
		if err != nil {
			return nil, err
		}
	}
	return encoded, nil
}

// decodeLines decodes a canonical encoding and rejects any other encoding or
// order of the same values.
func decodeLines(encoded canonicalLines) (*canonicalBundle, error) {
	c := &canonicalBundle{Services: make([]canonicalService, len(encoded)-1)}
	err := decodeLine(encoded[0], &c.canonicalHeader)
	if err != nil {
		return nil, err
	}
	if c.Format != canonicalFormat {
		return nil, merry.Appendf(ErrNotCanonical, "format %d", c.Format)
	}
	for i := range c.Services {
		err := decodeLine(encoded[1+i], &c.Services[i])
		if err != nil {
			return nil, err
		}
	}
	if !c.isSorted() {
		return nil, merry.Wrap(ErrNotCanonical)
	}
	return c, nil
}

// isSorted reports whether all lists are in canonical order.
func (c *canonicalBundle) isSorted() bool {
	for _, s := range c.Services {
		if !slices.IsSortedFunc(s.Endpoints, compareEndpointIDs) {
			return false
		}
	}
	return slices.IsSorted(c.Domains) && slices.IsSortedFunc(c.Services, compareServiceIDs)
}

// sort puts all lists in canonical order.
func (c *canonicalBundle) sort() {
	slices.Sort(c.Domains)
	slices.SortFunc(c.Services, compareServiceIDs)
	for _, s := range c.Services {
		slices.SortFunc(s.Endpoints, compareEndpointIDs)
	}
}

func compareServiceIDs(a, b canonicalService) int {
	return cmp.Compare(a.ID, b.ID)
}

func compareEndpointIDs(a, b canonicalEndpoint) int {
	return cmp.Compare(a.ID, b.ID)
}

// sortLists puts the lists of a bundle in canonical order.
func sortLists(b *config.Bundle) {
	slices.Sort(b.Domains)
	slices.SortFunc(b.Services, func(a, b config.Service) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range b.Services {
		slices.SortFunc(s.Endpoints, func(a, b config.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
}
