package platform

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/platform/gateway"
)

// LeaseID identifies a lease on the platform.
type LeaseID int64

// Lease is a time-limited claim. A paused holder may act after it has expired,
// so writes made under a lease must also carry a fencing token (a Guard).
type Lease struct {
	ID LeaseID
	// Until is the time, on the client's clock, until which the lease is
	// certainly valid. It counts from before the call was sent.
	Until time.Time
}

// Grant requests a lease of duration ttl, in whole seconds. A lost response
// may leave behind a second lease, which expires by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	sent := c.options.Clock.Now()
	request := gateway.LeaseGrantRequest{TTL: int64(ttl / time.Second)}
	var response gateway.LeaseGrantResponse
	if err := c.call(ctx, gateway.PathGrant, request, &response, idempotent); err != nil {
		return Lease{}, merry.Prepend(err, "grant lease")
	}
	return newLease(response.ID, response.TTL, sent), nil
}

// KeepAlive extends the lease. It fails with ErrNotFound if the lease has
// expired.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (Lease, error) {
	sent := c.options.Clock.Now()
	var response gateway.LeaseKeepAliveResponse
	request := gateway.LeaseRequest{ID: int64(id)}
	if err := c.call(ctx, gateway.PathKeepAlive, request, &response, idempotent); err != nil {
		return Lease{}, merry.Prepend(err, "keep lease alive")
	}
	if response.Error != nil && response.Error.Code != gateway.CodeNotFound {
		return Lease{}, merry.Prependf(ErrUnreachable, "keep lease alive: %s", response.Error.Message)
	}
	if response.Result.TTL <= 0 {
		return Lease{}, merry.Prepend(ErrNotFound, "keep lease alive")
	}
	return newLease(response.Result.ID, response.Result.TTL, sent), nil
}

// Revoke ends the lease and deletes its keys. A lease that no longer exists
// is not an error.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	var response gateway.LeaseRevokeResponse
	err := c.call(ctx, gateway.PathRevoke, gateway.LeaseRequest{ID: int64(id)}, &response, idempotent)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return merry.Prepend(err, "revoke lease")
}

func newLease(id, ttl int64, sent time.Time) Lease {
	return Lease{ID: LeaseID(id), Until: sent.Add(time.Duration(ttl) * time.Second)}
}
