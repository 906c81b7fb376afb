package root

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"

	"toucangap/internal/adminapi"
	"toucangap/internal/command"
)

// memoryStore is an in-memory BundleStore.
type memoryStore struct {
	proposed map[uint64][]byte
	current  uint64
	// operations maps each operation to the version that it accepted.
	operations map[string]uint64
}

func newMemoryStore() *memoryStore {
	return &memoryStore{proposed: make(map[uint64][]byte), operations: make(map[string]uint64)}
}

func (s *memoryStore) Propose(_ context.Context, signed []byte, version uint64, _ string) error {
	held, taken := s.proposed[version]
	if taken && !bytes.Equal(held, signed) {
		return merry.Wrap(command.ErrVersionTaken)
	}
	s.proposed[version] = signed
	return nil
}

func (s *memoryStore) Accept(_ context.Context, version, replaces uint64, operation string) (command.AcceptResult, error) {
	isRepeat := s.operations[operation] == version
	if !isRepeat && s.current != replaces {
		return command.AcceptResult{Current: s.current}, nil
	}
	s.current = version
	s.operations[operation] = version
	return command.AcceptResult{Accepted: true, Current: version}, nil
}

func (s *memoryStore) Current(context.Context) (uint64, []byte, error) {
	return s.current, s.proposed[s.current], nil
}

func (s *memoryStore) Proposed(_ context.Context, version uint64) ([]byte, error) {
	data, ok := s.proposed[version]
	if !ok {
		return nil, merry.Errorf("version %d was not proposed", version)
	}
	return data, nil
}

// session runs command lines in its own directory.
type session struct {
	t     *testing.T
	dir   string
	store *memoryStore
	// operations counts the identifiers given out.
	operations int
}

func newSession(t *testing.T) *session {
	return &session{t: t, dir: t.TempDir(), store: newMemoryStore()}
}

// path returns the path of a file in the session's directory.
func (s *session) path(name string) string {
	return filepath.Join(s.dir, name)
}

// write writes a file of the session's directory and returns its path.
func (s *session) write(name, text string) string {
	require.NoError(s.t, os.WriteFile(s.path(name), []byte(text), 0o600))
	return s.path(name)
}

// run runs a command line and returns the exit code, stdout and stderr.
func (s *session) run(arguments ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	env := &command.Env{
		Out: &out,
		Err: &errOut,
		OpenStore: func(context.Context, command.StoreOptions) (command.BundleStore, error) {
			return s.store, nil
		},
		Now: time.Now,
		NewOperation: func() string {
			s.operations++
			return fmt.Sprintf("operation-%d", s.operations)
		},
	}
	code := Run(s.t.Context(), env, append([]string{"toucangap", "--platform", "127.0.0.1:1"}, arguments...))
	return code, out.String(), errOut.String()
}

// mustRun runs a command line, which must succeed, and returns its output.
func (s *session) mustRun(arguments ...string) string {
	code, out, errOut := s.run(arguments...)
	require.Equal(s.t, command.ExitOK, code, "%v\n%s%s", arguments, out, errOut)
	return out
}

// host is a fake admin interface that records the requests.
type host struct {
	*httptest.Server
	requests []string
}

// newHost serves the responses by path; other paths fail with 404.
func newHost(t *testing.T, responses map[string]any) *host {
	h := &host{}
	h.Server = httptest.NewServer(h.handler(responses))
	t.Cleanup(h.Close)
	return h
}

func (h *host) handler(responses map[string]any) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body bytes.Buffer
		_, _ = body.ReadFrom(r.Body)
		h.requests = append(h.requests, strings.TrimSpace(r.Method+" "+r.URL.String()+" "+body.String()))
		response, ok := responses[r.URL.Path]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			response = adminapi.Failure{Error: "no such service"}
		}
		_ = json.NewEncoder(w).Encode(response)
	})
}

func (h *host) address() string {
	return h.Listener.Addr().String()
}

// golden compares the text with a file, which UPDATE_GOLDEN=1 rewrites.
func golden(t *testing.T, name, got string) {
	file := filepath.Join("testdata", name+".golden")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}
