package rollout

import (
	"cmp"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/config"
	"toucangap/internal/flow"
)

// The timeouts of a Follower.
const (
	// fetchTimeout is how long one fetch may take before another source is
	// tried.
	fetchTimeout = 1500 * time.Millisecond
	// minSourceBackoff is how long a source is not used after a failed fetch; it
	// doubles with each consecutive failure up to maxSourceBackoff.
	minSourceBackoff = 500 * time.Millisecond
	maxSourceBackoff = 2 * time.Second
	// invalidBundleBackoff is how long a source is not used after it sent bytes
	// that were rejected.
	invalidBundleBackoff = 30 * time.Second
	// startupWait bounds how long a starting host waits for its peers' offers
	// before it puts a bundle in force.
	startupWait = 2 * time.Second
)

// Source identifies where a bundle comes from: a peer's name, or
// SourcePlatform.
type Source string

// SourcePlatform is the platform; no host has an empty name.
const SourcePlatform Source = ""

// Action is the step that a Follower asks for.
type Action uint8

// The actions.
const (
	// ActionNone asks for nothing.
	ActionNone Action = iota
	// ActionFetchPlatform asks to read Decision.Ref from the platform.
	ActionFetchPlatform
	// ActionFetchPeer asks to request Decision.Ref from Decision.Peer.
	ActionFetchPeer
	// ActionPutInForce asks to apply Decision.Bundle. The follower counts it as
	// in force from then on.
	ActionPutInForce
	// ActionNoSource reports that no bundle is in force and that neither the
	// platform nor a peer offers one: the host should serve nothing and report
	// it.
	ActionNoSource
)

// Decision is the result of Follower.Decide.
type Decision struct {
	Action Action
	// Ref is the bundle to fetch or to put in force.
	Ref Ref
	// Peer is the source for ActionFetchPeer.
	Peer Source
	// Bundle and Signed are set for ActionPutInForce.
	Bundle *config.Bundle
	Signed []byte
}

// offer is a bundle that a source has, with the state of the source.
type offer struct {
	ref    Ref
	domain string
	// failures counts consecutive failures; the source is not used before
	// retryAfter.
	failures   int
	retryAfter time.Time
}

// fetch is a fetch in progress.
type fetch struct {
	source   Source
	ref      Ref
	deadline time.Time
}

// Follower decides which bundle a host has in force. It does no I/O and has no
// clock: observations and the time come in, decisions go out. It takes the
// highest version that the platform or any peer offers, never moves to a lower
// one, and verifies all bytes whatever their source. It is not safe for
// concurrent use.
type Follower struct {
	self   string
	domain string
	verify VerifyFunc

	inForce Ref
	signed  []byte
	// offers holds the latest offer of each source; that of the platform is the
	// bundle that its pointer names.
	offers map[Source]*offer
	// expected holds the peers that were not heard from since the start;
	// waitUntil bounds the wait for them.
	expected  map[Source]bool
	waitUntil time.Time
	// accepted is the bundle of the highest version that the platform's pointer
	// has named.
	accepted Ref
	// fetching is nil when no fetch is in progress.
	fetching *fetch
	// pending is a verified bundle that is not in force yet.
	pending *Decision
	// diverged is a different bundle seen under the version in force.
	diverged Ref
}

// NewFollower returns a follower for the named host with no bundle in force.
func NewFollower(self, domain string, verify VerifyFunc) *Follower {
	return &Follower{self: self, domain: domain, verify: verify, offers: make(map[Source]*offer)}
}

// InForce returns the bundle in force, with a zero Ref if there is none, and
// its signed form to send to peers.
func (f *Follower) InForce() (Ref, []byte) {
	return f.inForce, f.signed
}

// Diverged returns a different bundle that was offered under the version in
// force. This happens only if a host was started from a file that was never
// accepted. A higher version resolves it.
func (f *Follower) Diverged() (Ref, bool) {
	return f.diverged, f.diverged.Version != 0 && f.diverged.Version == f.inForce.Version
}

