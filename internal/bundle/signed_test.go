package bundle

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/config"
)

// TestCanonicalRoundTrip checks that the encoding does not depend on the order
// of lists and decodes to the same bundle.
func TestCanonicalRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := drawBundle(t, 3)
		first, err := Canonical(b)
		require.NoError(t, err)
		sortLists(b)
		second, err := Canonical(b)
		require.NoError(t, err)
		require.Equal(t, string(first), string(second))
		encoded, err := splitLines(first)
		require.NoError(t, err)
		c, err := decodeLines(encoded)
		require.NoError(t, err)
		require.Equal(t, b, c.bundle())
	})
}

// TestSignedRoundTrip covers signing, encoding, decoding and verifying.
func TestSignedRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := drawBundle(t, 3)
		data, err := signedBy(t, b, "anna", "bo").Encode()
		require.NoError(t, err)
		signed, err := DecodeSigned(data)
		require.NoError(t, err)
		got, err := signed.Verify(trustIn(2, "anna", "bo", "cilla"))
		require.NoError(t, err)
		sortLists(b)
		require.Equal(t, b, got)
	})
}

// TestTampering changes one byte of the signed form: either it is rejected, or
// the content is unchanged.
func TestTampering(t *testing.T) {
	trust := trustIn(2, "anna", "bo")
	original := signedBy(t, newTestBundle(2, 3), "anna", "bo")
	data, err := original.Encode()
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		tampered := append([]byte(nil), data...)
		at := rapid.IntRange(0, len(tampered)-1).Draw(t, "at")
		tampered[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		signed, err := DecodeSigned(tampered)
		if err != nil {
			return
		}
		_, err = signed.Verify(trust)
		if err == nil {
			require.Equal(t, original.Canonical(), signed.Canonical())
		}
	})
}

