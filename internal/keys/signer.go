package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"

	"github.com/ansel1/merry/v2"
)

// GenerateSigningKey generates an operator's ed25519 key for signing bundles and
// returns it in PEM (PKCS #8).
func GenerateSigningKey() ([]byte, error) {
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, merry.Prepend(err, "generate key")
	}
	return encodeKey(key)
}

// DecodeSigningKey decodes an operator's signing key from PEM. It fails with
// ErrPEM if the data has no private key block.
func DecodeSigningKey(data []byte) (ed25519.PrivateKey, error) {
	return decodeKey[ed25519.PrivateKey](data)
}

// EncodePublicKey returns the public key of a signing key in base64, the form
// used in the settings of hosts.
func EncodePublicKey(key ed25519.PrivateKey) string {
	public := key.Public().(ed25519.PublicKey)
	return base64.StdEncoding.EncodeToString(public)
}
