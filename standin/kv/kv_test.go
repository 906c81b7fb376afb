package kv

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// get returns the decoded body and the stated incarnation of a response.
func get(t *testing.T, s *Store, call string) (body map[string]any, incarnation string, err error) {
	return getWithin(t, s, call, 0)
}

// getWithin is get with a time limit, 0 for none.
func getWithin(t *testing.T, s *Store, call string, limit time.Duration) (body map[string]any, incarnation string, err error) {
	server := httptest.NewServer(s)
	defer server.Close()
	client := http.Client{Timeout: limit}
	response, err := client.Get(server.URL + "/toucangap/" + call)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err == nil {
		require.NoError(t, json.Unmarshal(text, &body))
	}
	return body, response.Header.Get("Store-Era"), err
}

// TestTextGoesOutAsItIs: a value of another writer that is encoded like all others would never
// test what hosts do with one that is not.
func TestTextGoesOutAsItIs(t *testing.T) {
	s := New()
	require.True(t, s.Put("servers/a", []byte("a"), 0))
	require.True(t, s.PutText("servers/b", "no base64!"))
	for _, call := range []string{"kv-range?Prefix=servers/", "kv-watch?Prefix=&after=1&WaitMs=1"} {
		body, _, err := get(t, s, call)
		require.NoError(t, err)
		items, ok := body["items"].([]any)
		if !ok {
			items = body["events"].([]any)
		}
		require.Len(t, items, 2)
		require.Equal(t, base64.StdEncoding.EncodeToString([]byte("a")), items[0].(map[string]any)["Value"])
		require.Equal(t, "no base64!", items[1].(map[string]any)["Value"])
		require.EqualValues(t, 3, body["CurrentRev"])
	}
}

// TestFaultsOfReads: a fault that leaves responses whole would suspend checks for nothing.
func TestFaultsOfReads(t *testing.T) {
	s := New()
	require.True(t, s.Put("servers/a", []byte("a"), 0))
	s.SetFaults(Faults{CutReads: 100})
	_, _, err := get(t, s, "kv-range?Prefix=")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF) // only the body is cut
	s.SetFaults(Faults{Deaf: true})
	_, _, err = getWithin(t, s, "kv-watch?Prefix=&after=1&WaitMs=1", 300*time.Millisecond)
	require.ErrorContains(t, err, "Timeout")
	_, incarnation, err := get(t, s, "kv-range?Prefix=")
	require.NoError(t, err)
	require.Equal(t, "1", incarnation)
}

// TestConditionsOfStore: small pages and a hidden incarnation would not reach hosts.
func TestConditionsOfStore(t *testing.T) {
	s := New()
	s.HideIncarnation()
	s.SetPageSize(2)
	require.True(t, s.PutAll([]string{"a", "b", "c"}, []byte("v")))
	body, incarnation, err := get(t, s, "kv-range?Prefix=")
	require.NoError(t, err)
	require.Empty(t, incarnation)
	require.Len(t, body["items"], 2)
	require.Equal(t, true, body["HasMore"])
}

// TestPagesOfLargeValues: a page without a limit in bytes would show faults of hosts that the
// platform's store can't cause.
func TestPagesOfLargeValues(t *testing.T) {
	s := New()
	require.True(t, s.PutAll([]string{"a", "b", "c"}, make([]byte, pageBytes/2)))
	body, _, err := get(t, s, "kv-range?Prefix=")
	require.NoError(t, err)
	require.Len(t, body["items"], 2)
	require.Equal(t, true, body["HasMore"])
	body, _, err = get(t, s, "kv-range?Prefix=&after=b")
	require.NoError(t, err)
	require.Len(t, body["items"], 1)
	require.Equal(t, false, body["HasMore"])
}
