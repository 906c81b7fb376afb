package traffic

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"time"

	"toucangap/internal/event"
	"toucangap/internal/packet"
	"toucangap/internal/steer"
)

// socketRole identifies the listening address that a socket is bound to.
type socketRole uint8

const (
	callerSocket socketRole = iota
	endpointSocket
	peerSocket
	socketRoleCount
)

// String returns the role's name as used in logs.
func (s socketRole) String() string {
	return [socketRoleCount]string{"callers", "endpoints", "peers"}[s]
}

const (
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 10 * time.Millisecond
	// maxDrainReads is the maximum number of reads during shutdown.
	maxDrainReads = 64
)

// reader decodes the datagrams of one socket and queues them on the shards.
type reader struct {
	plane      *Plane
	socketRole socketRole
	input      *batchReader
	counters   *counters
	decoder    *packet.Decoder
	pool       pool
	frames     [batchSize]*frame
	// pending holds a batch being filled for each shard, or nil.
	pending []*batch
}

// newReader returns a reader for the socket. It fails with ErrListen.
func newReader(p *Plane, s socketRole, conn *net.UDPConn) (*reader, error) {
	input, err := newBatchReader(conn)
	if err != nil {
		return nil, err
	}
	r := &reader{
		plane:      p,
		socketRole: s,
		input:      input,
		counters:   newCounters(),
		decoder:    packet.NewDecoder(p.classifier.ReadsRequests),
		pending:    make([]*batch, len(p.shards)),
	}
	for i := range r.frames {
		r.frames[i] = r.pool.frame()
		input.setBuffer(i, r.frames[i].datagram())
	}
	return r, nil
}

// run reads until the socket's read deadline passes or the socket is closed.
func (r *reader) run() {
	failing := false
	for {
		n, err := r.input.read()
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			r.drain()
			return
		}
		if err != nil {
			r.readFailed(err, failing)
			failing = true
			continue
		}
		failing = false
		r.process(n)
	}
}

// drain processes the datagrams that arrived before shutdown. The number of
// reads is bounded, since senders may continue to send.
func (r *reader) drain() {
	for range maxDrainReads {
		n := r.input.tryRead()
		if n == 0 {
			return
		}
		r.process(n)
	}
}

// process decodes the datagrams in the first n slots and queues them on the
// shards.
func (r *reader) process(n int) {
	r.counters.received.Add(int64(n))
	for i := range n {
		r.processSlot(i)
	}
	r.enqueuePending()
}

// readFailed counts a failed read, logs it if the previous read succeeded, and
// sleeps for readRetryDelay.
func (r *reader) readFailed(err error, again bool) {
	r.counters.readErrors.Add(1)
	if !again {
		event.Log(r.plane.logger, event.TrafficReadFailed,
			slog.String("socket", r.socketRole.String()), slog.String("error", err.Error()))
	}
	time.Sleep(readRetryDelay)
}

// processSlot decodes the datagram in slot i and adds it to the batch of its
// shard.
func (r *reader) processSlot(i int) {
	f := r.frames[i]
	f.start, f.end = headroom, headroom+r.input.length(i)
	defect := r.decode(f, r.input.source(i))
	if defect != packet.DefectNone {
		r.counters.defects[defect].Add(1)
		return
	}
	replacement := r.pool.frame()
	if replacement == nil {
		r.counters.queueFull.Add(1)
		return
	}
	r.frames[i] = replacement
	r.input.setBuffer(i, replacement.datagram())
	shard := r.plane.shardOf(f.packet.Key)
	if r.pending[shard] == nil {
		r.pending[shard] = r.pool.batch()
	}
	r.pending[shard].add(f)
}

// decode decodes the datagram into the frame's packet by the rules for the
// reader's socket role.
func (r *reader) decode(f *frame, from netip.AddrPort) packet.Defect {
	switch r.socketRole {
	case callerSocket:
		return r.decoder.Decode(f.inner(), steer.FromCaller, &f.packet)
	case endpointSocket:
		defect := r.decoder.Decode(f.inner(), steer.FromEndpoint, &f.packet)
		f.packet.Endpoint = from
		return defect
	}
	if !r.plane.isPeer(from) {
		return packet.DefectPeer
	}
	header, inner, defect := packet.ParseHop(f.inner())
	if defect != packet.DefectNone {
		return defect
	}
	f.start = f.end - len(inner)
	defect = r.decoder.Decode(inner, header.Direction, &f.packet)
	f.packet.Hop = header.Hop
	f.packet.Endpoint = header.Endpoint
	return defect
}

// enqueuePending queues the pending batches on their shards and drops those
// whose queue is full.
func (r *reader) enqueuePending() {
	for i, b := range r.pending {
		if b == nil {
			continue
		}
		r.pending[i] = nil
		select {
		case r.plane.shards[i].queue <- b:
		default:
			r.counters.queueFull.Add(int64(b.length))
			b.release()
		}
	}
}
