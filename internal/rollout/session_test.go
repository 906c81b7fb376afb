package rollout

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/config"
)

// TestFollowerSession replays testdata/follower.session and compares the
// follower's decision after each line with testdata/follower.golden. Empty lines
// and those that begin with # are only copied. The others are:
//
//	offer SOURCE VERSION TEXT    RecordOffer
//	receive SOURCE VERSION TEXT  HandleBundle
//	forge SOURCE                 HandleBundle with bytes that fail verification
//	fail SOURCE                  RecordFetchFailure
//	lose SOURCE                  RemoveSource
//	expect SOURCE                Expect
//	wait MILLISECONDS            advances the time
//	restart                      starts over with a new follower
//
// The source "platform" stands for SourcePlatform. Set UPDATE_GOLDEN=1 to rewrite
// the golden file.
func TestFollowerSession(t *testing.T) {
	script, err := os.ReadFile("testdata/follower.session")
	require.NoError(t, err)
	var out strings.Builder
	f, now := newTestFollower(), epoch
	for line := range strings.Lines(string(script)) {
		line = strings.TrimSpace(line)
		fmt.Fprintln(&out, line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		f, now = replay(f, now, line, &out)
		fmt.Fprintf(&out, "    %s\n", describe(f.Decide(now)))
	}
	const golden = "testdata/follower.golden"
	if os.Getenv("UPDATE_GOLDEN") != "" {
		require.NoError(t, os.WriteFile(golden, []byte(out.String()), 0o644))
	}
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	require.Equal(t, string(want), out.String())
}

// replay runs one line of a session and returns the follower and the time after
// it.
func replay(f *Follower, now time.Time, line string, out *strings.Builder) (*Follower, time.Time) {
	var verb, name, text string
	var version config.Version
	_, _ = fmt.Sscan(line, &verb, &name, &version, &text)
	source := Source(name)
	if name == "platform" {
		source = SourcePlatform
	}
	var err error
	switch verb {
	case "offer":
		f.RecordOffer(source, "gavle", refOf(version, text))
	case "receive":
		err = f.HandleBundle(now, source, sign(version, text))
	case "forge":
		err = f.HandleBundle(now, source, []byte("forged"))
	case "fail":
		f.RecordFetchFailure(now, source)
	case "lose":
		f.RemoveSource(source)
	case "expect":
		f.Expect(now, []Source{source})
	case "wait":
		wait, _ := time.ParseDuration(name + "ms")
		now = now.Add(wait)
	case "restart":
		f = newTestFollower()
	}
	if err != nil {
		fmt.Fprintln(out, "    refused")
	}
	return f, now
}

func describe(d Decision) string {
	names := []string{"nothing to do", "fetch from the platform", "fetch from ", "put in force", "no source"}
	text := names[d.Action] + string(d.Peer)
	if d.Ref.Version == 0 {
		return text
	}
	return fmt.Sprintf("%s: version %d, digest %.8s", text, d.Ref.Version, d.Ref.Digest)
}
