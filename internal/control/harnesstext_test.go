package control

import (
	"fmt"
	"strings"

	"toucangap/internal/flow"
	"toucangap/internal/peerpb"
	"toucangap/internal/steer"
)

// printCommand prints a host's command to its shard, without the requests for
// records, which are in every command.
func (r *harness) printCommand(h *harnessHost, c *steer.Command) {
	if c.View != nil {
		r.print(h.Name, "%s", r.viewText(c.View))
	}
	for _, b := range c.Apply {
		for _, record := range b.Records {
			r.print(h.Name, "command apply %s=e%d", r.flowName(record.Fingerprint), record.Endpoint)
		}
	}
	for _, a := range c.TakeOver {
		r.print(h.Name, "command take over %s token %d at e%d, %v left", r.flowName(a.Fingerprint), a.Message.Token.Bytes[0], a.Endpoint.Endpoint, a.Remaining)
	}
	for _, confirmed := range c.Confirmed {
		r.print(h.Name, "command confirmed %s", r.flowNames(confirmed.Flows))
	}
	for range c.Forget {
		r.print(h.Name, "command forget a host")
	}
	if c.HandOverRequests {
		r.print(h.Name, "command hand over requests")
	}
}

func (r *harness) flowNames(fps []flow.Fingerprint) string {
	var names []string
	for _, fp := range fps {
		names = append(names, r.flowName(fp))
	}
	return strings.Join(names, ",")
}

// viewText returns a view as text.
func (r *harness) viewText(v *steer.View) string {
	s := fmt.Sprintf("view baseline %d owners", v.Baseline)
	for _, h := range v.Owners {
		s += " " + h.Name
		if h.Leaving {
			s += "(leaving)"
		}
	}
	for _, h := range v.Joining {
		s += ", joining " + h.Name
	}
	for _, d := range v.Departed {
		s += fmt.Sprintf(", departed %s baseline %d lease until %.1fs confirmed stopped %v handed over %v",
			d.Name, d.Baseline, d.LeaseUntil.Seconds(), d.ConfirmedStopped, d.HandedOver)
	}
	if v.Partitioned {
		s += ", partitioned"
	}
	if v.Leaving {
		s += ", gives up its flows"
	}
	return s
}

// describe prints a message; leases, loads and repeated offers are left out.
func (r *harness) describe(from *harnessHost, to string, m *peerpb.Envelope) {
	if b := m.GetBatch(); b != nil {
		for _, item := range b.Items {
			r.describe(from, to, item)
		}
		return
	}
	if text := r.messageText(from, to, m); text != "" {
		r.print(from.Name, "to %s: %s", to, text)
	}
}

func (r *harness) messageText(from *harnessHost, to string, m *peerpb.Envelope) string {
	switch b := m.Body.(type) {
	case *peerpb.Envelope_Records:
		return r.recordsText(b.Records)
	case *peerpb.Envelope_RecordsAck:
		return fmt.Sprintf("records %d confirmed", uint32(b.RecordsAck.Sequence))
	case *peerpb.Envelope_Handover:
		s := fmt.Sprintf("handover %d baseline %d leaving %v", b.Handover.Sequence, b.Handover.Baseline, b.Handover.Leaving)
		for _, o := range b.Handover.Requests {
			s += fmt.Sprintf(" %s token %d", r.flowName(flow.Fingerprint(o.Fingerprint)), o.Token[0])
		}
		return s
	case *peerpb.Envelope_HandoverAck:
		return fmt.Sprintf("handover %d confirmed", b.HandoverAck.Sequence)
	case *peerpb.Envelope_Marks:
		var marks []string
		for _, k := range b.Marks.Marks {
			marks = append(marks, fmt.Sprintf("%s e%d draining %v revision %d", harnessServices[k.Service], k.Endpoint, k.Draining, k.Revision))
		}
		return "marks " + strings.Join(marks, ", ")
	case *peerpb.Envelope_BundleOffer:
		s := fmt.Sprintf("offer bundle %d baseline %d", b.BundleOffer.Version, b.BundleOffer.Baseline)
		if from.offered[to] == s {
			return ""
		}
		from.offered[to] = s
		return s
	}
	return ""
}

func (r *harness) recordsText(m *peerpb.Records) string {
	s := fmt.Sprintf("records %d baseline %d version %d", uint32(m.Sequence), m.Baseline, m.Version)
	for _, service := range m.Services {
		for i, fp := range service.Fingerprints {
			s += fmt.Sprintf(" %s=e%d", r.flowName(flow.Fingerprint(fp)), service.Endpoints[i])
		}
	}
	return s
}

// verdictText returns a decision on a packet as text.
func verdictText(v steer.Verdict) string {
	switch v.Action {
	case steer.ActionDrop:
		return "drop " + v.Reason.String()
	case steer.ActionForward:
		return "forward " + endpointName(v.Endpoint)
	case steer.ActionReturn:
		return "return"
	case steer.ActionPass:
		return fmt.Sprintf("pass to %s hop %d", harnessHosts[v.Peer.Addr().As4()[3]-1], v.Hop)
	}
	kinds := []string{"none", "reset", "unreachable", "not run", "outcome unknown"}
	s := fmt.Sprintf("reply %s %s", kinds[v.Reply], v.Reason)
	if v.RetryAfter > 0 {
		s += fmt.Sprintf(" retry after %v", v.RetryAfter)
	}
	return s
}