// Expect makes a starting host wait up to 2 s for the first offers of the peers
// that it is about to reach, so that a platform with stale data does not win by
// being faster. It has no effect once a bundle is in force.
func (f *Follower) Expect(now time.Time, peers []Source) {
	f.expected = make(map[Source]bool, len(peers))
	for _, peer := range peers {
		f.expected[peer] = true
	}
	f.waitUntil = now.Add(startupWait)
}

// waitingForPeers reports whether a starting host must not put a bundle in force
// yet: startupWait is running, and an expected peer has made no offer so far or a
// source offers a higher version than that of the pending bundle.
func (f *Follower) waitingForPeers(now time.Time) bool {
	if f.inForce.Version != 0 || !now.Before(f.waitUntil) {
		return false
	}
	return len(f.expected) > 0 || f.highestOffer() > f.floor()
}

// highestOffer returns the highest version that a source offers; 0 means none.
func (f *Follower) highestOffer() config.Version {
	var version config.Version
	for _, known := range f.offers {
		version = max(version, known.ref.Version)
	}
	return version
}

// RecordOffer records that a source has a bundle: the platform by its pointer,
// or a peer by an offer. The domain is the peer's; it is not used for the
// platform. An offer below the source's earlier one replaces it, since the
// source may have restarted, but never lowers the version in force. A zero ref
// means that the source has no bundle; it only ends the wait for the source's
// first offer.
func (f *Follower) RecordOffer(source Source, domain string, ref Ref) {
	delete(f.expected, source)
	if ref.Version == 0 {
		return
	}
	if ref.Version == f.inForce.Version && ref.Digest != f.inForce.Digest {
		f.diverged = ref
	}
	if source == SourcePlatform && ref.Version > f.accepted.Version {
		f.accepted = ref
	}
	known := f.offers[source]
	if known == nil {
		known = &offer{}
		f.offers[source] = known
	}
	if ref.Version > known.ref.Version {
		// A newer bundle cancels the backoff.
		known.retryAfter = time.Time{}
	}
	known.ref = ref
	known.domain = domain
}

// RemoveSource records that a source is unreachable, which also ends a fetch from
// it. A later offer restores it.
func (f *Follower) RemoveSource(source Source) {
	delete(f.expected, source)
	delete(f.offers, source)
	f.endFetch(source)
}

// HandleBundle handles bytes from a source. Bytes that fail verification, or
// that are not the bundle that was offered under their version, are rejected
// with an error and count as a failure of the source. A lower version than
// requested also counts as a failure, without an error. A bundle whose version is
// not above the one in force or pending is dropped.
func (f *Follower) HandleBundle(now time.Time, source Source, signed []byte) error {
	requested := f.endFetch(source)
	bundle, ref, err := verifyBundle(f.verify, signed)
	if err != nil {
		f.backOff(now, source, invalidBundleBackoff)
		return err
	}
	if f.contradicts(ref) {
		f.backOff(now, source, invalidBundleBackoff)
		return merry.Prependf(ErrWrongBundle, "version %d with digest %s", ref.Version, ref.Digest)
	}
	if ref.Version < requested.Version {
		f.recordFailure(now, source)
	} else if known := f.offers[source]; known != nil {
		known.failures = 0
	}
	if ref.Version <= f.floor() {
		return nil
	}
	f.pending = &Decision{Action: ActionPutInForce, Ref: ref, Bundle: bundle, Signed: signed}
	return nil
}

// contradicts reports whether another bundle is known under the version of ref.
// The first of these that has the version decides: the accepted bundle that the
// platform's pointer has named, the bundle in force, the sources' offers. Offers
// contradict ref only if none of them is ref itself.
func (f *Follower) contradicts(ref Ref) bool {
	if f.accepted.Version == ref.Version {
		return f.pointerContradicts(ref)
	}
	if ref.Version == f.inForce.Version {
		return ref != f.inForce
	}
	other := false
	for _, known := range f.offers {
		if known.ref == ref {
			return false
		}
		other = other || known.ref.Version == ref.Version
	}
	return other
}

// pointerContradicts reports whether the platform's pointer has named another
// bundle under the version.
func (f *Follower) pointerContradicts(ref Ref) bool {
	return f.accepted.Version == ref.Version && f.accepted.Digest != ref.Digest
}

// RecordFetchFailure records that a fetch from the source has failed.
func (f *Follower) RecordFetchFailure(now time.Time, source Source) {
	f.endFetch(source)
	f.recordFailure(now, source)
}

