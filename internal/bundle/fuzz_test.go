package bundle

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDecodeSigned checks that Verify accepts only the content that was signed,
// whatever a peer sends.
func FuzzDecodeSigned(f *testing.F) {
	trust := trustIn(1, "anna")
	original := signedBy(f, newTestBundle(2, 2), "anna")
	data, err := original.Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte("{\"toucangap_bundle\":1,\"signatures\":null}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		signed, err := DecodeSigned(data)
		if err != nil {
			return
		}
		_, err = signed.Verify(trust)
		if err == nil {
			require.Equal(t, original.Digest(), signed.Digest())
		}
	})
}

// FuzzApplyDelta checks that a modified delta never leads to another bundle
// with valid signatures.
func FuzzApplyDelta(f *testing.F) {
	from, to := signedBy(f, newTestBundle(2, 2), "anna"), signedBy(f, newTestBundle(3, 2), "anna")
	data, err := MakeDelta(from, to)
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := ApplyDelta(from, data)
		if err != nil {
			return
		}
		_, err = got.Verify(trustIn(1, "anna"))
		if err == nil {
			require.Equal(t, to.Digest(), got.Digest())
		}
	})
}
