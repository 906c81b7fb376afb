// Package platform simulates the platform's key-value service, the store. It
// holds keys with their revision history, leases and watches in memory, serves
// the subset of etcd's JSON gateway that toucangap uses, and injects faults on
// command. It uses the time package's clock, so that it also runs inside a
// testing/synctest bubble.
package platform

import (
	"bytes"
	"errors"
	"slices"
	"sort"
	"sync"

	"toucangap/internal/platform/gateway"
)

// historyRevisions is the number of revisions that automatic compaction keeps; it
// runs when there are twice as many.
const historyRevisions = 4096

// The errors of the store, with etcd's texts.
var (
	errCompacted     = errors.New("mvcc: required revision has been compacted")
	errLeaseNotFound = errors.New("requested lease not found")
	errLeaseExists   = errors.New("lease already exists")
	errFuture        = errors.New("mvcc: required revision is a future revision")
)

// version is one version of a key; a deletion has an empty value and version
// 0.
type version struct {
	gateway.KeyValue
	deleted bool
}

// store is a versioned map. Each writing transaction increments the revision.
type store struct {
	mu       sync.Mutex
	revision int64
	// compacted is the oldest readable revision; 0 means all are readable.
	compacted int64
	// keys holds the versions of each key, the oldest first.
	keys map[string][]version
	// log holds every change since the last compaction, in order.
	log    []version
	leases map[int64]*lease
	// nextLease is the next lease ID that the store assigns.
	nextLease int64
	// changed is closed and replaced whenever the log grows.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		revision:  1,
		keys:      make(map[string][]version),
		leases:    make(map[int64]*lease),
		nextLease: 1,
		changed:   make(chan struct{}),
	}
}

// rangeAt reads keys at a revision; 0 means the current one.
func (s *store) rangeAt(request gateway.RangeRequest) (gateway.RangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rangeLocked(request)
}

func (s *store) rangeLocked(request gateway.RangeRequest) (gateway.RangeResponse, error) {
	at := request.Revision
	if at == 0 {
		at = s.revision
	}
	if at > s.revision {
		return gateway.RangeResponse{}, errFuture
	}
	if at < s.compacted {
		return gateway.RangeResponse{}, errCompacted
	}
	answer := gateway.RangeResponse{Header: gateway.ResponseHeader{Revision: at}}
	for _, key := range s.sortedKeys(request.Key, request.RangeEnd) {
		kv, ok := versionAt(s.keys[key], at)
		if !ok {
			continue
		}
		answer.Count++
		if request.Limit > 0 && answer.Count > request.Limit {
			answer.More = true
			continue
		}
		if request.KeysOnly {
			kv.Value = nil
		}
		answer.KVs = append(answer.KVs, kv)
	}
	return answer, nil
}

// sortedKeys returns the keys of the range, deleted ones included, in order.
func (s *store) sortedKeys(first, end []byte) []string {
	if len(end) == 0 {
		return []string{string(first)}
	}
	var keys []string
	for key := range s.keys {
		if inRange([]byte(key), first, end) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// inRange reports whether the key lies in [first, end). An empty end means the
// first key only, and a single zero byte means no end.
func inRange(key, first, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, first)
	}
	if bytes.Compare(key, first) < 0 {
		return false
	}
	return bytes.Equal(end, []byte{0}) || bytes.Compare(key, end) < 0
}

// versionAt returns the version of a key as of a revision, and whether the key
// existed then.
func versionAt(versions []version, at int64) (gateway.KeyValue, bool) {
	for _, v := range slices.Backward(versions) {
		if v.ModRevision <= at {
			return v.KeyValue, !v.deleted
		}
	}
	return gateway.KeyValue{}, false
}

// txn runs a transaction atomically: its writes share one revision.
func (s *store) txn(request gateway.TxnRequest) (gateway.TxnResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ops, succeeded := request.Success, true
	for _, compare := range request.Compare {
		if !s.evaluate(compare) {
			ops, succeeded = request.Failure, false
			break
		}
	}
	if err := s.checkLeases(ops); err != nil {
		return gateway.TxnResponse{}, err
	}
	answer := gateway.TxnResponse{Succeeded: succeeded}
	wrote := false
	for _, op := range ops {
		response, opWrote := s.apply(op, s.revision+1)
		wrote = wrote || opWrote
		answer.Responses = append(answer.Responses, response)
	}
	if wrote {
		s.commitRevision()
	}
	answer.Header.Revision = s.revision
	return answer, nil
}

