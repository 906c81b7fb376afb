package lab

import (
	"time"

	"toucangap/internal/config"
)

// windowSamples is the number of samples averaged in a window.
const windowSamples = 10

// LoadSampler samples the distribution of load over each service's endpoints.
type LoadSampler struct {
	simulation *Simulation
	// flows counts the open flows at each endpoint.
	flows map[*Endpoint]int
	// Windows holds the load of each complete 10 s window, by service.
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

func newLoadSampler(sim *Simulation) *LoadSampler {
	l := &LoadSampler{
		simulation: sim,
		flows:      make(map[*Endpoint]int),
		Windows:    make(map[config.ServiceID][]Window),
		sums:       make(map[*Endpoint]sample),
	}
	l.schedule()
	return l
}

func (l *LoadSampler) bind(f *Flow) { l.flows[f.endpoint]++ }

func (l *LoadSampler) unbind(f *Flow) {
	if f.endpoint != nil {
		l.flows[f.endpoint]--
	}
}

func (l *LoadSampler) schedule() {
	l.simulation.clock.after(time.Second, func() {
		l.sample()
		l.schedule()
	})
}

func (l *LoadSampler) sample() {
	for _, e := range l.simulation.orderedEndpoints {
		s := l.sums[e]
		s.flows += l.flows[e]
		s.requests += e.openRequests()
		l.sums[e] = s
	}
	l.samples++
	if l.samples == windowSamples {
		l.endWindow()
	}
}

// endWindow stores the window's averages and starts the next window.
func (l *LoadSampler) endWindow() {
	for i := range l.simulation.bundle.Services {
		id := l.simulation.bundle.Services[i].ID
		l.Windows[id] = append(l.Windows[id], l.window(l.simulation.Endpoints(id)))
	}
	clear(l.sums)
	l.samples = 0
}

func (l *LoadSampler) window(endpoints []*Endpoint) Window {
	w := Window{At: l.simulation.clock.now}
	for _, e := range endpoints {
		flows := float64(l.sums[e].flows) / windowSamples
		requests := float64(l.sums[e].requests) / windowSamples
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

// LoadSampler returns the run's load sampler.
func (sim *Simulation) LoadSampler() *LoadSampler { return sim.loadSampler }

// Flows returns the number of flows at an endpoint.
func (l *LoadSampler) Flows(e *Endpoint) int { return l.flows[e] }
