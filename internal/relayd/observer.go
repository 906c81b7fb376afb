package relayd

import (
	"log/slog"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
	"toucangap/internal/event"
	"toucangap/internal/relay"
)

// The rates, in lines a second, and bursts of log lines on flows. A host at its
// usual load stays below the routine limit; under overload the excess lines are
// only counted.
const (
	routineLines = 250
	routineBurst = 500
	// noteworthyLines and noteworthyBurst apply to decisions that a caller
	// notices.
	noteworthyLines = 150
	noteworthyBurst = 600
	// summaryInterval is how often suppressed lines are reported.
	summaryInterval = 5 * time.Second
)

// observer writes the relay's decisions to the log and the histograms. It is
// for use by the traffic goroutine.
type observer struct {
	logger *slog.Logger
	// age returns the age of the replica of the store's state.
	age        func() time.Duration
	routine    *limiter
	noteworthy *limiter
	// summaryAt is when suppressed lines were last reported, on the monotonic
	// clock.
	summaryAt time.Duration
	// accept and answer sample the durations of handshakes and requests in
	// microseconds.
	accept metrics.Histogram
	answer metrics.Histogram
}

func newObserver(logger *slog.Logger, age func() time.Duration, registry metrics.Registry) *observer {
	o := &observer{
		logger:     logger,
		age:        age,
		routine:    newLimiter(routineLines, routineBurst),
		noteworthy: newLimiter(noteworthyLines, noteworthyBurst),
		accept:     newHistogram(registry, "flow_accept_microseconds"),
		answer:     newHistogram(registry, "request_answer_microseconds"),
	}
	return o
}

// allows reports whether the limiter permits a line. It also logs the numbers of
// suppressed lines, at most once every summaryInterval.
func (o *observer) allows(now time.Duration, l *limiter) bool {
	if now >= o.summaryAt+summaryInterval {
		o.summaryAt = now
		o.summarize()
	}
	return l.allow(now)
}

func (o *observer) summarize() {
	routine, noteworthy := o.routine.takeSuppressed(), o.noteworthy.takeSuppressed()
	if routine+noteworthy > 0 {
		event.Log(o.logger, event.LogLinesSuppressed, slog.Int64("routine", routine), slog.Int64("noteworthy", noteworthy))
	}
}

// placementAttrs returns the inputs and the result of the placement of a SYN as log
// attributes, followed by more.
func placementAttrs(p *relay.Placement, more ...slog.Attr) []slog.Attr {
	attrs := []slog.Attr{
		slog.String("flow", p.Flow.String()),
		slog.String("route", p.Route),
		slog.String("service", p.Service),
		slog.Uint64("version", p.Version),
		slog.Uint64("incarnation", p.Position.Incarnation),
		slog.Uint64("revision", p.Position.Revision),
		slog.Uint64("copy", uint64(p.Retransmissions)),
	}
	if e := p.Choice.Endpoint; e != nil {
		attrs = append(attrs,
			slog.String("endpoint", e.Entry.ID),
			slog.Int("busy", e.Busy),
			slog.Int("candidates", p.Choice.Candidates),
			slog.Int("suspects", p.Choice.Suspects),
			slog.Duration("expected", p.Choice.Expected))
	}
	return append(attrs, more...)
}

// order returns why a flow was the next one of those that waited, "at_once" if it did not
// wait.
func order(p *relay.Placement) string {
	if !p.Held {
		return "at_once"
	}
	return p.Class.String()
}

// Placed implements relay.Observer.
func (o *observer) Placed(now time.Duration, p relay.Placement) {
	if p.Try == 1 {
		limit := o.routine
		if p.Retransmissions > 0 {
			limit = o.noteworthy
		}
		if o.allows(now, limit) {
			event.Log(o.logger, event.FlowPlaced, placementAttrs(&p, slog.Bool("trial", p.Choice.Trial),
				slog.Duration("waited", p.Waited), slog.String("order", order(&p)), slog.Duration("view_age", o.age()))...)
		}
		return
	}
	if o.allows(now, o.noteworthy) {
		event.Log(o.logger, event.FlowFailedOver, placementAttrs(&p, slog.Int("try", p.Try), slog.Duration("waited", p.Waited),
			slog.Duration("view_age", o.age()))...)
	}
}

// Rejected implements relay.Observer.
func (o *observer) Rejected(now time.Duration, p relay.Placement, reason relay.Rejection) {
	if o.allows(now, o.noteworthy) {
		event.Log(o.logger, event.FlowRejected, placementAttrs(&p,
			slog.String("reason", reason.String()), slog.Duration("waited", p.Waited),
			slog.Duration("request_waited", p.RequestWaited), slog.Duration("view_age", o.age()))...)
	}
}

// Dropped implements relay.Observer.
func (o *observer) Dropped(now time.Duration, f catalog.Flow, reason relay.Drop) {
	if o.allows(now, o.noteworthy) {
		event.Log(o.logger, event.PacketDropped, slog.String("flow", f.String()),
			slog.String("reason", reason.String()), slog.Duration("view_age", o.age()))
	}
}

// malformed reports a datagram that is not a valid packet.
func (o *observer) malformed(now time.Duration, length int, err error) {
	if o.allows(now, o.noteworthy) {
		event.Log(o.logger, event.PacketDropped, slog.Int("bytes", length), slog.String("reason", err.Error()))
	}
}

