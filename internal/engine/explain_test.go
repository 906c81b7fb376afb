package engine

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucangap/internal/admin"
)

// TestExplainIsUnsupported guards against an empty explanation that looks like an answer:
// hosts without tokens have no relay to ask.
func TestExplainIsUnsupported(t *testing.T) {
	_, err := new(Engine).Explain(t.Context(), admin.ExplainQuery{Service: "web"})
	require.ErrorIs(t, err, admin.ErrUnsupported)
}
