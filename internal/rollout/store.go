package rollout

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/config"
	"toucangap/internal/platform"
)

// Store proposes and accepts bundles on the platform. It is for operators'
// commands. Its calls need a context with a deadline, since a write whose
// response was lost is retried until the context ends.
type Store struct {
	client *platform.Client
	verify VerifyFunc
}

// NewStore returns a store that rejects bundles that fail verification.
func NewStore(client *platform.Client, verify VerifyFunc) *Store {
	return &Store{client: client, verify: verify}
}

// ProposeResult is the result of a proposal.
type ProposeResult struct {
	Ref Ref
	// AlreadyProposed is set if the same bundle had been proposed before.
	AlreadyProposed bool
}

// Propose stores a signed bundle under its version, which no other bundle may
// have. Proposing the same bytes again is not an error. It fails with
// *VersionTakenError if another bundle has the version, and with
// platform.ErrOutcomeUnknown if a response was lost and the context ends before
// the outcome is known.
func (s *Store) Propose(ctx context.Context, signed []byte, version config.Version) (ProposeResult, error) {
	if len(signed) > MaxBundleBytes {
		return ProposeResult{}, merry.Prependf(ErrTooLarge, "%d bytes", len(signed))
	}
	_, ref, err := verifyBundle(s.verify, signed)
	if err != nil {
		return ProposeResult{}, err
	}
	if ref.Version != version {
		return ProposeResult{}, merry.Prependf(ErrWrongBundle, "bundle has version %d, expected %d", ref.Version, version)
	}
	swap := platform.Swap{Key: bundleKey(version), Value: signed}
	_, err = swapUntilKnown(ctx, s.client, swap)
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) || conflict.Current == nil {
		return ProposeResult{Ref: ref}, merry.Prependf(err, "propose version %d", version)
	}
	existing := conflict.Current.Value
	if DigestOf(existing) == ref.Digest {
		return ProposeResult{Ref: ref, AlreadyProposed: true}, nil
	}
	taken := Ref{Version: version, Digest: DigestOf(existing)}
	return ProposeResult{}, merry.Wrap(&VersionTakenError{Ref: taken, Signed: existing})
}

// Bundle reads and verifies the bundle of a version. It fails with
// ErrNotProposed if there is none.
func (s *Store) Bundle(ctx context.Context, version config.Version) ([]byte, Ref, error) {
	entry, err := s.client.Get(ctx, bundleKey(version))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, Ref{}, merry.Prependf(ErrNotProposed, "version %d", version)
	}
	if err != nil {
		return nil, Ref{}, err
	}
	_, ref, err := verifyBundle(s.verify, entry.Value)
	if err != nil {
		return nil, Ref{}, err
	}
	if ref.Version != version {
		return nil, Ref{}, merry.Prependf(ErrWrongBundle, "key of version %d contains version %d", version, ref.Version)
	}
	return entry.Value, ref, nil
}

// Current reads the accepted pointer; the read is never stale. It fails with
// ErrNoBundle if there is none.
func (s *Store) Current(ctx context.Context) (Pointer, error) {
	pointer, _, err := s.readPointer(ctx)
	if err == nil && pointer.Version == 0 {
		return pointer, merry.Wrap(ErrNoBundle)
	}
	return pointer, err
}

// readPointer reads the pointer and its revision; both are zero if there is
// none.
func (s *Store) readPointer(ctx context.Context) (Pointer, int64, error) {
	entry, err := s.client.GetLatest(ctx, keyAccepted)
	if errors.Is(err, platform.ErrNotFound) {
		return Pointer{}, 0, nil
	}
	if err != nil {
		return Pointer{}, 0, err
	}
	pointer, err := decodePointer(&entry)
	return pointer, entry.ModRevision, err
}

// AcceptResult is the result of an acceptance.
type AcceptResult struct {
	// Acceptance is the one that put the version in force. It has another
	// operation's ID if both accepted the same version.
	Acceptance Acceptance
	// Superseded is a still higher version that was accepted since; 0 means
	// none.
	Superseded config.Version
}

// Accept puts a proposed version in force in place of the version that the
// operator has seen (0 for the first). It fails with *ConflictError if another
// version was accepted meanwhile, with ErrNotHigher, ErrNotProposed or
// ErrBehind, and with platform.ErrOutcomeUnknown if a response was lost and the
// context ends before the outcome is known; then it is safe to call it again
// with the same operation. Once 17 other acceptances have followed, the outcome
// of an operation can no longer be determined and stays unknown.
func (s *Store) Accept(ctx context.Context, version, replaces config.Version, operation OperationID) (AcceptResult, error) {
	if version <= replaces {
		return AcceptResult{}, merry.Prependf(ErrNotHigher, "version %d replacing %d", version, replaces)
	}
	_, ref, err := s.Bundle(ctx, version)
	if err != nil {
		return AcceptResult{}, err
	}
	pointer, revision, err := s.readPointer(ctx)
	if err != nil {
		return AcceptResult{}, merry.Prependf(err, "accept version %d", version)
	}
	want := Acceptance{Ref: ref, Operation: operation}
	if _, done := pointer.findOperation(operation); !done && pointer.Version == replaces {
		pointer, err = s.swapPointer(ctx, pointer, revision, want)
		if err != nil {
			return AcceptResult{}, merry.Prependf(err, "accept version %d", version)
		}
	}
	return s.acceptOutcome(ctx, pointer, want, replaces)
}

// swapPointer swaps the pointer and returns the one that is in force
// afterwards: the wanted one or that of a concurrent operation.
func (s *Store) swapPointer(ctx context.Context, pointer Pointer, revision int64, want Acceptance) (Pointer, error) {
	next := pointer.advance(want)
	value, err := json.Marshal(next)
	if err != nil {
		return Pointer{}, merry.Prepend(err, "encode accepted pointer")
	}
	_, err = swapUntilKnown(ctx, s.client, platform.Swap{Key: keyAccepted, Value: value, ModRevision: revision})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return decodePointer(conflict.Current)
	}
	return next, err
}

// acceptOutcome determines from the pointer in force how the operation ended.
func (s *Store) acceptOutcome(ctx context.Context, pointer Pointer, want Acceptance, replaces config.Version) (AcceptResult, error) {
	if found, ok := pointer.findOperation(want.Operation); ok {
		if found.Ref != want.Ref {
			return AcceptResult{}, merry.Prependf(ErrOperationReused, "operation %s accepted version %d", want.Operation, found.Version)
		}
		return newAcceptResult(pointer, found), nil
	}
	if pointer.Ref == want.Ref {
		return newAcceptResult(pointer, pointer.Acceptance), nil
	}
	if pointer.Version < replaces {
		return AcceptResult{}, merry.Prependf(ErrBehind, "accepted version is %d, expected at least %d", pointer.Version, replaces)
	}
	if !pointer.historyCovers(want.Version) {
		return AcceptResult{}, merry.Prependf(platform.ErrOutcomeUnknown, "acceptance history no longer covers the operation, version %d is in force", pointer.Version)
	}
	conflict := &ConflictError{Replaces: replaces, Winner: pointer.Acceptance}
	if signed, ref, err := s.Bundle(ctx, pointer.Version); err == nil && ref == pointer.Ref {
		conflict.Signed = signed
	}
	return AcceptResult{}, merry.Wrap(conflict)
}

// newAcceptResult returns the result for an acceptance found in the pointer.
func newAcceptResult(pointer Pointer, found Acceptance) AcceptResult {
	result := AcceptResult{Acceptance: found}
	if pointer.Version > found.Version {
		result.Superseded = pointer.Version
	}
	return result
}
