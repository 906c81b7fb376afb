package relay

import (
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/holders"
	"toucangap/internal/segment"
)

// Holders tells other hosts at which endpoints flows are open, and what they have told; see
// holders.Exchange.
type Holders interface {
	// Report tells that a flow is open at an endpoint.
	Report(now time.Duration, n holders.Notice)
	// Ask returns the token of the flow's endpoint if another host has reported it, else 0.
	// Relay.HolderReported gets a later report.
	Ask(now time.Duration, n holders.Notice) catalog.Token
	// Holder is Ask without a question to other hosts.
	Holder(now time.Duration, n holders.Notice) catalog.Token
}

// noHolders is used by a host without others.
type noHolders struct{}

func (noHolders) Report(time.Duration, holders.Notice)               {}
func (noHolders) Ask(time.Duration, holders.Notice) catalog.Token    { return 0 }
func (noHolders) Holder(time.Duration, holders.Notice) catalog.Token { return 0 }

// reportInterval is the least time between two reports of one flow.
const reportInterval = time.Second

// reportHolder tells other hosts which endpoint holds a flow whose SYN one of them may have
// as well.
func (r *Relay) reportHolder(now time.Duration, f *flow, s segment.Segment) {
	if f.reportedAt > 0 && now < f.reportedAt+reportInterval {
		return
	}
	f.reportedAt = now
	r.options.Holders.Report(now, holders.Notice{Flow: f.key, Sequence: s.Sequence, Holder: f.endpoint.Entry.Token()})
}

// sentSYNTo reports whether this host has sent the flow's SYN to an endpoint.
func (f *flow) sentSYNTo(token catalog.Token) bool {
	for _, e := range f.triedEndpoints() {
		if e.Entry.Token() == token {
			return true
		}
	}
	return false
}

// openedBy reports whether a SYN is a late copy of the one that opened a flow which this host
// has taken over.
func (f *flow) openedBy(now time.Duration, s segment.Segment) bool {
	return f.takenOver && now < f.startedAt+openTimeout && holders.SameFlow(f.dataEnd, s.Sequence)
}

// openAtOther reports whether another host has reported that a flow is open, so that its SYN
// is a late copy.
func (r *Relay) openAtOther(now time.Duration, key catalog.Flow, sequence uint32) bool {
	return r.options.Holders.Holder(now, holders.Notice{Flow: key, Sequence: sequence}) != 0
}

// openElsewhere reports whether another host has got the handshake ACK of a flow whose SYN is
// unanswered here. The flow is then open.
func (r *Relay) openElsewhere(now time.Duration, f *flow) bool {
	holder := r.options.Holders.Ask(now, holders.Notice{Flow: f.key, Sequence: f.sequence})
	return holder != 0 && r.adoptHolder(now, f, holder)
}

// HolderReported handles a report of another host on a flow's holder.
func (r *Relay) HolderReported(now time.Duration, n holders.Notice) {
	f := r.flows[n.Flow]
	if f == nil || !holders.SameFlow(f.sequence, n.Sequence) {
		return
	}
	switch f.state {
	case stateHeld:
		r.dropMoved(now, f)
	case stateOpening:
		r.adoptHolder(now, f, n.Holder)
	}
}

// adoptHolder opens a flow whose handshake ACK another host has got. The other endpoints that
// may have accepted the SYN get the holder's token. It reports whether the holder is known
// here.
func (r *Relay) adoptHolder(now time.Duration, f *flow, token catalog.Token) bool {
	holder := r.endpoints[token]
	if holder == nil || holder.Entry.Service != f.service.name {
		return false
	}
	if holder != f.endpoint {
		f.detach()
		f.attach(holder)
	}
	f.setWaiting(false)
	f.state, f.startUnknown, f.adopted = stateOpen, true, true
	f.count()
	r.stats.OpenElsewhere++
	r.options.Observer.OpenElsewhere(now, f.key, holder.Entry)
	r.schedule(f, now+r.idleTimeout())
	r.recordAccepted(f)
	if first := f.tried[0]; first != holder && f.timedOutTries > 0 {
		// It has not refused the SYN: its reset would have ended the flow.
		first.RecordFailover(f.triedAt[0])
	}
	if f.tries > 1 || holder != f.tried[0] {
		r.announceHolder(now, f, nil)
	}
	return true
}

// recordAccepted withdraws that the SYN counts as unanswered at the endpoint that has accepted
// it. When it did is not known here, only that it was after the SYN.
func (r *Relay) recordAccepted(f *flow) {
	for i, e := range f.triedEndpoints() {
		if e == f.endpoint && !e.AliveSince(f.triedAt[i]) && e.RecordAlive(f.triedAt[i]+1) {
			f.service.observed.RecordRecovery()
			r.options.Observer.Recovered(f.triedAt[i]+1, e)
		}
	}
}

// begin sets what the host does not know of a flow whose handshake it has not seen, from the
// caller's first packet.
func (f *flow) begin(s segment.Segment) {
	f.acknowledged = s.Acknowledgement
	f.dataEnd = s.Sequence
	f.adopted = false
}
