package backlog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	ms  = time.Millisecond
	now = 10 * time.Second
)

// pace serves a request every 10 ms, each of which takes 60 ms.
var pace = Pace{Now: now, Takes: 60 * ms, Interval: 10 * ms}

// sent returns a request that was sent some time ago, with a target of 250 ms and a
// timeout of 2.5 s.
func sent(ago time.Duration, priority int) Request {
	since := now - ago
	return Request{Since: since, Target: 250 * ms, Timeout: 2500 * ms, Until: since + 1250*ms, Priority: priority}
}

func at(list []Request) func(i int) *Request { return func(i int) *Request { return &list[i] } }

// TestOrder guards against an order in which requests that can be in time wait for others:
// the urgent ones first, then the newest, late ones by the time that their callers wait.
func TestOrder(t *testing.T) {
	list := []Request{
		sent(600*ms, 2), sent(0, 2), sent(150*ms, 1), sent(900*ms, 1), sent(190*ms, 2), sent(100*ms, 1),
	}
	var o Order
	var got []time.Duration
	for len(list) > 0 {
		i, _ := o.Next(pace, len(list), at(list))
		got = append(got, now-list[i].Since)
		list = append(list[:i], list[i+1:]...)
	}
	require.Equal(t, []time.Duration{100 * ms, 150 * ms, 0, 190 * ms, 900 * ms, 600 * ms}, got)
}

// TestRescueBeginsWhenItMust guards against late requests that fail behind others, and
// against others that are late for those that have time.
func TestRescueBeginsWhenItMust(t *testing.T) {
	var o Order
	backlog := func(ago time.Duration) []Request {
		list := []Request{sent(0, 2)}
		for range 30 {
			list = append(list, sent(ago, 2))
		}
		return list
	}
	for _, c := range []struct {
		ago  time.Duration
		want Class
	}{{400 * ms, InTarget}, {800 * ms, InTarget}, {1000 * ms, Rescued}, {1240 * ms, Rescued}} {
		_, class := o.Next(pace, 31, at(backlog(c.ago)))
		require.Equal(t, c.want, class, "%v", c.ago)
	}
	i, class := o.Next(pace, 1, at([]Request{sent(400*ms, 2)}))
	require.Zero(t, i)
	require.Equal(t, Late, class)
}

// TestLostRequestsTakeNoSlotFromOthers guards against a backlog in which each request is
// forwarded just too late, because those that can't be saved go before those that can.
func TestLostRequestsTakeNoSlotFromOthers(t *testing.T) {
	list := []Request{sent(1251*ms, 0), sent(1300*ms, 0), sent(1240*ms, 2), sent(0, 2)}
	var o Order
	i, class := o.Next(pace, len(list), at(list))
	require.Equal(t, 2, i)
	require.Equal(t, Rescued, class)
	i, class = o.Next(pace, 2, at(list))
	require.Equal(t, 1, i, "still forwarded if nothing else waits")
	require.Equal(t, Late, class)
}

// TestFurtherAttemptsHaveLessTime guards against requests that wait for the end of their
// flow's attempt while their callers give up half a second after the second copy: their
// first attempt met no host.
func TestFurtherAttemptsHaveLessTime(t *testing.T) {
	r := sent(600*ms, 2)
	p := pace
	require.Equal(t, r.Until, r.deadline(&p), "SYNs were last lost long ago")
	p.LostUntil = now - 200*ms
	require.Equal(t, r.Since+(2500-1450-120)*ms, r.deadline(&p))
	p.Now = r.Since + 1000*ms
	require.Equal(t, r.Until, r.deadline(&p), "a second attempt is over")
}

// TestSurplus guards against rejections while all can be served, and against a queue that
// goes on holding what can't be.
func TestSurplus(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "n")
		list := make([]Request, n)
		for i := range list {
			list[i] = sent(time.Duration(rapid.IntRange(0, 1240).Draw(t, "ago"))*ms, rapid.IntRange(0, 2).Draw(t, "priority"))
		}
		p := pace
		p.Interval = time.Duration(rapid.IntRange(1, 60).Draw(t, "interval")) * ms
		var o Order
		for len(list) > 0 {
			i, ok := o.Surplus(p, 50, len(list), at(list))
			if !ok {
				break
			}
			list = append(list[:i], list[i+1:]...)
		}
		require.LessOrEqual(t, len(list), 50)
		for done := 0; len(list) > 0; done++ {
			first := o.LeastUrgent(len(list), func(i int) *Request { r := list[i]; r.Priority = 0; return &r })
			require.LessOrEqual(t, p.after(done), list[first].Until, "all that are left are served in time")
			list = append(list[:first], list[first+1:]...)
		}
	})
	list := []Request{sent(1240*ms, 1), sent(1240*ms, 2), sent(1240*ms, 0), sent(0, 3)}
	var o Order
	i, ok := o.Surplus(pace, 50, len(list), at(list))
	require.True(t, ok)
	require.Equal(t, 1, i, "the least urgent of those that compete")
}

// TestLosses guards against lost SYNs that go unnoticed, and against single lost packets
// that count as an outage.
func TestLosses(t *testing.T) {
	l := NewLosses(now)
	require.Equal(t, now, l.Until())
	for i := range 100 {
		l.Record(now+time.Duration(i)*ms, i%50 == 49)
	}
	require.Equal(t, now, l.Until())
	for i := range 10 {
		l.Record(now+200*ms, i%2 == 0)
	}
	require.Equal(t, now+200*ms, l.Until())
}

// TestRate guards against pauses without a backlog that count as slow service.
func TestRate(t *testing.T) {
	var r Rate
	require.Equal(t, 8*ms, r.Interval(8*ms))
	for i := range 200 {
		r.Record(time.Duration(i)*20*ms, 8*ms, true)
	}
	require.InDelta(t, float64(20*ms), float64(r.Interval(0)), float64(ms))
	r.Record(4*time.Second, 0, false)
	r.Record(9*time.Second, 0, true)
	require.InDelta(t, float64(20*ms), float64(r.Interval(0)), float64(ms))
}

// TestOrderIsStrict guards against cycles and ties, by which a request could be passed over
// for ever: which one goes next does not depend on the order in which requests are listed,
// the choice agrees with that among any two, and each request has its turn.
func TestOrderIsStrict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := make([]Request, rapid.IntRange(1, 12).Draw(t, "n"))
		for i := range list {
			list[i] = sent(time.Duration(rapid.IntRange(0, 13).Draw(t, "ago"))*100*ms, rapid.IntRange(0, 2).Draw(t, "priority"))
		}
		p := pace
		p.LostUntil = now - time.Duration(rapid.IntRange(0, 4).Draw(t, "lost"))*500*ms
		var o Order
		for len(list) > 0 {
			i, class := o.Next(p, len(list), at(list))
			first := list[i]
			reversed := make([]Request, 0, len(list))
			for k := range list {
				reversed = append(reversed, list[len(list)-1-k])
			}
			k, again := o.Next(p, len(list), at(reversed))
			require.Equal(t, class, again)
			require.Equal(t, first, reversed[k])
			for _, other := range list {
				if other.inTarget(&p) != first.inTarget(&p) {
					continue
				}
				pair := []Request{other, first}
				k, _ := o.Next(p, 2, at(pair))
				require.Equal(t, first, pair[k])
			}
			list = append(list[:i], list[i+1:]...)
		}
	})
}
