package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/config"
	"toucangap/internal/event"
	"toucangap/internal/platform"
)

// The times of a registration. The list of hosts only introduces hosts to each
// other, and hosts detect by probes who is alive, so the lease can be long. Each
// host makes two calls, a renewal and a read, every 100 to 200 s.
const (
	// RegistrationTTL is the lifetime of the lease without renewal.
	RegistrationTTL = 10 * time.Minute
	// renewInterval is the time between renewals; jitter only shortens it.
	renewInterval = RegistrationTTL / 3
	// maxRegisterBackoff is the longest wait between attempts during an outage.
	maxRegisterBackoff = time.Minute
)

// Registrar maintains the host's entry in the platform's list of hosts.
type Registrar struct {
	client *platform.Client
	logger *slog.Logger
	// updated holds at most one signal that host has changed.
	updated chan struct{}

	mu    sync.Mutex
	host  config.Host
	lease platform.Lease
	// fencingToken is the revision of the last write of the entry; 0 means
	// none.
	fencingToken int64
}

// NewRegistrar returns the registrar of a host; Run registers it.
func NewRegistrar(client *platform.Client, logger *slog.Logger, host config.Host) *Registrar {
	return &Registrar{client: client, logger: logger, host: host, updated: make(chan struct{}, 1)}
}

// Update changes the registered host and makes Run write it.
func (r *Registrar) Update(host config.Host) {
	r.mu.Lock()
	r.host = host
	r.mu.Unlock()
	select {
	case r.updated <- struct{}{}:
	default:
	}
}

// Guard returns the fencing token to add to writes that are made on behalf of
// the registration, and whether the lease is certainly valid now. A host that
// was paused may unknowingly hold an outdated token; the platform then rejects
// its write with platform.ErrFenced.
func (r *Registrar) Guard() (platform.Guard, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	guard := platform.Guard{Key: hostKey(r.host.Name), ModRevision: r.fencingToken}
	return guard, r.fencingToken != 0 && r.client.Clock().Now().Before(r.lease.Until)
}

// Run registers the host and renews its lease until the context ends, and then
// returns the context's cause. It returns ErrSuperseded if a newer incarnation
// has registered under the name. Other failures are retried.
func (r *Registrar) Run(ctx context.Context) error {
	for failures := 0; ; {
		err := r.refresh(ctx)
		wait := r.client.Jitter(renewInterval)
		switch {
		case errors.Is(err, ErrSuperseded):
			event.Log(r.logger, event.HostSuperseded, slog.String("host", r.snapshot().Name))
			return err
		case err != nil:
			failures++
			wait = r.client.Backoff(failures, maxRegisterBackoff)
		default:
			failures = 0
		}
		if !r.wait(ctx, wait) {
			return context.Cause(ctx)
		}
	}
}

// wait sleeps for the duration or until the host has changed, and returns false
// if the context has ended.
func (r *Registrar) wait(ctx context.Context, d time.Duration) bool {
	done := make(chan struct{})
	stop := r.client.Clock().AfterFunc(d, func() { close(done) })
	defer stop()
	select {
	case <-done:
	case <-r.updated:
	case <-ctx.Done():
		return false
	}
	return true
}

// refresh renews the lease, or takes a new one, and writes the entry if needed.
func (r *Registrar) refresh(ctx context.Context) error {
	lease, err := r.renew(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.lease = lease
	r.mu.Unlock()
	return r.write(ctx, lease)
}

// renew keeps the lease alive or, if it has expired, takes a new one.
func (r *Registrar) renew(ctx context.Context) (platform.Lease, error) {
	r.mu.Lock()
	id := r.lease.ID
	r.mu.Unlock()
	if id == 0 {
		return r.client.Grant(ctx, RegistrationTTL)
	}
	lease, err := r.client.KeepAlive(ctx, id)
	if !errors.Is(err, platform.ErrNotFound) {
		return lease, err
	}
	event.Log(r.logger, event.HostLeaseExpired, slog.String("host", r.snapshot().Name))
	r.mu.Lock()
	r.lease, r.fencingToken = platform.Lease{}, 0
	r.mu.Unlock()
	return r.client.Grant(ctx, RegistrationTTL)
}

// write stores the entry on the platform unless it is there already.
func (r *Registrar) write(ctx context.Context, lease platform.Lease) error {
	host := r.snapshot()
	value, err := json.Marshal(host)
	if err != nil {
		return merry.Prepend(err, "encode host")
	}
	existing, err := r.readEntry(ctx, hostKey(host.Name))
	if err != nil {
		return err
	}
	if existing.Lease == lease.ID && string(existing.Value) == string(value) {
		r.setToken(existing.ModRevision)
		return nil
	}
	if registered, err := hostFromEntry(existing); err == nil && registered.Incarnation > host.Incarnation {
		return merry.Prependf(ErrSuperseded, "host %s is registered with incarnation %d", host.Name, registered.Incarnation)
	}
	swap := platform.Swap{Key: hostKey(host.Name), Value: value, ModRevision: existing.ModRevision, Lease: lease.ID}
	revision, err := r.client.CompareAndSwap(ctx, swap)
	if err != nil {
		// The next refresh reads whether the write took effect.
		return err
	}
	r.setToken(revision)
	event.Log(r.logger, event.HostRegistered, slog.String("host", host.Name), slog.Int64("token", revision))
	return nil
}

// readEntry reads the entry from the platform; it is empty if there is none.
// Once registered, a read that may be stale is enough to see that nothing has
// changed.
func (r *Registrar) readEntry(ctx context.Context, key string) (platform.Entry, error) {
	r.mu.Lock()
	registered := r.fencingToken != 0
	r.mu.Unlock()
	read := r.client.GetLatest
	if registered {
		read = r.client.Get
	}
	entry, err := read(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Entry{}, nil
	}
	return entry, err
}

func (r *Registrar) setToken(token int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fencingToken = token
}

func (r *Registrar) snapshot() config.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.host
}

// Withdraw removes the entry at a graceful shutdown, after Run has returned.
func (r *Registrar) Withdraw(ctx context.Context) error {
	r.mu.Lock()
	id := r.lease.ID
	r.lease, r.fencingToken = platform.Lease{}, 0
	r.mu.Unlock()
	if id == 0 {
		return nil
	}
	return r.client.Revoke(ctx, id)
}

// Hosts reads the platform's list of hosts in the order of their names;
// malformed entries are left out.
func Hosts(ctx context.Context, client *platform.Client) ([]config.Host, error) {
	listing, err := client.List(ctx, prefixHosts)
	if err != nil {
		return nil, err
	}
	var hosts []config.Host
	for _, entry := range listing.Entries {
		if host, err := hostFromEntry(entry); err == nil {
			hosts = append(hosts, host)
		}
	}
	return hosts, nil
}

func hostKey(name string) string {
	return prefixHosts + name
}

// hostFromEntry decodes a host from its key and value.
func hostFromEntry(entry platform.Entry) (config.Host, error) {
	var host config.Host
	if err := json.Unmarshal(entry.Value, &host); err != nil {
		return host, merry.Prepend(err, "decode host")
	}
	if hostKey(host.Name) != entry.Key {
		return host, merry.Errorf("host %q is stored under key %q", host.Name, entry.Key)
	}
	return host, nil
}
