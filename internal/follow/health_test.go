package follow

import (
	"context"
	"encoding/json"
	"io"
	"net/url"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"

	"toucangap/platform"
)

// TestOutcomeOfCalls guards against a store that answers being reported as silent, and the
// reverse: one is a fault of the store or of this host, the other one of the network.
func TestOutcomeOfCalls(t *testing.T) {
	syntax := json.Unmarshal([]byte("<html>"), new(platform.Page))
	require.Error(t, syntax)
	for _, c := range []struct {
		err  error
		want Outcome
	}{
		{nil, OutcomeSucceeded},
		{merry.Appendf(platform.ErrBusy, "status %d", 503), OutcomeRejected},
		{platform.ErrOutdated, OutcomeOutdated},
		{platform.ErrCompacted, OutcomeOutdated},
		{errRestored, OutcomeOutdated},
		{merry.Prepend(platform.ErrStalled, "call the store"), OutcomeSilent},
		{merry.Prepend(&url.Error{Op: "Get", Err: io.EOF}, "call the store"), OutcomeSilent},
		{context.DeadlineExceeded, OutcomeSilent},
		{merry.Prepend(syntax, "read the store's response"), OutcomeUnreadable},
		{merry.Prepend(io.ErrUnexpectedEOF, "read the store's response"), OutcomeUnreadable},
		{platform.ErrNoRevision, OutcomeUnreadable},
		{merry.Errorf("store responded with status %d", 500), OutcomeUnreadable},
	} {
		require.Equal(t, c.want, outcomeOf(c.err), c.err)
	}
}
