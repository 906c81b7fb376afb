package relay

import (
	"time"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
)

// A SYN that has failed over may be accepted by several endpoints. The caller's handshake
// ACK tells which one holds the flow, but the others are not told, and repeat their SYN+ACK
// for seconds. The caller returns the token that it received last, so that its packets come
// to name an endpoint that does not hold the flow. The host that has placed the flow knows
// better; any other one would forward them to that endpoint, which resets the flow. The SYN
// is therefore sent again to the other endpoints with the token of the right one: they take
// it for a copy, and answer it, and all later ones, with this token.

const (
	// acceptanceCopies is how often the SYN is sent again to an endpoint, as copies may be
	// lost, and acceptanceInterval the time in between. All are sent before the endpoint
	// repeats its SYN+ACK for the first time, after 200 ms.
	acceptanceCopies   = 3
	acceptanceInterval = 50 * time.Millisecond
	// acceptanceRepeats is how long endpoints repeat a SYN+ACK: eight times, after 200 ms
	// and then in intervals that double up to 1.6 s.
	acceptanceRepeats = 10 * time.Second
)

// acceptance is what a host still does after a handshake for a flow that other endpoints
// may have accepted as well.
type acceptance struct {
	// late is an endpoint that has shown that it accepted the flow, too; nil if none has.
	late *balance.Endpoint
	// copies is the number of copies of the SYN that are left to send, the next one at due.
	copies int
	due    time.Duration
}

// pending reports whether a copy is due later.
func (a *acceptance) pending() bool { return a.copies > 0 }

// announceHolder lets the endpoints that may have accepted the flow as well return the token
// of the one that holds it. The late one, which may be nil, is known to have accepted it.
func (r *Relay) announceHolder(now time.Duration, f *flow, late *balance.Endpoint) {
	if late != nil {
		f.acceptance.late = late
	}
	if f.synLength == 0 || f.acceptance.pending() || now > f.startedAt+acceptanceRepeats {
		return
	}
	f.acceptance.copies = acceptanceCopies
	r.sendHolder(now, f)
}

// sendHolder sends a copy of the SYN, with the token of the flow's endpoint, to each other
// endpoint that may have accepted it. One that may refuse SYNs is left out unless it has
// shown that it accepted this one: its reset would end the flow.
func (r *Relay) sendHolder(now time.Duration, f *flow) {
	for _, e := range f.triedEndpoints() {
		if e != f.endpoint && e != f.acceptance.late && r.takesSYNCopies(e.Entry) && !e.MayRefuse() {
			r.sendSYNCopy(f, e)
		}
	}
	if late := f.acceptance.late; late != nil && late != f.endpoint && r.takesSYNCopies(late.Entry) {
		r.sendSYNCopy(f, late)
	}
	f.acceptance.copies--
	f.acceptance.due = now + acceptanceInterval
	if f.acceptance.pending() {
		r.schedule(f, min(f.due, f.acceptance.due))
	}
}

func (r *Relay) sendSYNCopy(f *flow, e *balance.Endpoint) {
	r.stats.AcceptanceCopies++
	r.options.Output.Forward(e.Entry, f.endpoint.Entry.Token(), f.synFrame[:f.synLength])
}

// takesSYNCopies reports whether a SYN may be sent to an endpoint to which it was sent
// before: a copy to one that is to take no new flows could start one there.
func (r *Relay) takesSYNCopies(e *catalog.Entry) bool {
	return e.Listed && !e.Draining && !r.view.Evacuated(e.Domain)
}
