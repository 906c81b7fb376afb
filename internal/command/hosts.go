package command

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"

	"github.com/ansel1/merry/v2"
)

// HostResponse is the response of one host, or the error if the request failed.
type HostResponse[T any] struct {
	Address netip.AddrPort `json:"address"`
	// Result is nil if the request failed.
	Result *T     `json:"answer,omitempty"`
	Error  string `json:"error,omitempty"`
}

// CallHosts calls the function for all hosts of the client concurrently and
// returns the responses in the order of the hosts. The error states how many
// requests failed, if any did.
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
	return HostResponse[T]{Address: host, Result: &result}
}

// failureError returns an error with the number of failed requests, or nil.
func failureError[T any](responses []HostResponse[T]) error {
	failed := 0
	for _, r := range responses {
		if r.Result == nil {
			failed++
		}
	}
	if failed == 0 {
		return nil
	}
	return merry.Errorf("%d of %d hosts failed", failed, len(responses))
}

// PrintResponses prints the responses of hosts one after another, with text for
// a result and the error otherwise.
func PrintResponses[T any](w io.Writer, responses []HostResponse[T], text func(io.Writer, *T)) {
	for _, r := range responses {
		if r.Result == nil {
			_, _ = fmt.Fprintf(w, "%s: %s\n", r.Address, r.Error)
			continue
		}
		text(w, r.Result)
	}
}
