package bundle

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/config"
)

// MaxSignedBytes is the maximum size of a signed bundle in bytes, the limit of the
// platform for a value.
const MaxSignedBytes = 1 << 20

// signatureReserveBytes is reserved for signatures when the size of an unsigned
// bundle is checked.
const signatureReserveBytes = 4096

// envelopeFormat is the version of the signed form.
const envelopeFormat = 1

// ErrMalformedEnvelope means that data is not the signed form of a bundle.
var ErrMalformedEnvelope = merry.Sentinel("malformed signed bundle")

// envelopeHeader is the first line of the signed form. The compressed canonical
// encoding follows it.
type envelopeHeader struct {
	Format     int         `json:"toucangap_bundle"`
	Signatures []Signature `json:"signatures"`
}

// Encode returns the signed form: a line of JSON with the signatures, then the
// gzip-compressed canonical encoding. It fails with ErrTooLarge if that exceeds
// MaxSignedBytes.
func (s *Signed) Encode() ([]byte, error) {
	data, err := s.encodeUnbounded()
	if err != nil {
		return nil, err
	}
	if len(data) > MaxSignedBytes {
		return nil, merry.Appendf(ErrTooLarge, "%d bytes, at most %d are allowed", len(data), MaxSignedBytes)
	}
	return data, nil
}

// encodeUnbounded returns the signed form, which may exceed MaxSignedBytes.
func (s *Signed) encodeUnbounded() ([]byte, error) {
	header, err := json.Marshal(envelopeHeader{envelopeFormat, s.Signatures})
	if err != nil {
		return nil, merry.Prepend(err, "encode signatures")
	}
	packed, err := compress(s.Canonical())
	if err != nil {
		return nil, err
	}
	header = append(header, '\n')
	return append(header, packed...), nil
}

// DecodeSigned decodes the signed form. It neither verifies the signatures nor
// decodes the content. It fails with ErrTooLarge, ErrMalformedEnvelope or
// ErrNotCanonical.
func DecodeSigned(data []byte) (*Signed, error) {
	if len(data) > MaxSignedBytes {
		return nil, merry.Appendf(ErrTooLarge, "%d bytes, at most %d are allowed", len(data), MaxSignedBytes)
	}
	return decodeUnbounded(data)
}

// decodeUnbounded decodes a signed form, which may exceed MaxSignedBytes. The
// decompressed content is limited to maxCanonicalBytes.
func decodeUnbounded(data []byte) (*Signed, error) {
	line, packed, found := bytes.Cut(data, []byte{'\n'})
	if !found {
		return nil, merry.Wrap(ErrMalformedEnvelope)
	}
	var header envelopeHeader
	if err := json.Unmarshal(line, &header); err != nil {
		return nil, merry.Wrap(ErrMalformedEnvelope, merry.WithCause(err))
	}
	if header.Format != envelopeFormat {
		return nil, merry.Appendf(ErrMalformedEnvelope, "format %d", header.Format)
	}
	canonical, err := decompress(packed)
	if err != nil {
		return nil, merry.Wrap(ErrMalformedEnvelope, merry.WithCause(err))
	}
	encoded, err := splitLines(canonical)
	if err != nil {
		return nil, err
	}
	return &Signed{lines: encoded, Signatures: header.Signatures}, nil
}

// compress applies gzip at the best compression level, since a bundle is
// compressed once and has to fit into one stored value.
func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestCompression)
	if err != nil {
		return nil, merry.Prepend(err, "compress bundle")
	}
	if _, err := w.Write(data); err != nil {
		return nil, merry.Prepend(err, "compress bundle")
	}
	if err := w.Close(); err != nil {
		return nil, merry.Prepend(err, "compress bundle")
	}
	return out.Bytes(), nil
}

// decompress expands gzip data up to maxCanonicalBytes and rejects trailing
// data.
func decompress(packed []byte) ([]byte, error) {
	source := bytes.NewReader(packed)
	r, err := gzip.NewReader(source)
	if err != nil {
		return nil, err
	}
	r.Multistream(false)
	data, err := io.ReadAll(io.LimitReader(r, maxCanonicalBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxCanonicalBytes {
		return nil, merry.Wrap(ErrTooLarge)
	}
	if source.Len() > 0 {
		return nil, merry.Errorf("%d bytes of trailing data after the bundle", source.Len())
	}
	return data, nil
}

// validateSize reports a bundle whose signed form would exceed MaxSignedBytes.
func validateSize(b *config.Bundle, r reporter) {
	signed, err := New(b)
	if err != nil {
		r.report(atBundle("bundle"), err.Error(), "a bundle that can be encoded")
		return
	}
	data, err := signed.encodeUnbounded()
	size := len(data) + signatureReserveBytes
	if err != nil || size > MaxSignedBytes {
		r.report(atBundle("bundle"), fmt.Sprintf("the signed form has %d bytes", size), fmt.Sprintf("up to %d bytes", MaxSignedBytes))
	}
}
