package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucangap/internal/config"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestFollower() *Follower {
	return NewFollower("host-1", "gavle", verify)
}

// apply makes the follower put a version from the source in force.
func apply(t *testing.T, f *Follower, source Source, version config.Version) {
	t.Helper()
	require.NoError(t, f.HandleBundle(epoch, source, sign(version, "a")))
	require.Equal(t, ActionPutInForce, f.Decide(epoch).Action)
}

func TestFollowerPrefersNearPeers(t *testing.T) {
	f := newTestFollower()
	require.Equal(t, ActionNoSource, f.Decide(epoch).Action, "it reports that no source is known")
	f.RecordOffer(SourcePlatform, "", refOf(2, "a"))
	f.RecordOffer("far", "falun", refOf(2, "a"))
	f.RecordOffer("near", "gavle", refOf(2, "a"))
	f.RecordOffer("old", "gavle", refOf(1, "a"))
	decision := f.Decide(epoch)
	require.Equal(t, Decision{Action: ActionFetchPeer, Peer: "near", Ref: refOf(2, "a")}, decision)
	require.Equal(t, ActionNone, f.Decide(epoch).Action, "one fetch at a time")
	f.RecordFetchFailure(epoch, "near")
	require.Equal(t, Source("far"), f.Decide(epoch).Peer)
	late := epoch.Add(fetchTimeout)
	f.RecordFetchFailure(late, "near")
	require.Equal(t, ActionFetchPlatform, f.Decide(late).Action, "a peer that does not answer in time has failed")
	require.NoError(t, f.HandleBundle(late, SourcePlatform, sign(2, "a")))
	decision = f.Decide(late)
	require.Equal(t, ActionPutInForce, decision.Action)
	require.Equal(t, config.Version(2), decision.Bundle.Version)
	inForce, signed := f.InForce()
	require.Equal(t, refOf(2, "a"), inForce)
	require.Equal(t, sign(2, "a"), signed)
	require.Equal(t, ActionNone, f.Decide(late).Action)
}

func TestFollowerPrefersPeersOverAStalePlatform(t *testing.T) {
	f := newTestFollower()
	f.RecordOffer(SourcePlatform, "", refOf(3, "a"))
	f.RecordOffer("peer", "falun", refOf(7, "a"))
	decision := f.Decide(epoch)
	require.Equal(t, Source("peer"), decision.Peer, "peers' higher versions are used after a restart")
	apply(t, f, "peer", 7)
	require.NoError(t, f.HandleBundle(epoch, SourcePlatform, sign(3, "a")))
	require.Equal(t, ActionNone, f.Decide(epoch).Action)
	inForce, _ := f.InForce()
	require.Equal(t, config.Version(7), inForce.Version)
}

func TestFollowerWaitsForPeersAtStartup(t *testing.T) {
	f := newTestFollower()
	f.Expect(epoch, []Source{"a", "b", "c"})
	require.Equal(t, ActionNone, f.Decide(epoch).Action)
	f.RecordOffer(SourcePlatform, "", refOf(3, "a"))
	require.Equal(t, ActionFetchPlatform, f.Decide(epoch).Action, "it fetches while it waits")
	require.NoError(t, f.HandleBundle(epoch, SourcePlatform, sign(3, "a")))
	require.Equal(t, ActionNone, f.Decide(epoch).Action, "but does not put it in force yet")
	f.RecordOffer("a", "gavle", Ref{})
	f.RecordOffer("b", "gavle", refOf(7, "a"))
	require.Equal(t, Source("b"), f.Decide(epoch).Peer)
	require.NoError(t, f.HandleBundle(epoch, "b", sign(7, "a")))
	require.Equal(t, ActionNone, f.Decide(epoch).Action)
	f.RemoveSource("c")
	decision := f.Decide(epoch)
	require.Equal(t, ActionPutInForce, decision.Action)
	require.Equal(t, config.Version(7), decision.Ref.Version)

	f = newTestFollower()
	f.Expect(epoch, []Source{"a"})
	require.NoError(t, f.HandleBundle(epoch, SourcePlatform, sign(3, "a")))
	require.Equal(t, ActionPutInForce, f.Decide(epoch.Add(startupWait)).Action, "the wait for a silent peer is bounded")
}

