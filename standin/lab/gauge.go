package lab

import (
	"time"

	"toucangap/internal/config"
)

// windowSamples is the number of samples averaged in a window.
const windowSamples = 10

// Gauge samples the distribution of load over each service's endpoints.
type Gauge struct {
	world *World
	flows map[*Endpoint]int
	// Windows holds the load of each 10 s window by service.
	Windows map[config.ServiceID][]Window
	sums    map[*Endpoint]sample
	samples int
}

// sample sums an endpoint's open flows and requests over a window.
type sample struct {
	flows, requests int
}

// Window is the distribution of load over a 10 s window. Its values are
// averages of samples taken every second.
type Window struct {
	At time.Duration
	// The mean and the maximum are taken over the service's endpoints.
	MeanFlows, MaxFlows       float64
	MeanRequests, MaxRequests float64
}

func newGauge(w *World) *Gauge {
	g := &Gauge{
		world:   w,
		flows:   make(map[*Endpoint]int),
		Windows: make(map[config.ServiceID][]Window),
		sums:    make(map[*Endpoint]sample),
	}
	g.schedule()
	return g
}

func (g *Gauge) bind(f *Flow) { g.flows[f.endpoint]++ }

func (g *Gauge) unbind(f *Flow) {
	if f.endpoint != nil {
		g.flows[f.endpoint]--
	}
}

func (g *Gauge) schedule() {
	g.world.clock.after(time.Second, func() {
		g.sample()
		g.schedule()
	})
}

func (g *Gauge) sample() {
	for _, e := range g.world.orderedEndpoints {
		s := g.sums[e]
		s.flows += g.flows[e]
		s.requests += e.openRequests()
		g.sums[e] = s
	}
	g.samples++
	if g.samples == windowSamples {
		g.endWindow()
	}
}

// endWindow stores the window's averages and starts the next window.
func (g *Gauge) endWindow() {
	for i := range g.world.bundle.Services {
		id := g.world.bundle.Services[i].ID
		g.Windows[id] = append(g.Windows[id], g.window(g.world.Endpoints(id)))
	}
	clear(g.sums)
	g.samples = 0
}

func (g *Gauge) window(endpoints []*Endpoint) Window {
	w := Window{At: g.world.clock.now}
	for _, e := range endpoints {
		flows := float64(g.sums[e].flows) / windowSamples
		requests := float64(g.sums[e].requests) / windowSamples
		w.MeanFlows += flows / float64(len(endpoints))
		w.MeanRequests += requests / float64(len(endpoints))
		w.MaxFlows = max(w.MaxFlows, flows)
		w.MaxRequests = max(w.MaxRequests, requests)
	}
	return w
}

// Imbalance returns the ratio of the largest number of flows at an endpoint to
// the mean.
func (w Window) Imbalance() float64 {
	if w.MeanFlows == 0 {
		return 1
	}
	return w.MaxFlows / w.MeanFlows
}

// Gauge returns the run's load sampler.
func (w *World) Gauge() *Gauge { return w.gauge }

// Flows returns the number of flows at an endpoint.
func (g *Gauge) Flows(e *Endpoint) int { return g.flows[e] }
