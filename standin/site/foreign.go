package site

import (
	"bytes"
	"fmt"
	"time"

	"toucangap/standin/kv"
)

// Kinds of entries that another writer leaves below the endpoints' keys.
const (
	// EntriesNested open thousands of arrays, EntriesLarge are of the maximum size and can't
	// be read, EntriesMany exceed a page of a listing.
	EntriesNested = "nested"
	EntriesLarge  = "large"
	EntriesMany   = "many"
	// EntriesTypes have fields of wrong types and out of range, EntriesText are no base64 text.
	EntriesTypes = "types"
	EntriesText  = "text"
)

const (
	// maxEntry is the maximum size of a value in bytes, maxPuts the maximum number of puts in
	// a transaction, on the platform.
	maxEntry = 1 << 20
	maxPuts  = 32
	// manyEntries is the number of entries of the kind EntriesMany.
	manyEntries = 600
	// rewriteInterval is the time between two writes of Rewrite.
	rewriteInterval = 50 * time.Millisecond
)

// malformed are entries with fields of wrong types or out of range.
var malformed = []string{
	`{"Service":7,"Address":["127.3.0.1:1"],"Zone":{},"Slots":"many","State":1,"Sequence":-1,"born":"now"}`,
	`{"Service":"main","Address":"127.3.0.250:99999","Zone":"d0","Slots":1e300,"State":"ready","born":1}`,
	`{"Service":"main","Address":"127.3.0.250:80","Zone":"d0","Slots":-5,"State":"asleep","born":1.5}`,
	`[{"Service":"main"}]`,
	`null`,
}

// WriteEntries writes entries of a kind as another writer does, and returns their keys. It
// does nothing while the store is busy or silent.
func WriteEntries(store *kv.Store, kind string, level int) (keys []string) {
	key := func(i int) string { return fmt.Sprintf("servers/x-%s-%d", kind, i) }
	write := func(n int, value []byte) {
		var together []string
		for i := range n {
			together = append(together, key(i))
		}
		keys = append(keys, together...)
		for len(together) > 0 {
			count := min(len(together), maxPuts)
			store.PutAll(together[:count], value)
			together = together[count:]
		}
	}
	switch kind {
	case EntriesNested:
		write(1+level/25, bytes.Repeat([]byte{'['}, 32<<10<<(level%3)))
	case EntriesLarge:
		write(4+level/25, bytes.Repeat([]byte{0xff}, maxEntry))
	case EntriesMany:
		write(manyEntries, []byte("{}"))
	case EntriesTypes:
		for i, text := range malformed {
			keys = append(keys, key(i))
			store.Put(key(i), []byte(text), 0)
		}
	case EntriesText:
		keys = []string{key(0)}
		store.PutText(key(0), "no base64: \u00e9!")
	}
	return keys
}

// RemoveEntries removes keys that another writer has written.
func RemoveEntries(store *kv.Store, keys []string) {
	for _, key := range keys {
		store.Remove(key)
	}
}

// Rewrite makes another writer write and remove the same key in turn for a span.
func (s *Site) Rewrite(span time.Duration) {
	key := "servers/x-rewritten"
	write := true
	for at := time.Duration(0); at < span; at += rewriteInterval {
		time.AfterFunc(at, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if write {
				s.Store.Put(key, []byte(malformed[0]), 0)
			} else {
				s.Store.Remove(key)
			}
			write = !write
		})
	}
}
