package traffic

import (
	"context"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/packet"
	"toucangap/internal/reply"
	"toucangap/internal/steer"
)

// ErrStopped is returned for a task submitted to a shard that has stopped.
var ErrStopped = merry.Sentinel("shard has stopped")

// Capacities of a shard's queues.
const (
	// queueLength is the capacity of the queue of frame batches.
	queueLength = 128
	// taskQueueLength is the capacity of the task queue.
	taskQueueLength = 64
	// maxBatchesPerFlush is the maximum number of batches processed before a flush.
	maxBatchesPerFlush = 4
)

// Shard processes the packets of the flows whose fingerprints select it.
type Shard struct {
	decider  Decider
	now      func() time.Duration
	fabric   netip.AddrPort
	queue    chan *batch
	tasks    chan Task
	stopped  chan struct{}
	counters *counters
	replies  *reply.Builder
	// senders are indexed by socket role.
	senders [socketRoleCount]*sender
	// unsent holds the batches whose packets have not been sent yet.
	unsent []*batch
}

// Do queues a task on the shard. It blocks until the task is queued, not until
// it has run. Tasks still queued when the shard stops never run, so code that
// waits for a result must watch Stopped as well. Do fails with ErrStopped or the
// context's error.
func (s *Shard) Do(ctx context.Context, t Task) error {
	select {
	case s.tasks <- t:
		return nil
	case <-s.stopped:
		return ErrStopped
	case <-ctx.Done():
		return merry.Wrap(ctx.Err())
	}
}

// Stopped returns a channel that is closed when the shard has stopped.
func (s *Shard) Stopped() <-chan struct{} {
	return s.stopped
}

// Return sends a copy of an inner packet to the caller through the fabric. It
// must be called only by tasks on the shard's goroutine.
func (s *Shard) Return(inner []byte) {
	s.senders[callerSocket].send(append([]byte(nil), inner...), s.fabric)
	s.counters.replied.Add(1)
}

// Reply builds and sends a reply to the caller of p, without an original packet
// (see reply.Builder.Build). It must be called only by tasks on the shard's
// goroutine. The errors are those of Build.
func (s *Shard) Reply(kind steer.ReplyKind, p *steer.Packet, reason steer.Reason, retryAfter time.Duration) error {
	inner, err := s.replies.Build(kind, p, nil, retryAfter)
	if err != nil {
		s.counters.unbuiltReplies.Add(1)
		return err
	}
	s.Return(inner)
	countReason(s.counters.replies, reason)
	return nil
}

// run processes batches and tasks until the queue is closed and empty.
func (s *Shard) run() {
	defer close(s.stopped)
	for {
		select {
		case b, open := <-s.queue:
			if !open {
				return
			}
			s.processBatches(b)
		case t := <-s.tasks:
			t.Run(s.now())
			s.flush()
		}
	}
}

// processBatches processes a batch and those queued behind it, then flushes.
func (s *Shard) processBatches(b *batch) {
	now := s.now()
	for b != nil {
		for _, f := range b.frames[:b.length] {
			s.decide(now, f)
		}
		s.unsent = append(s.unsent, b)
		b = s.nextBatch()
	}
	s.flush()
}

// nextBatch returns a queued batch, or nil if none is queued or a flush is due.
func (s *Shard) nextBatch() *batch {
	if len(s.unsent) == maxBatchesPerFlush {
		return nil
	}
	select {
	case b := <-s.queue:
		return b
	default:
		return nil
	}
}

// decide gets the verdict on one packet and executes it.
func (s *Shard) decide(now time.Duration, f *frame) {
	v := s.decider.Packet(now, &f.packet)
	switch v.Action {
	case steer.ActionForward:
		packet.DecrementHopLimit(f.inner())
		s.senders[endpointSocket].send(f.inner(), v.Endpoint)
		s.counters.forwarded.Add(1)
	case steer.ActionReturn:
		packet.DecrementHopLimit(f.inner())
		s.senders[callerSocket].send(f.inner(), s.fabric)
		s.counters.returned.Add(1)
	case steer.ActionPass:
		s.pass(f, v)
	case steer.ActionReply:
		s.reply(f, v)
	default:
		countReason(s.counters.drops, v.Reason)
	}
}

// pass sends a packet with a hop header to a peer.
func (s *Shard) pass(f *frame, v steer.Verdict) {
	header := packet.HopHeader{Hop: v.Hop, Direction: f.packet.Direction}
	if header.Direction == steer.FromEndpoint {
		header.Endpoint = f.packet.Endpoint
	}
	packet.DecrementHopLimit(f.inner())
	s.senders[peerSocket].send(f.withHop(header), v.Peer)
	s.counters.passed.Add(1)
}

// reply sends a generated reply to a packet. The reply replaces the packet in its
// frame, which holds it until it has been sent.
func (s *Shard) reply(f *frame, v steer.Verdict) {
	inner, err := s.replies.Build(v.Reply, &f.packet, f.inner(), v.RetryAfter)
	if err != nil {
		s.counters.unbuiltReplies.Add(1)
		return
	}
	f.replace(inner)
	s.senders[callerSocket].send(f.inner(), s.fabric)
	s.counters.replied.Add(1)
	countReason(s.counters.replies, v.Reason)
}

// flush sends all queued packets and releases their frames.
func (s *Shard) flush() {
	for _, sender := range s.senders {
		sender.flush()
	}
	for i, b := range s.unsent {
		b.release()
		s.unsent[i] = nil
	}
	s.unsent = s.unsent[:0]
}
