package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"toucangap/internal/config"
	"toucangap/internal/platform"
	standin "toucangap/standin/platform"
)

// harness is a stand-in for the platform inside a synctest bubble.
type harness struct {
	service    *standin.Server
	transports []*http.Transport
	locals     []*standin.PipeServer
}

// inBubble runs the test in virtual time.
func inBubble(t *testing.T, seed uint64, test func(t *testing.T, ctx context.Context, r *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &harness{service: standin.New(seed)}
		ctx, cancel := context.WithCancel(context.Background())
		defer r.close()
		defer cancel()
		test(t, ctx, r)
	})
}

// close ends every goroutine of the harness, so that the bubble can end.
func (r *harness) close() {
	synctest.Wait()
	for _, transport := range r.transports {
		transport.CloseIdleConnections()
	}
	for _, local := range r.locals {
		_ = local.Close()
	}
	r.service.Close()
}

// client returns a new client with a link of its own that can be cut.
func (r *harness) client(t *testing.T) (*platform.Client, *standin.PipeServer) {
	t.Helper()
	local := standin.NewPipeServer(r.service)
	calls, watches := local.Transport(), local.Transport()
	r.locals = append(r.locals, local)
	r.transports = append(r.transports, calls, watches)
	client, err := platform.New(platform.Options{
		Addresses:      []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
		Prefix:         "tg/",
		Clock:          platform.SystemClock{},
		Rand:           rand.New(rand.NewPCG(uint64(len(r.locals)), 7)),
		Transport:      calls,
		WatchTransport: watches,
	})
	require.NoError(t, err)
	return client, local
}

func (r *harness) inject(t *testing.T, f standin.Fault) {
	t.Helper()
	require.NoError(t, r.service.Inject(f))
}

// sign returns a bundle in the test's format: the version, a colon and a text.
func sign(version config.Version, text string) []byte {
	return fmt.Appendf(nil, "signed %d:%s", version, text)
}

// verify decodes the test's format and rejects everything else.
func verify(signed []byte) (*config.Bundle, error) {
	var bundle config.Bundle
	head, _, _ := strings.Cut(string(signed), ":")
	_, err := fmt.Sscanf(head, "signed %d", &bundle.Version)
	return &bundle, err
}

func refOf(version config.Version, text string) Ref {
	return Ref{Version: version, Digest: DigestOf(sign(version, text))}
}

// publish proposes and accepts a version.
func publish(t *testing.T, ctx context.Context, store *Store, version config.Version, text string) {
	t.Helper()
	_, err := store.Propose(ctx, sign(version, text), version)
	require.NoError(t, err)
	_, err = store.Accept(ctx, version, version-1, OperationID(text))
	require.NoError(t, err)
}
