package holders

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/catalog"
)

// ErrNotice is returned for a datagram that is no notice of a host that knows the shared
// secret.
var ErrNotice = merry.Sentinel("malformed or foreign notice")

// tagBytes is the size of the truncated HMAC-SHA256 at the start of a datagram.
const tagBytes = 16

// datagram is the encoding of a notice, in big-endian order. A change of the fields needs
// another version.
type datagram struct {
	Version  uint8
	Flow     catalog.Flow
	Sequence uint32
	Holder   catalog.Token
}

// wireVersion is the version of datagram.
const wireVersion = 1

// DatagramBytes is the size of an encoded notice.
var DatagramBytes = tagBytes + binary.Size(datagram{})

// Encode appends a notice to dst, authenticated by the hosts' shared secret.
func Encode(dst, secret []byte, n Notice) ([]byte, error) {
	start := len(dst)
	dst = append(dst, make([]byte, tagBytes)...)
	dst, err := binary.Append(dst, binary.BigEndian, datagram{wireVersion, n.Flow, n.Sequence, n.Holder})
	if err != nil {
		return nil, merry.Prepend(err, "encode a notice")
	}
	copy(dst[start:], tag(secret, dst[start+tagBytes:]))
	return dst, nil
}

// Decode returns the notice in a datagram. The error is ErrNotice.
func Decode(b, secret []byte) (Notice, error) {
	if len(b) != DatagramBytes || len(secret) == 0 || !hmac.Equal(b[:tagBytes], tag(secret, b[tagBytes:])) {
		return Notice{}, ErrNotice
	}
	var d datagram
	if _, err := binary.Decode(b[tagBytes:], binary.BigEndian, &d); err != nil || d.Version != wireVersion {
		return Notice{}, ErrNotice
	}
	return Notice{Flow: d.Flow, Sequence: d.Sequence, Holder: d.Holder}, nil
}

func tag(secret, payload []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	// Keeps notices apart from the proofs of feeds, which use the secret as well.
	mac.Write([]byte("toucangap notice"))
	mac.Write(payload)
	return mac.Sum(nil)[:tagBytes]
}
