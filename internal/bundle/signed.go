package bundle

import (
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/config"
	"toucangap/internal/settings"
)

// signatureContext is a prefix of the signed message. It keeps signatures made
// with the same key for other purposes from being valid for bundles.
const signatureContext = "toucangap bundle 1\x00"

// Errors of signing and verifying.
var (
	// ErrInvalidSignature means that a known operator's signature is invalid.
	ErrInvalidSignature = merry.Sentinel("invalid bundle signature")
	// ErrTooFewSignatures means that not enough known operators have signed.
	ErrTooFewSignatures = merry.Sentinel("too few operators have signed the bundle")
	// ErrTooLarge means that the signed form exceeds MaxSignedBytes or its
	// decompressed content maxCanonicalBytes.
	ErrTooLarge = merry.Sentinel("bundle is too large")
)

// Signature is one operator's ed25519 signature over signatureContext and the
// digest of the canonical encoding.
type Signature struct {
	Operator  string `json:"operator"`
	Signature []byte `json:"signature"`
}

// Signed is a bundle in canonical encoding with its signatures. It is not safe
// for concurrent use.
type Signed struct {
	Signatures []Signature
	lines      canonicalLines
	// decoded caches the decoded content; it must not be modified.
	decoded *canonicalBundle
}

// New encodes a bundle without signatures.
func New(b *config.Bundle) (*Signed, error) {
	encoded, err := encodeLines(toCanonical(b))
	if err != nil {
		return nil, err
	}
	return &Signed{lines: encoded}, nil
}

// Canonical returns the canonical encoding: lines of JSON, the first for the
// bundle itself and one for each service.
func (s *Signed) Canonical() []byte {
	return s.lines.bytes()
}

// Digest returns the digest of the canonical encoding in hex: the SHA-256 of
// the concatenated SHA-256 hashes of its lines.
func (s *Signed) Digest() string {
	digest := s.lines.digest()
	return hex.EncodeToString(digest[:])
}

// Sign adds the operator's signature, replacing an earlier one of the operator.
func (s *Signed) Sign(operator string, key ed25519.PrivateKey) {
	s.Signatures = slices.DeleteFunc(s.Signatures, func(old Signature) bool {
		return old.Operator == operator
	})
	signature := ed25519.Sign(key, s.message())
	s.Signatures = append(s.Signatures, Signature{operator, signature})
}

// message returns the bytes that signatures cover.
func (s *Signed) message() []byte {
	digest := s.lines.digest()
	return append([]byte(signatureContext), digest[:]...)
}

// Bundle decodes the content without verifying the signatures. It fails with
// ErrNotCanonical.
func (s *Signed) Bundle() (*config.Bundle, error) {
	c, err := s.content()
	if err != nil {
		return nil, err
	}
	return c.bundle(), nil
}

// ContentJSON returns the content as one JSON object, for display and scripts.
// It fails with ErrNotCanonical.
func (s *Signed) ContentJSON() ([]byte, error) {
	c, err := s.content()
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(c)
	return data, merry.Prepend(err, "encode bundle")
}

// content returns the decoded content, which it caches. It must not be
// modified.
func (s *Signed) content() (*canonicalBundle, error) {
	if s.decoded != nil {
		return s.decoded, nil
	}
	c, err := decodeLines(s.lines)
	if err != nil {
		return nil, err
	}
	s.decoded = c
	return c, nil
}

// Verify returns the bundle if enough distinct known operators, those listed in
// the trust settings, have signed it, all their signatures are valid, and so is
// its content.
// Signatures of unknown operators are ignored. It fails with
// ErrInvalidSignature, ErrTooFewSignatures, ErrNotCanonical or a finding.List.
func (s *Signed) Verify(trust settings.BundleTrust) (*config.Bundle, error) {
	err := s.verifySignatures(trust)
	if err != nil {
		return nil, err
	}
	b, err := s.Bundle()
	if err != nil {
		return nil, err
	}
	if err := Validate(b).Err(); err != nil {
		return nil, merry.Prepend(err, "signed bundle is not valid")
	}
	return b, nil
}

// verifySignatures checks that enough distinct keys have signed. It counts keys,
// not names, so that a key listed for two operators counts once.
func (s *Signed) verifySignatures(trust settings.BundleTrust) error {
	message := s.message()
	signers := make(map[string]bool)
	for _, signature := range s.Signatures {
		key, known := trust.Operators[signature.Operator]
		if !known {
			continue
		}
		if len(key) != ed25519.PublicKeySize || !ed25519.Verify(key, message, signature.Signature) {
			return merry.Appendf(ErrInvalidSignature, "operator %q", signature.Operator)
		}
		signers[string(key)] = true
	}
	if trust.Required < 1 || len(signers) < trust.Required {
		return merry.Appendf(ErrTooFewSignatures, "%d of %d", len(signers), trust.Required)
	}
	return nil
}
