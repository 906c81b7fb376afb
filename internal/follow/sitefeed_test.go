package follow

import (
	"slices"

	"pgregory.net/rapid"

	"toucangap/internal/catalog"
	"toucangap/platform"
)

// siteFeed is a feed as package feed sends it: an update may be sent in parts, while small
// changes go ahead.
type siteFeed struct {
	from     *siteHost
	proven   bool
	progress Progress
	// rest is the update that is being sent in parts, or nil.
	rest *Batch
}

// connect begins a feed from another host unless that refuses it.
func (h *siteHost) connect(from *siteHost) {
	theirs, _ := from.replica.Secret()
	own, _ := h.replica.Secret()
	if theirs == nil || from == h || own != nil && string(own) != string(theirs) {
		return
	}
	h.feed = &siteFeed{from: from, proven: own != nil, progress: h.replica.Progress()}
}

// receive receives the next update, part or small changes of a host's feed.
func (h *siteHost) receive() {
	f := h.feed
	if f.rest != nil && rapid.Bool().Draw(h.site.t, "last part") {
		b := *f.rest
		f.rest = nil
		h.deliver(b)
		return
	}
	b := f.from.replica.Since(h.site.now, f.progress)
	if b.Position.Incarnation < f.progress.Position.Incarnation {
		h.feed = nil
		return
	}
	if !f.proven {
		b.Withheld = []string{platform.SecretKey}
		b.Changes = slices.DeleteFunc(b.Changes, func(c platform.Change) bool { return c.Key == platform.SecretKey })
	}
	inParts := rapid.Bool().Draw(h.site.t, "in parts")
	if f.rest == nil {
		f.progress = Progress{Position: f.progress.Position.Max(b.Position), Version: max(f.progress.Version, b.Version)}
		if !inParts {
			h.deliver(b)
			return
		}
		f.rest = &b
	}
	if !b.Complete {
		ahead := Batch{Partial: true, Position: catalog.Position{Incarnation: f.progress.Position.Incarnation}, Withheld: b.Withheld}
		for _, c := range b.Changes {
			if len(c.Value) <= maxUnusableValue/4 {
				ahead.Changes = append(ahead.Changes, c)
			}
		}
		h.deliver(ahead)
	}
}

// deliver passes on a batch of a feed as a host does.
func (h *siteHost) deliver(b Batch) {
	h.incarnation = max(h.incarnation, b.Position.Incarnation)
	h.withheld = len(b.Withheld) > 0 || h.withheld && !b.Complete
	h.apply(b)
	if len(b.Withheld) == 0 {
		h.follower.Resume(b.Position)
	}
}
