package site

import (
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/catalog"
	"toucangap/standin/ends"
)

// caller is one source address of callers. All its flows share one socket; port is
// the caller's port in the newest flow.
type caller struct {
	site   *Site
	domain int
	ip     netip.Addr
	conn   *net.UDPConn
	port   uint16
	flows  map[catalog.Flow]*attempt
}

// request is a request with the state of its attempts.
type request struct {
	class    *class
	id       uint64
	started  time.Duration
	attempts int
	ended    bool
}

// attempt is one flow opened for a request.
type attempt struct {
	*ends.Attempt
	request  *request
	recorded bool
}

// maxRetries is the maximum number of retries of a request.
const maxRetries = 2

func (s *Site) addCaller(d, i int) error {
	ip := netip.AddrFrom4([4]byte{127, 1, byte(d), byte(i + 1)})
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, uint16(s.Options.Port))))
	if err != nil {
		return merry.Prepend(err, "listen on a caller address")
	}
	c := &caller{site: s, domain: d, ip: ip, conn: conn, port: 1024, flows: make(map[catalog.Flow]*attempt)}
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
	s, err := ends.CallerFlow(packet)
	if err != nil {
		c.site.Result.Malformed++
		return
	}
	if t := c.flows[s]; t != nil {
		c.send(t, t.Receive(c.site.now(), packet))
	}
}

// startAttempt opens a flow for the request.
func (c *caller) startAttempt(r *request) {
	r.attempts++
	c.port++
	if c.port < 1024 {
		c.port = 1024
	}
	flow := catalog.Flow{
		Caller:      addressOf(netip.AddrPortFrom(c.ip, c.port)),
		Destination: catalog.Address{IP: routeIP, Port: r.class.route},
	}
	a, packets := ends.NewAttempt(c.site.now(), c.site.key, flow, ends.Request{
		ID: r.id, Service: r.class.service, AtMostOnce: r.class.atMostOnce, Work: r.class.work, AnswerBytes: r.class.answerBytes,
	})
	t := &attempt{Attempt: a, request: r}
	c.flows[flow] = t
	c.send(t, packets)
}

// send sends packets to the host that routers currently select.
func (c *caller) send(t *attempt, packets [][]byte) {
	if len(packets) > 0 {
		if h := c.site.route(t.Flow(), c.domain); h != nil {
			for _, p := range packets {
				_, _ = c.conn.WriteToUDPAddrPort(p, h.Packets.Address)
			}
		}
	}
	c.recordOutcome(t)
}

// tick ends attempts whose request has timed out and sends due retransmissions.
func (c *caller) tick(now time.Duration) {
	for _, t := range c.flows {
		if t.Outcome() == ends.Pending && now >= t.request.started+t.request.class.timeout {
			t.GiveUp()
		}
		c.send(t, t.Tick(now))
	}
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
	r, s := t.request, c.site
	now := s.now()
	s.checkAttempt(t)
	if r.ended {
		return
	}
	if t.Outcome() == ends.Answered {
		r.ended = true
		s.Result.answered(r.started, now-r.started)
		return
	}
	mayRetry := !r.class.atMostOnce || t.Outcome() == ends.NeverOpened || t.Outcome() == ends.NotRun
	if mayRetry && r.attempts <= maxRetries && now < r.started+r.class.timeout {
		c.startAttempt(r)
		return
	}
	r.ended = true
	s.Result.failed(r.started)
}

// checkAttempt records the violations seen on an attempt: a wrong answer or forged
// packet, and a host's reset of a flow that a running endpoint holds.
func (s *Site) checkAttempt(t *attempt) {
	if t.Outcome() == ends.Wrong {
		s.Result.recordViolation(s.now(), "wrong answer or forged packet on "+t.Flow().String())
	}
	if !t.ResetByHost || t.Outcome() != ends.Broken {
		return
	}
	s.Result.FlowsReset++
	for _, e := range s.endpoints {
		if e.Holds(t.Flow()) && !e.Down && s.now() > e.checksSuspendedUntil {
			s.Result.recordViolation(s.now(), "open flow reset at a living endpoint: "+t.Flow().String()+" at "+e.id)
		}
	}
}

// AnyOpenFlow returns an established flow whose caller waits for an answer; ok is
// false if there is none.
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
