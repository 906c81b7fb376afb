package command

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"

	"github.com/ansel1/merry/v2"
)

// HostResponse is the response of one host or the error of the request.
type HostResponse[T any] struct {
	Address netip.AddrPort `json:"address"`
	Answer  *T             `json:"answer,omitempty"`
	Error   string         `json:"error,omitempty"`
}

// CallHosts calls the function for all hosts concurrently and returns the
// responses in the order of the hosts. The error says how many hosts failed, if any.
func CallHosts[T any](ctx context.Context, c *Client, call func(context.Context, netip.AddrPort, *T) error) ([]HostResponse[T], error) {
	responses := make([]HostResponse[T], len(c.hosts))
	var group sync.WaitGroup
	for i, host := range c.hosts {
		group.Go(func() {
			responses[i] = callHost(ctx, host, call)
		})
	}
	group.Wait()
	return responses, failureError(responses)
}

// callHost returns the response of one host.
func callHost[T any](ctx context.Context, host netip.AddrPort, call func(context.Context, netip.AddrPort, *T) error) HostResponse[T] {
	var result T
	err := call(ctx, host, &result)
	if err != nil {
		return HostResponse[T]{Address: host, Error: err.Error()}
	}
	return HostResponse[T]{Address: host, Answer: &result}
}

// failureError returns an error with the number of failed hosts, if any.
func failureError[T any](responses []HostResponse[T]) error {
	failed := 0
	for _, a := range responses {
		if a.Answer == nil {
			failed++
		}
	}
	if failed == 0 {
		return nil
	}
	return merry.Errorf("%d of %d hosts failed", failed, len(responses))
}

// PrintResponses prints the responses of hosts one after another.
func PrintResponses[T any](w io.Writer, responses []HostResponse[T], text func(io.Writer, *T)) {
	for _, a := range responses {
		if a.Answer == nil {
			_, _ = fmt.Fprintf(w, "%s: %s\n", a.Address, a.Error)
			continue
		}
		text(w, a.Answer)
	}
}
