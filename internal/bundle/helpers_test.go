package bundle

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/settings"
)

const examplePath = "../../docs/examples/bundle.toml"

// example returns the example file after replacing pairs of old and new texts.
func example(t *testing.T, replacements ...string) []byte {
	data, err := os.ReadFile(examplePath)
	require.NoError(t, err)
	text := string(data)
	for i := 0; i < len(replacements); i += 2 {
		require.Contains(t, text, replacements[i])
		text = strings.Replace(text, replacements[i], replacements[i+1], 1)
	}
	return []byte(text)
}

// operatorKey returns a signing key derived from the name.
func operatorKey(name string) ed25519.PrivateKey {
	seed := bytes.Repeat([]byte(name), ed25519.SeedSize)
	return ed25519.NewKeyFromSeed(seed[:ed25519.SeedSize])
}

// trustIn returns trust settings for the operators with their operatorKey.
func trustIn(required int, names ...string) settings.BundleTrust {
	trust := settings.BundleTrust{Operators: make(map[string][]byte), Required: required}
	for _, name := range names {
		trust.Operators[name] = operatorKey(name).Public().(ed25519.PublicKey)
	}
	return trust
}

// signedBy encodes the bundle and signs it as each of the operators.
func signedBy(t require.TestingT, b *config.Bundle, names ...string) *Signed {
	signed, err := New(b)
	require.NoError(t, err)
	for _, name := range names {
		signed.Sign(name, operatorKey(name))
	}
	return signed
}

// newTestBundle returns a valid bundle with the given numbers of services and
// of endpoints in each.
func newTestBundle(services, endpoints int) *config.Bundle {
	b := &config.Bundle{
		Version:         1,
		HashSeed:        7,
		Domains:         []string{"a", "b", "c", "d"},
		MaxRemovedShare: DefaultMaxRemovedShare,
		Limits:          config.Limits{ControlBytesPerSecond: 4096, FlowsPerHost: 1000, FlowIdle: time.Minute},
	}
	for i := range services {
		b.Services = append(b.Services, newTestService(i, endpoints, b.Domains))
	}
	return b
}

func newTestService(i, endpoints int, domains []string) config.Service {
	s := config.Service{
		ID:              config.ServiceID(i + 1),
		Name:            fmt.Sprintf("service-%d", i+1),
		Protocol:        flow.UDP,
		Address:         netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 5683),
		Group:           "group",
		Requests:        config.RequestProtocolCoAP,
		Class:           config.ClassUrgent,
		Balance:         config.BalanceEven,
		DefaultDeadline: time.Second,
		MaxDeadline:     time.Minute,
	}
	for j := range endpoints {
		n := i*endpoints + j
		s.Endpoints = append(s.Endpoints, config.Endpoint{
			ID:       config.EndpointID(j + 1),
			Name:     fmt.Sprintf("endpoint-%d", n+1),
			Domain:   domains[n%len(domains)],
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16 + byte(n>>16), byte(n >> 8), byte(n)}), 6000),
			Weight:   1 + n%16,
			Slots:    2,
			MaxFlows: 2000,
		})
	}
	return s
}

// drawBundle generates a valid bundle.
func drawBundle(t *rapid.T, version config.Version) *config.Bundle {
	b := newTestBundle(rapid.IntRange(1, 6).Draw(t, "services"), rapid.IntRange(1, 5).Draw(t, "endpoints"))
	b.Version = version
	b.HashSeed = rapid.Uint64().Draw(t, "seed")
	b.MaxRemovedShare = rapid.Float64Range(0.01, 1).Draw(t, "share")
	b.Limits.FlowIdle = time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Hour)).Draw(t, "idle"))
	for i := range b.Services {
		s := &b.Services[i]
		s.Balance = rapid.SampledFrom([]config.BalancePolicy{config.BalanceEven, config.BalanceSteady}).Draw(t, "dial")
		s.Class = rapid.SampledFrom([]config.AdmissionClass{config.ClassUrgent, config.ClassNormal}).Draw(t, "class")
		keep := rapid.IntRange(1, len(s.Endpoints)).Draw(t, "keep")
		s.Endpoints = rapid.Permutation(s.Endpoints).Draw(t, "endpoints")[:keep]
		for j := range s.Endpoints {
			s.Endpoints[j].Weight = rapid.IntRange(1, 16).Draw(t, "weight")
		}
	}
	b.Services = rapid.Permutation(b.Services).Draw(t, "order")
	return b
}
