package keys

import (
	"crypto/ed25519"
	"encoding/base64"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSigningKey(t *testing.T) {
	encoded, err := GenerateSigningKey()
	require.NoError(t, err)
	key, err := DecodeSigningKey(encoded)
	require.NoError(t, err)
	public, err := base64.StdEncoding.DecodeString(EncodePublicKey(key))
	require.NoError(t, err)
	require.True(t, ed25519.Verify(public, []byte("message"), ed25519.Sign(key, []byte("message"))))
}

func TestMalformedKeys(t *testing.T) {
	_, err := DecodeSigningKey([]byte("no PEM"))
	require.ErrorIs(t, err, ErrPEM)
	authority, err := NewAuthority("test", time.Now(), time.Now().Add(time.Hour))
	require.NoError(t, err)
	pair, err := authority.PEM()
	require.NoError(t, err)
	_, err = DecodeSigningKey(pair.Key)
	require.ErrorContains(t, err, "ecdsa")
	_, err = LoadAuthority(Pair{Certificate: pair.Key, Key: pair.Key})
	require.ErrorIs(t, err, ErrPEM)
}
