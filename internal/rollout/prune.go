package rollout

import (
	"context"
	"errors"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/config"
	"toucangap/internal/platform"
)

// Prune deletes the bundles below the accepted version except for the highest
// keep of them, so that the platform's memory stays bounded. A deleted version
// can't come into force again, since only versions above the accepted one can.
// It returns the number of bundles deleted, also on an error.
func (s *Store) Prune(ctx context.Context, keep int) (int, error) {
	current, err := s.Current(ctx)
	if err != nil {
		return 0, err
	}
	listing, err := s.client.ListKeys(ctx, prefixBundles)
	if err != nil {
		return 0, err
	}
	old := entriesBelow(listing.Entries, current.Version)
	old = old[:max(0, len(old)-keep)]
	for i, entry := range old {
		swap := platform.Swap{Key: entry.Key, Delete: true, ModRevision: entry.ModRevision}
		_, err := swapUntilKnown(ctx, s.client, swap)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return i, merry.Prepend(err, "prune bundles")
		}
	}
	return len(old), nil
}

// entriesBelow returns the entries of versions lower than the given one, in
// order.
func entriesBelow(entries []platform.Entry, version config.Version) []platform.Entry {
	var out []platform.Entry
	for _, entry := range entries {
		v, err := strconv.ParseUint(strings.TrimPrefix(entry.Key, prefixBundles), 10, 64)
		if err == nil && config.Version(v) < version {
			out = append(out, entry)
		}
	}
	return out
}
