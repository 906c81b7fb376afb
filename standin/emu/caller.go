package emu

import (
	"slices"
	"time"

	"toucangap/internal/catalog"
	"toucangap/platform"
	"toucangap/standin/ends"
)

// caller is one address that callers send from.
type caller struct {
	world  *World
	domain string
	ip     uint32
	port   uint16
	flows  map[catalog.Flow]*try
}

// request is one request with its tries.
type request struct {
	class  *Class
	asked  time.Duration
	id     uint64
	tries  int
	ended  bool
	window int
}

// try is one flow for a request.
type try struct {
	*ends.Attempt
	request *request
	timer   timer
	settled bool
}

// ask begins a request of the class.
func (c *caller) ask(class *Class) {
	w := c.world
	w.nextID++
	r := &request{class: class, asked: w.now, id: w.nextID}
	w.Result.asked(r)
	w.At(w.now+class.Timeout, func() { c.expire(r) })
	c.try(r)
}

func (c *caller) try(r *request) {
	w := c.world
	r.tries++
	c.port++
	index := slices.IndexFunc(w.Config.Classes, func(x Class) bool { return x.Name == r.class.Name })
	f := catalog.Flow{Caller: catalog.Address{IP: c.ip, Port: c.port}, Service: routeAddress(index)}
	work := time.Duration(float64(r.class.Work) * (0.5 + w.rng.Float64()))
	a, packets := ends.NewAttempt(w.now, w.key, f, ends.Request{
		ID: r.id<<8 | uint64(w.rng.IntN(256)), Service: r.class.Service, Once: r.class.Once, Work: work, Answer: r.class.Answer,
	})
	t := &try{Attempt: a, request: r}
	t.timer.world = w
	c.flows[f] = t
	c.send(t, packets)
}

func (c *caller) send(t *try, packets [][]byte) {
	for _, p := range packets {
		c.world.fromCaller(c, t.Flow(), p)
	}
	c.settle(t)
	due, ok := t.NextDue()
	t.timer.schedule(max(due, c.world.now), ok, func() { c.send(t, t.Tick(c.world.now)) })
}

// toCaller carries a packet to the caller that it names.
func (w *World) toCaller(packet []byte) {
	s, err := platform.Decode(packet)
	if err != nil {
		return
	}
	key := catalog.Flow{Caller: s.Flow.Service, Service: s.Flow.Caller}
	w.At(w.now+w.Config.Callers, func() {
		c := w.byIP[key.Caller.IP]
		if c == nil {
			return
		}
		if t := c.flows[key]; t != nil {
			c.send(t, t.Receive(w.now, packet))
		}
	})
}

// settle takes an attempt's outcome once and tries again where the protocol
// lets callers do so.
func (c *caller) settle(t *try) {
	if t.Closed() {
		delete(c.flows, t.Flow())
	}
	if t.settled || t.Outcome() == ends.Pending {
		return
	}
	t.settled = true
	r, w := t.request, c.world
	w.Result.attempt(w, t)
	if r.ended {
		return
	}
	if t.Outcome() == ends.Answered {
		r.ended = true
		w.Result.answered(r, w.now-r.asked)
		return
	}
	again := !r.class.Once || t.Outcome() == ends.NeverOpened || t.Outcome() == ends.NotRun
	if again && r.tries <= w.Config.Retries && w.now < r.asked+r.class.Timeout {
		c.try(r)
		return
	}
	r.ended = true
	w.Result.failed(r)
}

// expire ends a request whose time is over.
func (c *caller) expire(r *request) {
	for _, t := range c.flows {
		if t.request == r && t.Outcome() == ends.Pending {
			t.GiveUp()
			c.settle(t)
			delete(c.flows, t.Flow())
		}
	}
	if !r.ended {
		r.ended = true
		c.world.Result.failed(r)
	}
}
