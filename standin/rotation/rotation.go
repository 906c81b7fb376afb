// Package rotation keeps the set of hosts that packets may be sent to, as
// routers do. A health check fails if the host does not answer or reports a
// state other than live. A host leaves the rotation when several checks in a
// row have failed, and returns with the next check that succeeds.
package rotation

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"toucangap/internal/adminapi"
)

const (
	// checkInterval is the time between two health checks of a host.
	checkInterval = 250 * time.Millisecond
	// checkTimeout bounds one health check.
	checkTimeout = time.Second
	// maxConsecutiveFailures is how many checks in a row may fail; the next
	// failure takes the host out of the rotation.
	maxConsecutiveFailures = 2
)

// Member is one host of a rotation.
type Member struct {
	// Traffic is the UDP address that receives packets.
	Traffic netip.AddrPort
	// Admin is the address for status queries; if unset, the member is never
	// checked.
	Admin netip.AddrPort
}

// Rotation is a set of hosts with their health state. It is safe for concurrent
// use.
type Rotation struct {
	members []Member
	up      []atomic.Bool
	client  http.Client
}

// New returns a rotation in which all members are up.
func New(members []Member) *Rotation {
	r := &Rotation{
		members: members,
		up:      make([]atomic.Bool, len(members)),
		client:  http.Client{Timeout: checkTimeout},
	}
	for i := range r.up {
		r.up[i].Store(true)
	}
	return r
}

// Pick returns the traffic address of a random member that is up, or of any
// member if all are down.
func (r *Rotation) Pick(random *rand.Rand) netip.AddrPort {
	up := make([]int, 0, len(r.members))
	for i := range r.members {
		if r.up[i].Load() {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return r.members[random.IntN(len(r.members))].Traffic
	}
	return r.members[up[random.IntN(len(up))]].Traffic
}

// Watch starts the health checks, which run until the context ends.
func (r *Rotation) Watch(ctx context.Context) {
	for i, m := range r.members {
		if m.Admin.IsValid() {
			go r.checkPeriodically(ctx, i)
		}
	}
}

func (r *Rotation) checkPeriodically(ctx context.Context, index int) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.check(ctx, r.members[index].Admin) {
			failures = 0
		} else {
			failures++
		}
		r.up[index].Store(failures <= maxConsecutiveFailures)
	}
}

// stateLive is the state of a host that accepts packets.
const stateLive = "live"

// check reports whether a host answers a status query and is live.
func (r *Rotation) check(ctx context.Context, admin netip.AddrPort) bool {
	url := "http://" + admin.String() + adminapi.PathStatus
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := r.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var status adminapi.Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return false
	}
	return status.State == stateLive
}
