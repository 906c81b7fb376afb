package relayd

import (
	"fmt"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"toucangap/internal/backlog"
	"toucangap/internal/catalog"
	"toucangap/internal/holders"
	"toucangap/internal/relay"
)

// register adds a metric. It panics if the name is already registered.
func register(registry metrics.Registry, name string, metric any) {
	if err := registry.Register(name, metric); err != nil {
		panic(fmt.Sprintf("metric registered twice: %s", name))
	}
}

// The histograms' sample size and decay, which favors the last minutes.
const (
	sampleSize  = 256
	sampleDecay = 0.015
)

// newHistogram returns a registered histogram.
func newHistogram(registry metrics.Registry, name string) metrics.Histogram {
	h := metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	register(registry, name, h)
	return h
}

// registerGauges registers gauges that read existing counters on demand.
func (d *Daemon) registerGauges(registry metrics.Registry) {
	functional := func(name string, value func() int64) {
		register(registry, name, metrics.NewFunctionalGauge(value))
	}
	functional("store_calls", d.store.Calls)
	functional("log_lines_lost", d.logWriter.Lost)
	functional("packets_malformed", d.traffic.malformed.Load)
	functional("datagrams_not_sent", d.traffic.sendErrors.Load)
	functional("notices_ignored", d.notices.ignored.Load)
	functional("notices_not_sent", d.notices.sendErrors.Load)
	functional("view_age_milliseconds", func() int64 { return d.control.age().Milliseconds() })
	viewPosition := func() catalog.Position {
		if v := d.control.view.Load(); v != nil {
			return v.Position
		}
		return catalog.Position{}
	}
	functional("view_revision", func() int64 { return int64(viewPosition().Revision) })
	functional("view_incarnation", func() int64 { return int64(viewPosition().Incarnation) })
	functional("state_old", d.staleness.old)
	functional("state_old_times", d.staleness.times.Load)
	functional("sources_interrupted", d.staleness.interruptions.Load)
	functional("control_busy_milliseconds", func() int64 { return d.control.busyFor().Milliseconds() })
	functional("store_answer_age_milliseconds", func() int64 {
		return (d.clock.BootTime() - d.syncer.follower.LastResponse()).Milliseconds()
	})
	functional("store_restores", d.control.restores.Load)
	functional("domains_evacuated", func() int64 {
		if v := d.control.view.Load(); v != nil {
			return int64(len(v.EvacuatedDomains()))
		}
		return 0
	})
}

// updateRelayGauges publishes a snapshot of the relay's counters.
func updateRelayGauges(registry metrics.Registry, s *relay.Stats) {
	set := func(name string, value int64) {
		metrics.GetOrRegisterGauge(name, registry).Update(value)
	}
	set("packets", s.Packets)
	set("packets_forwarded", s.Forwarded)
	set("packets_contested", s.Contested)
	set("syn_copies_to_other_endpoints", s.AcceptanceCopies)
	set("flows", s.Flows)
	set("flows_placed", s.Placed)
	set("flows_held", s.Held)
	for class, n := range s.Released {
		set("flows_released_"+backlog.Class(class).String(), n)
	}
	set("flows_diverted", s.Diverted)
	set("flows_to_evacuated_endpoints", s.LastResort)
	set("flows_sent_on", s.FailedOver)
	set("flows_to_cold_endpoints", s.PlacedCold)
	set("endpoints_presumed_cold", s.PresumedCold)
	set("domains_unreachable_times", s.DomainsLost)
	set("flows_adopted", s.TakenOver)
	set("flows_open_elsewhere", s.OpenElsewhere)
	set("flows_evicted", s.Evicted)
	set("first_packets_repeated", s.RetransmittedSYNs)
	set("requests_unanswered", s.AbandonedRequests)
	set("requests_failed", s.Failed)
	for reason, n := range s.Drops {
		set("packets_dropped_"+relay.Drop(reason).String(), n)
	}
	for reason, n := range s.Rejections {
		set("flows_reset_"+relay.Rejection(reason).String(), n)
	}
}

// updateNoticeGauges publishes a snapshot of the counters of notices.
func updateNoticeGauges(registry metrics.Registry, s holders.Stats) {
	for name, value := range map[string]int64{
		"reports": s.Reports, "questions": s.Questions, "answers": s.Answers, "suppressed": s.Suppressed, "records": s.Records,
	} {
		metrics.GetOrRegisterGauge("notice_"+name, registry).Update(value)
	}
}

// updateColdGauges publishes how many endpoints of services with a limit are cold, and how
// many of those this host owns.
func updateColdGauges(registry metrics.Registry, r *relay.Relay, now time.Duration) {
	cold, owned := r.ColdEndpoints(now)
	metrics.GetOrRegisterGauge("endpoints_cold", registry).Update(cold)
	metrics.GetOrRegisterGauge("endpoints_cold_owned", registry).Update(owned)
}

// updateDomainGauges publishes how many failure domains are considered unreachable.
func updateDomainGauges(registry metrics.Registry, r *relay.Relay) {
	metrics.GetOrRegisterGauge("domains_unreachable", registry).Update(r.UnreachableDomains())
}

// updateRouteGauges publishes the counts of held flows by route.
func updateRouteGauges(registry metrics.Registry, routes []relay.RouteCounts) {
	for _, c := range routes {
		metrics.GetOrRegisterGauge("flows_held_route_"+c.Route, registry).Update(c.Held)
		metrics.GetOrRegisterGauge("flows_released_route_"+c.Route, registry).Update(c.Released)
		metrics.GetOrRegisterGauge("flows_rejected_route_"+c.Route, registry).Update(c.Rejected)
	}
}

// updateSpilloverGauges publishes the spillover of each service. Times that are not known
// are 0.
func updateSpilloverGauges(registry metrics.Registry, list []relay.SpilloverState) {
	for i := range list {
		s := &list[i]
		set := func(name string, value int64) {
			metrics.GetOrRegisterGauge("spillover_"+name+"_"+s.Service, registry).Update(value)
		}
		set("share_permille", int64(math.Round(1000*s.Share)))
		set("home_answer_microseconds", s.Home.Microseconds())
		set("remote_answer_microseconds", s.Remote.Microseconds())
		set("home_age_milliseconds", s.HomeAge.Milliseconds())
		set("remote_age_milliseconds", s.RemoteAge.Milliseconds())
		set("domains_closed", int64(len(s.Closed)))
		for reason, n := range s.Left {
			set("flows_left_"+relay.Departure(reason).String(), n)
		}
	}
}
