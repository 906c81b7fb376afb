package command

import (
	"bytes"
	"os"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/bundle"
	"toucangap/internal/config"
)

// signedPrefix is the prefix of a signed bundle; no TOML document starts with it.
var signedPrefix = []byte("{")

// ReadBundle reads a bundle file, which is either in TOML or signed. A TOML
// file is validated and returned without signatures; the content and signatures
// of a signed file are not checked.
func ReadBundle(path string) (*bundle.Signed, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if bytes.HasPrefix(data, signedPrefix) {
		return bundle.DecodeSigned(data)
	}
	b, findings := bundle.Parse(path, data, nil)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return bundle.New(b)
}

// ReadContent returns the content of a bundle file, in TOML or signed, or nil if
// the path is empty.
func ReadContent(path string) (*config.Bundle, error) {
	if path == "" {
		return nil, nil
	}
	signed, err := ReadBundle(path)
	if err != nil {
		return nil, merry.Prepend(err, "read bundle")
	}
	return signed.Bundle()
}
