package command

import (
	"context"
	"net/netip"
	"time"

	"github.com/urfave/cli/v3"

	"toucangap/internal/bundle"
)

// BundleStore stores signed bundles on the platform.
type BundleStore interface {
	// Propose writes a signed bundle under its version. It is idempotent, and
	// fails with ErrVersionTaken if a different bundle has the version.
	Propose(ctx context.Context, signed []byte, version uint64, operation string) error
	// Accept puts a proposed version in force if the version that it replaces is
	// still in force (0 for none). After a lost response, a retry with the same
	// operation is safe.
	Accept(ctx context.Context, version, replaces uint64, operation string) (AcceptResult, error)
	// Current returns the version in force with its signed form, or version 0 and
	// nil if none is in force.
	Current(ctx context.Context) (version uint64, signed []byte, err error)
	// Proposed returns the signed form of a proposed version.
	Proposed(ctx context.Context, version uint64) (signed []byte, err error)
}

// AcceptResult is the result of Accept.
type AcceptResult struct {
	// Accepted is not set if another version than the replaced one was in force.
	Accepted bool `json:"accepted"`
	// Current is the version in force after the call.
	Current uint64 `json:"current"`
}

// StoreOptions configure the access to the platform.
type StoreOptions struct {
	// Addresses are those of the platform's key-value service.
	Addresses []netip.AddrPort
	// Prefix is the prefix of all keys.
	Prefix  string
	Timeout time.Duration
}

// OpenStore opens the store of bundles on the platform.
type OpenStore func(ctx context.Context, options StoreOptions) (BundleStore, error)

// Store opens the store given by the flags.
func (e *Env) Store(ctx context.Context, cmd *cli.Command) (BundleStore, error) {
	addresses, err := parseAddresses(FlagPlatform, cmd.StringSlice(FlagPlatform))
	if err != nil {
		return nil, err
	}
	return e.OpenStore(ctx, StoreOptions{
		Addresses: addresses,
		Prefix:    cmd.String(FlagPrefix),
		Timeout:   cmd.Duration(FlagTimeout),
	})
}

// parseAddresses parses the addresses given to a flag; at least one is required.
func parseAddresses(flag string, texts []string) ([]netip.AddrPort, error) {
	if len(texts) == 0 {
		return nil, Usagef("--%s is required", flag)
	}
	addresses := make([]netip.AddrPort, len(texts))
	for i, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, Usagef("--%s %q is not an address with port", flag, text)
		}
		addresses[i] = address
	}
	return addresses, nil
}

// CurrentBundle returns the bundle in force, or nil if none is in force.
func CurrentBundle(ctx context.Context, store BundleStore) (*bundle.Signed, error) {
	version, data, err := store.Current(ctx)
	if err != nil || version == 0 {
		return nil, err
	}
	return bundle.DecodeSigned(data)
}
