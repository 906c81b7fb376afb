package bundle

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"

	"toucangap/internal/config"
)

const endpointsPerService = 10

var serviceCounts = []int{14, 1000, 12000}

// benchmarkSizes runs the benchmark for each number of services.
func benchmarkSizes(b *testing.B, run func(b *testing.B, bundle *config.Bundle)) {
	for _, services := range serviceCounts {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			run(b, newTestBundle(services, endpointsPerService))
		})
	}
}

// BenchmarkParse measures reading and checking the TOML form.
func BenchmarkParse(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, bundle *config.Bundle) {
		text := tomlText(b, bundle)
		b.ReportMetric(float64(len(text)), "toml-bytes")
		for b.Loop() {
			parsed, _ := Parse("bundle.toml", text, nil)
			require.NotNil(b, parsed)
		}
	})
}

// BenchmarkVerify measures what a host does with a complete signed bundle that
// it receives: decompress, verify two signatures, decode and validate.
func BenchmarkVerify(b *testing.B) {
	trust := trustIn(2, "anna", "bo")
	benchmarkSizes(b, func(b *testing.B, bundle *config.Bundle) {
		signed := signedBy(b, bundle, "anna", "bo")
		data, err := signed.encodeUnbounded()
		require.NoError(b, err)
		for b.Loop() {
			got, err := decodeUnbounded(data)
			require.NoError(b, err)
			_, err = got.Verify(trust)
			require.NoError(b, err)
		}
		b.ReportMetric(float64(len(signed.Canonical())), "canonical-bytes")
		b.ReportMetric(float64(len(data)), "signed-bytes")
	})
}

// BenchmarkSign measures encoding and signing.
func BenchmarkSign(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, bundle *config.Bundle) {
		for b.Loop() {
			_, err := signedBy(b, bundle, "anna").encodeUnbounded()
			require.NoError(b, err)
		}
	})
}

// BenchmarkDelta measures what a host does with a delta of one changed
// endpoint: apply it to its current bundle and verify the result.
func BenchmarkDelta(b *testing.B) {
	trust := trustIn(2, "anna", "bo")
	benchmarkSizes(b, func(b *testing.B, bundle *config.Bundle) {
		from := signedBy(b, bundle, "anna", "bo")
		bundle.Version++
		bundle.Services[0].Endpoints[0].Weight = 9
		to := signedBy(b, bundle, "anna", "bo")
		data, err := MakeDelta(from, to)
		require.NoError(b, err)
		for b.Loop() {
			got, err := ApplyDelta(from, data)
			require.NoError(b, err)
			_, err = got.Verify(trust)
			require.NoError(b, err)
		}
		b.ReportMetric(float64(len(data)), "delta-bytes")
	})
}

// BenchmarkMakeDelta measures what a host does to send a change to another.
func BenchmarkMakeDelta(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, bundle *config.Bundle) {
		from := signedBy(b, bundle, "anna", "bo")
		bundle.Version++
		bundle.Services[0].Endpoints[0].Weight = 9
		to := signedBy(b, bundle, "anna", "bo")
		for _, s := range []*Signed{from, to} {
			_, err := s.content()
			require.NoError(b, err)
		}
		for b.Loop() {
			_, err := MakeDelta(from, to)
			require.NoError(b, err)
		}
	})
}

// tomlText encodes a bundle in the TOML form.
func tomlText(b *testing.B, bundle *config.Bundle) []byte {
	var out bytes.Buffer
	document := map[string]any{
		"version":   int64(bundle.Version),
		"hash_seed": int64(bundle.HashSeed),
		"domains":   bundle.Domains,
		"service":   tomlServices(bundle),
	}
	require.NoError(b, toml.NewEncoder(&out).Encode(document))
	return out.Bytes()
}

func tomlServices(bundle *config.Bundle) []map[string]any {
	var services []map[string]any
	for _, s := range bundle.Services {
		var endpoints []map[string]any
		for _, e := range s.Endpoints {
			endpoints = append(endpoints, map[string]any{
				"id": int64(e.ID), "name": e.Name, "domain": e.Domain, "address": e.Address.String(),
				"weight": e.Weight, "slots": e.Slots, "max_flows": e.MaxFlows,
			})
		}
		services = append(services, map[string]any{
			"id": int64(s.ID), "name": s.Name, "protocol": s.Protocol.String(), "address": s.Address.String(),
			"group": s.Group, "requests": string(s.Requests), "class": className(s.Class), "dial": string(s.Balance),
			"default_deadline": s.DefaultDeadline.String(), "max_deadline": s.MaxDeadline.String(),
			"endpoint": endpoints,
		})
	}
	return services
}
