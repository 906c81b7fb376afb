package control

import (
	"toucangap/internal/peerpb"
	"toucangap/internal/rollout"
	"toucangap/internal/steer"
)

// SetMark merges an operator's mark for an endpoint, which drains the endpoint or
// ends the draining, and queues it for the peers. It reports whether anything
// changed.
func (c *Control) SetMark(now Time, m rollout.Mark) bool {
	if !c.marks.Merge(m) {
		return false
	}
	c.applyMarks(now)
	c.viewChanged = true
	for _, p := range c.peers {
		p.marksDue = true
	}
	return true
}

// Mark returns the current mark of an endpoint; its revision is 0 if there is
// none.
func (c *Control) Mark(key steer.EndpointKey) rollout.Mark {
	return c.marks.Get(markKey(key))
}

func markKey(key steer.EndpointKey) rollout.MarkKey {
	return rollout.MarkKey{Service: key.Service, Endpoint: key.Endpoint}
}

// applyMarks sets the endpoints' states from the marks and the bundle's weights.
// An endpoint that becomes active again gets a ramp (slow start).
func (c *Control) applyMarks(now Time) {
	if c.bundle.bundle == nil {
		return
	}
	for _, t := range c.history[c.version()] {
		for i, e := range t.Endpoints {
			draining := c.Mark(e.Key).Draining || t.Service.Endpoints[i].Weight == 0
			setDraining(now, e, draining)
		}
	}
}

func setDraining(now Time, e *steer.Endpoint, draining bool) {
	switch {
	case draining:
		e.SetLife(now, steer.LifeDraining)
	case e.Life() != steer.LifeActive:
		e.SetLife(now, steer.LifeActive)
		e.StartRamp(now)
	}
}

// Marks returns all marks, ordered by service and endpoint.
func (c *Control) Marks() []rollout.Mark {
	return c.marks.All()
}

// marksMessage returns the message with all marks.
func (c *Control) marksMessage() *peerpb.Marks {
	m := &peerpb.Marks{}
	for _, k := range c.Marks() {
		m.Marks = append(m.Marks, k.ToPeer())
	}
	return m
}

// onMarks merges a peer's marks; malformed ones are skipped.
func (c *Control) onMarks(now Time, m *peerpb.Marks) {
	for _, k := range m.Marks {
		if mark, err := rollout.MarkFromPeer(k); err == nil {
			c.SetMark(now, mark)
		}
	}
}
