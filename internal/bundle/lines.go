package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"

	"github.com/ansel1/merry/v2"
)

// lineEnd terminates every line. Compact JSON never contains it.
const lineEnd = '\n'

// canonicalLines is a canonical encoding: one line of JSON for the bundle's own
// fields, then one for each service in order of ID. Lines are hashed separately
// so that a change costs only the lines that it affects.
type canonicalLines []line

// line is one line without its terminator.
type line struct {
	text []byte
	hash [sha256.Size]byte
}

func hashLine(text []byte) line {
	return line{text, sha256.Sum256(text)}
}

func encodeLine(value any) (line, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return line{}, merry.Prepend(err, "encode bundle")
	}
	return hashLine(text), nil
}

// decodeLine decodes a line and rejects any other encoding of the same value.
func decodeLine(l line, value any) error {
	err := json.Unmarshal(l.text, value)
	if err != nil {
		return merry.Wrap(ErrNotCanonical, merry.WithCause(err))
	}
	reencoded, err := json.Marshal(value)
	if err != nil {
		return merry.Prepend(err, "encode bundle")
	}
	if !bytes.Equal(reencoded, l.text) {
		return merry.Wrap(ErrNotCanonical)
	}
	return nil
}

// splitLines splits an encoding into lines without decoding them.
func splitLines(data []byte) (canonicalLines, error) {
	if len(data) == 0 || data[len(data)-1] != lineEnd {
		return nil, merry.Wrap(ErrNotCanonical)
	}
	texts := bytes.Split(data[:len(data)-1], []byte{lineEnd})
	encoded := make(canonicalLines, len(texts))
	for i, text := range texts {
		encoded[i] = hashLine(text)
	}
	return encoded, nil
}

// bytes returns the lines joined, each with its terminator.
func (c canonicalLines) bytes() []byte {
	size := 0
	for _, l := range c {
		size += len(l.text) + 1
	}
	data := make([]byte, 0, size)
	for _, l := range c {
		data = append(data, l.text...)
		data = append(data, lineEnd)
	}
	return data
}

// digest returns the SHA-256 of the concatenated hashes of all lines.
func (c canonicalLines) digest() [sha256.Size]byte {
	hashes := make([]byte, 0, len(c)*sha256.Size)
	for _, l := range c {
		hashes = append(hashes, l.hash[:]...)
	}
	return sha256.Sum256(hashes)
}

// hashes returns the set of the hashes of all lines.
func (c canonicalLines) hashes() map[[sha256.Size]byte]bool {
	hashes := make(map[[sha256.Size]byte]bool, len(c))
	for _, l := range c {
		hashes[l.hash] = true
	}
	return hashes
}
