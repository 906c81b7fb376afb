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
	emulator *Emulator
	domain   string
	ip       uint32
	port     uint16
	flows    map[catalog.Flow]*attempt
}

// request is a request with the state of its attempts.
type request struct {
	class    *Class
	started  time.Duration
	id       uint64
	attempts int
	ended    bool
	second   int // of its start
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
	em := c.emulator
	em.nextID++
	r := &request{class: class, started: em.now, id: em.nextID}
	em.Result.started(r)
	em.At(em.now+class.Timeout, func() { c.expire(r) })
	c.startAttempt(r)
}

// startAttempt opens a flow for the request. The actual work varies by up to half
// of the class's Work in both directions.
func (c *caller) startAttempt(r *request) {
	em := c.emulator
	r.attempts++
	c.port++
	index := slices.IndexFunc(em.Config.Classes, func(x Class) bool { return x.Name == r.class.Name })
	f := catalog.Flow{Caller: catalog.Address{IP: c.ip, Port: c.port}, Destination: routeAddress(index)}
	a, packets := ends.NewAttempt(em.now, em.key, f, em.draw(r))
	a.KeepOpen = em.Config.Pause > 0
	t := &attempt{Attempt: a, request: r}
	t.timer.emulator = em
	c.flows[f] = t
	c.send(t, packets)
}

// draw returns a request as sent in a flow.
func (em *Emulator) draw(r *request) ends.Request {
	work := time.Duration(float64(r.class.Work) * (0.5 + em.rng.Float64()))
	return ends.Request{
		ID: r.id<<8 | uint64(em.rng.IntN(256)), Service: r.class.Service, AtMostOnce: r.class.AtMostOnce, Work: work, AnswerBytes: r.class.AnswerBytes,
	}
}

// askAgain sends a second request on the attempt's flow.
func (c *caller) askAgain(t *attempt) {
	em := c.emulator
	if c.flows[t.Flow()] != t {
		return
	}
	em.nextID++
	t.request = &request{class: t.request.class, started: em.now, id: em.nextID, attempts: 1 + em.Config.Retries}
	r := t.request
	em.Result.started(r)
	em.At(em.now+r.class.Timeout, func() { c.expire(r) })
	t.recorded, t.KeepOpen = false, false
	c.send(t, t.Ask(em.now, em.draw(r)))
}

func (c *caller) send(t *attempt, packets [][]byte) {
	for _, p := range packets {
		c.emulator.fromCaller(c, t.Flow(), p)
	}
	c.recordOutcome(t)
	due, ok := t.NextDue()
	t.timer.schedule(max(due, c.emulator.now), ok, func() { c.send(t, t.Tick(c.emulator.now)) })
}

// toCaller delivers a packet to the caller that it is addressed to.
func (em *Emulator) toCaller(packet []byte) {
	s, err := platform.Decode(packet)
	if err != nil {
		return
	}
	key := catalog.Flow{Caller: s.Flow.Destination, Destination: s.Flow.Caller}
	em.At(em.now+em.Config.CallerDelay, func() {
		c := em.byIP[key.Caller.IP]
		if c == nil {
			return
		}
		if t := c.flows[key]; t != nil {
			c.send(t, t.Receive(em.now, packet))
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
	r, em := t.request, c.emulator
	em.Result.checkAttempt(em, t)
	if r.ended {
		return
	}
	if t.Outcome() == ends.Answered {
		r.ended = true
		em.Result.answered(r, em.now-r.started)
		if pause := em.Config.Pause; t.KeepOpen {
			em.At(em.now+pause+time.Duration(em.rng.Int64N(int64(pause))), func() { c.askAgain(t) })
		}
		return
	}
	mayRetry := !r.class.AtMostOnce || t.Outcome() == ends.NeverOpened || t.Outcome() == ends.NotRun
	if mayRetry && r.attempts <= em.Config.Retries && em.now < r.started+r.class.Timeout {
		c.startAttempt(r)
		return
	}
	r.ended = true
	em.Result.failed(r)
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
		c.emulator.Result.failed(r)
	}
}
