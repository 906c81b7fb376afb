package platform_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/platform"
	"toucangap/internal/platform/gateway"
	standin "toucangap/standin/platform"
)

// alteredMessages passes the messages of a response through a function.
type alteredMessages struct {
	http.ResponseWriter
	alter func([]byte) []byte
}

// Write implements io.Writer.
func (a alteredMessages) Write(b []byte) (int, error) {
	_, err := a.ResponseWriter.Write(a.alter(b))
	return len(b), err
}

// Unwrap makes the response's other methods available to http.ResponseController.
func (a alteredMessages) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// Flush implements http.Flusher.
func (a alteredMessages) Flush() { a.ResponseWriter.(http.Flusher).Flush() }

// TestUnreadableMessagesStopNoWatch: a session that ended by a message that can't be read,
// or does not arrive whole, was opened again at the same message for ever.
func TestUnreadableMessagesStopNoWatch(t *testing.T) {
	events := []byte(`"events":[`)
	replaced := func(by string) func(http.ResponseWriter, []byte) []byte {
		return func(_ http.ResponseWriter, b []byte) []byte { return bytes.Replace(b, events, []byte(by), 1) }
	}
	half := func(w http.ResponseWriter, b []byte) bool {
		i := bytes.Index(b, events)
		if i >= 0 {
			_, _ = w.Write(b[:i])
			w.(http.Flusher).Flush()
		}
		return i >= 0
	}
	for name, alter := range map[string]func(http.ResponseWriter, []byte) []byte{
		"another type":   replaced(`"events":[7,`),
		"no JSON":        replaced(`"events":[}`),
		"no base64":      replaced(`"events":[{"kv":{"key":"?"}},`),
		"no number":      replaced(`"events":[{"kv":{"key":"YQ==","mod_revision":"x"}},`),
		"not a revision": replaced(`"events":[{"kv":{"key":"YQ==","mod_revision":7}},`),
		"cut off": func(w http.ResponseWriter, b []byte) []byte {
			if half(w, b) {
				panic(http.ErrAbortHandler)
			}
			return b
		},
		"not continued": func(w http.ResponseWriter, b []byte) []byte {
			if half(w, b) {
				return nil
			}
			return b
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, nil, func(t *testing.T, ctx context.Context, h *harness) {
				server := standin.NewPipeServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == gateway.PathWatch {
						whole := w
						w = alteredMessages{whole, func(b []byte) []byte { return alter(whole, b) }}
					}
					h.service.ServeHTTP(w, r)
				}))
				defer func() { _ = server.Close() }()
				transport := server.Transport()
				watches := server.Transport()
				defer func() {
					transport.CloseIdleConnections()
					watches.CloseIdleConnections()
				}()
				client, err := platform.New(platform.Options{
					Addresses:      []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
					Prefix:         "tg/",
					Clock:          platform.SystemClock{},
					Rand:           rand.New(rand.NewPCG(7, 7)),
					Transport:      transport,
					WatchTransport: watches,
				})
				require.NoError(t, err)
				watchCtx, cancel := context.WithCancel(ctx)
				defer cancel()
				changes := client.Watch(watchCtx, platform.KeyRange("accepted"), platform.PrefixRange("marks/"))
				await(t, changes)
				await(t, changes)
				for i := range 4 {
					put(t, ctx, h, "accepted", strconv.Itoa(i))
					written := time.Now()
					for seen := ""; seen != strconv.Itoa(i); {
						if change := await(t, changes); change.Range == 0 && len(change.Entries) > 0 {
							seen = string(change.Entries[0].Value)
						}
					}
					require.Less(t, time.Since(written), 10*time.Second)
				}
				cancel()
				for range changes {
				}
			})
		})
	}
}

// TestLargeValuesAreListed: a page of some large values exceeds what is read of a response,
// and was asked for again with as many.
func TestLargeValuesAreListed(t *testing.T) {
	runInVirtualTime(t, nil, func(t *testing.T, ctx context.Context, h *harness) {
		value := bytes.Repeat([]byte{0xff}, 1<<20)
		for i := range 5 {
			_, err := h.CompareAndSwap(ctx, platform.Swap{Key: fmt.Sprintf("marks/%d", i), Value: value})
			require.NoError(t, err)
		}
		listing, err := h.List(ctx, "marks/")
		require.NoError(t, err)
		require.Len(t, listing.Entries, 5)
		changes := h.Watch(ctx, platform.PrefixRange("marks/"))
		require.Len(t, await(t, changes).Entries, 5)
	})
}

// TestUnreadableValueHidesNoOtherKey: a listing in which one value can't be read was read
// again for ever, and no other key was known.
func TestUnreadableValueHidesNoOtherKey(t *testing.T) {
	for name, by := range map[string]string{
		"no base64":    `"value":"?"`,
		"another type": `"value":{"a":[1]}`,
		"no number":    `"version":"x"`,
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, nil, func(t *testing.T, ctx context.Context, h *harness) {
				server := standin.NewPipeServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					altered := alteredMessages{w, func(b []byte) []byte {
						return bytes.Replace(b, []byte(`"value":"////"`), []byte(by), 1)
					}}
					h.service.ServeHTTP(altered, r)
				}))
				defer func() { _ = server.Close() }()
				transport := server.Transport()
				defer transport.CloseIdleConnections()
				client, err := platform.New(platform.Options{
					Addresses: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
					Prefix:    "tg/",
					Clock:     platform.SystemClock{},
					Rand:      rand.New(rand.NewPCG(7, 7)),
					Transport: transport,
				})
				require.NoError(t, err)
				put(t, ctx, h, "marks/1", "\xff\xff\xff")
				put(t, ctx, h, "marks/2", "a")
				listing, err := client.List(ctx, "marks/")
				require.NoError(t, err)
				require.Len(t, listing.Entries, 2)
				require.Empty(t, listing.Entries[0].Value)
				require.Equal(t, "a", string(listing.Entries[1].Value))
			})
		})
	}
}
