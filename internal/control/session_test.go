package control

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSessions replays each testdata/*.session with hosts of one shard each and
// compares all their decisions with the golden file of the same name. Set
// UPDATE_GOLDEN=1 to rewrite the golden files. The script commands are
//
//	start HOST...                     start processes that know all others
//	kill HOST, dead HOST              end a process; tell the others it is dead
//	leave HOST                        start a graceful shutdown
//	bundle VERSION [rate=N] ENDPOINT  put a bundle in force at all hosts;
//	                                  e1/2 limits e1 to two flows
//	mark HOST SERVICE ENDPOINT REVISION drain|resume
//	flow NAME SERVICE HOSTS ENDPOINTS define a flow by its rendezvous orders
//	syn|data|fin|get|post HOST FLOW [ID [DEADLINE]]
//	answer|finback|shed HOST FLOW [ID [ENDPOINT]]
//	records HOST FROM FLOW ENDPOINT   deliver a record from a peer
//	run DURATION                      tick all hosts every 100 ms
//	settle DURATION                   the same without output
//
// HOSTS and ENDPOINTS are comma-separated names, the highest score first, and may be
// a prefix of the whole order. A packet that one host passes to another arrives at
// once, and messages arrive in the tick that sends them. Leases, loads and repeated
// offers are exchanged but not printed.
func TestSessions(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.session")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".session"), func(t *testing.T) {
			script, err := os.ReadFile(path)
			require.NoError(t, err)
			got := newHarness(t).replay(string(script))
			golden := strings.TrimSuffix(path, "session") + "golden"
			if os.Getenv("UPDATE_GOLDEN") != "" {
				require.NoError(t, os.WriteFile(golden, []byte(got), 0o644))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), got)
		})
	}
}
