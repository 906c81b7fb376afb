package bundle

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/config"
)

// deltaFormat is the version of the delta encoding.
const deltaFormat = 1

// Errors of deltas.
var (
	// ErrMalformedDelta means that data is not an encoded delta.
	ErrMalformedDelta = merry.Sentinel("malformed bundle delta")
	// ErrDeltaBaseMismatch means that a delta applies to another bundle.
	ErrDeltaBaseMismatch = merry.Sentinel("bundle delta applies to another base bundle")
	// ErrDeltaResultMismatch means that the result of a delta has another digest
	// than the delta states.
	ErrDeltaResultMismatch = merry.Sentinel("digest of the resulting bundle does not match the bundle delta")
)

// delta holds the changes from one signed bundle to another. It contains the
// new signatures, which cover the whole new bundle. From and To are the digests
// of the two bundles.
type delta struct {
	Format     int                `json:"toucangap_delta"`
	From       string             `json:"from"`
	To         string             `json:"to"`
	Header     canonicalHeader    `json:"header"`
	Removed    []config.ServiceID `json:"removed,omitempty"`
	Services   []serviceDelta     `json:"services,omitempty"`
	Signatures []Signature        `json:"signatures"`
}

// serviceDelta holds the changes in one service. A nil Header means that no
// field other than the endpoints changed.
type serviceDelta struct {
	ID      config.ServiceID    `json:"id"`
	Header  *serviceHeader      `json:"header,omitempty"`
	Removed []config.EndpointID `json:"removed,omitempty"`
	// Endpoints holds the endpoints that are new or changed.
	Endpoints []canonicalEndpoint `json:"endpoints,omitempty"`
}

// MakeDelta returns the gzip-compressed changes from one signed bundle to
// another.
func MakeDelta(from, to *Signed) ([]byte, error) {
	d, err := compare(from, to)
	if err != nil {
		return nil, err
	}
	d.From = from.Digest()
	d.To = to.Digest()
	d.Signatures = to.Signatures
	data, err := json.Marshal(d)
	if err != nil {
		return nil, merry.Prepend(err, "encode delta")
	}
	return compress(data)
}

// ApplyDelta returns the signed bundle that results from the delta. Its
// signatures still have to be verified. It fails with ErrMalformedDelta,
// ErrDeltaBaseMismatch or ErrDeltaResultMismatch.
func ApplyDelta(from *Signed, encoded []byte) (*Signed, error) {
	d, err := decodeDelta(encoded)
	if err != nil {
		return nil, err
	}
	if d.From != from.Digest() {
		return nil, merry.Wrap(ErrDeltaBaseMismatch)
	}
	to, err := d.apply(from)
	if err != nil {
		return nil, err
	}
	if to.Digest() != d.To {
		return nil, merry.Wrap(ErrDeltaResultMismatch)
	}
	return to, nil
}

func decodeDelta(encoded []byte) (*delta, error) {
	data, err := decompress(encoded)
	if err != nil {
		return nil, merry.Wrap(ErrMalformedDelta, merry.WithCause(err))
	}
	d := &delta{}
	if err := json.Unmarshal(data, d); err != nil {
		return nil, merry.Wrap(ErrMalformedDelta, merry.WithCause(err))
	}
	if d.Format != deltaFormat {
		return nil, merry.Appendf(ErrMalformedDelta, "format %d", d.Format)
	}
	return d, nil
}

// compare returns a delta with the changes; the caller sets its digests and
// signatures. Services with identical lines are skipped.
func compare(from, to *Signed) (*delta, error) {
	a, err := from.content()
	if err != nil {
		return nil, err
	}
	b, err := to.content()
	if err != nil {
		return nil, err
	}
	d := &delta{Format: deltaFormat, Header: b.canonicalHeader}
	before := a.servicesByID()
	lineHashes := from.lines.hashes()
	for i := range b.Services {
		after := &b.Services[i]
		if !lineHashes[to.lines[1+i].hash] {
			d.Services = append(d.Services, compareServices(before[after.ID], after))
		}
		delete(before, after.ID)
	}
	d.Removed = slices.Sorted(maps.Keys(before))
	return d, nil
}

