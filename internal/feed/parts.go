package feed

import (
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"toucangap/internal/feed/feedpb"
)

// errTooLarge means that an update in parts or a compressed value exceeds its limit.
var errTooLarge = merry.Sentinel("update of the feed is too large")

// parts joins the parts of a large update.
type parts struct {
	encoded []byte
	// begunAt is when the first part began to arrive.
	begunAt time.Time
}

// begun reports whether parts of an update are missing.
func (p *parts) begun() bool { return len(p.encoded) > 0 }

// add adds a part that took the given time to arrive. After the last one it returns the
// update and the time from the first byte of it to the last, else nil.
func (p *parts) add(part *feedpb.News, took time.Duration) (update *feedpb.News, total time.Duration, err error) {
	if !p.begun() {
		p.begunAt = time.Now().Add(-took)
	}
	if len(p.encoded)+len(part.Part) > maxUpdateBytes {
		return nil, 0, errTooLarge
	}
	p.encoded = append(p.encoded, part.Part...)
	if !part.LastPart {
		return nil, 0, nil
	}
	update = new(feedpb.News)
	if err := proto.Unmarshal(p.encoded, update); err != nil {
		return nil, 0, merry.Prepend(err, "decode an update in parts")
	}
	p.encoded = nil
	return update, time.Since(p.begunAt), nil
}
