package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"toucangap/standin/exchange"
	"toucangap/standin/fabric"
	"toucangap/standin/topology"
)

// worker keeps one flow open to a service and opens another when it ends. Its
// flows are numbered by generation and differ in the caller's port.
type worker struct {
	fabric   *fabric.Fabric
	recorder *recorder
	options  *Options
	service  *topology.Service
	// number is unique among the workers of a run.
	number int
	random *rand.Rand
}

// flow is the state common to CoAP and TCP flows.
type flow struct {
	*worker
	port *fabric.Port
	// name is the prefix of the IDs of the flow's requests.
	name string
	// sent is the number of requests so far.
	sent int
	// endpoint is the first endpoint that answered.
	endpoint string
	// established is set by the first answer; only established flows can break.
	established bool
	// broken is set once the flow has been counted as broken or refused, so
	// that it is counted once.
	broken bool
}

// The callers' addresses and ports. Each worker has an address of its own, with
// the worker's number in its last two bytes; a port is used again after
// portRange flows.
const (
	callersPerSubnet = 250
	firstPort        = 20_000
	portRange        = 40_000
)

// address returns the caller's address and port for the given generation.
func (w *worker) address(generation int) netip.AddrPort {
	port := uint16(firstPort + generation%portRange)
	high, low := byte(w.number/callersPerSubnet), byte(w.number%callersPerSubnet+1)
	if w.service.Address.Addr().Is6() {
		return netip.AddrPortFrom(netip.AddrFrom16([16]byte{0: 0xfd, 14: high, 15: low}), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, high, low}), port)
}

// open opens the worker's flow of the given generation.
func (w *worker) open(generation int) (*flow, error) {
	port, err := w.fabric.Open(w.address(generation))
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("%s/%s/%d/%d", w.options.Run, w.service.Name, w.number, generation)
	return &flow{worker: w, port: port, name: name}, nil
}

// close ends the flow.
func (f *flow) close() {
	f.port.Close()
	if f.endpoint == "" {
		return
	}
	f.recorder.updateBalance(f.service.Name, func(b *balance) { b.open[f.endpoint]-- })
}

// maxAnswerSize limits the requested answer size in bytes.
const maxAnswerSize = 1000

// next returns the next request and records it; false once the run's request
// limit is reached.
func (f *flow) next(kind Kind) (exchange.Request, bool) {
	r := exchange.Request{
		ID:      fmt.Sprintf("%s/%d", f.name, f.sent),
		Service: f.service.Name,
		Size:    1 + f.random.IntN(maxAnswerSize),
	}
	f.sent++
	return r, f.recorder.begin(r.ID, kind)
}

// checkAnswer checks the payload of an answer and records the endpoint that sent
// it. An answer from a second endpoint breaks the flow, but still counts as
// Answered.
func (f *flow) checkAnswer(r exchange.Request, payload []byte) Outcome {
	answer, err := exchange.Unmarshal[exchange.Answer](payload)
	if err != nil || !answer.Matches(r) {
		return Wrong
	}
	first := f.endpoint == ""
	if !first && f.endpoint != answer.Endpoint {
		f.recordBroken(BrokenMoved)
	}
	f.established = true
	f.recorder.updateBalance(f.service.Name, func(b *balance) {
		b.answered[answer.Endpoint]++
		if first {
			b.open[answer.Endpoint]++
		}
	})
	if first {
		f.endpoint = answer.Endpoint
	}
	return Answered
}

// recordBroken records the flow as broken, or as refused if not yet established.
func (f *flow) recordBroken(reason Reason) {
	if f.broken {
		return
	}
	f.broken = true
	if !f.established {
		f.recorder.recordRefused(f.service.Name)
		return
	}
	f.recorder.recordBroken(f.service.Name, f.port.Address(), f.endpoint, reason)
}

// sleep waits for d and returns true, or false if the context is canceled first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// jittered returns a random duration from half to one and a half times the mean.
func (w *worker) jittered(mean time.Duration) time.Duration {
	return time.Duration((0.5 + w.random.Float64()) * float64(mean))
}
