package udp

import (
	"crypto/hmac"
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"toucangap/internal/membership"
	"toucangap/internal/peerpb"
)

// tagBytes is the size of the truncated HMAC-SHA256 in front of a datagram.
const tagBytes = 16

// codec encodes and decodes datagrams, with an authentication tag in front if it
// has a key.
type codec struct {
	key []byte
}

func (s codec) encode(p *peerpb.Probe) ([]byte, error) {
	if len(s.key) == 0 {
		return proto.Marshal(p)
	}
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, tagBytes), p)
	if err != nil {
		return nil, err
	}
	copy(b, s.computeTag(b[tagBytes:]))
	return b, nil
}

// decode reports false for a datagram that is oversized, malformed or not
// authenticated by the key.
func (s codec) decode(b []byte) (*peerpb.Probe, bool) {
	if len(s.key) > 0 {
		if len(b) < tagBytes || !hmac.Equal(b[:tagBytes], s.computeTag(b[tagBytes:])) {
			return nil, false
		}
		b = b[tagBytes:]
	}
	probe := new(peerpb.Probe)
	if len(b) > membership.MaxProbeBytes || proto.Unmarshal(b, probe) != nil {
		return nil, false
	}
	return probe, true
}

func (s codec) computeTag(payload []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write(payload)
	return mac.Sum(nil)[:tagBytes]
}