// evaluate reports whether a comparison holds at the current revision.
func (s *store) evaluate(compare gateway.Compare) bool {
	kv, _ := versionAt(s.keys[string(compare.Key)], s.revision)
	if kv.Version == 0 {
		kv = gateway.KeyValue{}
	}
	switch compare.Target {
	case gateway.TargetCreate:
		return kv.CreateRevision == compare.CreateRevision
	case gateway.TargetMod:
		return kv.ModRevision == compare.ModRevision
	}
	return false
}

// checkLeases rejects a put with a lease that does not exist.
func (s *store) checkLeases(ops []gateway.RequestOp) error {
	for _, op := range ops {
		if op.Put == nil || op.Put.Lease == 0 {
			continue
		}
		if s.leases[op.Put.Lease] == nil {
			return errLeaseNotFound
		}
	}
	return nil
}

// apply runs an operation at the given revision and reports whether it wrote.
func (s *store) apply(op gateway.RequestOp, revision int64) (gateway.ResponseOp, bool) {
	switch {
	case op.Put != nil:
		s.put(*op.Put, revision)
		return gateway.ResponseOp{}, true
	case op.DeleteRange != nil:
		return gateway.ResponseOp{}, s.deleteRange(*op.DeleteRange, revision)
	case op.Range != nil:
		answer, err := s.rangeLocked(*op.Range)
		if err != nil {
			return gateway.ResponseOp{}, false
		}
		return gateway.ResponseOp{Range: &answer}, false
	}
	return gateway.ResponseOp{}, false
}

func (s *store) put(request gateway.PutRequest, revision int64) {
	key := string(request.Key)
	old, exists := versionAt(s.keys[key], revision)
	kv := gateway.KeyValue{
		Key:            request.Key,
		Value:          request.Value,
		CreateRevision: revision,
		ModRevision:    revision,
		Version:        1,
		Lease:          request.Lease,
	}
	if exists {
		kv.CreateRevision = old.CreateRevision
		kv.Version = old.Version + 1
		s.detach(old.Lease, key)
	}
	s.attach(request.Lease, key)
	s.append(version{KeyValue: kv})
}

// deleteRange reports whether any key was deleted.
func (s *store) deleteRange(request gateway.DeleteRangeRequest, revision int64) bool {
	deleted := false
	for _, key := range s.sortedKeys(request.Key, request.RangeEnd) {
		deleted = s.delete(key, revision) || deleted
	}
	return deleted
}

func (s *store) delete(key string, revision int64) bool {
	old, exists := versionAt(s.keys[key], revision)
	if !exists {
		return false
	}
	s.detach(old.Lease, key)
	tombstone := gateway.KeyValue{Key: []byte(key), ModRevision: revision}
	s.append(version{KeyValue: tombstone, deleted: true})
	return true
}

func (s *store) append(v version) {
	key := string(v.Key)
	s.keys[key] = append(s.keys[key], v)
	s.log = append(s.log, v)
}

// commitRevision increments the revision, wakes the watches and, if the history
// has grown too long, compacts it.
func (s *store) commitRevision() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
	if s.revision-s.compacted > 2*historyRevisions {
		s.compactLocked(s.revision - historyRevisions)
	}
}

// compact drops the history before a revision, which stays readable; 0 means the
// current one.
func (s *store) compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision == 0 {
		revision = s.revision
	}
	s.compactLocked(revision)
}

func (s *store) compactLocked(revision int64) {
	s.compacted = revision
	s.log = slices.DeleteFunc(s.log, func(v version) bool { return v.ModRevision < revision })
	for key, versions := range s.keys {
		first := 0
		for i, v := range versions {
			if v.ModRevision <= revision {
				first = i
			}
		}
		s.keys[key] = slices.Clone(versions[first:])
		if last := versions[len(versions)-1]; last.deleted && last.ModRevision <= revision {
			delete(s.keys, key)
		}
	}
}

// changesSince returns the events of a watch from its start revision up to a
// limit revision (0 means none), and a channel that is closed on the next
// change.
func (s *store) changesSince(create gateway.WatchCreateRequest, limit int64) ([]gateway.Event, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if create.StartRevision < s.compacted {
		return nil, nil, errCompacted
	}
	from := sort.Search(len(s.log), func(i int) bool { return s.log[i].ModRevision >= create.StartRevision })
	var events []gateway.Event
	for _, v := range s.log[from:] {
		if limit > 0 && v.ModRevision > limit {
			break
		}
		if inRange(v.Key, create.Key, create.RangeEnd) {
			events = append(events, event(v))
		}
	}
	return events, s.changed, nil
}

func event(v version) gateway.Event {
	if v.deleted {
		return gateway.Event{Type: gateway.EventDelete, KV: v.KeyValue}
	}
	return gateway.Event{KV: v.KeyValue}
}

// current returns the current revision and the oldest readable one.
func (s *store) current() (revision, compacted int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.compacted
}
