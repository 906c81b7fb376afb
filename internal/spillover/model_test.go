package spillover

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	ms     = time.Millisecond
	target = 250 * ms
	// hostsPerDomain hosts see about 20 answers per second each, which uses half of the
	// slots of endpointsPerDomain endpoints.
	hostsPerDomain     = 18
	endpointsPerDomain = 16
	baseRate           = 20.0 * hostsPerDomain
	// maxWait is the wait at which an endpoint's queue of 8 is full.
	maxWait         = 8 * 47 * ms / 2
	roundTripHome   = 1 * ms
	roundTripRemote = 8 * ms
)

// model plays requests between the hosts and the endpoints of some domains in steps of
// a millisecond. Endpoints have 2 slots and are chosen at random in the domain.
type model struct {
	rng     *rand.Rand
	now     time.Duration
	domains []string
	hosts   [][]*Controller
	// free holds when the slots of the endpoints are free, by domain.
	free [][][2]time.Duration
	// due holds what the hosts learn at each of the next milliseconds.
	due [8192][]func()
	// demand is a domain's load as a multiple of baseRate; slowness multiplies the work
	// in a domain; cut is a domain that is cut off from the others, -1 for none.
	demand   func(domain int, now time.Duration) float64
	slowness []float64
	cut      int
	// disabled keeps all flows at home.
	disabled bool
	result
}

// result counts requests; unreachable ones were sent where no packet arrives.
type result struct{ sent, left, late, unreachable float64 }

func newModel(seed uint64, domains int, demand func(int, time.Duration) float64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, seed)), demand: demand, cut: -1, now: time.Second}
	for d := range domains {
		m.domains = append(m.domains, string(rune('a'+d)))
		m.free = append(m.free, make([][2]time.Duration, endpointsPerDomain))
		m.slowness = append(m.slowness, 1)
	}
	for _, name := range m.domains {
		var hosts []*Controller
		for range hostsPerDomain {
			hosts = append(hosts, m.newHost(name))
		}
		m.hosts = append(m.hosts, hosts)
	}
	return m
}

// newHost returns a host of a domain that knows nothing.
func (m *model) newHost(domain string) *Controller {
	c := New(domain)
	for _, d := range m.domains {
		c.AddSlots(d, 2*endpointsPerDomain)
	}
	return c
}

// run plays a span and returns what was counted in it.
func (m *model) run(span time.Duration) result {
	m.result = result{}
	for end := m.now + span; m.now < end; m.now += ms {
		slot := m.now / ms % time.Duration(len(m.due))
		for _, learn := range m.due[slot] {
			learn()
		}
		m.due[slot] = m.due[slot][:0]
		for d := range m.domains {
			for range m.arrivals(baseRate * m.demand(d, m.now) / 1000) {
				m.request(d)
			}
		}
	}
	return m.result
}

// arrivals returns a Poisson variate.
func (m *model) arrivals(mean float64) (n int) {
	for p := m.rng.Float64(); p > math.Exp(-mean); p *= m.rng.Float64() {
		n++
	}
	return n
}

// request plays one request of a domain's caller.
func (m *model) request(home int) {
	c := m.hosts[home][m.rng.IntN(hostsPerDomain)]
	m.sent++
	to, roundTrip := home, roundTripHome
	if c.Leaves(m.now, m.rng.Uint64()) && !m.disabled {
		if allowed := m.allowed(c); len(allowed) > 0 {
			to, roundTrip = allowed[m.rng.IntN(len(allowed))], roundTripRemote
			m.left++
		}
	}
	name := m.domains[to]
	slots := &m.free[to][m.rng.IntN(endpointsPerDomain)]
	slot := &slots[0]
	if slots[1] < slots[0] {
		slot = &slots[1]
	}
	start := max(m.now, *slot)
	unreachable := func() bool { return to != home && (to == m.cut || home == m.cut) }
	if unreachable() {
		m.result.unreachable++
	}
	if unreachable() || start-m.now > maxWait {
		m.late++
		m.after(25*ms, func() { c.RecordUnanswered(m.now, name) })
		return
	}
	*slot = start + m.work(to)
	took := *slot - m.now + roundTrip
	m.after(roundTrip, func() { c.RecordHandshake(name, roundTrip) })
	if took <= target {
		m.after(took, func() {
			if !unreachable() {
				c.RecordAnswer(m.now, name, took, target)
				c.RecordSize(4000)
			}
		})
		return
	}
	m.late++
	m.after(target, func() { c.RecordLate(m.now, name, target) })
}

func (m *model) after(span time.Duration, learn func()) {
	slot := (m.now + span) / ms % time.Duration(len(m.due))
	m.due[slot] = append(m.due[slot], learn)
}

func (m *model) allowed(c *Controller) (list []int) {
	for i, name := range m.domains {
		if c.Allowed(name) {
			list = append(list, i)
		}
	}
	return list
}

// work returns the time that a request takes in a domain: 47 ms on average, 3% of the
// requests 7 times as long as the others.
func (m *model) work(domain int) time.Duration {
	usual := 47.0 / (0.97 + 7*0.03) * m.slowness[domain]
	usual *= 0.5 + m.rng.Float64()
	if m.rng.Float64() < 0.03 {
		usual *= 7
	}
	return time.Duration(usual * float64(ms))
}

// share returns the mean share of a domain's hosts.
func (m *model) share(domain int) (mean float64) {
	for _, c := range m.hosts[domain] {
		mean += c.Share() / hostsPerDomain
	}
	return mean
}
