package caller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"toucangap/standin/exchange"
	"toucangap/standin/fabric"
	"toucangap/standin/rotation"
	"toucangap/standin/topology"
)

// Run opens flows to all services of a topology for the configured duration
// and returns a summary of the results. Violated invariants are listed in the
// summary; an error means that the run could not be completed.
func Run(ctx context.Context, t *topology.Topology, o Options) (*Summary, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hosts := rotation.New(callerListeners(t))
	hosts.Watch(ctx)
	f, err := fabric.Listen(t.Return, hosts, o.Impairment, o.Seed)
	if err != nil {
		return nil, err
	}
	return runWithFabric(ctx, f, t, o)
}

// runWithFabric performs a run over an open fabric, which it starts to serve.
func runWithFabric(ctx context.Context, f *fabric.Fabric, t *topology.Topology, o Options) (*Summary, error) {
	go f.Serve(ctx)
	r := newRecorder(&o)
	names := make([]string, 0, len(t.Services))
	for _, s := range t.Services {
		names = append(names, s.Name)
		r.services[s.Name] = &serviceRecord{balance: newBalance(len(s.Endpoints))}
	}
	if o.Dump.IsValid() {
		if err := r.serveDump(ctx, o, names); err != nil {
			return nil, err
		}
	}
	runWorkers(ctx, t, &o, f, r)

	dumps, err := fetchDumps(ctx, t.Control)
	if err != nil {
		return nil, err
	}
	s := r.summarize(o, names, dumps)
	s.Fabric = f.Counts()
	s.checkDrained(o, r.started, dumps)
	return s, nil
}

func callerListeners(t *topology.Topology) []rotation.Member {
	members := make([]rotation.Member, 0, len(t.Hosts))
	for _, h := range t.Hosts {
		members = append(members, rotation.Member{Traffic: h.Callers, Admin: h.Admin})
	}
	return members
}

// runWorkers runs all workers and waits for them to finish.
func runWorkers(ctx context.Context, t *topology.Topology, o *Options, f *fabric.Fabric, r *recorder) {
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var wait sync.WaitGroup
	number := 0
	for i := range t.Services {
		service := &t.Services[i]
		for range workerCount(service, o) {
			w := &worker{
				fabric: f, recorder: r, options: o, service: service, number: number,
				random: exchange.Random(o.Seed, fmt.Sprintf("worker %d", number)),
			}
			number++
			if service.Protocol == topology.TCP {
				wait.Go(func() { w.runStreams(ctx) })
				continue
			}
			wait.Go(func() { w.runCoAP(ctx) })
		}
	}
	wait.Go(func() { r.watchBalance(ctx, o.Window) })
	for _, c := range o.BlockPeriods {
		wait.Go(func() { c.perform(ctx, t, f) })
	}
	wait.Wait()
}

// perform waits for the period to begin and blocks the host for its length.
func (c BlockPeriod) perform(ctx context.Context, t *topology.Topology, f *fabric.Fabric) {
	for _, h := range t.Hosts {
		if h.Name != c.Host || !sleep(ctx, c.From) {
			continue
		}
		f.Block(h.Callers)
		sleep(ctx, c.Length)
		f.Unblock(h.Callers)
	}
}

func workerCount(s *topology.Service, o *Options) int {
	if s.Protocol == topology.TCP {
		return o.Streams
	}
	return o.Flows
}

// watchBalance measures the imbalance of every service at the end of each window
// until the context is canceled.
func (r *recorder) watchBalance(ctx context.Context, window time.Duration) {
	for sleep(ctx, window) {
		r.mu.Lock()
		for _, s := range r.services {
			s.balance.closeWindow()
		}
		r.mu.Unlock()
	}
}
