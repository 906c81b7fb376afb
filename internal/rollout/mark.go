package rollout

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/config"
	"toucangap/internal/peerpb"
	"toucangap/internal/platform"
)

// MarkKey identifies the endpoint of a mark. It uses numbers rather than names,
// since numbers are never reused for another address.
type MarkKey struct {
	Service  config.ServiceID
	Endpoint config.EndpointID
}

// Mark is an operator's instruction to drain an endpoint or to stop draining
// it.
type Mark struct {
	MarkKey
	Draining bool
	// Revision grows with each instruction for the endpoint; the highest wins.
	Revision uint64
}

// supersedes reports whether m replaces other, a mark of the same endpoint. Of
// two marks with the same revision, as made during a network partition,
// draining wins.
func (m Mark) supersedes(other Mark) bool {
	if m.Revision != other.Revision {
		return m.Revision > other.Revision
	}
	return m.Draining && !other.Draining
}

// MarkTable holds the latest mark of each endpoint. Merging is commutative,
// associative and idempotent, so that marks may arrive over any path, in any
// order and more than once. The zero value is empty; it is not safe for
// concurrent use.
type MarkTable struct {
	marks map[MarkKey]Mark
}

// Merge adds a mark and reports whether it changed the table.
func (t *MarkTable) Merge(m Mark) bool {
	if m.Revision == 0 {
		return false
	}
	known, ok := t.marks[m.MarkKey]
	if ok && !m.supersedes(known) {
		return false
	}
	if t.marks == nil {
		t.marks = make(map[MarkKey]Mark)
	}
	t.marks[m.MarkKey] = m
	return true
}

// Get returns the mark of an endpoint; its revision is 0 if there is none.
func (t *MarkTable) Get(key MarkKey) Mark {
	m, ok := t.marks[key]
	if !ok {
		return Mark{MarkKey: key}
	}
	return m
}

// All returns the marks in the order of their keys.
func (t *MarkTable) All() []Mark {
	out := make([]Mark, 0, len(t.marks))
	for _, m := range t.marks {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Mark) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return out
}

// MarkFromPeer decodes a mark sent by a peer. It fails on a number that does
// not fit an endpoint.
func MarkFromPeer(m *peerpb.Mark) (Mark, error) {
	if m.GetEndpoint() > uint32(^config.EndpointID(0)) {
		return Mark{}, merry.Errorf("endpoint number %d in mark is out of range", m.GetEndpoint())
	}
	key := MarkKey{Service: config.ServiceID(m.GetService()), Endpoint: config.EndpointID(m.GetEndpoint())}
	return Mark{MarkKey: key, Draining: m.GetDraining(), Revision: m.GetRevision()}, nil
}

// ToPeer encodes a mark for peers.
func (m Mark) ToPeer() *peerpb.Mark {
	return &peerpb.Mark{
		Service:  uint32(m.Service),
		Endpoint: uint32(m.Endpoint),
		Draining: m.Draining,
		Revision: m.Revision,
	}
}

// markValue is a mark as stored under its key.
type markValue struct {
	Draining  bool        `json:"draining"`
	Revision  uint64      `json:"revision"`
	Operation OperationID `json:"operation"`
	// Earlier holds the last historyLength operations before, the newest first.
	Earlier []OperationID `json:"earlier,omitempty"`
}

// next returns the value that follows v, with a revision higher than above.
func (v markValue) next(draining bool, above uint64, operation OperationID) markValue {
	following := markValue{Draining: draining, Revision: max(v.Revision, above) + 1, Operation: operation}
	if v.Revision == 0 {
		return following
	}
	following.Earlier = append([]OperationID{v.Operation}, v.Earlier...)
	following.Earlier = following.Earlier[:min(len(following.Earlier), historyLength)]
	return following
}

// hasOperation reports whether the operation made the value or one before it.
func (v markValue) hasOperation(operation OperationID) bool {
	return v.Operation == operation || slices.Contains(v.Earlier, operation)
}

// MarkStore reads and writes the operators' marks that the platform stores.
type MarkStore struct {
	client *platform.Client
}

// NewMarkStore returns a MarkStore that uses the client.
func NewMarkStore(client *platform.Client) *MarkStore {
	return &MarkStore{client: client}
}

// Set writes a mark whose revision is higher than the one on the platform and
// higher than the parameter above (0 for no minimum), and returns the mark in force
// afterwards, which differs if another mark followed. After a lost response it
// retries, looking for its own operation, until the context ends.
func (s *MarkStore) Set(ctx context.Context, key MarkKey, draining bool, above uint64, operation OperationID) (Mark, error) {
	path := markPath(key)
	current, revision, err := s.readMark(ctx, path)
	for err == nil && !current.hasOperation(operation) {
		current, revision, err = s.swap(ctx, path, current.next(draining, above, operation), revision)
	}
	if err != nil {
		return Mark{}, merry.Prependf(err, "set mark %s", path)
	}
	return Mark{MarkKey: key, Draining: current.Draining, Revision: current.Revision}, nil
}

// swap writes the value and returns the one in force afterwards with its
// revision on the platform.
func (s *MarkStore) swap(ctx context.Context, path string, next markValue, expected int64) (markValue, int64, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return markValue{}, 0, merry.Prepend(err, "encode mark")
	}
	revision, err := swapUntilKnown(ctx, s.client, platform.Swap{Key: path, Value: value, ModRevision: expected})
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return next, revision, err
	}
	if conflict.Current == nil {
		return markValue{}, 0, nil
	}
	current, err := decodeMark(conflict.Current.Value)
	return current, conflict.Current.ModRevision, err
}

// readMark reads the mark in force; both results are zero if there is none.
func (s *MarkStore) readMark(ctx context.Context, path string) (markValue, int64, error) {
	entry, err := s.client.GetLatest(ctx, path)
	if errors.Is(err, platform.ErrNotFound) {
		return markValue{}, 0, nil
	}
	if err != nil {
		return markValue{}, 0, err
	}
	current, err := decodeMark(entry.Value)
	return current, entry.ModRevision, err
}

// List reads all marks in the order of their keys; malformed ones are left out.
func (s *MarkStore) List(ctx context.Context) ([]Mark, error) {
	listing, err := s.client.List(ctx, prefixMarks)
	if err != nil {
		return nil, err
	}
	var table MarkTable
	for _, entry := range listing.Entries {
		if m, err := markFromEntry(entry); err == nil {
			table.Merge(m)
		}
	}
	return table.All(), nil
}

func markPath(key MarkKey) string {
	return fmt.Sprintf("%s%d/%d", prefixMarks, key.Service, key.Endpoint)
}

func decodeMark(value []byte) (markValue, error) {
	var m markValue
	if err := json.Unmarshal(value, &m); err != nil {
		return m, merry.Prepend(err, "decode mark")
	}
	return m, nil
}

// markFromEntry decodes a mark from its key and value.
func markFromEntry(entry platform.Entry) (Mark, error) {
	var key MarkKey
	_, err := fmt.Sscanf(entry.Key, prefixMarks+"%d/%d", &key.Service, &key.Endpoint)
	if err != nil || markPath(key) != entry.Key {
		return Mark{}, merry.Errorf("malformed mark key %q", entry.Key)
	}
	value, err := decodeMark(entry.Value)
	if err != nil {
		return Mark{}, err
	}
	return Mark{MarkKey: key, Draining: value.Draining, Revision: value.Revision}, nil
}
