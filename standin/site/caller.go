package site

import (
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/catalog"
	"toucangap/standin/ends"
)

// caller is one address of callers.
type caller struct {
	site   *Site
	domain int
	ip     netip.Addr
	conn   *net.UDPConn
	port   uint16
	flows  map[catalog.Flow]*try
}

// request is one request with its tries.
type request struct {
	class *class
	id    uint64
	asked time.Duration
	tries int
	ended bool
}

// try is one flow for a request.
type try struct {
	*ends.Attempt
	request *request
	settled bool
}

// retries is how often a caller tries again.
const retries = 2

func (s *Site) addCaller(d, i int) error {
	ip := netip.AddrFrom4([4]byte{127, 1, byte(d), byte(i + 1)})
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, uint16(s.Options.Port))))
	if err != nil {
		return merry.Prepend(err, "listen for a caller")
	}
	c := &caller{site: s, domain: d, ip: ip, conn: conn, port: 1024, flows: make(map[catalog.Flow]*try)}
	s.callers = append(s.callers, c)
	s.wait.Go(c.read)
	return nil
}

func (c *caller) read() {
	b := make([]byte, 2048)
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			return
		}
		c.site.mu.Lock()
		c.receive(append([]byte(nil), b[:n]...))
		c.site.mu.Unlock()
	}
}

func (c *caller) receive(packet []byte) {
	s, err := ends.Ends(packet)
	if err != nil {
		c.site.Result.Malformed++
		return
	}
	if t := c.flows[s]; t != nil {
		c.send(t, t.Receive(c.site.now(), packet))
	}
}

// arrivals begins the requests that are due.
func (s *Site) arrivals(now time.Duration) {
	elapsed := now - s.lastTick
	s.lastTick = now
	if !s.loaded {
		return
	}
	for s.owed += elapsed.Seconds() * s.Options.Rate; s.owed >= 1; s.owed-- {
		s.requests++
		draw := s.rng.Float64()
		k := &classes[0]
		for i := range classes {
			k = &classes[i]
			if draw -= k.share; draw < 0 {
				break
			}
		}
		r := &request{class: k, id: s.requests, asked: now}
		s.Result.asked(now)
		s.callers[s.rng.IntN(len(s.callers))].try(r)
	}
}

func (c *caller) try(r *request) {
	r.tries++
	c.port++
	if c.port < 1024 {
		c.port = 1024
	}
	flow := catalog.Flow{
		Caller:  addressOf(netip.AddrPortFrom(c.ip, c.port)),
		Service: catalog.Address{IP: routeIP, Port: r.class.route},
	}
	a, packets := ends.NewAttempt(c.site.now(), c.site.key, flow, ends.Request{
		ID: r.id, Service: r.class.service, Once: r.class.once, Work: r.class.work, Answer: r.class.answer,
	})
	t := &try{Attempt: a, request: r}
	c.flows[flow] = t
	c.send(t, packets)
}

// send carries packets to the host that routers select now.
func (c *caller) send(t *try, packets [][]byte) {
	if len(packets) > 0 {
		if h := c.site.route(t.Flow(), c.domain); h != nil {
			for _, p := range packets {
				_, _ = c.conn.WriteToUDPAddrPort(p, h.Packets.From)
			}
		}
	}
	c.settle(t)
}

func (c *caller) tick(now time.Duration) {
	for _, t := range c.flows {
		if t.Outcome() == ends.Pending && now >= t.request.asked+t.request.class.timeout {
			t.GiveUp()
		}
		c.send(t, t.Tick(now))
	}
}

// settle takes an attempt's outcome once and tries again where callers may.
func (c *caller) settle(t *try) {
	if t.Closed() {
		delete(c.flows, t.Flow())
	}
	if t.settled || t.Outcome() == ends.Pending {
		return
	}
	t.settled = true
	r, s := t.request, c.site
	now := s.now()
	s.check(t)
	if r.ended {
		return
	}
	if t.Outcome() == ends.Answered {
		r.ended = true
		s.Result.answered(r.asked, now-r.asked)
		return
	}
	again := !r.class.once || t.Outcome() == ends.NeverOpened || t.Outcome() == ends.NotRun
	if again && r.tries <= retries && now < r.asked+r.class.timeout {
		c.try(r)
		return
	}
	r.ended = true
	s.Result.failed(r.asked)
}

// check looks for what must not happen.
func (s *Site) check(t *try) {
	if t.Outcome() == ends.Wrong {
		s.Result.violate(s.now(), "wrong answer or forged packet on "+t.Flow().String())
	}
	if !t.ResetByHost || t.Outcome() != ends.Broken {
		return
	}
	s.Result.Cut++
	for _, e := range s.endpoints {
		if e.Holds(t.Flow()) && !e.Down && s.now() > e.harmedUntil {
			s.Result.violate(s.now(), "open flow reset at a living endpoint: "+t.Flow().String()+" at "+e.id)
		}
	}
}

// AnyOpenFlow returns a flow that an endpoint holds and whose caller waits.
func (s *Site) AnyOpenFlow() (flow catalog.Flow, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.callers {
		for f, t := range c.flows {
			for _, e := range s.endpoints {
				if t.Outcome() == ends.Pending && e.Holds(f) {
					return f, true
				}
			}
		}
	}
	return catalog.Flow{}, false
}
