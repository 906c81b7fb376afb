// Package steer decides where each packet is sent. The owner of a flow, which is
// the host with the highest rendezvous score, decides for it. The owner sends a
// record of the flow to the successor, the host with the next score, if the
// successor could not compute the flow's endpoint itself. Such flows are called
// exceptions; most flows are at the default endpoint, which follows from the
// bundle alone.
//
// A Shard decides for a part of the flows according to a View, an immutable
// snapshot of the owners and the bundle. All shards of a host share a Shared.
//
// The package is deterministic and free of side effects outside its own state:
// packets, messages and the time are passed in and decisions are returned; it
// uses no sockets, goroutines, clocks or random numbers.
package steer
