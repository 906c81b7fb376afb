// Package store implements command.BundleStore on the platform's key-value
// service.
package store

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/bundle"
	"toucangap/internal/command"
	"toucangap/internal/config"
	"toucangap/internal/platform"
	"toucangap/internal/rollout"
)

// Store is a command.BundleStore on the platform.
type Store struct {
	rollout *rollout.Store
}

// Open returns a store on the platform. It implements command.OpenStore.
func Open(_ context.Context, o command.StoreOptions) (command.BundleStore, error) {
	client, err := platform.New(platform.Options{
		Addresses: o.Addresses,
		Prefix:    o.Prefix,
		Timeout:   o.Timeout,
		Clock:     platform.SystemClock{},
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	if err != nil {
		return nil, err
	}
	return &Store{rollout.NewStore(client, decode)}, nil
}

// decode decodes a signed bundle. It does not verify the signatures: the hosts
// do so with the keys in their own settings.
func decode(data []byte) (*config.Bundle, error) {
	signed, err := bundle.DecodeSigned(data)
	if err != nil {
		return nil, err
	}
	return signed.Bundle()
}

// Propose implements command.BundleStore. Proposals are idempotent by their
// content, so the operation is not used.
func (s *Store) Propose(ctx context.Context, signed []byte, version uint64, _ string) error {
	_, err := s.rollout.Propose(ctx, signed, config.Version(version))
	return convertVersionTaken(err)
}

// convertVersionTaken converts rollout.VersionTakenError to
// command.ErrVersionTaken, which has its own exit code. Other errors stay.
func convertVersionTaken(err error) error {
	var taken *rollout.VersionTakenError
	if errors.As(err, &taken) {
		return merry.Prepend(command.ErrVersionTaken, taken.Error())
	}
	return err
}

// Accept implements command.BundleStore.
func (s *Store) Accept(ctx context.Context, version, replaces uint64, operation string) (command.AcceptResult, error) {
	r, err := s.rollout.Accept(ctx, config.Version(version), config.Version(replaces), rollout.OperationID(operation))
	var conflict *rollout.ConflictError
	if errors.As(err, &conflict) {
		return command.AcceptResult{Current: uint64(conflict.Winner.Version)}, nil
	}
	if err != nil {
		return command.AcceptResult{}, err
	}
	current := max(r.Acceptance.Version, r.Superseded)
	return command.AcceptResult{Accepted: true, Current: uint64(current)}, nil
}

// Current implements command.BundleStore.
func (s *Store) Current(ctx context.Context) (uint64, []byte, error) {
	p, err := s.rollout.Current(ctx)
	if errors.Is(err, rollout.ErrNoBundle) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	signed, _, err := s.rollout.Bundle(ctx, p.Version)
	return uint64(p.Version), signed, err
}

// Proposed implements command.BundleStore.
func (s *Store) Proposed(ctx context.Context, version uint64) ([]byte, error) {
	signed, _, err := s.rollout.Bundle(ctx, config.Version(version))
	return signed, err
}
