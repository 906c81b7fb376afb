package tlsconf

import (
	"bytes"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/keys"
	"toucangap/internal/settings"
)

// authority is a test certificate authority with a directory for its files.
type authority struct {
	*keys.Authority
	directory string
}

func newAuthority(t *testing.T) authority {
	now := time.Now()
	created, err := keys.NewAuthority("test authority", now, now.Add(time.Hour))
	require.NoError(t, err)
	pair, err := created.PEM()
	require.NoError(t, err)
	loaded, err := keys.LoadAuthority(pair)
	require.NoError(t, err)
	a := authority{loaded, t.TempDir()}
	a.write(t, "authority", pair)
	return a
}

func (a authority) write(t *testing.T, name string, pair keys.Pair) {
	require.NoError(t, os.WriteFile(a.path(name+".pem"), pair.Certificate, 0o600))
	require.NoError(t, os.WriteFile(a.path(name+".key"), pair.Key, 0o600))
}

func (a authority) path(file string) string {
	return filepath.Join(a.directory, file)
}

// issue writes a new certificate and returns the settings for it.
func (a authority) issue(t *testing.T, name string, role keys.Role, until time.Time) settings.TLS {
	pair, err := a.Issue(keys.CertificateRequest{
		Name:      name,
		Role:      role,
		Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")},
		From:      until.Add(-time.Hour),
		Until:     until,
	})
	require.NoError(t, err)
	a.write(t, name, pair)
	return settings.TLS{
		Authority:   a.path("authority.pem"),
		Certificate: a.path(name + ".pem"),
		Key:         a.path(name + ".key"),
	}
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

// serve starts a server that accepts operators and returns its address and log.
func serve(t *testing.T, files settings.TLS) (string, *syncBuffer) {
	config, err := Server(files, keys.RoleOperator)
	require.NoError(t, err)
	logged := &syncBuffer{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "hello")
	}))
	server.TLS = config
	server.Config.ErrorLog = RefusedConnectionLog(slog.New(slog.NewTextHandler(logged, nil)))
	server.StartTLS()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), logged
}

// call sends a request to the server with the certificate of the files.
func call(t *testing.T, address string, files settings.TLS) error {
	config, err := Client(files)
	require.NoError(t, err)
	transport := &http.Transport{TLSClientConfig: config}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport}
	response, err := client.Get("https://" + address)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func TestMutualTLS(t *testing.T) {
	future := time.Now().Add(time.Hour)
	past := time.Now().Add(-time.Minute)
	trusted, untrusted := newAuthority(t), newAuthority(t)
	address, logged := serve(t, trusted.issue(t, "host", keys.RoleHost, future))

	require.NoError(t, call(t, address, trusted.issue(t, "anna", keys.RoleOperator, future)))
	require.Empty(t, logged.String())

	wrong := untrusted.issue(t, "mallory", keys.RoleOperator, future)
	wrong.Authority = trusted.path("authority.pem")
	refused := map[string]settings.TLS{
		"wrong authority": wrong,
		"expired":         trusted.issue(t, "late", keys.RoleOperator, past),
		"another role":    trusted.issue(t, "peer", keys.RoleHost, future),
	}
	for name, files := range refused {
		require.Error(t, call(t, address, files), name)
	}
	require.Eventually(t, func() bool {
		return bytes.Count([]byte(logged.String()), []byte("event=7000")) == len(refused)
	}, time.Minute, time.Millisecond)

	response, err := http.Get("http://" + address)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusBadRequest, response.StatusCode, "plain text")
}

// TestClientChecksServer checks that a client rejects servers whose certificate
// is invalid or has another role.
func TestClientChecksServer(t *testing.T) {
	future := time.Now().Add(time.Hour)
	past := time.Now().Add(-time.Minute)
	trusted, untrusted := newAuthority(t), newAuthority(t)
	operator := trusted.issue(t, "anna", keys.RoleOperator, future)
	servers := map[string]settings.TLS{
		"wrong authority": untrusted.issue(t, "host", keys.RoleHost, future),
		"expired":         trusted.issue(t, "late", keys.RoleHost, past),
		"another role":    trusted.issue(t, "operator", keys.RoleOperator, future),
	}
	for name, files := range servers {
		address, _ := serve(t, files)
		require.Error(t, call(t, address, operator), name)
	}
}

// TestPlainServer checks that a client with credentials does not fall back to
// plain text.
func TestPlainServer(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	files := newAuthority(t).issue(t, "anna", keys.RoleOperator, time.Now().Add(time.Hour))
	require.Error(t, call(t, server.Listener.Addr().String(), files))
}

// TestPlainPeer checks that a handshake fails if the peer does not use TLS.
func TestPlainPeer(t *testing.T) {
	files := newAuthority(t).issue(t, "host", keys.RoleHost, time.Now().Add(time.Hour))
	config, err := Server(files, keys.RoleHost)
	require.NoError(t, err)
	serverConn, clientConn := net.Pipe()
	go func() {
		_, _ = clientConn.Write([]byte("plain text, long enough for a record header"))
		_ = clientConn.Close()
	}()
	require.Error(t, tls.Server(serverConn, config).Handshake())
}

func TestNoFiles(t *testing.T) {
	config, err := Server(settings.TLS{}, keys.RoleHost)
	require.NoError(t, err)
	require.Nil(t, config)
	_, err = Client(settings.TLS{Certificate: "none.pem"})
	require.Error(t, err)
}
