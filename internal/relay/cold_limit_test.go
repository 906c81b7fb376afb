package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucangap/internal/coldstart"
)

const (
	step = 25 * ms
	// The simulation lasts from begin to end; faults are drawn around the middle, so that
	// several fall within the time for which hosts' states are out of date.
	begin, middle, end = 2 * lifetime, 2*lifetime + 6*time.Second, 2*lifetime + 11*time.Second
)

// span is a time during which a fault lasts.
type span struct{ from, to time.Duration }

func drawSpan(t *rapid.T, label string, steps ...int) span {
	from := middle + time.Duration(rapid.IntRange(-80, 80).Draw(t, label))*step
	return span{from, from + time.Duration(rapid.SampledFrom(steps).Draw(t, label))*step}
}

func (s span) contains(now time.Duration) bool { return now >= s.from && now < s.to }

// coldWorld is what all hosts have in common: changes of the registrations, and an endpoint
// that does not run for a time and is cold from then on.
type coldWorld struct {
	changes []hostChange
	down    span
}

type hostChange struct {
	at      time.Duration
	host    coldstart.Host
	removed bool
}

// TestColdLimitHoldsWhateverHostsKnow guards the bound on a cold endpoint, in any second and
// over all hosts, against states of different age, partitions, registrations that come and
// go, hosts that die and forget what they sent, packets that are delayed differently, and a
// restart of the endpoint of which hosts learn late.
func TestColdLimitHoldsWhateverHostsKnow(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		var w coldWorld
		var hosts []coldstart.Host
		for i := range rapid.IntRange(1, 5).Draw(draw, "hosts") {
			hosts = append(hosts, coldstart.Host{Name: fmt.Sprint("h-", i), Domain: rapid.SampledFrom([]string{"d", "d", "d", "e"}).Draw(draw, "domain")})
			w.changes = append(w.changes, hostChange{0, hosts[i], rapid.IntRange(0, 2).Draw(draw, "absent") == 2})
		}
		for range rapid.IntRange(0, 6).Draw(draw, "changes") {
			h := rapid.SampledFrom(hosts).Draw(draw, "host")
			w.changes = append(w.changes, hostChange{drawSpan(draw, "at", 0).from, h, rapid.Bool().Draw(draw, "removed")})
		}
		slices.SortStableFunc(w.changes, func(a, b hostChange) int { return int(a.at - b.at) })
		if rapid.Bool().Draw(draw, "endpoint restarts") {
			w.down = drawSpan(draw, "endpoint down", 16, 80)
		}
		var arrivals []time.Duration
		for _, h := range hosts {
			arrivals = append(arrivals, w.run(t, draw, h)...)
		}
		slices.Sort(arrivals)
		const limit = 4
		for i := limit; i < len(arrivals); i++ {
			if arrivals[i]-arrivals[i-limit] < time.Second {
				draw.Fatalf("%d flows within a second until %v", limit+1, arrivals[i]-begin)
			}
		}
	})
}

// run plays one host, which sends as much as it may, and returns when its flows arrive at
// the endpoint while that is cold.
func (w *coldWorld) run(t *testing.T, draw *rapid.T, host coldstart.Host) (arrivals []time.Duration) {
	lag := time.Duration(rapid.SampledFrom([]int{0, 0, 20, 40, 60, 76}).Draw(draw, "lag")) * step
	down, cutOff := drawSpan(draw, "host down", 0, 0, 1, 20, 120), drawSpan(draw, "cut off", 0, 0, 1, 20, 120, 200)
	// A host that starts too late to see the endpoint down could only learn of the restart
	// from an entry that is late; the bound does not hold there.
	unseen := span{w.down.from - 12*step, w.down.to}
	var r *harness
	var registry coldstart.Registry
	var asOf time.Duration
	var unknown []hostChange
	var known bool // Whether the host knows of the restart.
	for now, port := begin, uint16(0); now < end; now += step {
		if down.contains(now) || r == nil && (cutOff.contains(now) || unseen.contains(now)) {
			r = nil
			continue
		}
		if r == nil {
			r = limitedHarness(t, 0, "none")
			r.relay.options.Disabled = Features{Admission: true, Holding: true}
			r.relay.options.Cold.Host = host
			r.report("i-1", 1, 0)
			registry, unknown, known, asOf = coldstart.Registry{}, w.changes, false, now
		}
		r.advance(now - r.now)
		if !cutOff.contains(now) {
			asOf = max(asOf, now-lag)
		}
		for ; len(unknown) > 0 && unknown[0].at <= asOf; unknown = unknown[1:] {
			if c := unknown[0]; c.removed {
				registry.Remove(now, c.host)
			} else {
				registry.Put(now, c.host)
			}
		}
		if registry.Changed() {
			hosts := registry.Snapshot()
			r.relay.options.Cold.Hosts = func() *coldstart.Hosts { return hosts }
		}
		r.relay.options.Cold.ViewAge = func() time.Duration { return now - asOf }
		if asOf >= w.down.to && !known {
			known = true
			r.report("i-1", 2, lifetime)
		}
		if arrived := w.send(r, &port); now >= w.down.to {
			// The one-way delay alternates between 0 and nearly the margin for it.
			arrivals = append(arrivals, slices.Repeat([]time.Duration{now + now/(500*ms)%2*99*ms}, arrived)...)
		}
	}
	return arrivals
}

// send opens flows until one is not forwarded, repeats the SYNs sent 200 ms before, and
// returns how many SYNs the endpoint has received, if it runs.
func (w *coldWorld) send(r *harness, port *uint16) (arrived int) {
	repeated, _ := r.drain()
	arrived = len(slices.DeleteFunc(repeated, func(to string) bool { return to == "reset" }))
	syn := func(port uint16, copies uint32) bool {
		r.syn(port, copies)
		sent, _ := r.drain()
		if !slices.Contains(sent, "i-1") {
			return false
		}
		arrived++
		if !w.down.contains(r.now) {
			r.ack(port, "i-1", 5001, 0)
			r.drain()
		}
		return true
	}
	for key, f := range r.relay.flows {
		if f.state == stateOpening && f.retransmissions == 0 && r.now-f.startedAt >= 200*ms {
			f.retransmissions = 1
			syn(key.Caller.Port, 1)
		}
	}
	for range 3 {
		*port++
		if !syn(*port, 0) {
			break
		}
	}
	return arrived
}
