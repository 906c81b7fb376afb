package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// post posts a body and returns the status and the response body.
func post(t *testing.T, server *Server, path, body string) (int, string) {
	t.Helper()
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return recorder.Code, recorder.Body.String()
}

func putBody(key string) string {
	encoded, _ := json.Marshal([]byte(key))
	return fmt.Sprintf(`{"success":[{"request_put":{"key":%s,"value":"eA=="}}]}`, encoded)
}

func TestHistoryIsReadableUntilCompacted(t *testing.T) {
	s := New(1)
	defer s.Close()
	for range 3 {
		post(t, s, "/v3/kv/txn", putBody("a"))
	}
	status, answer := post(t, s, "/v3/kv/range", `{"key":"YQ==","revision":"2"}`)
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `{"header":{"revision":"2"},"kvs":[{"key":"YQ==","create_revision":"2","mod_revision":"2",`+
		`"version":"1","value":"eA=="}],"count":"1"}`, answer)
	require.NoError(t, s.Inject(Fault{Kind: FaultCompact}))
	status, answer = post(t, s, "/v3/kv/range", `{"key":"YQ==","revision":"2"}`)
	require.Equal(t, http.StatusBadRequest, status)
	require.Contains(t, answer, `"code":11`)
	status, _ = post(t, s, "/v3/kv/range", `{"key":"YQ==","revision":"9"}`)
	require.Equal(t, http.StatusBadRequest, status)
}

func TestInjectedFaults(t *testing.T) {
	s := New(1)
	defer s.Close()
	status, _ := post(t, s, PathFault, `{"kind":"boredom"}`)
	require.Equal(t, http.StatusBadRequest, status)
	status, answer := post(t, s, PathFault, `{"kind":"errors","count":1}`)
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `[{"kind":"errors","count":1}]`, answer)
	status, _ = post(t, s, "/v3/kv/range", `{"key":"YQ=="}`)
	require.Equal(t, http.StatusServiceUnavailable, status)
	status, _ = post(t, s, "/v3/kv/range", `{"key":"YQ=="}`)
	require.Equal(t, http.StatusOK, status)

	post(t, s, PathFault, `{"kind":"lost","count":1}`)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { post(t, s, "/v3/kv/txn", putBody("a")) })
	require.Len(t, s.Dump().Keys, 1, "the write took effect")
	post(t, s, PathFault, `{"kind":"past","back":1}`)
	_, answer = post(t, s, "/v3/kv/range", `{"key":"YQ=="}`)
	require.JSONEq(t, `{"header":{"revision":"1"}}`, answer)
	post(t, s, PathFault, `{"kind":"outage"}`)
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { post(t, s, "/v3/kv/range", `{}`) })
	post(t, s, PathFault, `{"kind":"clear"}`)
	_, answer = post(t, s, "/v3/kv/range", `{"key":"YQ=="}`)
	require.Contains(t, answer, `"count":"1"`)
}

func TestExpiredLeaseDeletesItsKeys(t *testing.T) {
	s := New(1)
	defer s.Close()
	_, answer := post(t, s, "/v3/lease/grant", `{"TTL":"60","ID":"77"}`)
	require.JSONEq(t, `{"header":{"revision":"1"},"ID":"77","TTL":"60"}`, answer)
	post(t, s, "/v3/kv/txn", `{"success":[{"request_put":{"key":"YQ==","lease":"77"}}]}`)
	require.Len(t, s.Dump().Keys, 1)
	post(t, s, PathFault, `{"kind":"lapse","lease":77}`)
	require.Empty(t, s.Dump().Keys)
	_, answer = post(t, s, "/v3/lease/keepalive", `{"ID":"77"}`)
	require.JSONEq(t, `{"result":{"header":{"revision":"3"},"ID":"77"}}`, answer)
	status, _ := post(t, s, "/v3/kv/txn", `{"success":[{"request_put":{"key":"YQ==","lease":"77"}}]}`)
	require.Equal(t, http.StatusNotFound, status)
}

func TestDumpIsBounded(t *testing.T) {
	s := New(1)
	defer s.Close()
	for i := range maxDumpKeys + 1 {
		post(t, s, "/v3/kv/txn", putBody(fmt.Sprintf("key-%d", i)))
	}
	dump := s.Dump()
	require.Len(t, dump.Keys, maxDumpKeys)
	require.True(t, dump.Truncated)
}

func TestWatchOverLoopback(t *testing.T) {
	s := New(1)
	defer s.Close()
	server := httptest.NewServer(s)
	defer server.Close()
	body := `{"create_request":{"key":"YQ==","watch_id":"1"}}{"create_request":{"key":"bQ==","range_end":"bg==","watch_id":"2"}}`
	response, err := http.Post(server.URL+"/v3/watch", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	require.True(t, lines.Scan())
	require.JSONEq(t, `{"result":{"header":{"revision":"1"},"watch_id":"1","created":true}}`, lines.Text())
	require.True(t, lines.Scan())
	post(t, s, "/v3/kv/txn", putBody("m/1"))
	require.True(t, lines.Scan())
	require.JSONEq(t, `{"result":{"header":{"revision":"2"},"watch_id":"2","events":[{"kv":{"key":"bS8x",`+
		`"create_revision":"2","mod_revision":"2","version":"1","value":"eA=="}}]}}`, lines.Text())
	require.NoError(t, s.Inject(Fault{Kind: FaultOutage}))
	require.False(t, lines.Scan(), "an outage closes the stream")
}
