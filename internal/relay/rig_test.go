package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucangap/internal/balance"
	"toucangap/internal/catalog"
	"toucangap/internal/segment"
	"toucangap/platform"
)

const (
	ms       = time.Millisecond
	lifetime = time.Minute
)

var (
	caller  = catalog.Address{IP: 0x64400007, Port: 40001}
	target  = catalog.Address{IP: 0xc6120001, Port: 443}
	theFlow = catalog.Flow{Caller: caller, Service: target}
)

// rig is a relay with what it sent and decided.
type rig struct {
	t         testing.TB
	relay     *Relay
	now       time.Duration
	directory *catalog.Directory
	revision  uint64
	// sent are the ids of endpoints that packets went to, "reset" for resets.
	sent  []string
	notes []string
}

// newRig returns a relay with endpoints i-1 to i-n of service "s".
func newRig(t testing.TB, n int) *rig {
	r := &rig{t: t, directory: catalog.NewDirectory(0, lifetime), now: 2 * lifetime}
	r.relay = New(Options{Domain: "d", MaxFlows: 1000, FlowLifetime: lifetime, Output: r, Observer: r}, 0)
	for i := range n {
		r.list(fmt.Sprintf("i-%d", i+1), "s")
	}
	r.configure("s")
	return r
}

func (r *rig) list(id, service string) {
	r.revision++
	r.directory.PutEndpoint(r.now, &catalog.Endpoint{ID: id, Number: 1, Service: service, Domain: "d", Slots: 2}, r.revision)
	r.publish()
}

// configure makes a version in force whose one route goes to the service; no
// service removes the route.
func (r *rig) configure(services ...string) {
	r.revision++
	c := &catalog.Configuration{Version: r.revision, Services: map[string]int{"s": 1, "other": 1}, IdleTimeout: 10 * time.Second}
	for _, s := range services {
		c.Routes = append(c.Routes, catalog.Route{
			Name: "r", Address: target, Timeout: time.Second, Shares: []catalog.Share{{Service: s, Weight: 1}},
		})
	}
	r.directory.SetConfiguration(c, r.revision)
	r.publish()
}

func (r *rig) publish() { r.relay.SetView(r.now, r.directory.View(r.now)) }

func (r *rig) Forward(e *catalog.Entry, _ []byte) { r.sent = append(r.sent, e.ID) }

func (r *rig) Reset(catalog.Flow, uint32) { r.sent = append(r.sent, "reset") }

func (r *rig) Placed(_ time.Duration, p Placement) { r.note("placed") }

func (r *rig) Accepted(time.Duration) {}

func (r *rig) Answered(time.Duration) {}

func (r *rig) Recovered(time.Duration, *balance.Endpoint) { r.note("recovered") }

func (r *rig) Turned(_ time.Duration, _ *balance.Endpoint, failing bool, _ float64) {
	r.note(fmt.Sprint("failing ", failing))
}

func (r *rig) Ended(_ time.Duration, e Ending) { r.note("ended " + e.Cause) }

func (r *rig) Dropped(_ time.Duration, _ catalog.Flow, d Drop) {
	r.note("dropped " + d.String())
}

func (r *rig) Rejected(_ time.Duration, _ Placement, reason Rejection) {
	r.note("rejected " + reason.String())
}

func (r *rig) Adopted(time.Duration, catalog.Flow, *catalog.Entry) { r.note("adopted") }

func (r *rig) Contested(time.Duration, catalog.Flow, *catalog.Entry, catalog.Token) {
	r.note("contested")
}

func (r *rig) Suspected(_ time.Duration, _ catalog.Flow, e *balance.Endpoint, _ time.Duration) {
	r.note("suspected")
}

func (r *rig) note(text string) { r.notes = append(r.notes, text) }

// take returns what was sent and noted since the last call.
func (r *rig) take() (sent, notes []string) {
	sent, notes = r.sent, r.notes
	r.sent, r.notes = nil, nil
	return sent, notes
}

// packet gives the relay a packet of a flow.
func (r *rig) packet(s segment.Segment) {
	frame := make([]byte, platform.IntendedBytes)
	r.relay.Packet(r.now, s, platform.Append(frame, s, make([]byte, s.DataBytes)))
}

// syn opens the flow of a caller's port; copies counts those sent before.
func (r *rig) syn(port uint16, copies uint32) {
	r.packet(segment.Segment{Flow: flowOf(port), Sequence: 1000, Acknowledgement: copies, Syn: true})
}

func flowOf(port uint16) catalog.Flow {
	return catalog.Flow{Caller: catalog.Address{IP: caller.IP, Port: port}, Service: target}
}

// ack sends a packet that names an endpoint.
func (r *rig) ack(port uint16, id string, acknowledgement uint32, data int) {
	r.packet(segment.Segment{
		Flow: flowOf(port), Token: catalog.TokenOf(id), Sequence: 1001,
		Acknowledgement: acknowledgement, Ack: true, DataBytes: data,
	})
}

// wait lets time pass with the ticks that are due.
func (r *rig) wait(d time.Duration) {
	end := r.now + d
	for {
		due, ok := r.relay.NextDue()
		if !ok || due > end {
			r.now = end
			return
		}
		r.now = max(r.now, due)
		r.relay.Tick(r.now)
	}
}

// place opens a flow and returns its endpoint.
func (r *rig) place(port uint16) string {
	r.syn(port, 0)
	sent, _ := r.take()
	require.Len(r.t, sent, 1)
	return sent[0]
}

func (r *rig) unanswered(id string) int {
	return r.relay.endpoints[catalog.TokenOf(id)].SilentFlows()
}
