package bundle

import (
	"encoding/hex"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

func TestExampleLoads(t *testing.T) {
	require.Empty(t, Check(examplePath, nil))
	b, err := Load(examplePath, nil)
	require.NoError(t, err)
	require.Equal(t, config.Version(7), b.Version)
	require.Equal(t, flow.UDP, b.Services[0].Protocol)
	require.Equal(t, 1, b.Services[0].Endpoints[1].Weight)
	require.Equal(t, config.ClassNormal, b.Services[1].Class)
	require.Empty(t, Validate(b))
}

// TestInvalidBundleFindings compares all findings on a bundle with many errors
// with testdata/mistakes.golden. UPDATE_GOLDEN=1 regenerates the file.
func TestInvalidBundleFindings(t *testing.T) {
	const golden = "testdata/mistakes.golden"
	data, err := os.ReadFile("testdata/mistakes.toml")
	require.NoError(t, err)
	previous, findings := Parse("bundle.toml", example(t), nil)
	require.Empty(t, findings)
	_, findings = Parse("mistakes.toml", data, previous)
	got := findings.Error() + "\n"
	if os.Getenv("UPDATE_GOLDEN") != "" {
		require.NoError(t, os.WriteFile(golden, []byte(got), 0o644))
	}
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

func TestValidateChange(t *testing.T) {
	previous := newTestBundle(2, 10)
	cases := []struct {
		name   string
		change func(b *config.Bundle)
		key    string
	}{
		{"same version", func(b *config.Bundle) { b.Version = 1 }, "version"},
		{"hash seed", func(b *config.Bundle) { b.HashSeed++ }, "hash_seed"},
		{"service removed", func(b *config.Bundle) { b.Services = b.Services[:1] }, "service"},
		{"four of ten removed", func(b *config.Bundle) { b.Services[1].Endpoints = b.Services[1].Endpoints[:6] }, "service.2.endpoint"},
		{"service id reused", func(b *config.Bundle) { b.Services[1].Protocol = flow.TCP }, "service.2.id"},
		{"endpoint id reused", func(b *config.Bundle) { b.Services[0].Endpoints[3].ID = 11; b.Services[0].Endpoints[4].ID = 4 }, "service.1.endpoint.4.id"},
		{"three of ten removed", func(b *config.Bundle) { b.Services[1].Endpoints = b.Services[1].Endpoints[:7] }, ""},
		{"removal intended", func(b *config.Bundle) { b.Services, b.MaxRemovedShare = b.Services[:1], 1 }, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBundle(2, 10)
			b.Version = 2
			c.change(b)
			findings := ValidateChange(previous, b)
			if c.key == "" {
				require.Empty(t, findings)
				return
			}
			require.Len(t, findings, 1, "%v", findings)
			require.Equal(t, c.key, findings[0].Key)
		})
	}
}

// TestBundleSizeLimit checks that an incompressible bundle above MaxSignedBytes is
// reported by validation and neither encoded nor decoded.
func TestBundleSizeLimit(t *testing.T) {
	randomBytes := make([]byte, MaxSignedBytes)
	_, err := rand.NewChaCha8([32]byte{}).Read(randomBytes)
	require.NoError(t, err)
	b := newTestBundle(1, 1)
	b.Services[0].Name = hex.EncodeToString(randomBytes)
	reporter := &listReporter{bundle: b}
	validateSize(b, reporter)
	require.Len(t, reporter.findings, 1)
	signed, err := New(b)
	require.NoError(t, err)
	_, err = signed.Encode()
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = DecodeSigned(make([]byte, MaxSignedBytes+1))
	require.ErrorIs(t, err, ErrTooLarge)
}
