package capacity

import (
	"crypto/ed25519"
	"fmt"
	"runtime"

	"toucangap/internal/bundle"
	"toucangap/internal/config"
	"toucangap/internal/control"
	"toucangap/internal/settings"
	"toucangap/internal/steer"
)

// operatorName names the operator who signs the measured bundles.
const operatorName = "operator"

// Bundles measures what it costs a host to verify, patch and activate a bundle,
// by the number of services.
func Bundles() (Section, error) {
	s := Section{Name: "bundles", Description: "10 endpoints a service; 8 services of the host's own spray group; a change of one endpoint"}
	for _, n := range []int{8, 14, 32, 1000, 12_000} {
		r, err := measureServiceCount(n)
		if err != nil {
			return s, err
		}
		s.Rows = append(s.Rows, r)
	}
	return s, nil
}

// signedPair returns a signed bundle and the next version of it.
func signedPair(b *config.Bundle, key ed25519.PrivateKey) (from, to *bundle.Signed, err error) {
	if from, err = bundle.New(b); err != nil {
		return nil, nil, err
	}
	from.Sign(operatorName, key)
	b.Version++
	b.Services[0].Endpoints[0].Weight = 9
	if to, err = bundle.New(b); err != nil {
		return nil, nil, err
	}
	to.Sign(operatorName, key)
	return from, to, nil
}

func measureServiceCount(services int) (Row, error) {
	seed := make([]byte, ed25519.SeedSize)
	key := ed25519.NewKeyFromSeed(seed)
	trust := settings.BundleTrust{
		Operators: map[string][]byte{operatorName: key.Public().(ed25519.PublicKey)},
		Required:  1,
	}
	from, to, err := signedPair(newBundle(services, 8, endpointsPerService), key)
	if err != nil {
		return Row{}, err
	}
	whole, err := to.Encode()
	if err != nil {
		return Row{}, err
	}
	delta, err := bundle.MakeDelta(from, to)
	if err != nil {
		return Row{}, err
	}
	return measureBundle(services, trust, from, whole, delta)
}

// measureBundle times how a host verifies a whole bundle, applies a delta and
// activates the bundle.
func measureBundle(services int, trust settings.BundleTrust, from *bundle.Signed, whole, delta []byte) (Row, error) {
	rounds := max(3, 200/services)
	var verified *config.Bundle
	var failure error
	before := liveHeapBytes()
	verify := cpuNanoseconds(func() {
		for range rounds {
			signed, err := bundle.DecodeSigned(whole)
			if err == nil {
				verified, err = signed.Verify(trust)
			}
			failure = firstError(failure, err)
		}
	})
	heapGrowth := liveHeapBytes() - before
	apply := cpuNanoseconds(func() {
		for range rounds {
			signed, err := bundle.ApplyDelta(from, delta)
			if err == nil {
				_, err = signed.Verify(trust)
			}
			failure = firstError(failure, err)
		}
	})
	if failure != nil {
		return Row{}, failure
	}
	activate := cpuNanoseconds(func() {
		for range rounds {
			c := control.New(newHost(0), control.Options{Shards: 1, Shared: steer.NewShared()})
			c.SetBundle(0, verified, nil, whole)
			c.Tick(0)
		}
	})
	runtime.KeepAlive(verified)
	per := float64(rounds) * 1e6
	return Row{fmt.Sprintf("services=%d", services), []Value{
		{"whole", "B", float64(len(whole))},
		{"delta", "B", float64(len(delta))},
		{"verify-whole", "ms", verify / per},
		{"apply-delta", "ms", apply / per},
		{"in-force", "ms", activate / per},
		{"held", "MB", heapGrowth / 1e6},
	}}, nil
}

// historyBundles is the number of bundles activated one after another.
const historyBundles = 20

// History measures the memory of a host after many bundles, each built
// separately, have been activated in turn.
func History() (Section, error) {
	s := Section{Name: "history", Description: fmt.Sprintf("control state after %d whole bundles, 8 services of the host's own spray group", historyBundles)}
	for _, n := range []int{8, 1000, 4000, 12_000} {
		before := liveHeapBytes()
		c := control.New(newHost(0), control.Options{Shards: 1, Shared: steer.NewShared()})
		for v := range historyBundles {
			b := newBundle(n, 8, endpointsPerService)
			b.Version = config.Version(v + 1)
			if !c.SetBundle(0, b, nil, nil) {
				return s, fmt.Errorf("bundle version %d was not activated", b.Version)
			}
		}
		s.Rows = append(s.Rows, Row{fmt.Sprintf("services=%d", n), []Value{{"held", "MB", (liveHeapBytes() - before) / 1e6}}})
		runtime.KeepAlive(c)
	}
	return s, nil
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}
