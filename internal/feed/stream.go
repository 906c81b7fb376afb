package feed

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"toucangap/internal/catalog"
	"toucangap/internal/feed/feedpb"
	"toucangap/internal/follow"
	"toucangap/platform"
)

const (
	// partBytes is the size of the parts of a large update. A small change waits for one
	// part at each client.
	partBytes = 8 << 10
	// smallValueBytes is the size of a value up to which it goes ahead of larger ones.
	// Endpoints' entries and hosts' registrations have some hundred bytes.
	smallValueBytes = 2 << 10
	// sendBufferBytes bounds what the kernel queues for a client: a small change waits
	// for what is queued for all of them.
	sendBufferBytes = 16 << 10
)

// stream sends updates to one client.
type stream struct {
	server *Server
	conn   *connection
	client client
	// ping is the client's last one.
	ping ping
	// transfer is the large update that is being sent, or nil.
	transfer *transfer
	// sentAhead holds the positions of changes that the client has received before the
	// update that is complete up to them, by key.
	sentAhead map[string]catalog.Position
}

// transfer is a large update that is sent in parts, after its small changes.
type transfer struct {
	// ahead holds small changes that are not sent yet, of this update and later ones.
	ahead []platform.Change
	// recoveryGrace is the rest of the server's recovery grace period.
	recoveryGrace time.Duration
	// rest is what is left of the update's encoding.
	rest []byte
	// progress is how much of the store's state the client has after the update.
	progress follow.Progress
}

// run sends updates until the client disconnects, the context ends or sending fails: one
// for each ping, at each change and, to hosts that exchange failure reports, when reports
// were added.
func (s *stream) run(ctx context.Context, pings <-chan ping) error {
	var connected bool
	var added <-chan struct{}
	if s.ping, connected = <-pings; !connected {
		return nil
	}
	for connected {
		if s.client.exchanges {
			added = s.server.Exchange.ReportAdded(s.client.host)
		}
		changed := s.server.Source.Changed()
		if err := s.update(ctx); err != nil {
			return err
		}
		var err error
		if connected, err = s.await(ctx, pings, changed, added); err != nil {
			return err
		}
	}
	return nil
}

// await returns once an update is due, and reports whether the client is still
// connected. Meanwhile it sends the transfer, at whose end an update is due as well.
func (s *stream) await(ctx context.Context, pings <-chan ping, changed, added <-chan struct{}) (connected bool, err error) {
	for s.transfer != nil {
		// At least one part, so that the transfer goes on however often updates are due.
		if ended, err := s.sendNext(); ended || err != nil {
			return true, err
		}
		select {
		case <-changed:
			return true, nil
		case <-added:
			return true, nil
		case s.ping, connected = <-pings:
			return connected, nil
		case <-ctx.Done():
			return false, context.Cause(ctx)
		default:
		}
	}
	select {
	case <-changed:
	case <-added:
		time.Sleep(batchDelay)
	case s.ping, connected = <-pings:
		return connected, nil
	case <-ctx.Done():
		return false, context.Cause(ctx)
	}
	return true, nil
}

// update sends what the client is missing, or begins to: what does not fit into one part
// becomes a transfer. During one it only sends small changes and failure reports.
func (s *stream) update(ctx context.Context) error {
	progress := s.client.progress
	if s.transfer != nil {
		progress = s.transfer.progress
	}
	batch, err := s.server.Source.Since(ctx, progress)
	if err != nil {
		return err
	}
	if batch.Position.Incarnation < progress.Position.Incarnation {
		return ErrBehind
	}
	s.removeSent(&batch)
	if s.transfer != nil {
		s.queueAhead(&batch)
		return s.sendAhead()
	}
	after := follow.Progress{
		Position: progress.Position.Max(batch.Position),
		Version:  max(progress.Version, batch.Version),
	}
	update, err := s.server.newUpdate(&batch, s.ping, s.client)
	if err != nil {
		return err
	}
	if !s.client.acceptsParts || proto.Size(update) <= partBytes {
		s.recordSent(batch.Changes)
		if err := s.conn.send(update, writeTimeout); err != nil {
			return err
		}
		s.advance(after)
		return nil
	}
	return s.begin(&batch, after)
}