// endFetch ends the fetch in progress if it is from the source, and returns the
// requested ref.
func (f *Follower) endFetch(source Source) Ref {
	if f.fetching == nil || f.fetching.source != source {
		return Ref{}
	}
	requested := f.fetching.ref
	f.fetching = nil
	return requested
}

// recordFailure backs off from a source that did not answer, or answered with a
// lower version than requested.
func (f *Follower) recordFailure(now time.Time, source Source) {
	known := f.offers[source]
	if known == nil {
		return
	}
	wait := minSourceBackoff
	for range known.failures {
		wait = min(maxSourceBackoff, 2*wait)
	}
	known.failures++
	f.backOff(now, source, wait)
}

// backOff stops using the source for the given time, or until it offers a newer
// bundle.
func (f *Follower) backOff(now time.Time, source Source, wait time.Duration) {
	if known := f.offers[source]; known != nil {
		known.retryAfter = now.Add(wait)
	}
}

// Decide returns what to do now. It asks for one fetch at a time, and counts a
// fetch without a result after fetchTimeout as failed.
func (f *Follower) Decide(now time.Time) Decision {
	if f.pending != nil && !f.waitingForPeers(now) {
		return f.putInForce()
	}
	if f.fetching != nil && now.Before(f.fetching.deadline) {
		return Decision{}
	}
	if f.fetching != nil {
		f.RecordFetchFailure(now, f.fetching.source)
	}
	if source, ref, ok := f.chooseSource(now); ok {
		return f.startFetch(now, source, ref)
	}
	if f.inForce.Version == 0 && len(f.offers) == 0 && !f.waitingForPeers(now) {
		return Decision{Action: ActionNoSource}
	}
	return Decision{}
}

// floor returns the version that a bundle must exceed to be fetched or to become
// pending: that of the pending bundle or else of the one in force, 0 if there is
// neither.
func (f *Follower) floor() config.Version {
	if f.pending != nil {
		return f.pending.Ref.Version
	}
	return f.inForce.Version
}

// putInForce puts the pending bundle in force.
func (f *Follower) putInForce() Decision {
	decision := *f.pending
	f.pending = nil
	f.inForce = decision.Ref
	f.signed = decision.Signed
	return decision
}

func (f *Follower) startFetch(now time.Time, source Source, ref Ref) Decision {
	f.fetching = &fetch{source: source, ref: ref, deadline: now.Add(fetchTimeout)}
	if source == SourcePlatform {
		return Decision{Action: ActionFetchPlatform, Ref: ref}
	}
	return Decision{Action: ActionFetchPeer, Ref: ref, Peer: source}
}

// chooseSource returns the best available source of the highest version.
func (f *Follower) chooseSource(now time.Time) (Source, Ref, bool) {
	var best Source
	found := false
	for source, known := range f.offers {
		if known.ref.Version <= f.floor() || now.Before(known.retryAfter) {
			continue
		}
		if !found || f.compare(source, best) < 0 {
			best, found = source, true
		}
	}
	if !found {
		return SourcePlatform, Ref{}, false
	}
	return best, f.offers[best].ref, true
}

// compare orders sources, the better one first: a higher version before a lower
// one, bundles that the pointer does not contradict before others, peers before
// the platform, this host's domain before others, and then by rendezvous hashing,
// so that hosts do not all ask the same peer.
func (f *Follower) compare(a, b Source) int {
	x, y := f.offers[a], f.offers[b]
	return cmp.Or(
		cmp.Compare(y.ref.Version, x.ref.Version),
		trueFirst(!f.pointerContradicts(x.ref), !f.pointerContradicts(y.ref)),
		trueFirst(a != SourcePlatform, b != SourcePlatform),
		trueFirst(x.domain == f.domain, y.domain == f.domain),
		cmp.Compare(f.rendezvousScore(b), f.rendezvousScore(a)),
		cmp.Compare(a, b),
	)
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// rendezvousScore ranks peers differently on every host.
func (f *Follower) rendezvousScore(source Source) uint64 {
	return flow.Score(flow.Fingerprint(flow.HashName(f.self)), flow.HashName(string(source)))
}
