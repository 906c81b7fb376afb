package platform

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/platform/gateway"
)

// pageSize is the maximum number of keys that one call of List or ListKeys
// returns.
const pageSize = 1000

// Entry is one key as stored on the platform.
type Entry struct {
	// Key does not include the client's prefix.
	Key   string
	Value []byte
	// CreateRevision is the store's revision when the key was created.
	CreateRevision int64
	// ModRevision is the store's revision of the last write to the key. It is
	// the fencing token of a key held under a lease.
	ModRevision int64
	// Lease that the key is attached to; 0 means none.
	Lease LeaseID
}

// Listing is the result of List and ListKeys.
type Listing struct {
	Entries []Entry
	// Revision is the store's revision of the listing.
	Revision int64
}

// Get reads one key. It fails with ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	request := gateway.RangeRequest{Key: c.fullKey(key)}
	var response gateway.RangeResponse
	if err := c.call(ctx, gateway.PathRange, request, &response, idempotent); err != nil {
		return Entry{}, merry.Prependf(err, "get %q", key)
	}
	if len(response.KVs) == 0 {
		return Entry{}, merry.Prependf(ErrNotFound, "get %q", key)
	}
	return c.entry(response.KVs[0]), nil
}

// nonexistentRevision is a revision that no key has.
const nonexistentRevision = -1

// GetLatest reads one key through a transaction, which the platform orders
// with all writes, so that no replica can return a stale entry. It costs as
// much as a write. It fails with ErrNotFound if there is no such key.
func (c *Client) GetLatest(ctx context.Context, key string) (Entry, error) {
	request := c.txn(Swap{Key: key, ModRevision: nonexistentRevision})
	var response gateway.TxnResponse
	if err := c.call(ctx, gateway.PathTxn, request, &response, idempotent); err != nil {
		return Entry{}, merry.Prependf(err, "get latest %q", key)
	}
	entry := c.failureEntry(response)
	if entry == nil {
		return Entry{}, merry.Prependf(ErrNotFound, "get latest %q", key)
	}
	return *entry, nil
}

// List reads all keys that start with the prefix, in order, as they were at one
// revision. It takes one call per 1000 keys.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	key := c.fullKey(prefix)
	request := gateway.RangeRequest{Key: key, RangeEnd: prefixEnd(key)}
	listing, err := c.list(ctx, request)
	return listing, merry.Prependf(err, "list %q", prefix)
}

// ListKeys is List without the values.
func (c *Client) ListKeys(ctx context.Context, prefix string) (Listing, error) {
	key := c.fullKey(prefix)
	request := gateway.RangeRequest{Key: key, RangeEnd: prefixEnd(key), KeysOnly: true}
	listing, err := c.list(ctx, request)
	return listing, merry.Prependf(err, "list keys %q", prefix)
}

// list reads a range page by page at the revision of the first page. Pages are bounded by
// their number of keys, so that one of large values is asked for again with fewer keys.
func (c *Client) list(ctx context.Context, request gateway.RangeRequest) (Listing, error) {
	request.Limit = pageSize
	var listing Listing
	for {
		var page rangePage
		err := c.call(ctx, gateway.PathRange, request, &page, idempotent)
		if errors.Is(err, errTooLarge) && request.Limit > 1 {
			request.Limit = max(1, request.Limit/4)
			continue
		}
		if err != nil {
			return Listing{}, err
		}
		if listing.Revision == 0 {
			listing.Revision = page.Header.Revision
		}
		for _, kv := range page.KVs {
			listing.Entries = append(listing.Entries, c.entry(kv))
		}
		if !page.More {
			return listing, nil
		}
		if len(page.KVs) == 0 {
			return Listing{}, merry.Prepend(ErrUnreachable, "page without a readable key is not the last")
		}
		request.Revision = listing.Revision
		request.Key = append(page.KVs[len(page.KVs)-1].Key, 0)
	}
}

// rangePage is a page of a range, decoded key by key.
type rangePage struct {
	gateway.RangeResponse
	KVs keyValues `json:"kvs"`
}

// keyValues are the keys of a page. One that can't be decoded must not hide the others: it
// lacks what can't be read, and is left out if that is its name.
type keyValues []gateway.KeyValue

// UnmarshalJSON implements json.Unmarshaler.
func (k *keyValues) UnmarshalJSON(data []byte) error {
	var elements []json.RawMessage
	if err := json.Unmarshal(data, &elements); err != nil {
		return err
	}
	for _, element := range elements {
		var kv gateway.KeyValue
		if err := json.Unmarshal(element, &kv); err != nil {
			kv.Value = nil
		}
		if len(kv.Key) > 0 {
			*k = append(*k, kv)
		}
	}
	return nil
}

