// Package holders lets hosts tell each other at which endpoint a flow is open. While routers
// move a flow, one host may have its SYN and another one its handshake ACK: the first can
// send the SYN to further endpoints, and only the second knows which one holds the flow.
//
// Neither knows the other. Both therefore turn to the same few hosts, the flow's registrars,
// which all hosts derive from the flow and the registered hosts: a host that takes a flow over
// reports its holder there, and a host whose SYN is unanswered asks there. A report answers
// earlier questions as well, so that the order does not matter. What a host sends grows with
// the flows that it takes over and the SYNs that are unanswered, not with the number of hosts.
//
// The package does no I/O and reads no clock.
package holders

import (
	"net/netip"
	"time"

	"toucangap/internal/catalog"
	"toucangap/internal/segment"
)

const (
	// Retention is how long a host keeps reports and questions. It exceeds the 10 s for which
	// endpoints repeat a SYN+ACK, and the usual time for which a host is suspended.
	Retention = 20 * time.Second
	// maxRecords limits the flows that a host keeps reports or questions of.
	maxRecords = 10_000
	// maxUnsent limits the reports that wait until a starting host knows others.
	maxUnsent = 1000
	// maxAskers limits the hosts that are told about one flow.
	maxAskers = 4
	// noticesPerSecond and noticeBurst limit the reports of a host, and its questions, so that
	// a flood of packets does not turn into a larger one between hosts. A host that takes all
	// flows of another one over stays below the burst.
	noticesPerSecond = 500
	noticeBurst      = 2000
	// maxAdvance is by how much the sequence numbers of one flow may differ: more than
	// callers send on a flow.
	maxAdvance = 1 << 24
)

// Notice is a report of a flow's holder or, without one, a question for it.
type Notice struct {
	Flow catalog.Flow
	// Sequence is one of the caller's sequence numbers. It tells apart flows that use a port
	// one after the other.
	Sequence uint32
	// Holder is the token of the endpoint that holds the flow, 0 in a question.
	Holder catalog.Token
}

// SameFlow reports whether two sequence numbers may be of one flow.
func SameFlow(a, b uint32) bool {
	if segment.After(a, b) {
		a, b = b, a
	}
	return b-a <= maxAdvance
}

// Output carries notices out.
type Output interface {
	// Send sends a notice to another host. It may be lost.
	Send(to netip.AddrPort, n Notice)
	// Reported passes on a report of another host.
	Reported(now time.Duration, n Notice)
}

// Stats holds the counters since the start.
type Stats struct {
	// Reports and Questions count the flows of which this host has reported the holder or
	// asked for it, Answers those of which it has told it to a host that asked.
	Reports, Questions, Answers int64
	// Suppressed counts the reports and questions that were not sent, since there were too
	// many.
	Suppressed int64
	// Records is the number of flows of which reports or questions are kept.
	Records int64
}

// Exchange sends and keeps the notices of one host. It is not safe for concurrent use.
type Exchange struct {
	output    Output
	directory *Directory
	records   map[catalog.Flow]*record
	// expiring holds the records in the order of their creation.
	expiring []*record
	// unsent holds the reports of a host that knows no others yet.
	unsent    []unsentReport
	reports   bucket
	questions bucket
	stats     Stats
}

type unsentReport struct {
	Notice
	madeAt time.Duration
}

// record is what a host knows of one flow: its holder, or who asks for it.
type record struct {
	Notice
	createdAt time.Duration
	askers    []netip.AddrPort
}

// NewExchange returns an Exchange that knows no other hosts yet.
func NewExchange(o Output) *Exchange {
	return &Exchange{
		output: o, directory: NewDirectory(nil, Host{}), records: make(map[catalog.Flow]*record),
		reports: newBucket(), questions: newBucket(),
	}
}

// SetDirectory replaces the directory of hosts, and sends the reports that wait for it.
func (x *Exchange) SetDirectory(now time.Duration, d *Directory) {
	x.directory = d
	if d.Empty() {
		return
	}
	for _, u := range x.unsent {
		if now-u.madeAt <= Retention {
			x.send(now, u.Notice)
		}
	}
	x.unsent = nil
}

// Report tells the flow's registrars which endpoint holds it.
func (x *Exchange) Report(now time.Duration, n Notice) {
	if !x.reports.take(now) {
		x.stats.Suppressed++
		return
	}
	x.stats.Reports++
	if x.directory.Empty() {
		if len(x.unsent) < maxUnsent {
			x.unsent = append(x.unsent, unsentReport{n, now})
		}
		return
	}
	x.send(now, n)
}

