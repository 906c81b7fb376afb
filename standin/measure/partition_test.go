package measure

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucangap/standin/lab"
)

// TestPartitionDomainRunsOnce isolates a single host at 600 flows. A flow opens
// just before the partition is detected, and the isolated host is to hold its
// record.
func TestPartitionDomainRunsOnce(t *testing.T) {
	t.Parallel()
	for _, sc := range faultScenarios() {
		if sc.Name == "cut-domain" {
			f := runScenario(Size{Site: lab.Fastighetsrond, Flows: 600}, 3, sc, newProductPolicy())
			require.Zero(t, f.Violations)
		}
	}
}