func TestFollowerFetchesALowerVersionDuringAnOutage(t *testing.T) {
	f := newTestFollower()
	f.RecordOffer("a", "gavle", refOf(6, "a"))
	f.RecordOffer("b", "gavle", refOf(5, "a"))
	require.Equal(t, Source("a"), f.Decide(epoch).Peer)
	f.RemoveSource("a")
	require.Equal(t, Source("b"), f.Decide(epoch).Peer)
	apply(t, f, "b", 5)
	f.RemoveSource("b")
	require.Equal(t, ActionNone, f.Decide(epoch).Action, "it keeps the bundle that is in force")
}

func TestFollowerRejectsWrongBytes(t *testing.T) {
	f := newTestFollower()
	f.RecordOffer(SourcePlatform, "", refOf(2, "a"))
	f.RecordOffer("peer", "gavle", refOf(2, "b"))
	require.Equal(t, ActionFetchPlatform, f.Decide(epoch).Action, "the pointer determines the digest")
	require.Error(t, f.HandleBundle(epoch, "peer", []byte("forged")))
	require.ErrorIs(t, f.HandleBundle(epoch, "peer", sign(2, "b")), ErrWrongBundle)
	apply(t, f, SourcePlatform, 2)
	f.RecordOffer("peer", "gavle", refOf(2, "b"))
	diverged, ok := f.Diverged()
	require.True(t, ok)
	require.Equal(t, refOf(2, "b"), diverged)
	require.ErrorIs(t, f.HandleBundle(epoch, "peer", sign(2, "b")), ErrWrongBundle)
	require.Equal(t, ActionNone, f.Decide(epoch).Action, "never two bundles under one version")
}

// TestFollowerVersionNeverDecreases feeds random observations, including false
// offers, forged bytes and unreachable sources, and checks that the version in
// force only grows, that only verified bytes come into force, and that one
// honest source is enough.
func TestFollowerVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFollower()
		now := epoch
		var last Ref
		step := func() {
			decision := f.Decide(now)
			inForce, _ := f.InForce()
			require.GreaterOrEqual(t, inForce.Version, last.Version)
			if inForce.Version == last.Version {
				require.Equal(t, last, inForce)
			}
			if decision.Action == ActionPutInForce {
				require.Equal(t, decision.Ref, inForce)
				require.Equal(t, DigestOf(decision.Signed), inForce.Digest)
			}
			last = inForce
		}
		sources := rapid.SampledFrom([]Source{SourcePlatform, "a", "b", "c"})
		versions := rapid.Uint64Range(1, 9)
		texts := rapid.SampledFrom([]string{"a", "a", "a", "b"})
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			source := sources.Draw(t, "source")
			version, text := config.Version(versions.Draw(t, "version")), texts.Draw(t, "text")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				f.RecordOffer(source, "gavle", refOf(version, text))
			case 1:
				_ = f.HandleBundle(now, source, sign(version, text))
			case 2:
				require.Error(t, f.HandleBundle(now, source, []byte("forged")))
			case 3:
				f.RemoveSource(source)
			case 4:
				f.RecordFetchFailure(now, source)
			}
			step()
		}
		f.RecordOffer("honest", "falun", refOf(10, "a"))
		for range 100 {
			now = now.Add(fetchTimeout)
			decision := f.Decide(now)
			if decision.Peer == "honest" {
				require.NoError(t, f.HandleBundle(now, "honest", sign(10, "a")))
			}
		}
		inForce, _ := f.InForce()
		require.Equal(t, refOf(10, "a"), inForce)
	})
}
