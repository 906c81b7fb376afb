package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"toucangap/internal/peerpb"
)

// budget delays batches of records that would bring the control bytes sent within
// any one second above perSecond. The other messages, on which the protocol itself
// depends, are counted but never delayed, even beyond the limit.
type budget struct {
	perSecond int
	// sent holds the bytes sent within the last second, by send time.
	sent       []sentBytes
	usedBytes  int
	totalBytes int64
	// deferrals counts how often records had to wait.
	deferrals int64
}

type sentBytes struct {
	at    Time
	bytes int
}

// expire drops entries that are a second old or older.
func (b *budget) expire(now Time) {
	n := 0
	for n < len(b.sent) && now-b.sent[n].at >= time.Second {
		b.usedBytes -= b.sent[n].bytes
		n++
	}
	rest := copy(b.sent, b.sent[n:])
	b.sent = b.sent[:rest]
}

// spend counts a frame that is sent now.
func (b *budget) spend(now Time, bytes int) {
	b.sent = append(b.sent, sentBytes{now, bytes})
	b.usedBytes += bytes
	b.totalBytes += int64(bytes)
}

// remaining returns how many bytes may still be sent now; it can be negative.
func (b *budget) remaining() int {
	return b.perSecond - b.usedBytes
}

// wireSize estimates the bytes of a frame with the message on the wire.
func wireSize(m *peerpb.Envelope) int {
	return proto.Size(m) + frameOverhead
}
