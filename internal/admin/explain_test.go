package admin

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"

	"toucangap/internal/adminapi"
)

// explainer answers explain queries and records them.
type explainer struct {
	Queries
	err     error
	queries []ExplainQuery
}

func (e *explainer) Explain(_ context.Context, q ExplainQuery) (adminapi.ExplainResponse, error) {
	e.queries = append(e.queries, q)
	return adminapi.ExplainResponse{Outcome: "placed"}, e.err
}

// TestExplainQuery guards against malformed queries that reach the traffic goroutine,
// limits without a bound, and hosts whose answer does not tell that they lack the query.
func TestExplainQuery(t *testing.T) {
	e := &explainer{}
	s := &Server{options: Options{Queries: e, Logger: slog.New(slog.DiscardHandler)}}
	handler := s.routes()
	get := func(query string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, adminapi.PathExplain+query, nil))
		return w
	}
	for _, query := range []string{
		"", "?caller=192.0.2.1:9", "?service=web", "?caller=192.0.2.1&service=web", "?caller=192.0.2.1:9&service=web&limit=-1",
		"?caller=192.0.2.1:9&service=web&limit=x",
	} {
		require.Equal(t, http.StatusBadRequest, get(query).Code, query)
	}
	require.Empty(t, e.queries)

	caller := netip.MustParseAddrPort("192.0.2.1:9")
	for limit, want := range map[string]int{"": defaultCandidateLimit, "&limit=0": 0, "&limit=7": 7, "&limit=1000000": maxCandidateLimit} {
		e.queries = nil
		w := get("?caller=192.0.2.1:9&service=web" + limit)
		require.Equal(t, http.StatusOK, w.Code)
		require.Contains(t, w.Body.String(), `"outcome":"placed"`)
		require.Equal(t, []ExplainQuery{{Caller: caller, Service: "web", Limit: want}}, e.queries)
	}

	e.err = merry.Wrap(ErrUnsupported)
	w := get("?caller=192.0.2.1:9&service=web")
	require.Equal(t, http.StatusNotImplemented, w.Code)
	require.Contains(t, w.Body.String(), ErrUnsupported.Error())
	e.err = merry.New("other")
	require.Equal(t, http.StatusConflict, get("?caller=192.0.2.1:9&service=web").Code)
}