// send sends a report to the flow's registrars.
func (x *Exchange) send(now time.Duration, n Notice) {
	for _, h := range x.directory.Registrars(n.Flow) {
		if h.Name == x.directory.own.Name {
			x.keepReport(now, n)
			continue
		}
		x.output.Send(h.Address, n)
	}
}

// Ask returns the token of the flow's holder if another host has reported it here, else 0.
// It then asks the flow's registrars; Output.Reported gets their answers.
func (x *Exchange) Ask(now time.Duration, n Notice) catalog.Token {
	if holder := x.Holder(now, n); holder != 0 {
		return holder
	}
	n.Holder = 0
	if !x.questions.take(now) {
		x.stats.Suppressed++
		return 0
	}
	x.stats.Questions++
	for _, h := range x.directory.Registrars(n.Flow) {
		if h.Name != x.directory.own.Name {
			x.output.Send(h.Address, n)
		}
	}
	return 0
}

// Holder returns the token of the flow's holder if another host has reported it here, else
// 0.
func (x *Exchange) Holder(now time.Duration, n Notice) catalog.Token {
	x.expire(now)
	if r := x.records[n.Flow]; r != nil && SameFlow(r.Sequence, n.Sequence) {
		return r.Holder
	}
	return 0
}

// Receive handles a notice of another host.
func (x *Exchange) Receive(now time.Duration, from netip.AddrPort, n Notice) {
	if n.Holder == 0 {
		x.keepQuestion(now, from, n)
		return
	}
	x.output.Reported(now, x.keepReport(now, n))
}

// keepReport stores a report, answers those who have asked, and returns the report that is
// kept. That is the first one of a flow: it is the nearest to the handshake, and later ones may
// repeat an error of the caller's packets.
func (x *Exchange) keepReport(now time.Duration, n Notice) Notice {
	r := x.record(now, n)
	if r.Holder != 0 {
		return r.Notice
	}
	r.Holder = n.Holder
	for _, asker := range r.askers {
		x.answer(asker, r)
	}
	r.askers = nil
	return r.Notice
}

// keepQuestion answers a question, or stores it until there is a report.
func (x *Exchange) keepQuestion(now time.Duration, from netip.AddrPort, n Notice) {
	r := x.record(now, n)
	if r.Holder != 0 {
		x.answer(from, r)
		return
	}
	for _, asker := range r.askers {
		if asker == from {
			return
		}
	}
	if len(r.askers) < maxAskers {
		r.askers = append(r.askers, from)
	}
}

func (x *Exchange) answer(to netip.AddrPort, r *record) {
	x.stats.Answers++
	x.output.Send(to, r.Notice)
}

// record returns the record of a notice's flow, created if necessary.
func (x *Exchange) record(now time.Duration, n Notice) *record {
	x.expire(now)
	if r := x.records[n.Flow]; r != nil && SameFlow(r.Sequence, n.Sequence) {
		return r
	}
	if len(x.expiring) >= maxRecords {
		x.dropOldest()
	}
	r := &record{Notice: Notice{Flow: n.Flow, Sequence: n.Sequence}, createdAt: now}
	x.records[n.Flow] = r
	x.expiring = append(x.expiring, r)
	return r
}

// expire removes the records older than Retention.
func (x *Exchange) expire(now time.Duration) {
	for len(x.expiring) > 0 && now-x.expiring[0].createdAt > Retention {
		x.dropOldest()
	}
}

func (x *Exchange) dropOldest() {
	oldest := x.expiring[0]
	x.expiring[0] = nil
	x.expiring = x.expiring[1:]
	if x.records[oldest.Flow] == oldest {
		delete(x.records, oldest.Flow)
	}
}

// Stats returns the counters.
func (x *Exchange) Stats() Stats {
	s := x.stats
	s.Records = int64(len(x.records))
	return s
}

// bucket is a token bucket of noticeBurst notices, which starts full.
type bucket struct {
	left float64
	last time.Duration
}

func newBucket() bucket { return bucket{left: noticeBurst} }

func (b *bucket) take(now time.Duration) bool {
	b.left = min(noticeBurst, b.left+(now-b.last).Seconds()*noticesPerSecond)
	b.last = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
