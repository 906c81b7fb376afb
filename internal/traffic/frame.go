package traffic

import (
	"sync"

	"toucangap/internal/packet"
	"toucangap/internal/steer"
)

// Sizes of buffers, batches and pools.
const (
	// batchSize is the maximum number of datagrams per system call.
	batchSize = 32
	// headroom is the space in bytes reserved before a datagram for a hop header.
	headroom = packet.MaxHopLength
	// datagramLength is the maximum length in bytes of a datagram read whole.
	datagramLength = packet.MaxHopLength + packet.MaxPacket
	// framesPerReader bounds the frames of one reader, and so its packets that
	// are waiting for shards.
	framesPerReader = 1024
)

// frame holds one packet from its arrival until it has been sent.
type frame struct {
	packet steer.Packet
	// start and end bound the inner packet within buffer.
	start, end int
	buffer     [headroom + datagramLength]byte
}

// inner returns the inner packet.
func (f *frame) inner() []byte {
	return f.buffer[f.start:f.end]
}

// datagram returns the part of the buffer that a datagram is read into.
func (f *frame) datagram() []byte {
	return f.buffer[headroom:]
}

// withHop returns the inner packet preceded by a hop header.
func (f *frame) withHop(h packet.HopHeader) []byte {
	start := f.start - h.Length()
	packet.AppendHop(f.buffer[start:start], h)
	return f.buffer[start:f.end]
}

// replace stores another packet in the frame, truncated to the buffer.
func (f *frame) replace(inner []byte) {
	f.start = headroom
	f.end = headroom + copy(f.datagram(), inner)
}

// batch is a group of frames queued together on one shard.
type batch struct {
	origin *pool
	length int
	frames [batchSize]*frame
}

// add appends a frame. The batch must not be full.
func (b *batch) add(f *frame) {
	b.frames[b.length] = f
	b.length++
}

// pool recycles the frames and batches of one reader.
type pool struct {
	mu sync.Mutex
	// allocated counts the frames allocated so far, at most framesPerReader.
	allocated int
	frames    []*frame
	batches   []*batch
}

// frame returns a free frame, or nil if all of them are in use.
func (p *pool) frame() *frame {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.frames); n > 0 {
		f := p.frames[n-1]
		p.frames = p.frames[:n-1]
		return f
	}
	if p.allocated == framesPerReader {
		return nil
	}
	p.allocated++
	return &frame{}
}

// batch returns an empty batch.
func (p *pool) batch() *batch {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.batches); n > 0 {
		b := p.batches[n-1]
		p.batches = p.batches[:n-1]
		return b
	}
	return &batch{origin: p}
}

// release returns a batch and its frames to their pool.
func (b *batch) release() {
	p := b.origin
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frames = append(p.frames, b.frames[:b.length]...)
	b.length = 0
	p.batches = append(p.batches, b)
}
