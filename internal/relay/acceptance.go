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
	// copies is the number of copies of the SYN that are left to send to each endpoint that
	// it was sent to, lateCopies that for late. The next ones are due at due.
	copies     [maxTries]int
	lateCopies int
	due        time.Duration
}

// pending reports whether a copy is due later.
func (a *acceptance) pending() bool { return a.lateCopies > 0 || a.copies != [maxTries]int{} }

// announceHolder lets the endpoints that may have accepted the flow as well return the token
// of the one that holds it. The late one, which may be nil, is known to have accepted it.
func (r *Relay) announceHolder(now time.Duration, f *flow, late *balance.Endpoint) {
	a := &f.acceptance
	if f.synLength == 0 || now > f.startedAt+acceptanceRepeats {
		return
	}
	switch {
	case !a.pending():
		for i := range f.triedEndpoints() {
			a.copies[i] = acceptanceCopies
		}
	case late == nil || late == a.late && a.lateCopies > 0:
		return
	}
	if late != nil {
		a.late, a.lateCopies = late, acceptanceCopies
	}
	r.sendHolder(now, f)
}

// sendHolder sends a copy of the SYN, with the token of the flow's endpoint, to each other
// endpoint that may have accepted it. One that may refuse SYNs gets none until it has shown
// that it is alive, or that it has accepted this one: its reset would end the flow.
func (r *Relay) sendHolder(now time.Duration, f *flow) {
	a := &f.acceptance
	if now > f.startedAt+acceptanceRepeats {
		a.copies, a.lateCopies = [maxTries]int{}, 0
		return
	}
	for i, e := range f.triedEndpoints() {
		switch {
		case a.copies[i] == 0:
		case e == f.endpoint || e == a.late || !r.takesSYNCopies(e.Entry):
			a.copies[i] = 0
		case !e.MayRefuse():
			r.sendSYNCopy(f, e)
			a.copies[i]--
		}
	}
	if a.lateCopies > 0 {
		a.lateCopies--
		if a.late != f.endpoint && r.takesSYNCopies(a.late.Entry) {
			r.sendSYNCopy(f, a.late)
		}
	}
	a.due = now + acceptanceInterval
	if a.pending() {
		r.schedule(f, min(f.due, a.due))
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
