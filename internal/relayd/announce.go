package relayd

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"slices"
	"time"

	"toucangap/internal/event"
	"toucangap/internal/follow"
	"toucangap/platform"
)

const (
	// announceTTL is how long a host that has died stays registered: others
	// find out by themselves that it does not answer, and renewals are calls.
	announceTTL = 20 * time.Second
	// renewals is how often a registration is renewed within its life.
	renewals = 3
	// missingFor is how long the own registration may be missing before it is
	// written anew; the store's news of it may be on their way.
	missingFor = 3 * time.Second
	// secretBytes is the size of the hosts' secret.
	secretBytes = 32
	// callTimeout bounds one call.
	callTimeout = time.Second
	// announceRetry is the wait after a failed call: nothing of callers depends
	// on the registration.
	announceRetry = 2 * time.Second
)

// announcer registers the host in the store, where the others find it.
type announcer struct {
	host    follow.Host
	store   *platform.Store
	control *control
	logger  *slog.Logger
	// shortestLease is the shortest that the store grants.
	shortestLease time.Duration
	lease         platform.Lease
}

// run keeps the host registered until the context ends.
func (a *announcer) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := a.register(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			event.Log(a.logger, event.HostAnnounceFailed, slog.String("error", err.Error()))
			sleep(ctx, announceRetry)
			continue
		}
		event.Log(a.logger, event.HostAnnounced, slog.Uint64("lease", a.lease.ID))
		a.keep(ctx)
	}
}

// register writes the host's key under a new lease, and the secret if there is
// none.
func (a *announcer) register(ctx context.Context) error {
	value, err := a.host.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	if a.control.Secret(ctx) == nil {
		if err := a.offerSecret(ctx); err != nil {
			return err
		}
	}
	if a.lease, err = a.store.Grant(ctx, max(announceTTL, a.shortestLease)); err != nil {
		return err
	}
	_, err = a.store.Commit(ctx, platform.Transaction{
		Puts: []platform.Put{{Key: platform.HostKey(a.host.Name), Value: value, Lease: a.lease.ID}},
	})
	return err
}

// offerSecret writes a secret unless there is one.
func (a *announcer) offerSecret(ctx context.Context) error {
	secret := make([]byte, secretBytes)
	// Read of crypto/rand never fails.
	_, _ = rand.Read(secret)
	_, err := a.store.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: platform.SecretKey}},
		Puts:       []platform.Put{{Key: platform.SecretKey, Value: secret}},
	})
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// keep renews the lease until it or the key is gone.
func (a *announcer) keep(ctx context.Context) {
	interval := max(a.lease.TTL/renewals, time.Second)
	for renewed := time.Now(); ctx.Err() == nil; {
		sleep(ctx, min(interval, missingFor))
		if ctx.Err() != nil {
			return
		}
		if !a.listed(ctx) {
			// The lease ended without a word, or the store took the key away.
			return
		}
		if time.Since(renewed) < interval {
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := a.store.Renew(call, a.lease.ID)
		cancel()
		if errors.Is(err, platform.ErrNotFound) {
			return
		}
		if err != nil {
			event.Log(a.logger, event.HostAnnounceFailed, slog.String("error", err.Error()))
			continue
		}
		renewed = time.Now()
	}
}

// listed reports whether the host finds itself registered, or can't tell.
func (a *announcer) listed(ctx context.Context) bool {
	if a.control.age() > missingFor {
		return true
	}
	return slices.ContainsFunc(a.control.hosts(ctx), func(h follow.Host) bool { return h == a.host })
}

// withdraw ends the registration.
func (a *announcer) withdraw(ctx context.Context) {
	if a.lease.ID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := a.store.End(ctx, a.lease.ID); err != nil {
		event.Log(a.logger, event.HostAnnounceFailed, slog.String("error", err.Error()))
	}
}
