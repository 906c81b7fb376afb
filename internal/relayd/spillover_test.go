package relayd

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"toucangap/internal/adminapi"
	"toucangap/internal/relay"
	"toucangap/internal/spillover"
)

// TestSpilloverIsReported guards against a decision to leave that can't be explained
// afterwards: its figures are missing from the metrics, the dump or the log.
func TestSpilloverIsReported(t *testing.T) {
	s := relay.SpilloverState{Service: "s", State: spillover.State{
		Share: 0.25, Home: 90 * time.Millisecond, Remote: 50 * time.Millisecond, RemoteAge: time.Second, Closed: []string{"e"},
	}}
	s.Left[relay.DepartSpillover] = 7
	registry := metrics.NewRegistry()
	updateSpilloverGauges(registry, []relay.SpilloverState{s})
	value := func(name string) int64 { return registry.Get("spillover_" + name + "_s").(metrics.Gauge).Value() }
	require.Equal(t, int64(250), value("share_permille"))
	require.Equal(t, int64(90_000), value("home_answer_microseconds"))
	require.Equal(t, int64(1000), value("remote_age_milliseconds"))
	require.Equal(t, int64(7), value("flows_left_spillover"))

	dump := adminapi.Dump{Services: []adminapi.ServiceDump{{Name: "s"}}}
	dumpSpillover(&dump, []relay.SpilloverState{s})
	require.Equal(t, int64(7), dump.Services[0].Spillover.Left["spillover"])

	var log bytes.Buffer
	o := newObserver(slog.New(slog.NewTextHandler(&log, nil)), nil, registry)
	o.spilloverChanged(time.Second, s)
	require.Contains(t, log.String(), "event=8021 service=s share=0.25 home=90ms remote=50ms")
	s.Share = 0
	o.spilloverChanged(time.Second, s)
	require.Contains(t, log.String(), "event=8022")
}
