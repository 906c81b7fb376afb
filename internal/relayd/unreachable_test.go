package relayd

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"toucangap/internal/relay"
)

// TestUnreachableDomainIsReported guards against resets that can't be explained afterwards.
func TestUnreachableDomainIsReported(t *testing.T) {
	var log bytes.Buffer
	o := newObserver(slog.New(slog.NewTextHandler(&log, nil)), nil, metrics.NewRegistry())
	o.domainChanged(time.Second, relay.DomainState{Domain: "p", Unreachable: true, Since: 600 * time.Millisecond, Endpoints: 4, Reset: 9})
	o.domainChanged(time.Second, relay.DomainState{Domain: "p"})
	require.Contains(t, log.String(), "event=8023 domain=p since=600ms endpoints=4 reset=9")
	require.Contains(t, log.String(), "event=8024 domain=p")
}
