package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/platform/gateway"
)

// Range is the set of keys from Key up to but without End, or Key alone when
// End is empty.
type Range struct {
	Key string
	End string
}

// KeyRange returns the range of one key.
func KeyRange(key string) Range {
	return Range{Key: key}
}

// PrefixRange returns the range of all keys that start with the prefix, which
// must not be empty.
func PrefixRange(prefix string) Range {
	return Range{Key: prefix, End: string(prefixEnd([]byte(prefix)))}
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// The kinds of change.
const (
	// ChangeReset carries all entries of a range, which replace those reported
	// before. It comes first for each range, and again after a gap in the
	// history.
	ChangeReset ChangeKind = iota + 1
	// ChangePut carries one entry that was written.
	ChangePut
	// ChangeDelete carries the key of an entry that was deleted or whose lease
	// ended.
	ChangeDelete
	// ChangeDown reports that the platform can't be reached at present. It may
	// come repeatedly before ChangeUp.
	ChangeDown
	// ChangeUp reports that the watch works again after ChangeDown.
	ChangeUp
)

// Change is one message of a watch.
type Change struct {
	Kind ChangeKind
	// Range is an index into the watched ranges; unused for ChangeDown and
	// ChangeUp.
	Range int
	// Entry is set for ChangePut, and its Key for ChangeDelete.
	Entry Entry
	// Entries is set for ChangeReset.
	Entries []Entry
	// Revision is the store's revision of the change; 0 for ChangeDown and
	// ChangeUp.
	Revision int64
	// Err is set for ChangeDown.
	Err error
}

// The reasons for a watch session to end other than a network failure.
var (
	errIdleTimeout      = merry.Sentinel("watch received no message before the idle timeout")
	errRevisionWentBack = merry.Sentinel("platform's revision is lower than one seen before")
	errUnreadable       = merry.Sentinel("message of the watch can't be read")
)

// Watch reports the content of the ranges and every change from then on, over
// one connection. It continues after failures: it resumes after the last
// revision seen, and reads the range again when that history was compacted, the
// platform's revision is lower, or a message can't be read or does not arrive
// whole. The channel is closed after ctx has ended.
func (c *Client) Watch(ctx context.Context, ranges ...Range) <-chan Change {
	w := &watcher{
		client:       c,
		ranges:       ranges,
		nextRevision: make([]int64, len(ranges)),
		out:          make(chan Change),
	}
	go w.run(ctx)
	return w.out
}

// watcher is the state of one Watch.
type watcher struct {
	client *Client
	ranges []Range
	// nextRevision is the first revision not yet reported, by range; 0 requests
	// a read.
	nextRevision []int64
	// failures counts failed sessions since a watch was last established.
	failures int
	// unreadable counts the sessions that ended by an unreadable message since a change was
	// reported from a stream.
	unreadable int
	// reportedDown is set if ChangeDown was reported and ChangeUp was not yet.
	reportedDown bool
	out          chan Change
}

// run opens sessions one after another until the context ends.
func (w *watcher) run(ctx context.Context) {
	defer close(w.out)
	for ctx.Err() == nil {
		err := w.session(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errIdleTimeout) {
			continue
		}
		w.failures++
		if errors.Is(err, errUnreadable) {
			w.unreadable++
		}
		if !hasResponded(err) {
			w.reportedDown = true
			w.send(ctx, Change{Kind: ChangeDown, Err: err})
		}
		if Sleep(ctx, w.client.options.Clock, w.client.Backoff(max(w.failures, w.unreadable), MaxBackoff)) != nil {
			return
		}
	}
}

// hasResponded reports whether a session ended by a response of the platform, so
// that the platform isn't down.
func hasResponded(err error) bool {
	return errors.Is(err, errCompacted) || errors.Is(err, errRevisionWentBack) || errors.Is(err, errUnreadable)
}

// session reads the ranges without a known revision, opens a stream and reports
// its messages until the stream ends.
func (w *watcher) session(ctx context.Context) error {
	if err := w.reset(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	response, err := w.open(ctx, cancel)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return w.receive(ctx, cancel, response.Body)
}

// reset reads and reports every range without a known revision.
func (w *watcher) reset(ctx context.Context) error {
	for i, r := range w.ranges {
		if w.nextRevision[i] != 0 {
			continue
		}
		request := gateway.RangeRequest{Key: w.client.fullKey(r.Key), RangeEnd: w.end(r)}
		listing, err := w.client.list(ctx, request)
		if err != nil {
			return err
		}
		change := Change{Kind: ChangeReset, Range: i, Entries: listing.Entries, Revision: listing.Revision}
		if !w.send(ctx, change) {
			return context.Cause(ctx)
		}
		w.nextRevision[i] = listing.Revision + 1
	}
	return nil
}

// end returns the end of a range as the gateway expects it, with the prefix.
func (w *watcher) end(r Range) []byte {
	if r.End == "" {
		return nil
	}
	return w.client.fullKey(r.End)
}

// open sends the watch requests and waits for the response headers.
func (w *watcher) open(ctx context.Context, cancel context.CancelCauseFunc) (*http.Response, error) {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	for i, r := range w.ranges {
		if err := w.client.admit(); err != nil {
			return nil, err
		}
		create := &gateway.WatchCreateRequest{
			Key:           w.client.fullKey(r.Key),
			RangeEnd:      w.end(r),
			StartRevision: w.nextRevision[i],
			WatchID:       int64(i) + 1,
		}
		if err := encoder.Encode(gateway.WatchRequest{Create: create}); err != nil {
			return nil, merry.Prepend(err, "encode watch")
		}
	}
	options := w.client.options
	stop := options.Clock.AfterFunc(options.Timeout, func() { cancel(errTimeout) })
	defer stop()
	response, _, err := w.client.post(ctx, w.client.watches, gateway.PathWatch, body.Bytes())
	if err != nil {
		return nil, classify(err, idempotent)
	}
	return response, nil
}

// receive reports messages until the stream ends or the idle timeout expires. After a
// message that can't be read the ranges are read again: the stream would begin with the
// same message.
func (w *watcher) receive(ctx context.Context, cancel context.CancelCauseFunc, body io.Reader) error {
	idle := &idleReader{body: body, client: w.client, expire: func() { cancel(errIdleTimeout) }}
	decoder := json.NewDecoder(idle)
	for {
		idle.start()
		var message gateway.WatchResponse
		err := decoder.Decode(&message)
		idle.stop()
		if err != nil && (idle.err == nil || idle.read-decoder.InputOffset() > maxSpace) {
			clear(w.nextRevision)
			return merry.Wrap(errUnreadable, merry.WithCause(err))
		}
		if errors.Is(context.Cause(ctx), errIdleTimeout) {
			return errIdleTimeout
		}
		if err != nil {
			return merry.Wrap(ErrUnreachable, merry.WithCause(err))
		}
		if message.Error != nil {
			return merry.Prependf(ErrUnreachable, "watch ended: %s", message.Error.Message)
		}
		if err := w.handle(ctx, message.Result); err != nil {
			return err
		}
	}
}

// maxSpace is the number of bytes between two messages, at most.
const maxSpace = 8

// minProgress is how much of a message must arrive within the idle timeout, in bytes: a
// large message over a slow link takes longer than that as a whole.
const minProgress = 1 << 10

// idleReader reads a stream and calls expire after the idle timeout.
type idleReader struct {
	body   io.Reader
	client *Client
	expire func()
	stop   func() bool
	// read is the number of bytes read, progress their number at the start of the timeout.
	read, progress int64
	// err is the error of the stream, if it has ended.
	err error
}

// start starts the timeout.
func (r *idleReader) start() {
	r.progress = r.read
	r.stop = r.client.options.Clock.AfterFunc(r.client.Jitter(r.client.options.WatchIdle), r.expire)
}

// Read implements io.Reader.
func (r *idleReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	r.read += int64(n)
	r.err = err
	if r.read-r.progress >= minProgress {
		r.stop()
		r.start()
	}
	return n, err
}

// handle reports one message of the stream.
func (w *watcher) handle(ctx context.Context, result gateway.WatchResult) error {
	i := int(result.WatchID) - 1
	if i < 0 || i >= len(w.ranges) {
		return merry.Prependf(ErrUnreachable, "watch response has unknown watch ID %d", result.WatchID)
	}
	if result.CompactRevision > 0 {
		w.nextRevision[i] = 0
		return merry.Wrap(errCompacted)
	}
	if result.Canceled {
		return merry.Prependf(ErrUnreachable, "watch canceled: %s", result.CancelReason)
	}
	if result.Created {
		return w.handleCreated(ctx, i, result.Header.Revision)
	}
	return w.report(ctx, i, result.Events)
}

// handleCreated checks that the platform's revision has reached the one that the
// watch resumes from.
func (w *watcher) handleCreated(ctx context.Context, i int, revision int64) error {
	if revision < w.nextRevision[i]-1 {
		w.nextRevision[i] = 0
		return merry.Wrap(errRevisionWentBack)
	}
	w.failures = 0
	if w.reportedDown {
		w.reportedDown = false
		w.send(ctx, Change{Kind: ChangeUp})
	}
	return nil
}

// report sends a Change for each event of one message.
func (w *watcher) report(ctx context.Context, i int, events []gateway.Event) error {
	for _, event := range events {
		change := Change{Kind: ChangePut, Range: i, Entry: w.client.entry(event.KV), Revision: event.KV.ModRevision}
		if event.Type == gateway.EventDelete {
			change.Kind = ChangeDelete
		}
		if !w.send(ctx, change) {
			return context.Cause(ctx)
		}
		w.unreadable = 0
		w.nextRevision[i] = max(w.nextRevision[i], event.KV.ModRevision+1)
	}
	return nil
}

// send reports the change and returns false if the context ends first.
func (w *watcher) send(ctx context.Context, change Change) bool {
	select {
	case w.out <- change:
		return true
	case <-ctx.Done():
		return false
	}
}
