package engine

import (
	"log/slog"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/bundle"
	"toucangap/internal/config"
	"toucangap/internal/control"
	"toucangap/internal/event"
	"toucangap/internal/rollout"
)

// loadInitialBundle gives the follower the bundle file from the settings, if any.
func (e *Engine) loadInitialBundle() error {
	path := e.settings.Bundle.Initial
	if path == "" {
		return nil
	}
	signed, err := os.ReadFile(path)
	if err != nil {
		return merry.Prepend(err, "read the initial bundle")
	}
	if err := e.follower.HandleBundle(time.Now(), initialSource, signed); err != nil {
		return merry.Prepend(err, "load the initial bundle")
	}
	return nil
}

// initialSource is the follower's source name for the bundle file from the
// settings. It is no valid host name.
const initialSource rollout.Source = "initial bundle"

// verifyBundle verifies the signatures of a bundle with the keys in the settings.
func (e *Engine) verifyBundle(data []byte) (*config.Bundle, error) {
	signed, err := bundle.DecodeSigned(data)
	if err != nil {
		return nil, err
	}
	return signed.Verify(e.settings.Bundle)
}

// observePeers passes the peers' offers and fetched bundles to the follower.
func (e *Engine) observePeers(offers []control.Offer, fetched []control.FetchedBundle) {
	now := time.Now()
	for _, o := range offers {
		e.platformLost[o.Host] = o.Message.PlatformLost
		ref, err := rollout.RefFromPeer(o.Message)
		if err != nil {
			continue
		}
		e.follower.RecordOffer(rollout.Source(o.Host), o.Domain, ref)
	}
	for _, f := range fetched {
		if err := e.follower.HandleBundle(now, rollout.Source(f.Host), f.Signed); err != nil {
			e.logBundleRefused(f.Host, err)
		}
	}
}

func (e *Engine) logBundleRefused(source string, err error) {
	event.Log(e.logger, event.BundleRefused, slog.String("source", source), slog.String("error", err.Error()))
}

// applyBundleDecision carries out the follower's decision. A bundle that control
// rejected, since the peers were still confirming a baseline, is tried again
// first. If the settings name peers, nothing is done until peerOfferWait after
// the start.
func (e *Engine) applyBundleDecision(now time.Duration) {
	if now < peerOfferWait && len(e.settings.Peers) > 0 {
		return
	}
	if e.pendingBundle != nil && !e.putInForce(now, *e.pendingBundle) {
		return
	}
	d := e.follower.Decide(time.Now())
	switch d.Action {
	case rollout.ActionPutInForce:
		e.putInForce(now, d)
	case rollout.ActionFetchPeer:
		if !e.control.RequestBundle(string(d.Peer)) {
			e.follower.RecordFetchFailure(time.Now(), d.Peer)
		}
	case rollout.ActionFetchPlatform:
		if e.runner != nil {
			e.runner.Fetch(d.Ref)
		}
	case rollout.ActionNoSource:
		e.logNoBundle(now)
	}
}

// peerOfferWait is how long a starting host waits for its peers' offers, so
// that a platform that returns outdated data is not followed just because it
// answers first.
const peerOfferWait = 2 * time.Second

// putInForce passes a bundle to control and reports whether that bundle or a
// newer one is in force.
func (e *Engine) putInForce(now time.Duration, d rollout.Decision) bool {
	digest := d.Ref.Digest
	current := e.control.Bundle()
	if current != nil && current.Version >= d.Bundle.Version {
		e.pendingBundle = nil
		return true
	}
	if !e.control.SetBundle(now, d.Bundle, digest[:], d.Signed) {
		e.pendingBundle = &d
		return false
	}
	e.pendingBundle = nil
	event.Log(e.logger, event.BundleInForce,
		slog.Uint64("version", uint64(d.Bundle.Version)),
		slog.String("digest", digest.String()))
	return true
}

// noBundleLogPeriod is how often the lack of a bundle is logged.
const noBundleLogPeriod = 10 * time.Second

// logNoBundle logs that this host serves nothing because it has no bundle.
func (e *Engine) logNoBundle(now time.Duration) {
	if e.noBundleLoggedAt != 0 && now-e.noBundleLoggedAt < noBundleLogPeriod {
		return
	}
	e.noBundleLoggedAt = now
	event.Log(e.logger, event.NoBundle)
}