// begin begins the transfer of a batch, which brings the client to the progress.
func (s *stream) begin(batch *follow.Batch, progress follow.Progress) error {
	s.transfer = &transfer{progress: progress}
	large := *batch
	if !batch.Complete {
		s.queueAhead(batch)
		large.Changes = slices.DeleteFunc(slices.Clone(batch.Changes), isSmall)
	}
	update, err := s.server.newUpdate(&large, s.ping, s.client)
	if err != nil {
		return err
	}
	// By the end of the transfer the reports are outdated; they are in the partial updates.
	update.Sightings = nil
	s.transfer.rest, err = proto.Marshal(update)
	return err
}

// isSmall reports whether a change goes ahead of larger ones.
func isSmall(c platform.Change) bool { return len(c.Value) <= smallValueBytes }

// queueAhead adds the small changes of a batch to those that go ahead of the transfer. A
// complete batch is sent whole: it tells by what it lacks which keys do not exist.
func (s *stream) queueAhead(batch *follow.Batch) {
	s.transfer.recoveryGrace = batch.RecoveryGrace
	if batch.Complete {
		return
	}
	for i := range batch.Changes {
		if isSmall(batch.Changes[i]) {
			s.transfer.ahead = append(s.transfer.ahead, batch.Changes[i])
		}
	}
	s.recordSent(s.transfer.ahead)
}

// sendAhead sends a partial update with failure reports and as many small changes as fit
// into one part, unless there are none of either.
func (s *stream) sendAhead() error {
	t := s.transfer
	fit, size := 0, 0
	for fit < len(t.ahead) && (fit == 0 || size <= partBytes) {
		size += len(t.ahead[fit].Value)
		fit++
	}
	update, err := s.server.newUpdate(&follow.Batch{
		Position:      catalog.Position{Incarnation: t.progress.Position.Incarnation},
		RecoveryGrace: t.recoveryGrace,
		Changes:       t.ahead[:fit],
	}, s.ping, s.client)
	if err != nil {
		return err
	}
	t.ahead = t.ahead[fit:]
	update.Partial = true
	if len(update.Changes) == 0 && len(update.Sightings) == 0 {
		return nil
	}
	return s.conn.send(update, writeTimeout)
}

// sendNext sends the next small changes or the next part of the transfer, and reports
// whether that was the last one.
func (s *stream) sendNext() (ended bool, err error) {
	t := s.transfer
	if len(t.ahead) > 0 {
		return false, s.sendAhead()
	}
	size := min(len(t.rest), partBytes)
	part := &feedpb.News{Part: t.rest[:size], LastPart: size == len(t.rest)}
	t.rest = t.rest[size:]
	if err := s.conn.send(part, writeTimeout); err != nil {
		return false, err
	}
	if len(t.rest) > 0 {
		return false, nil
	}
	s.transfer = nil
	s.advance(t.progress)
	return true, nil
}

// advance records that the client has the progress.
func (s *stream) advance(progress follow.Progress) {
	s.client.progress = progress
	for key, position := range s.sentAhead {
		if !position.After(progress.Position) {
			delete(s.sentAhead, key)
		}
	}
}

// recordSent records changes that the client has before the update that is complete up to
// them.
func (s *stream) recordSent(changes []platform.Change) {
	for i := range changes {
		s.sentAhead[changes[i].Key] = changes[i].Position()
	}
}

// removeSent removes from a batch what the client has already.
func (s *stream) removeSent(batch *follow.Batch) {
	if batch.Complete {
		return
	}
	batch.Changes = slices.DeleteFunc(batch.Changes, func(c platform.Change) bool {
		position, sent := s.sentAhead[c.Key]
		return sent && position == c.Position()
	})
}
