// Package steer decides where each packet is sent. It is deterministic and free
// of side effects outside its own state: packets, messages and the time are
// passed in and decisions are returned; it uses no sockets, goroutines, clocks
// or random numbers.
package steer
