package emu

import (
	"slices"
	"time"

	"toucangap/internal/catalog"
	"toucangap/platform"
	"toucangap/standin/ends"
)

// caller is one source address of callers.
type caller struct {
	world  *World
	domain string
	ip     uint32
	port   uint16
	flows  map[catalog.Flow]*attempt
}

// request is a request with the state of its attempts.
type request struct {
	class    *Class
	started  time.Duration
	id       uint64
	attempts int
	ended    bool
	second   int
}

// attempt is one flow opened for a request.
type attempt struct {
	*ends.Attempt
	request  *request
	timer    timer
	recorded bool
}

// startRequest starts a request of the class.
func (c *caller) startRequest(class *Class) {
	w := c.world
	w.nextID++
	r := &request{class: class, started: w.now, id: w.nextID}
	w.Result.started(r)
	w.At(w.now+class.Timeout, func() { c.expire(r) })
	c.attempt(r)
}

func (c *caller) attempt(r *request) {
	w := c.world
	r.attempts++
	c.port++
	index := slices.IndexFunc(w.Config.Classes, func(x Class) bool { return x.Name == r.class.Name })
	f := catalog.Flow{Caller: catalog.Address{IP: c.ip, Port: c.port}, Service: routeAddress(index)}
	work := time.Duration(float64(r.class.Work) * (0.5 + w.rng.Float64()))
	a, packets := ends.NewAttempt(w.now, w.key, f, ends.Request{
		ID: r.id<<8 | uint64(w.rng.IntN(256)), Service: r.class.Service, AtMostOnce: r.class.AtMostOnce, Work: work, AnswerBytes: r.class.AnswerBytes,
	})
	t := &attempt{Attempt: a, request: r}
	t.timer.world = w
	c.flows[f] = t
	c.send(t, packets)
}

func (c *caller) send(t *attempt, packets [][]byte) {
	for _, p := range packets {
		c.world.fromCaller(c, t.Flow(), p)
	}
	c.recordOutcome(t)
	due, ok := t.NextDue()
	t.timer.schedule(max(due, c.world.now), ok, func() { c.send(t, t.Tick(c.world.now)) })
}

// toCaller delivers a packet to the caller that it is addressed to.
func (w *World) toCaller(packet []byte) {
	s, err := platform.Decode(packet)
	if err != nil {
		return
	}
	key := catalog.Flow{Caller: s.Flow.Service, Service: s.Flow.Caller}
	w.At(w.now+w.Config.CallerDelay, func() {
		c := w.byIP[key.Caller.IP]
		if c == nil {
			return
		}
		if t := c.flows[key]; t != nil {
			c.send(t, t.Receive(w.now, packet))
		}
	})
}

// recordOutcome records an attempt's outcome once and retries where the protocol
// allows it.
func (c *caller) recordOutcome(t *attempt) {
	if t.Closed() {
		delete(c.flows, t.Flow())
	}
	if t.recorded || t.Outcome() == ends.Pending {
		return
	}
	t.recorded = true
	r, w := t.request, c.world
	w.Result.checkAttempt(w, t)
	if r.ended {
		return
	}
	if t.Outcome() == ends.Answered {
		r.ended = true
		w.Result.answered(r, w.now-r.started)
		return
	}
	again := !r.class.AtMostOnce || t.Outcome() == ends.NeverOpened || t.Outcome() == ends.NotRun
	if again && r.attempts <= w.Config.Retries && w.now < r.started+r.class.Timeout {
		c.attempt(r)
		return
	}
	r.ended = true
	w.Result.failed(r)
}

// expire ends a request at its timeout.
func (c *caller) expire(r *request) {
	for _, t := range c.flows {
		if t.request == r && t.Outcome() == ends.Pending {
			t.GiveUp()
			c.recordOutcome(t)
			delete(c.flows, t.Flow())
		}
	}
	if !r.ended {
		r.ended = true
		c.world.Result.failed(r)
	}
}
