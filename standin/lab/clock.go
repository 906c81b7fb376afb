package lab

import (
	"container/heap"
	"time"
)

// event is a callback at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// events is a heap of events ordered by time; simultaneous events keep
// their order of insertion.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	n := len(old)
	t := old[n-1]
	old[n-1] = event{}
	*e = old[:n-1]
	return t
}

// clock is a virtual clock with its pending events.
type clock struct {
	now      time.Duration
	events   events
	sequence uint64
}

// after schedules a callback after a delay.
func (c *clock) after(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{c.now + d, c.sequence, run})
}

// advance runs all events due up to the given time.
func (c *clock) advance(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		t := heap.Pop(&c.events).(event)
		c.now = t.at
		t.run()
	}
	c.now = until
}
