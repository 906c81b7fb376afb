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

// TestPlacementsStateTheAgeOfTheState guards against flows placed by an old state that look
// like those placed by a current one.
func TestPlacementsStateTheAgeOfTheState(t *testing.T) {
	var log bytes.Buffer
	age := func() time.Duration { return 47 * time.Second }
	o := newObserver(slog.New(slog.NewTextHandler(&log, nil)), age, metrics.NewRegistry())
	o.Placed(time.Second, relay.Placement{Try: 1})
	o.Placed(time.Second, relay.Placement{Try: 2})
	require.Regexp(t, `event=8000 .* view_age=47s\n`, log.String())
	require.Regexp(t, `event=8001 .* view_age=47s\n`, log.String())
}
