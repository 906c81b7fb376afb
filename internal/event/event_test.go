package event

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCatalogueNumbers checks that numbers are unique and in ascending order.
func TestCatalogueNumbers(t *testing.T) {
	var last ID
	for _, area := range Areas() {
		for _, d := range area.Definitions {
			require.Greater(t, d.ID, last, "event %q", d.Text)
			require.NotEmpty(t, d.Text, "event %d", d.ID)
			require.NotEmpty(t, d.Action, "event %d", d.ID)
			last = d.ID
		}
	}
}

// TestCatalogueDocument checks docs/EVENTS.md against the code. Set
// UPDATE_GOLDEN=1 to regenerate the page.
func TestCatalogueDocument(t *testing.T) {
	const page = "../../docs/EVENTS.md"
	want := Markdown()
	if os.Getenv("UPDATE_GOLDEN") != "" {
		require.NoError(t, os.WriteFile(page, []byte(want), 0o644))
	}
	got, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, want, string(got), "docs/EVENTS.md is out of date; run with UPDATE_GOLDEN=1")
}
