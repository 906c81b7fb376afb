package rollout

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"toucangap/internal/event"
	"toucangap/internal/platform"
)

// pollInterval is the time between reads of the pointer by a host that neither
// watches the platform nor reaches a peer; jitter only shortens it.
const pollInterval = 30 * time.Second

// The call rates of a failure domain: the watchers share one budget, and every
// other host has a small rate for its registration and for reads while it
// reaches no peer.
const (
	domainCallsPerSecond = 20.0
	idleCallsPerSecond   = 0.05
)

// Role determines how often a Runner calls the platform.
type Role struct {
	// Watcher is set if the host watches the platform for its failure domain.
	Watcher bool
	// PeersReachable is set if bundles can be fetched from a peer.
	PeersReachable bool
}

// Runner does a host's platform I/O for bundles, marks and the list of hosts.
// It watches while the host is elected, and otherwise polls the pointer at a
// low rate as long as no peer is reachable. What it reads goes to Updates, for
// the goroutine that owns the control state.
type Runner struct {
	client  *platform.Client
	logger  *slog.Logger
	roles   chan Role
	fetches chan Ref
	updates chan Update

	// The fields below belong to the goroutine of Run.
	role     Role
	nextPoll time.Time
	// lastPointer is the latest pointer seen; it is reported again after an
	// outage.
	lastPointer Ref
	// reachableKnown is set once reachable has been determined.
	reachableKnown bool
	reachable      bool
}

// NewRunner returns a runner; Run starts its work. The runner sets the call
// rate of the client according to its role.
func NewRunner(client *platform.Client, logger *slog.Logger) *Runner {
	return &Runner{
		client:  client,
		logger:  logger,
		roles:   make(chan Role, 1),
		fetches: make(chan Ref, 1),
		updates: make(chan Update),
	}
}

// Updates returns the channel of updates. It is closed when Run ends.
func (r *Runner) Updates() <-chan Update {
	return r.updates
}

// SetRole changes the role; only the latest one counts. It does not block.
func (r *Runner) SetRole(role Role) {
	replace(r.roles, role)
}

// Fetch requests a bundle; the result is UpdateBundle or UpdateFetchFailed. A
// later request replaces one that has not been started. It does not block.
func (r *Runner) Fetch(ref Ref) {
	replace(r.fetches, ref)
}

// replace puts a value into a channel of size 1, discarding what it holds. Only
// one goroutine at a time may call it for a channel.
func replace[T any](ch chan T, value T) {
	select {
	case <-ch:
	default:
	}
	select {
	case ch <- value:
	default:
	}
}

// Run calls the platform according to the role until the context ends, and then
// closes Updates. It must be called only once.
func (r *Runner) Run(ctx context.Context) {
	fetched := make(chan struct{})
	go func() {
		defer close(fetched)
		r.fetchLoop(ctx)
	}()
	r.client.SetCallRate(idleCallsPerSecond)
	r.poll(ctx)
	for ctx.Err() == nil {
		if r.role.Watcher {
			r.watch(ctx)
		} else {
			r.idle(ctx)
		}
	}
	<-fetched
	close(r.updates)
}

// idle waits for a change of role or for the next poll. It skips the poll while a
// peer is reachable.
func (r *Runner) idle(ctx context.Context) {
	due := make(chan struct{})
	clock := r.client.Clock()
	stop := clock.AfterFunc(r.nextPoll.Sub(clock.Now()), func() { close(due) })
	defer stop()
	select {
	case r.role = <-r.roles:
	case <-due:
		if r.role.PeersReachable {
			r.schedulePoll()
			return
		}
		r.poll(ctx)
	case <-ctx.Done():
	}
}

// schedulePoll sets the time of the next read of the pointer.
func (r *Runner) schedulePoll() {
	r.nextPoll = r.client.Clock().Now().Add(r.client.Jitter(pollInterval))
}

// poll reads the pointer once.
func (r *Runner) poll(ctx context.Context) {
	defer r.schedulePoll()
	entry, err := r.client.Get(ctx, keyAccepted)
	switch {
	case err == nil:
		r.setReachable(ctx, nil)
		r.reportPointer(ctx, entry)
	case errors.Is(err, platform.ErrNotFound):
		r.setReachable(ctx, nil)
	case errors.Is(err, platform.ErrUnreachable):
		r.setReachable(ctx, err)
	}
}

// The indexes of the key ranges that a watcher watches.
const (
	rangeAccepted = iota
	rangeMarks
	rangeHosts
)

// watch reports the platform's changes until the host is no longer elected.
func (r *Runner) watch(ctx context.Context) {
	event.Log(r.logger, event.PlatformWatchStarted)
	defer event.Log(r.logger, event.PlatformWatchStopped)
	r.client.SetCallRate(domainCallsPerSecond / WatchersPerDomain)
	defer r.client.SetCallRate(idleCallsPerSecond)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changes := r.client.Watch(ctx,
		platform.KeyRange(keyAccepted),
		platform.PrefixRange(prefixMarks),
		platform.PrefixRange(prefixHosts),
	)
	for {
		select {
		case r.role = <-r.roles:
			if !r.role.Watcher {
				return
			}
		case change, open := <-changes:
			if !open {
				return
			}
			r.handleChange(ctx, change)
		}
	}
}

