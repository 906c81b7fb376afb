package measure

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucangap/standin/lab"
)

// TestPartitionDomainRunsOnce isolates the single host of a domain at 600 flows.
// With this seed a flow opens just before the partition is detected, and the
// isolated host is the one that has to hold its record: no request of the flow
// may run on both sides.
func TestPartitionDomainRunsOnce(t *testing.T) {
	t.Parallel()
	for _, sc := range faultScenarios() {
		if sc.Name == "cut-domain" {
			f := runScenario(Size{Site: lab.Fastighetsrond, Flows: 600}, 3, sc, newProductPolicy())
			require.Zero(t, f.Violations)
		}
	}
}
