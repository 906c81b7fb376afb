package steer

import (
	"toucangap/internal/flow"
)

// entry is what a host stores about one flow: as its owner, or as the replica
// of another owner's record.
type entry struct {
	fp       flow.Fingerprint
	endpoint *Endpoint
	lastSeen Time
	// since is when this host began the flow or took it over.
	since Time
	// unansweredSince is when the first unanswered packet was sent.
	unansweredSince Time
	endedAt         Time
	// unanswered counts the caller's packets that need an answer since the
	// endpoint's last one, up to 255.
	unanswered uint8
	// ended is why this host has ended the flow, or ReasonNone.
	ended Reason
	// replica and joinReplica are the hosts to which the flow's record was
	// queued last; 0 means none.
	replica     HostIndex
	joinReplica HostIndex
	flags       entryFlags
	requests    uint16
}

// entryFlags are the properties of an entry.
type entryFlags uint16

const (
	// flagUsed means that the slot holds an entry.
	flagUsed entryFlags = 1 << iota
	// flagOwned means that this host decides for the flow and counts it.
	flagOwned
	// flagFresh means that this host decided on the flow's first packet.
	flagFresh
	// flagClosing means that the flow has ended, by TCP FIN or RST segments or
	// because this host ended it.
	flagClosing
	// flagFinCaller and flagFinEndpoint mark which side has sent its FIN.
	flagFinCaller
	flagFinEndpoint
	// flagException means that the flow's endpoint cannot be computed by a
	// host that takes over without the flow's record.
	flagException
	// flagConfirmed means that the successor has confirmed the record.
	flagConfirmed
	// flagContested means that a missing owner that may run might have chosen
	// another endpoint for the flow.
	flagContested
	// flagRecordUrgent means that the record is queued before all others.
	flagRecordUrgent
	// flagHandedOver means that this host was the last to decide for the flow
	// and must replicate its record to the owner.
	flagHandedOver
	// flagKnown means that the endpoint is certain: the flow began here while at
	// most one holder of its records was missing, or its record or its owner's open
	// request was received.
	flagKnown
	// flagDormant means that the flow has been idle for dormantTimeout and does
	// not count as open.
	flagDormant
	// flagPossiblyOlder means that the flow appears new, but may be an older one
	// that began at its default endpoint; see defaultRecentlyDrained.
	flagPossiblyOlder
)

func (e *entry) has(f entryFlags) bool {
	return e.flags&f != 0
}

// flowTable maps fingerprints to entries. Entries sit in one slice, so that
// sweeps visit them in an order that depends on the inputs alone.
type flowTable struct {
	index map[flow.Fingerprint]uint32
	slots []entry
	free  []uint32
}

func newFlowTable() flowTable {
	return flowTable{index: make(map[flow.Fingerprint]uint32)}
}

// get returns the entry of a flow, or nil. The pointer is valid until the next
// insertion.
func (t *flowTable) get(fp flow.Fingerprint) *entry {
	i, ok := t.index[fp]
	if !ok {
		return nil
	}
	return &t.slots[i]
}

// insert adds an entry for a flow that has none.
func (t *flowTable) insert(fp flow.Fingerprint) *entry {
	var i uint32
	if n := len(t.free); n > 0 {
		i = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		i = uint32(len(t.slots))
		t.slots = append(t.slots, entry{})
	}
	t.slots[i] = entry{fp: fp, flags: flagUsed}
	t.index[fp] = i
	return &t.slots[i]
}

// remove deletes the entry of a flow.
func (t *flowTable) remove(fp flow.Fingerprint) {
	i, ok := t.index[fp]
	if !ok {
		return
	}
	delete(t.index, fp)
	t.slots[i] = entry{}
	t.free = append(t.free, i)
}

// len returns the number of entries.
func (t *flowTable) len() int {
	return len(t.index)
}
