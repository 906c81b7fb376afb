package measure

import (
	"time"

	"toucangap/internal/config"
	"toucangap/standin/lab"
)

// serviceID identifies a service of the lab.
type serviceID = config.ServiceID

// slotsPerEndpoint is the number of requests that an endpoint of the lab runs
// concurrently.
const slotsPerEndpoint = 2

// The sampling interval and the length of a window.
const (
	samplePeriod = 20 * time.Millisecond
	windowLength = 10 * time.Second
)

// endpointLoad is an endpoint's open flows and requests, averaged over a window.
type endpointLoad struct {
	endpoint        *lab.Endpoint
	flows, requests float64
}

// window holds the loads of one service's endpoints in a time window.
type window struct {
	from, to time.Duration
	loads    []endpointLoad
}

// sampler averages the endpoints' loads over windows and collects the control
// bytes of every process that has run on a host.
type sampler struct {
	simulation *lab.Simulation
	from       time.Duration
	sums       map[*lab.Endpoint]*endpointLoad
	samples    int
	windows    map[serviceID][]window
	cores      map[string]map[*lab.Core]bool
	stopped    bool
}

func newSampler(sim *lab.Simulation) *sampler {
	s := &sampler{
		simulation: sim,
		from:       sim.Now(),
		sums:       make(map[*lab.Endpoint]*endpointLoad),
		windows:    make(map[serviceID][]window),
		cores:      make(map[string]map[*lab.Core]bool),
	}
	s.schedule()
	return s
}

func (s *sampler) schedule() {
	s.simulation.After(samplePeriod, func() {
		if s.stopped {
			return
		}
		s.sample()
		s.schedule()
	})
}

func (s *sampler) sample() {
	s.recordCores()
	for _, id := range services {
		for _, e := range s.simulation.Endpoints(id) {
			s.addSample(e)
		}
	}
	s.samples++
	if s.simulation.Now()-s.from >= windowLength {
		s.endWindow()
	}
}

func (s *sampler) addSample(e *lab.Endpoint) {
	sum := s.sums[e]
	if sum == nil {
		sum = &endpointLoad{endpoint: e}
		s.sums[e] = sum
	}
	sum.flows += float64(s.simulation.LoadSampler().Flows(e))
	sum.requests += float64(e.OpenRequests())
}

// restart starts a new window.
func (s *sampler) restart() {
	clear(s.sums)
	s.samples = 0
	s.from = s.simulation.Now()
}

func (s *sampler) endWindow() {
	for _, id := range services {
		w := window{from: s.from, to: s.simulation.Now()}
		for _, e := range s.simulation.Endpoints(id) {
			sum := s.sums[e]
			if sum == nil {
				continue
			}
			n := float64(s.samples)
			w.loads = append(w.loads, endpointLoad{e, sum.flows / n, sum.requests / n})
		}
		s.windows[id] = append(s.windows[id], w)
	}
	s.restart()
}

// recordCores keeps the core of every process, so that its counts remain after
// the process has ended.
func (s *sampler) recordCores() {
	for _, h := range s.simulation.Hosts() {
		c := h.Core()
		if c == nil {
			continue
		}
		if s.cores[h.Name] == nil {
			s.cores[h.Name] = make(map[*lab.Core]bool)
		}
		s.cores[h.Name][c] = true
	}
}

// controlBytes returns the control bytes sent by each host in each second.
func (s *sampler) controlBytes() map[string]map[int]int {
	out := make(map[string]map[int]int)
	for name, cores := range s.cores {
		out[name] = make(map[int]int)
		for c := range cores {
			for second, bytes := range c.ControlBytesPerSecond {
				out[name][second] += bytes
			}
		}
	}
	return out
}