// handleChange turns a change into updates.
func (r *Runner) handleChange(ctx context.Context, change platform.Change) {
	switch change.Kind {
	case platform.ChangeDown:
		r.setReachable(ctx, change.Err)
		return
	case platform.ChangeUp:
		r.setReachable(ctx, nil)
		return
	}
	r.setReachable(ctx, nil)
	switch change.Range {
	case rangeAccepted:
		r.handleAccepted(ctx, change)
	case rangeMarks:
		r.handleMarks(ctx, change)
	case rangeHosts:
		r.handleHosts(ctx, change)
	}
}

func (r *Runner) handleAccepted(ctx context.Context, change platform.Change) {
	for _, entry := range changedEntries(change) {
		r.reportPointer(ctx, entry)
	}
}

func (r *Runner) handleMarks(ctx context.Context, change platform.Change) {
	for _, entry := range changedEntries(change) {
		mark, err := markFromEntry(entry)
		if err != nil {
			r.logMalformed(entry.Key, err)
			continue
		}
		r.send(ctx, Update{Kind: UpdateMark, Mark: mark})
	}
}

func (r *Runner) handleHosts(ctx context.Context, change platform.Change) {
	if change.Kind == platform.ChangeDelete {
		r.send(ctx, Update{Kind: UpdateHostRemoved, Name: change.Entry.Key[len(prefixHosts):]})
		return
	}
	update := Update{Kind: UpdateHost}
	if change.Kind == platform.ChangeReset {
		update.Kind = UpdateHosts
	}
	for _, entry := range changedEntries(change) {
		host, err := hostFromEntry(entry)
		if err != nil {
			r.logMalformed(entry.Key, err)
			continue
		}
		update.Hosts = append(update.Hosts, host)
	}
	if update.Kind == UpdateHosts || len(update.Hosts) > 0 {
		r.send(ctx, update)
	}
}

// changedEntries returns the entries that a change wrote.
func changedEntries(change platform.Change) []platform.Entry {
	switch change.Kind {
	case platform.ChangeReset:
		return change.Entries
	case platform.ChangePut:
		return []platform.Entry{change.Entry}
	}
	return nil
}

// reportPointer reports the pointer, also when its version is lower than
// before: the follower decides how to handle it.
func (r *Runner) reportPointer(ctx context.Context, entry platform.Entry) {
	pointer, err := decodePointer(&entry)
	if err != nil {
		r.logMalformed(entry.Key, err)
		return
	}
	r.lastPointer = pointer.Ref
	r.send(ctx, Update{Kind: UpdatePointer, Ref: pointer.Ref})
}

// setReachable reports a change of the platform's reachability; a nil error
// means that it answers. After an outage the last pointer is reported again, since
// the follower has dropped the platform's offer.
func (r *Runner) setReachable(ctx context.Context, err error) {
	up := err == nil
	if r.reachableKnown && r.reachable == up {
		return
	}
	recovered := r.reachableKnown && up
	r.reachableKnown, r.reachable = true, up
	switch {
	case !up:
		event.Log(r.logger, event.PlatformUnreachable, slog.String("error", err.Error()))
		r.send(ctx, Update{Kind: UpdateUnreachable, Err: err})
		return
	case recovered:
		event.Log(r.logger, event.PlatformReachable)
	}
	r.send(ctx, Update{Kind: UpdateReachable})
	if recovered && r.lastPointer.Version != 0 {
		r.send(ctx, Update{Kind: UpdatePointer, Ref: r.lastPointer})
	}
}

// logMalformed logs a value that can't be decoded.
func (r *Runner) logMalformed(key string, err error) {
	event.Log(r.logger, event.PlatformValueMalformed, slog.String("key", key), slog.String("error", err.Error()))
}

// fetchLoop reads the requested bundles, one at a time.
func (r *Runner) fetchLoop(ctx context.Context) {
	for {
		select {
		case ref := <-r.fetches:
			r.fetch(ctx, ref)
		case <-ctx.Done():
			return
		}
	}
}

// fetch reads one bundle. Its signatures are checked by the follower.
func (r *Runner) fetch(ctx context.Context, ref Ref) {
	entry, err := r.client.Get(ctx, bundleKey(ref.Version))
	if err == nil && DigestOf(entry.Value) != ref.Digest {
		err = ErrWrongBundle
	}
	if err != nil {
		r.send(ctx, Update{Kind: UpdateFetchFailed, Ref: ref, Err: err})
		return
	}
	r.send(ctx, Update{Kind: UpdateBundle, Ref: ref, Signed: entry.Value})
}

// send sends an update unless the context ends first.
func (r *Runner) send(ctx context.Context, update Update) {
	select {
	case r.updates <- update:
	case <-ctx.Done():
	}
}
