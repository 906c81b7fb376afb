package engine

import (
	"crypto/tls"

	"toucangap/internal/admin"
	"toucangap/internal/keys"
	"toucangap/internal/settings"
	"toucangap/internal/tlsconf"
)

// openAdmin binds the listener of the operators' interface.
func (e *Engine) openAdmin() error {
	server, err := tlsconf.Server(e.settings.TLS, keys.RoleOperator, keys.RoleHost)
	if err != nil {
		return err
	}
	s, err := admin.New(admin.Options{
		Address:  e.settings.Listen.Admin,
		TLS:      server,
		Queries:  e,
		Commands: e,
		Registry: e.registry,
		Logger:   e.logger,
	})
	if err != nil {
		return err
	}
	e.background = append(e.background, s.Run)
	return nil
}

// peerTLS returns the TLS configurations for accepting and for opening peer links,
// both nil if the settings contain no keys.
func peerTLS(t settings.TLS) (server, client *tls.Config, err error) {
	if server, err = tlsconf.Server(t, keys.RoleHost); err != nil {
		return nil, nil, err
	}
	client, err = tlsconf.Client(t)
	return server, client, err
}
