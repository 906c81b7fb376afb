package relayd

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	mathrand "math/rand/v2"
	"slices"
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/event"
	"toucangap/internal/follow"
	"toucangap/platform"
)

const (
	// registrationTTL is how long a dead host stays registered. A long TTL
	// costs little: other hosts notice by themselves that it does not answer,
	// and renewals cost calls to the store.
	registrationTTL = 20 * time.Second
	// renewalsPerTTL is how often a registration is renewed within its TTL.
	renewalsPerTTL = 3
	// missingTolerance is how long after a write the host's own registration may
	// be missing from the replica before it is written again: the update from
	// the store may still be on its way. In a replica that is older than this
	// its absence proves nothing.
	missingTolerance = 3 * time.Second
	// secretBytes is the size of the hosts' shared secret.
	secretBytes = 32
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
	// reregistrationSpread is the time over which hosts register again after a
	// restore of the store: with some hundred hosts, a few hundred calls a second.
	reregistrationSpread = 2 * time.Second
	// registrationRetry is the wait after a failed call: callers' requests do
	// not depend on the registration.
	registrationRetry = 2 * time.Second
)

// registrar registers the host in the store, where other hosts find it.
type registrar struct {
	host    follow.Host
	store   *platform.Store
	control *control
	logger  *slog.Logger
	// shortestLease is the shortest lease that the store grants.
	shortestLease time.Duration
	lease         platform.Lease
	// registeredAt is the position of the registration; zero if it is not known
	// whether the store has it.
	registeredAt catalog.Position
	// stopping is closed to end run; ended is closed when it has returned.
	stopping chan struct{}
	ended    chan struct{}
}

func newRegistrar(host follow.Host, store *platform.Store, c *control, logger *slog.Logger, shortestLease time.Duration) *registrar {
	return &registrar{
		host: host, store: store, control: c, logger: logger, shortestLease: shortestLease,
		stopping: make(chan struct{}), ended: make(chan struct{}),
	}
}

// start keeps the host registered, in the background, once it has received the
// store's state, until deregister is called or the context ends. After deregister it
// does nothing: a shutdown may begin during the start.
func (r *registrar) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-r.stopping:
		case <-ctx.Done():
		}
		cancel()
	}()
	go func() {
		defer close(r.ended)
		defer cancel()
		select {
		case <-r.stopping:
			return
		default:
		}
		r.awaitState(ctx)
		r.run(ctx)
	}()
}

// awaitState waits until the host has received the store's state from any source.
func (r *registrar) awaitState(ctx context.Context) {
	for r.control.progress(ctx).Position.IsZero() && ctx.Err() == nil {
		changed := r.control.Changed()
		select {
		case <-changed:
		case <-time.After(registrationRetry):
		case <-ctx.Done():
		}
	}
}

// run keeps the host registered until the context ends.
func (r *registrar) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.register(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			event.Log(r.logger, event.HostAnnounceFailed, slog.String("error", err.Error()))
			sleep(ctx, registrationRetry)
			continue
		}
		event.Log(r.logger, event.HostAnnounced, slog.Uint64("lease", r.lease.ID))
		r.keepAlive(ctx)
	}
}

// register writes the host's key under a new lease, and a shared secret if the
// store holds none.
func (r *registrar) register(ctx context.Context) error {
	value, err := r.host.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	if secret, stored := r.control.secret(ctx); !stored {
		if err := r.createSecret(ctx, secret); err != nil {
			return err
		}
	}
	if r.lease, err = r.store.Grant(ctx, max(registrationTTL, r.shortestLease)); err != nil {
		return err
	}
	r.registeredAt = catalog.Position{}
	r.registeredAt, err = r.store.Commit(ctx, platform.Transaction{
		Puts: []platform.Put{{Key: platform.HostKey(r.host.Name), Value: value, Lease: r.lease.ID}},
	})
	return err
}

// createSecret writes a shared secret unless there is one: the known one, which the
// store has lost in a restore, or a new one.
func (r *registrar) createSecret(ctx context.Context, known []byte) error {
	secret := known
	if secret == nil {
		secret = make([]byte, secretBytes)
		// Read of crypto/rand never fails.
		_, _ = rand.Read(secret)
	}
	_, err := r.store.Commit(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: platform.SecretKey}},
		Puts:       []platform.Put{{Key: platform.SecretKey, Value: secret}},
	})
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// keepAlive renews the lease until the lease or the host's key is gone, or the
// context ends.
func (r *registrar) keepAlive(ctx context.Context) {
	interval := max(r.lease.TTL/renewalsPerTTL, time.Second)
	for renewed := time.Now(); ctx.Err() == nil; {
		sleep(ctx, min(interval, missingTolerance))
		if ctx.Err() != nil {
			return
		}
		if r.control.progress(ctx).Position.Incarnation > r.lease.Incarnation {
			// The store was restored and may have lost the lease and the key.
			sleep(ctx, mathrand.N(reregistrationSpread))
			return
		}
		if !r.registered(ctx) {
			// The lease has expired unnoticed, or the key was deleted.
			return
		}
		if time.Since(renewed) < interval {
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := r.store.Renew(call, r.lease)
		cancel()
		if errors.Is(err, platform.ErrNotFound) {
			return
		}
		if err != nil {
			event.Log(r.logger, event.HostAnnounceFailed, slog.String("error", err.Error()))
			continue
		}
		renewed = time.Now()
	}
}

// registered reports whether the replica contains the host's registration, or is
// too old to tell.
func (r *registrar) registered(ctx context.Context) bool {
	if r.control.age() > missingTolerance {
		return true
	}
	return slices.ContainsFunc(r.control.hosts(ctx), func(h follow.Host) bool { return h == r.host })
}

// deregister ends run, which would otherwise register the leaving host again, and
// removes the host's key unless it has changed since the registration: a call that is
// executed late must not remove the registration of the host's next process. The lease
// is not revoked, as a restored store may have granted its ID to another host. It is
// called at most once.
func (r *registrar) deregister(ctx context.Context) {
	close(r.stopping)
	select {
	case <-r.ended:
	case <-time.After(callTimeout):
		return
	}
	if r.lease.ID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := platform.HostKey(r.host.Name)
	removal := platform.Transaction{Removals: []string{key}}
	if !r.registeredAt.IsZero() {
		removal.Conditions = []platform.Condition{{Key: key, Revision: r.registeredAt.Revision}}
	}
	if _, err := r.store.Commit(ctx, removal); err != nil {
		event.Log(r.logger, event.HostAnnounceFailed, slog.String("error", err.Error()))
	}
}