// TestContentTampering changes one byte of the canonical encoding: the signatures
// must no longer be valid.
func TestContentTampering(t *testing.T) {
	trust := trustIn(1, "anna")
	signed := signedBy(t, newTestBundle(2, 2), "anna")
	canonical := signed.Canonical()
	rapid.Check(t, func(t *rapid.T) {
		tampered := append([]byte(nil), canonical...)
		at := rapid.IntRange(0, len(tampered)-1).Draw(t, "at")
		tampered[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		encoded, err := splitLines(tampered)
		if err == nil {
			_, err = (&Signed{lines: encoded, Signatures: signed.Signatures}).Verify(trust)
			require.ErrorIs(t, err, ErrInvalidSignature)
		}
	})
}

// TestLineTampering omits, repeats and swaps whole lines: the signatures must no
// longer be valid.
func TestLineTampering(t *testing.T) {
	trust := trustIn(1, "anna")
	signed := signedBy(t, newTestBundle(3, 2), "anna")
	encoded := signed.lines
	for _, tampered := range []canonicalLines{
		{encoded[0], encoded[1], encoded[2]},
		{encoded[0], encoded[1], encoded[2], encoded[3], encoded[3]},
		{encoded[0], encoded[2], encoded[1], encoded[3]},
		{encoded[1], encoded[0], encoded[2], encoded[3]},
	} {
		_, err := (&Signed{lines: tampered, Signatures: signed.Signatures}).Verify(trust)
		require.ErrorIs(t, err, ErrInvalidSignature)
	}
}

func TestVerifyRejects(t *testing.T) {
	b := newTestBundle(1, 2)
	signed := signedBy(t, b, "anna")
	_, err := signed.Verify(trustIn(2, "anna", "bo"))
	require.ErrorIs(t, err, ErrTooFewSignatures)

	signed.Signatures = append(signed.Signatures, signed.Signatures[0])
	_, err = signed.Verify(trustIn(2, "anna", "bo"))
	require.ErrorIs(t, err, ErrTooFewSignatures, "one operator twice")

	_, err = signedBy(t, b, "anna", "mallory").Verify(trustIn(2, "anna", "bo"))
	require.ErrorIs(t, err, ErrTooFewSignatures, "unknown operator")

	signed = signedBy(t, b, "anna")
	signed.Sign("bo", operatorKey("mallory"))
	_, err = signed.Verify(trustIn(1, "anna", "bo"))
	require.ErrorIs(t, err, ErrInvalidSignature, "signed with another operator's key")

	shared := trustIn(2, "anna", "bo")
	shared.Operators["bo"] = shared.Operators["anna"]
	signed.Sign("bo", operatorKey("anna"))
	_, err = signed.Verify(shared)
	require.ErrorIs(t, err, ErrTooFewSignatures, "one key listed for two operators")

	_, err = signed.Verify(trustIn(0))
	require.ErrorIs(t, err, ErrTooFewSignatures, "no signature required")

	b.Services[0].Endpoints[0].Weight = 0
	_, err = signedBy(t, b, "anna").Verify(trustIn(1, "anna"))
	require.ErrorContains(t, err, "service.1.endpoint.1.weight")
}

// TestNonCanonicalEncodingRejected checks that other encodings or orders of
// valid content are rejected even if they are signed.
func TestNonCanonicalEncodingRejected(t *testing.T) {
	original := signedBy(t, newTestBundle(2, 1)).lines
	spaced := hashLine(append([]byte(" "), original[1].text...))
	for _, encoded := range []canonicalLines{
		{original[0], spaced, original[2]},
		{original[0], original[2], original[1]},
		{original[1], original[2]},
	} {
		signed := &Signed{lines: encoded}
		signed.Sign("anna", operatorKey("anna"))
		_, err := signed.Verify(trustIn(1, "anna"))
		require.ErrorIs(t, err, ErrNotCanonical)
	}
}

// TestDelta checks that applying a delta between any two bundles yields the
// exact bytes and signatures of the new one.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := signedBy(t, drawBundle(t, 3), "anna")
		to := signedBy(t, drawBundle(t, 4), "bo")
		data, err := MakeDelta(from, to)
		require.NoError(t, err)
		got, err := ApplyDelta(from, data)
		require.NoError(t, err)
		require.Equal(t, string(to.Canonical()), string(got.Canonical()))
		require.Equal(t, to.Signatures, got.Signatures)
		redecoded, err := decodeLines(got.lines)
		require.NoError(t, err)
		require.Equal(t, redecoded, got.decoded)
		_, err = got.Verify(trustIn(1, "bo"))
		require.NoError(t, err)
		_, err = ApplyDelta(to, data)
		require.ErrorIs(t, err, ErrDeltaBaseMismatch)
	})
}

// TestDeltaTampering changes one byte of a delta: either it is rejected, or the
// resulting content is unchanged.
func TestDeltaTampering(t *testing.T) {
	from, to := signedBy(t, newTestBundle(2, 3), "anna"), signedBy(t, newTestBundle(2, 4), "anna")
	data, err := MakeDelta(from, to)
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		tampered := append([]byte(nil), data...)
		at := rapid.IntRange(0, len(tampered)-1).Draw(t, "at")
		tampered[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		got, err := ApplyDelta(from, tampered)
		if err == nil {
			require.Equal(t, to.Canonical(), got.Canonical())
		}
	})
}

func TestDiff(t *testing.T) {
	from, to := newTestBundle(3, 2), newTestBundle(4, 2)
	to.Version = 2
	to.Limits.FlowsPerHost = 5
	to.Services = to.Services[1:]
	to.Services[0].Balance = config.BalanceSteady
	to.Services[0].Endpoints[0].Weight = 9
	to.Services[0].Endpoints[1].ID = 3
	want := `version 1 -> 2
  limits.flows_per_host: 1000 -> 5
  removed service service-1 (1) with 2 endpoints
  changed service service-2 (2)
    dial: even -> steady
    removed endpoint endpoint-4 (2)
    changed endpoint endpoint-3 (1)
      weight: 3 -> 9
    added endpoint endpoint-4 (3)
  added service service-4 (4) with 2 endpoints
`
	require.Equal(t, want, Compare(from, to).String())
	require.True(t, Compare(from, from).IsEmpty())
}
