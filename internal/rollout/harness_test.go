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

// harness is a stand-in for the platform inside a synctest bubble, with the
// connections of its clients.
type harness struct {
	server     *standin.Server
	transports []*http.Transport
	// links holds the server end of each client's connections, in memory.
	links []*standin.PipeServer
}

// inBubble runs the test in virtual time against a new harness, whose faults are
// drawn from the seed. The context ends when the test returns.
func inBubble(t *testing.T, seed uint64, test func(t *testing.T, ctx context.Context, r *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &harness{server: standin.New(seed)}
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
	for _, link := range r.links {
		_ = link.Close()
	}
	r.server.Close()
}

// client returns a new client, and the server of its connections, by which the
// client alone can be cut off from the platform.
func (r *harness) client(t *testing.T) (*platform.Client, *standin.PipeServer) {
	t.Helper()
	link := standin.NewPipeServer(r.server)
	calls, watches := link.Transport(), link.Transport()
	r.links = append(r.links, link)
	r.transports = append(r.transports, calls, watches)
	client, err := platform.New(platform.Options{
		Addresses:      []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
		Prefix:         "tg/",
		Clock:          platform.SystemClock{},
		Rand:           rand.New(rand.NewPCG(uint64(len(r.links)), 7)),
		Transport:      calls,
		WatchTransport: watches,
	})
	require.NoError(t, err)
	return client, link
}

func (r *harness) inject(t *testing.T, f standin.Fault) {
	t.Helper()
	require.NoError(t, r.server.Inject(f))
}

// sign returns a bundle in the tests' format, "signed VERSION:TEXT". It stands for
// a signed bundle; verify accepts nothing else.
func sign(version config.Version, text string) []byte {
	return fmt.Appendf(nil, "signed %d:%s", version, text)
}

// verify implements VerifyFunc for bundles made by sign.
func verify(signed []byte) (*config.Bundle, error) {
	var bundle config.Bundle
	head, _, _ := strings.Cut(string(signed), ":")
	_, err := fmt.Sscanf(head, "signed %d", &bundle.Version)
	return &bundle, err
}

func refOf(version config.Version, text string) Ref {
	return Ref{Version: version, Digest: DigestOf(sign(version, text))}
}

// publish proposes a version and accepts it in place of the version before it,
// with the text as the operation's ID.
func publish(t *testing.T, ctx context.Context, store *Store, version config.Version, text string) {
	t.Helper()
	_, err := store.Propose(ctx, sign(version, text), version)
	require.NoError(t, err)
	_, err = store.Accept(ctx, version, version-1, OperationID(text))
	require.NoError(t, err)
}
