// Package tlsconf builds mutual-TLS configurations for servers and clients from
// the files named in the settings.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"log"
	"log/slog"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/event"
	"toucangap/internal/keys"
	"toucangap/internal/settings"
)

// ErrRoleNotAllowed means that a TLS handshake failed because the peer's valid
// certificate does not have an allowed role.
var ErrRoleNotAllowed = merry.Sentinel("certificate role is not allowed")

// Server returns the configuration of a listener that accepts clients whose
// certificate is issued by the authority and has one of the roles. It is nil if
// no files are set, which means plain text. Server fails if a file cannot be read
// or decoded.
func Server(files settings.TLS, clientRoles ...keys.Role) (*tls.Config, error) {
	config, pool, err := load(files, clientRoles)
	if config == nil || err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = pool
	return config, nil
}

// Client returns the configuration of a client of hosts: it accepts servers
// whose certificate has keys.RoleHost. It is nil if no files are set, which means
// plain text. The dialer has to set ServerName to the host's address or name
// unless its library does so. Client fails if a file cannot be read or decoded.
func Client(files settings.TLS) (*tls.Config, error) {
	config, pool, err := load(files, []keys.Role{keys.RoleHost})
	if config == nil || err != nil {
		return nil, err
	}
	config.RootCAs = pool
	return config, nil
}

// load returns the configuration that servers and clients share, and the pool
// with the certificate authority; both are nil if no files are set. The peer's
// certificate must have one of the roles.
func load(files settings.TLS, roles []keys.Role) (*tls.Config, *x509.CertPool, error) {
	if !files.Enabled() {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, nil, merry.Prepend(err, "load certificate")
	}
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, nil, merry.Prepend(err, "load authority certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, nil, merry.Appendf(keys.ErrPEM, "no certificate in %s", files.Authority)
	}
	config := &tls.Config{
		Certificates:     []tls.Certificate{certificate},
		MinVersion:       tls.VersionTLS13,
		VerifyConnection: requireRole(roles),
	}
	return config, pool, nil
}

// requireRole returns a check that the peer's certificate, which is already
// verified, has one of the roles.
func requireRole(roles []keys.Role) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 || !keys.HasRole(state.PeerCertificates[0], roles...) {
			return merry.Wrap(ErrRoleNotAllowed)
		}
		return nil
	}
}

// RefusedConnectionLog returns an error log for an http.Server that logs each of
// its lines as the event AdminRefused. The server writes such lines mostly for
// refused connections, as after a failed TLS handshake.
func RefusedConnectionLog(logger *slog.Logger) *log.Logger {
	return log.New(refusalWriter{logger}, "", 0)
}

// refusalWriter logs each line of an http.Server's error log as an event.
type refusalWriter struct {
	logger *slog.Logger
}

// Write implements io.Writer. Each call must pass one line.
func (w refusalWriter) Write(line []byte) (int, error) {
	reason := strings.TrimSpace(string(line))
	event.Log(w.logger, event.AdminRefused, slog.String("reason", reason))
	return len(line), nil
}
