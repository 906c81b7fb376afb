// Package rollout distributes accepted configuration bundles from the platform
// to every host. Bundles are immutable values under their version; one pointer
// names the accepted one and is moved by compare-and-swap. A few watchers per
// failure domain watch the platform and the other hosts learn from their peers.
// A host never returns to a lower version, even when the platform or a peer
// returns stale data. Operators' drain marks and the platform's list of hosts
// are distributed the same way.
package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/config"
	"toucangap/internal/peerpb"
)

// MaxBundleBytes is the maximum size of a signed bundle in bytes, the limit of
// the platform for a value.
const MaxBundleBytes = 1 << 20

// The keys of the package, below the client's prefix.
const (
	keyAccepted   = "accepted"
	prefixBundles = "bundles/"
	prefixMarks   = "marks/"
	prefixHosts   = "hosts/"
)

// bundleKey returns the key of a version; keys sort by version.
func bundleKey(version config.Version) string {
	return fmt.Sprintf("%s%020d", prefixBundles, version)
}

// Digest is the SHA-256 hash of a signed bundle as stored.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a signed bundle.
func DigestOf(signed []byte) Digest {
	return sha256.Sum256(signed)
}

// ParseDigest decodes the bytes of a digest, as in a peer's offer. It fails
// unless they are 32.
func ParseDigest(b []byte) (Digest, error) {
	var d Digest
	if len(b) != len(d) {
		return d, merry.Errorf("digest has %d bytes, not %d", len(b), len(d))
	}
	copy(d[:], b)
	return d, nil
}

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// MarshalText implements encoding.TextMarshaler in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil {
		return merry.Prepend(err, "decode digest")
	}
	*d, err = ParseDigest(b)
	return err
}

// Ref identifies one bundle exactly. The zero Ref means none.
type Ref struct {
	Version config.Version `json:"version"`
	Digest  Digest         `json:"digest"`
}

// RefFromPeer decodes a peer's offer, the ref of the bundle that the peer has in
// force. It fails on a malformed digest; an offer of version 0 gives the zero Ref.
func RefFromPeer(offer *peerpb.BundleOffer) (Ref, error) {
	if offer.GetVersion() == 0 {
		return Ref{}, nil
	}
	digest, err := ParseDigest(offer.GetDigest())
	return Ref{Version: config.Version(offer.GetVersion()), Digest: digest}, err
}

// ToPeer encodes the ref of the bundle in force for peers.
func (r Ref) ToPeer() *peerpb.BundleOffer {
	return &peerpb.BundleOffer{Version: uint64(r.Version), Digest: r.Digest[:]}
}

// OperationID identifies one operation of an operator, uniquely among all. A
// retry reuses it, so that the operation takes effect only once.
type OperationID string

// VerifyFunc checks the signatures of a signed bundle and decodes it.
type VerifyFunc func(signed []byte) (*config.Bundle, error)

// verifyBundle verifies a signed bundle and returns it with its ref.
func verifyBundle(verify VerifyFunc, signed []byte) (*config.Bundle, Ref, error) {
	bundle, err := verify(signed)
	if err != nil {
		return nil, Ref{}, merry.Prepend(err, "verify bundle")
	}
	return bundle, Ref{Version: bundle.Version, Digest: DigestOf(signed)}, nil
}
