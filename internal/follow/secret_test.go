package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/platform"
	"toucangap/platform/platformtest"
)

// TestUnreadableSecretIsNotRemoved: a listing whose secret can't be read counts as one in
// which there is none, and peers are no longer told of it.
func TestUnreadableSecretIsNotRemoved(t *testing.T) {
	prepare := func(s *platformtest.Store) { s.Put(platform.SecretKey, []byte("secret")) }
	followStore(t, prepare, func(r *storeReader) {
		time.Sleep(time.Second)
		r.put(1, "ready", 2)
		r.store.SetTrouble(platformtest.UnreadableSecret())
		time.Sleep(storeBound)
		r.mu.Lock()
		defer r.mu.Unlock()
		secret, stored := r.replica.Secret()
		require.Equal(t, "secret", string(secret))
		require.True(t, stored)
	})
}

// TestEmptySecretEndsNoFeeds: without a secret a host refuses all feeds, so that one empty value
// sends all hosts to the store.
func TestEmptySecretEndsNoFeeds(t *testing.T) {
	followStore(t, func(s *platformtest.Store) { s.Put(platform.SecretKey, []byte("secret")) }, func(r *storeReader) {
		time.Sleep(time.Second)
		r.store.Put(platform.SecretKey, []byte{})
		r.drains(1)
		r.mu.Lock()
		defer r.mu.Unlock()
		secret, stored := r.replica.Secret()
		require.Equal(t, "secret", string(secret))
		require.True(t, stored)
	})
}
