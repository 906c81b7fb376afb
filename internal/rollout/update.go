package rollout

import (
	"time"

	"toucangap/internal/config"
)

// UpdateKind is what an Update reports.
type UpdateKind uint8

// The kinds of update.
const (
	// UpdatePointer carries the Ref that the platform's pointer names.
	UpdatePointer UpdateKind = iota + 1
	// UpdateBundle carries the Signed bundle that Fetch requested.
	UpdateBundle
	// UpdateFetchFailed reports that the fetch of Ref failed with Err.
	UpdateFetchFailed
	// UpdateReachable reports that the platform answers.
	UpdateReachable
	// UpdateUnreachable reports that the platform stopped answering, with Err.
	UpdateUnreachable
	// UpdateMark carries one Mark from the platform.
	UpdateMark
	// UpdateHosts carries the platform's complete list of Hosts.
	UpdateHosts
	// UpdateHost carries one host that was written, in Hosts.
	UpdateHost
	// UpdateHostRemoved carries the name of a host that was removed from the
	// list.
	UpdateHostRemoved
)

// Update is one message of a Runner.
type Update struct {
	Kind   UpdateKind
	Ref    Ref
	Signed []byte
	Mark   Mark
	Hosts  []config.Host
	Name   string
	Err    error
}

// Observe passes the update to the follower if it concerns bundles. It fails if
// the update carried a bundle that was rejected.
func (f *Follower) Observe(now time.Time, update Update) error {
	switch update.Kind {
	case UpdatePointer:
		f.RecordOffer(SourcePlatform, f.domain, update.Ref)
	case UpdateUnreachable:
		f.RemoveSource(SourcePlatform)
	case UpdateFetchFailed:
		f.RecordFetchFailure(now, SourcePlatform)
	case UpdateBundle:
		return f.HandleBundle(now, SourcePlatform, update.Signed)
	}
	return nil
}