// Ended implements relay.Observer.
func (o *observer) Ended(now time.Duration, e relay.Ending) {
	limit := o.routine
	if !e.Answered {
		limit = o.noteworthy
	}
	if o.allows(now, limit) {
		event.Log(o.logger, event.FlowClosed, slog.String("flow", e.Flow.String()), slog.String("route", e.Route),
			slog.String("endpoint", e.Endpoint.ID), slog.Duration("lasted", e.Lasted),
			slog.Bool("answered", e.Answered), slog.String("cause", e.Cause))
	}
}

// TakenOver implements relay.Observer.
func (o *observer) TakenOver(now time.Duration, f catalog.Flow, e *catalog.Entry) {
	if o.allows(now, o.noteworthy) {
		event.Log(o.logger, event.FlowTakenOver, slog.String("flow", f.String()), slog.String("endpoint", e.ID),
			slog.Bool("listed", e.Listed), slog.Uint64("entry_revision", e.Position.Revision))
	}
}

// OpenElsewhere implements relay.Observer.
func (o *observer) OpenElsewhere(now time.Duration, f catalog.Flow, holder *catalog.Entry) {
	if o.allows(now, o.noteworthy) {
		event.Log(o.logger, event.FlowOpenElsewhere, slog.String("flow", f.String()), slog.String("endpoint", holder.ID))
	}
}

// Contested implements relay.Observer.
func (o *observer) Contested(now time.Duration, f catalog.Flow, holder *catalog.Entry, named catalog.Token) {
	if o.allows(now, o.noteworthy) {
		event.Log(o.logger, event.FlowContested, slog.String("flow", f.String()),
			slog.String("endpoint", holder.ID), slog.Uint64("named", uint64(named)))
	}
}

// Suspected implements relay.Observer.
func (o *observer) Suspected(now time.Duration, f catalog.Flow, e *balance.Endpoint, waited time.Duration) {
	if o.allows(now, o.noteworthy) {
		event.Log(o.logger, event.EndpointSuspected, slog.String("endpoint", e.Entry.ID),
			slog.String("flow", f.String()), slog.Duration("waited", waited),
			slog.Int("unanswered", e.UnansweredSYNs()))
	}
}

// Recovered implements relay.Observer.
func (o *observer) Recovered(now time.Duration, e *balance.Endpoint) {
	if o.allows(now, o.noteworthy) {
		event.Log(o.logger, event.EndpointRecovered, slog.String("endpoint", e.Entry.ID))
	}
}

// PresumedCold implements relay.Observer.
func (o *observer) PresumedCold(now time.Duration, e *balance.Endpoint, span time.Duration, responds bool) {
	if o.allows(now, o.noteworthy) {
		event.Log(o.logger, event.EndpointPresumedCold, slog.String("endpoint", e.Entry.ID),
			slog.Duration("span", span), slog.Bool("responds", responds))
	}
}

// FailingChanged implements relay.Observer.
func (o *observer) FailingChanged(now time.Duration, e *balance.Endpoint, failing bool, share float64) {
	if !o.allows(now, o.noteworthy) {
		return
	}
	id := event.EndpointNoLongerFailing
	if failing {
		id = event.EndpointFailing
	}
	tally := e.CombinedTally(now)
	event.Log(o.logger, id, slog.String("endpoint", e.Entry.ID), slog.Float64("share", share),
		slog.Float64("answers", tally.Answers), slog.Float64("failed", tally.Failed))
}

// Accepted implements relay.Observer.
func (o *observer) Accepted(took time.Duration) { o.accept.Update(took.Microseconds()) }

// Answered implements relay.Observer.
func (o *observer) Answered(took time.Duration) { o.answer.Update(took.Microseconds()) }

// spilloverChanged reports that the share of new flows that leaves the failure domain has
// left 0, or is 0 again.
func (o *observer) spilloverChanged(now time.Duration, s relay.SpilloverState) {
	if !o.allows(now, o.noteworthy) {
		return
	}
	id := event.SpilloverEnded
	if s.Share > 0 {
		id = event.SpilloverStarted
	}
	event.Log(o.logger, id, slog.String("service", s.Service), slog.Float64("share", s.Share),
		slog.Duration("home", s.Home), slog.Duration("remote", s.Remote), slog.Duration("home_age", s.HomeAge),
		slog.Duration("remote_age", s.RemoteAge), slog.String("closed", strings.Join(s.Closed, " ")))
}

// domainChanged reports that a failure domain is considered unreachable, or no longer is.
func (o *observer) domainChanged(now time.Duration, s relay.DomainState) {
	if !o.allows(now, o.noteworthy) {
		return
	}
	if !s.Unreachable {
		event.Log(o.logger, event.DomainReachable, slog.String("domain", s.Domain))
		return
	}
	event.Log(o.logger, event.DomainUnreachable, slog.String("domain", s.Domain), slog.Duration("since", s.Since),
		slog.Int("endpoints", s.Endpoints), slog.Int("reset", s.Reset))
}

// lagging reports that the host has begun or ceased to lag.
func (o *observer) lagging(now time.Duration, lagging bool, waited time.Duration) {
	if !o.allows(now, o.noteworthy) {
		return
	}
	id := event.HostNotLagging
	if lagging {
		id = event.HostLagging
	}
	event.Log(o.logger, id, slog.Duration("waited", waited))
}

// paused reports that the process was paused for about the duration of gap.
func (o *observer) paused(now, gap time.Duration) {
	if o.allows(now, o.noteworthy) {
		event.Log(o.logger, event.HostPaused, slog.Duration("gap", gap))
	}
}
