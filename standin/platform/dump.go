package platform

import (
	"maps"
	"net/http"
	"sync"

	"toucangap/internal/platform/gateway"
)

// The limits of a dump.
const (
	maxDumpKeys   = 500
	maxDumpLeases = 500
	// maxDumpValue limits the bytes shown of a value.
	maxDumpValue = 256
)

// Dump is a snapshot of the simulated store, truncated to fixed limits.
type Dump struct {
	Revision int64 `json:"revision"`
	// Compacted is the oldest readable revision; 0 means all are readable.
	Compacted int64            `json:"compacted"`
	Keys      []KeyDump        `json:"keys"`
	Leases    []LeaseDump      `json:"leases"`
	Faults    []Fault          `json:"faults"`
	Calls     map[string]int64 `json:"calls"`
	Truncated bool             `json:"truncated"`
}

// KeyDump is a key in a dump.
type KeyDump struct {
	Key            string `json:"key"`
	CreateRevision int64  `json:"create_revision"`
	ModRevision    int64  `json:"mod_revision"`
	Lease          int64  `json:"lease,omitempty"`
	// Bytes is the length of the whole value.
	Bytes int `json:"bytes"`
	// Value is truncated to 256 bytes.
	Value string `json:"value"`
}

// LeaseDump is a lease in a dump.
type LeaseDump struct {
	ID         int64 `json:"id"`
	TTLSeconds int64 `json:"ttl_seconds"`
	// Keys is the number of attached keys.
	Keys int `json:"keys"`
}

// counters counts calls by path.
type counters struct {
	mu    sync.Mutex
	calls map[string]int64
}

func newCounters() *counters {
	return &counters{calls: make(map[string]int64)}
}

func (c *counters) count(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[path]++
}

func (c *counters) snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.calls)
}

// Calls returns the number of calls to the gateway by path since the start,
// including calls affected by faults.
func (s *Server) Calls() map[string]int64 {
	return s.calls.snapshot()
}

// Dump returns the state, truncated to fixed limits.
func (s *Server) Dump() Dump {
	d := Dump{Faults: s.faults.list(), Calls: s.Calls()}
	d.Revision, d.Compacted = s.store.current()
	all := gateway.RangeRequest{Key: []byte{0}, RangeEnd: []byte{0}, Limit: maxDumpKeys}
	answer, err := s.store.rangeAt(all)
	if err == nil {
		d.Truncated = answer.More
		for _, kv := range answer.KVs {
			d.Keys = append(d.Keys, dumpKey(kv))
		}
	}
	s.dumpLeases(&d)
	return d
}

func dumpKey(kv gateway.KeyValue) KeyDump {
	return KeyDump{
		Key:            string(kv.Key),
		CreateRevision: kv.CreateRevision,
		ModRevision:    kv.ModRevision,
		Lease:          kv.Lease,
		Bytes:          len(kv.Value),
		Value:          string(kv.Value[:min(len(kv.Value), maxDumpValue)]),
	}
}

func (s *Server) dumpLeases(d *Dump) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for _, l := range s.store.leases {
		if len(d.Leases) == maxDumpLeases {
			d.Truncated = true
			return
		}
		d.Leases = append(d.Leases, LeaseDump{ID: l.id, TTLSeconds: int64(l.ttl.Seconds()), Keys: len(l.keys)})
	}
}

func (s *Server) handleDump(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, s.Dump(), nil)
}
