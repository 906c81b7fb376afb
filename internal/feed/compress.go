package feed

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/catalog"
	"toucangap/platform"
)

// compressFrom is the size of a value in bytes from which it is compressed. Configurations
// shrink to about a tenth.
const compressFrom = 4 << 10

// compressor compresses values. It keeps the last result, since a configuration goes to
// all clients.
type compressor struct {
	mu         sync.Mutex
	key        string
	position   catalog.Position
	compressed []byte
}

// compress returns the compressed value of a change, or nil if it would not be smaller.
func (c *compressor) compress(change *platform.Change) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.key == change.Key && c.position == change.Position() {
		return c.compressed, nil
	}
	compressed, err := deflate(change.Value)
	if err != nil {
		return nil, err
	}
	if len(compressed) >= len(change.Value) {
		compressed = nil
	}
	c.key, c.position, c.compressed = change.Key, change.Position(), compressed
	return compressed, nil
}

func deflate(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, merry.Prepend(err, "compress a value")
	}
	if _, err := w.Write(value); err != nil {
		return nil, merry.Prepend(err, "compress a value")
	}
	if err := w.Close(); err != nil {
		return nil, merry.Prepend(err, "compress a value")
	}
	return b.Bytes(), nil
}

// inflate returns the value that deflate compressed, of at most maxMessageBytes.
func inflate(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	value, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return nil, merry.Prepend(err, "decompress a value")
	}
	if len(value) > maxMessageBytes {
		return nil, errTooLarge
	}
	return value, nil
}
