package backlog

import (
	"cmp"
	"slices"
	"time"
)

// rescueAnswerTimes is the multiple of the usual answer time by which a late request has
// to be expected to go before its deadline. Answers, and thus room, come irregularly: with
// no margin, a pause among them at the wrong moment costs all that have waited for it.
const rescueAnswerTimes = 0.5

// Class says why a request was chosen.
type Class uint8

// The classes of requests.
const (
	// InTarget requests can still be answered within their targets.
	InTarget Class = iota
	// Rescued requests are late; one of those that wait would get no answer at all if
	// others went first.
	Rescued
	// Late requests are late, and nothing more urgent waits.
	Late
	// Classes is the number of classes.
	Classes
)

// String returns the class's name in logs and metrics.
func (c Class) String() string { return [...]string{"in_target", "rescued", "late"}[c] }

// Order chooses among waiting requests. It keeps memory between calls.
type Order struct {
	late, inTarget []waiting
}

// waiting is a request's place among those given to Order.
type waiting struct {
	index    int
	priority int
	// at is what its class goes by: the deadline of late requests, Since of others.
	at time.Duration
}

// Next returns which of n requests to forward next, and why; n must be above 0. A caller
// that gets no answer loses more than one whose answer is late, so late requests go first
// once some would miss their deadlines otherwise, but no sooner: until then those go first
// that can be answered within their targets (slack stealing; Lehoczky and Ramos-Thuel
// 1992), of these the urgent ones, and of these the newest, since the oldest are the next
// to miss their targets.
func (o *Order) Next(p Pace, n int, request func(i int) *Request) (index int, class Class) {
	o.late, o.inTarget = o.late[:0], o.inTarget[:0]
	for i := range n {
		if r := request(i); r.inTarget(&p) {
			o.inTarget = append(o.inTarget, waiting{i, r.Priority, r.Since})
		} else {
			o.late = append(o.late, waiting{i, r.Priority, r.deadline(&p)})
		}
	}
	slices.SortFunc(o.late, byTime)
	switch {
	case o.atRisk(&p):
		return o.mostUrgentLate(&p), Rescued
	case len(o.inTarget) == 0:
		return o.mostUrgentLate(&p), Late
	}
	return slices.MinFunc(o.inTarget, func(a, b waiting) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(b.at, a.at), cmp.Compare(b.index, a.index))
	}).index, InTarget
}

func byTime(a, b waiting) int {
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.priority, b.priority), cmp.Compare(a.index, b.index))
}

// atRisk reports whether one of the late requests would miss its deadline if another kind
// of request went first. Those that have missed it count no more.
func (o *Order) atRisk(p *Pace) bool {
	margin := time.Duration(rescueAnswerTimes * float64(p.Takes))
	for i, w := range o.late[o.missed(p):] {
		if p.after(i+1)+margin > w.at {
			return true
		}
	}
	return false
}

// mostUrgentLate returns the late request with the earliest deadline that it can meet.
func (o *Order) mostUrgentLate(p *Pace) int {
	return o.late[o.missed(p)%len(o.late)].index
}

// missed returns the number of late requests that have missed their deadlines.
func (o *Order) missed(p *Pace) int {
	n, _ := slices.BinarySearchFunc(o.late, p.Now, func(w waiting, now time.Duration) int { return cmp.Compare(w.at, now) })
	return n
}

// Surplus returns which of n requests to reject, since not all of them can be forwarded in
// time or more than most wait; ok is false if there is none. It is one of the least urgent
// whose rejection helps the others, and of these the one whose time is over first.
func (o *Order) Surplus(p Pace, most, n int, request func(i int) *Request) (index int, ok bool) {
	o.sortByEnd(n, request)
	for i, w := range o.late {
		if i >= most || p.after(i) > w.at {
			return leastUrgent(o.late[:i+1]), true
		}
	}
	return 0, false
}

// LeastUrgent returns one of the least urgent of n requests, and of these the one whose
// time is over first; n must be above 0.
func (o *Order) LeastUrgent(n int, request func(i int) *Request) int {
	o.sortByEnd(n, request)
	return leastUrgent(o.late)
}

// sortByEnd sorts all requests into late by the latest time at which they can be forwarded.
func (o *Order) sortByEnd(n int, request func(i int) *Request) {
	o.late = o.late[:0]
	for i := range n {
		r := request(i)
		o.late = append(o.late, waiting{i, r.Priority, r.Until})
	}
	slices.SortFunc(o.late, byTime)
}

func leastUrgent(list []waiting) int {
	return slices.MinFunc(list, func(a, b waiting) int { return cmp.Or(cmp.Compare(b.priority, a.priority), byTime(a, b)) }).index
}