func (c *canonicalBundle) servicesByID() map[config.ServiceID]*canonicalService {
	index := make(map[config.ServiceID]*canonicalService, len(c.Services))
	for i := range c.Services {
		index[c.Services[i].ID] = &c.Services[i]
	}
	return index
}

// compareServices returns the changes in one service; before is nil for a new
// one.
func compareServices(before, after *canonicalService) serviceDelta {
	d := serviceDelta{ID: after.ID}
	if before == nil {
		before = &canonicalService{}
	}
	if before.serviceHeader != after.serviceHeader {
		d.Header = &after.serviceHeader
	}
	endpoints := before.endpointsByID()
	for _, e := range after.Endpoints {
		old, existed := endpoints[e.ID]
		if !existed || old != e {
			d.Endpoints = append(d.Endpoints, e)
		}
		delete(endpoints, e.ID)
	}
	d.Removed = slices.Sorted(maps.Keys(endpoints))
	return d
}

func (c *canonicalService) endpointsByID() map[config.EndpointID]canonicalEndpoint {
	index := make(map[config.EndpointID]canonicalEndpoint, len(c.Endpoints))
	for _, e := range c.Endpoints {
		index[e.ID] = e
	}
	return index
}

// encodedService is a service with its encoded line.
type encodedService struct {
	canonicalService
	line line
}

// apply returns the bundle that results from the delta. It shares all unchanged
// services with the old bundle.
func (d *delta) apply(from *Signed) (*Signed, error) {
	before, err := from.content()
	if err != nil {
		return nil, err
	}
	header, err := encodeLine(d.Header)
	if err != nil {
		return nil, err
	}
	services, err := d.applyServices(before, from.lines)
	if err != nil {
		return nil, err
	}
	to := &Signed{
		Signatures: d.Signatures,
		lines:      append(make(canonicalLines, 0, 1+len(services)), header),
		decoded:    &canonicalBundle{canonicalHeader: d.Header, Services: make([]canonicalService, len(services))},
	}
	for i, service := range services {
		to.decoded.Services[i] = service.canonicalService
		to.lines = append(to.lines, service.line)
	}
	return to, nil
}

// applyServices returns the services of the resulting bundle, sorted by ID.
func (d *delta) applyServices(before *canonicalBundle, lines canonicalLines) ([]encodedService, error) {
	removed := make(map[config.ServiceID]bool, len(d.Removed))
	for _, id := range d.Removed {
		removed[id] = true
	}
	changes := make(map[config.ServiceID]serviceDelta, len(d.Services))
	for _, change := range d.Services {
		changes[change.ID] = change
	}
	services := make([]encodedService, 0, len(before.Services)+len(d.Services))
	for i, s := range before.Services {
		_, isChanged := changes[s.ID]
		if !isChanged && !removed[s.ID] {
			services = append(services, encodedService{s, lines[1+i]})
		}
	}
	existing := before.servicesByID()
	for _, change := range changes {
		service, err := change.applyEncoded(existing[change.ID])
		if err != nil {
			return nil, err
		}
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b encodedService) int { return compareServiceIDs(a.canonicalService, b.canonicalService) })
	return services, nil
}

// applyEncoded returns the service after the change with its encoded line;
// before is nil for a new one.
func (d *serviceDelta) applyEncoded(before *canonicalService) (encodedService, error) {
	if before == nil {
		before = &canonicalService{}
	}
	after := d.apply(*before)
	l, err := encodeLine(after)
	return encodedService{after, l}, err
}

// apply returns the service after the change.
func (d *serviceDelta) apply(s canonicalService) canonicalService {
	if d.Header != nil {
		s.serviceHeader = *d.Header
	}
	endpoints := s.endpointsByID()
	for _, id := range d.Removed {
		delete(endpoints, id)
	}
	for _, e := range d.Endpoints {
		endpoints[e.ID] = e
	}
	s.Endpoints = slices.AppendSeq(make([]canonicalEndpoint, 0, len(endpoints)), maps.Values(endpoints))
	slices.SortFunc(s.Endpoints, compareEndpointIDs)
	return s
}