// Guard makes a write conditional on a key that the writer holds, usually under
// a lease, being unchanged since the writer last wrote it.
type Guard struct {
	Key string
	// ModRevision is the fencing token: the revision of the holder's last write
	// to the key. 0 means that the key must not exist.
	ModRevision int64
}

// Swap is a write that takes effect only if the key has the expected revision.
type Swap struct {
	Key   string
	Value []byte
	// Delete removes the key instead of writing Value.
	Delete bool
	// ModRevision is the expected revision; 0 means that the key must not exist.
	ModRevision int64
	// Lease to attach the key to; 0 means none.
	Lease LeaseID
	// Guards must hold as well.
	Guards []Guard
}

// CompareAndSwap writes the value and returns the store's revision of the
// write. It fails with a *ConflictError (ErrConflict) that carries the current
// entry, with ErrFenced if only a guard failed, with ErrOutcomeUnknown if there
// was no usable response, and with ErrUnreachable, ErrBudgetExhausted or
// ErrRejected if nothing was written. Retrying the same Swap is safe: a swap that took effect has changed the revision, so the
// retry returns its own value in a ConflictError.
func (c *Client) CompareAndSwap(ctx context.Context, swap Swap) (int64, error) {
	var response gateway.TxnResponse
	err := c.call(ctx, gateway.PathTxn, c.txn(swap), &response, onlyIfNeverSent)
	if err != nil {
		return 0, merry.Prependf(err, "swap %q", swap.Key)
	}
	if response.Succeeded {
		return response.Header.Revision, nil
	}
	return 0, merry.Prependf(c.swapFailure(swap, response), "swap %q", swap.Key)
}

// txn converts the swap to a transaction that reads the key on failure.
func (c *Client) txn(swap Swap) gateway.TxnRequest {
	key := c.fullKey(swap.Key)
	expected := gateway.Compare{Result: gateway.ResultEqual, Target: gateway.TargetMod, Key: key, ModRevision: swap.ModRevision}
	request := gateway.TxnRequest{
		Compare: []gateway.Compare{expected},
		Success: []gateway.RequestOp{writeOp(key, swap)},
		Failure: []gateway.RequestOp{{Range: &gateway.RangeRequest{Key: key}}},
	}
	for _, guard := range swap.Guards {
		request.Compare = append(request.Compare, gateway.Compare{
			Result:      gateway.ResultEqual,
			Target:      gateway.TargetMod,
			Key:         c.fullKey(guard.Key),
			ModRevision: guard.ModRevision,
		})
	}
	return request
}

func writeOp(key []byte, swap Swap) gateway.RequestOp {
	if swap.Delete {
		return gateway.RequestOp{DeleteRange: &gateway.DeleteRangeRequest{Key: key}}
	}
	return gateway.RequestOp{Put: &gateway.PutRequest{Key: key, Value: swap.Value, Lease: int64(swap.Lease)}}
}

// swapFailure distinguishes a conflict on the key from a failed guard.
func (c *Client) swapFailure(swap Swap, response gateway.TxnResponse) error {
	conflict := &ConflictError{Key: swap.Key, Current: c.failureEntry(response)}
	var revision int64
	if conflict.Current != nil {
		revision = conflict.Current.ModRevision
	}
	if revision == swap.ModRevision {
		return merry.Wrap(ErrFenced)
	}
	return merry.Wrap(conflict)
}

// failureEntry returns the entry read by a transaction whose comparison failed,
// or nil if the key does not exist.
func (c *Client) failureEntry(response gateway.TxnResponse) *Entry {
	if len(response.Responses) == 0 {
		return nil
	}
	read := response.Responses[0].Range
	if read == nil || len(read.KVs) == 0 {
		return nil
	}
	entry := c.entry(read.KVs[0])
	return &entry
}

func (c *Client) fullKey(key string) []byte {
	return []byte(c.options.Prefix + key)
}

func (c *Client) entry(kv gateway.KeyValue) Entry {
	return Entry{
		Key:            strings.TrimPrefix(string(kv.Key), c.options.Prefix),
		Value:          kv.Value,
		CreateRevision: kv.CreateRevision,
		ModRevision:    kv.ModRevision,
		Lease:          LeaseID(kv.Lease),
	}
}

// prefixEnd returns the first key after all keys that start with the prefix.
func prefixEnd(prefix []byte) []byte {
	end := append([]byte(nil), prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	// A range end of one zero byte means all keys from the start key on.
	return []byte{0}
}
