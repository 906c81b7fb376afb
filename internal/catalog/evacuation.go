package catalog

import "time"

// evacuation is an operator's request to send no new flows to a failure domain.
type evacuation struct {
	// inForce is set from the request until it has ended.
	inForce bool
	// position is that of the last change of the request.
	position Position
	// removed is set once the request was removed. It ends at endsAt, which is later
	// than the removal in a recovery grace period: a restored store lacks requests that
	// operators are about to write again.
	removed bool
	endsAt  time.Duration
}

// Evacuate records a request to evacuate a failure domain, and reports whether the
// domain was not evacuated before. A change that is not after the last known one of the
// request is ignored.
func (d *Directory) Evacuate(domain string, position Position) bool {
	e := d.evacuations[domain]
	if e == nil {
		e = &evacuation{}
		d.evacuations[domain] = e
	} else if !position.After(e.position) {
		return false
	}
	begun := !e.inForce
	e.inForce, e.removed, e.position = true, false, position
	return begun
}

// EndEvacuation records that the request to evacuate a failure domain was removed. The
// evacuation ends at once or, in the recovery grace period, at its end; EndEvacuation
// reports whether it has ended.
func (d *Directory) EndEvacuation(now time.Duration, domain string, position Position) bool {
	e := d.evacuations[domain]
	if e == nil || e.removed || e.position.After(position) {
		return false
	}
	e.position, e.removed = position, true
	e.endsAt = max(now, d.recoveryGraceEnd)
	return d.endIfDue(now, domain, e)
}

// ForgetEvacuationEnd is ForgetRemoval for the request to evacuate a failure domain.
func (d *Directory) ForgetEvacuationEnd(domain string) {
	if e := d.evacuations[domain]; e != nil && e.removed {
		e.position.Revision = 0
	}
}

// endEvacuations ends the evacuations that are due. It returns when the next one is, 0
// if none is, and whether one has ended.
func (d *Directory) endEvacuations(now time.Duration) (next time.Duration, ended bool) {
	for domain, e := range d.evacuations {
		if d.endIfDue(now, domain, e) {
			ended = true
		}
		switch {
		case e.inForce && e.removed:
			next = earliest(next, e.endsAt)
		case !e.inForce && now >= e.endsAt+d.removedRetention:
			delete(d.evacuations, domain)
		}
	}
	return next, ended
}

// endIfDue ends a removed evacuation once its time has come. The endpoints of the domain
// have been idle and may be cold, so that they count as cold for as long as after a start.
func (d *Directory) endIfDue(now time.Duration, domain string, e *evacuation) bool {
	if !e.inForce || !e.removed || now < e.endsAt {
		return false
	}
	e.inForce = false
	if d.configuration == nil {
		return true
	}
	for _, entry := range d.entries {
		if cold, ok := d.configuration.ColdStarts[entry.Service]; ok && entry.Domain == domain {
			entry.WarmAt = max(entry.WarmAt, now+cold.For)
			if cold.PerSecond > 0 {
				entry.idleUntil = now + cold.For
			}
		}
	}
	return true
}
