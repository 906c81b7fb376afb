package feed

import (
	"context"
	"log/slog"
	"math"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/feed/feedpb"
	"toucangap/internal/follow"
	"toucangap/internal/outlier"
)

func TestReportsKeepTheirFields(t *testing.T) {
	list := []outlier.Report{{Endpoint: 7, Answers: 8, Failed: 2.5}}
	require.Equal(t, list, decodeReports(encodeReports(list)))
	require.Empty(t, encodeReports(nil))
}

// TestImpossibleReportsAreDropped checks that values from a peer that can't be
// counts do not reach the choice of endpoints.
func TestImpossibleReportsAreDropped(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	require.Empty(t, decodeReports([]*feedpb.Sighting{
		{Token: 1, Answers: nan, Failed: 1}, {Token: 1, Answers: 1, Failed: nan},
		{Token: 1, Answers: 1, Failed: 2}, {Token: 1, Answers: 1, Failed: -1},
		{Token: 1}, {Token: 1, Answers: -1, Failed: -1}, {Token: 1, Answers: inf, Failed: inf},
	}))
}

// testExchange is an exchange whose clock stands still.
type testExchange struct{ *outlier.Aggregator }

func (x testExchange) Receive(host string, list []outlier.Report) { x.SetReports(0, host, list) }

func (x testExchange) ReportsFor(host string) []outlier.Report { return x.ReportsOfOthers(0, host) }

// TestOnlyAuthenticatedHostsOfTheDomainExchange checks that both sides receive
// each other's reports at once, and that an unauthenticated host or one of
// another domain neither sends nor receives any.
func TestOnlyAuthenticatedHostsOfTheDomainExchange(t *testing.T) {
	for _, c := range []struct {
		name          string
		domain        string
		authenticated bool
		want          bool
	}{
		{"host of the domain", "here", true, true},
		{"host of another domain", "there", true, false},
		{"unauthenticated host", "here", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, client := testExchange{outlier.NewAggregator()}, testExchange{outlier.NewAggregator()}
				server.SetReports(0, "peer", []outlier.Report{{Endpoint: 1, Answers: 2, Failed: 1}})
				client.SetReports(0, "me", []outlier.Report{{Endpoint: 2, Answers: 4, Failed: 3}})
				source := newSource(0)
				near, far := net.Pipe()
				serving := &Server{
					Domain: "here", Source: source, Exchange: server, BootTime: clockAt(0),
					Logger: slog.New(slog.DiscardHandler), SilenceTimeout: 5 * time.Second,
				}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				var served sync.WaitGroup
				served.Go(func() { serving.serve(ctx, near) })
				updates := 0
				f := Client{
					Host: "me", Domain: c.domain, PingInterval: 10 * time.Millisecond, SilenceTimeout: 5 * time.Second, MaxAge: time.Minute,
					BootTime: clockAt(0), OnConnected: func() {}, Exchange: client,
					OnBatch: func(follow.Batch) {
						if updates++; updates == 5 {
							cancel()
						}
					},
				}
				if c.authenticated {
					f.Secret = source.secret
				}
				require.Error(t, f.run(ctx, far, "peer"))
				served.Wait()
				require.Equal(t, 5, updates)
				require.Equal(t, c.want, len(server.ReportsOfOthers(0, "peer")) > 0, "the server has the report")
				require.Equal(t, c.want, len(client.ReportsOfOthers(0, "me")) > 0, "the client has the report")
				// The client's pings notice the end.
				time.Sleep(time.Minute)
			})
		})
	}
}
