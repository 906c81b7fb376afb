package engine

import (
	"context"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/admin"
	"toucangap/internal/adminapi"
	"toucangap/internal/config"
	"toucangap/internal/flow"
	"toucangap/internal/steer"
)

// Errors of the operators' interface.
var (
	// ErrStopping means that the process no longer answers queries.
	ErrStopping = merry.Sentinel("the host is stopping")
	// ErrUnknownService means that no service has the name or address.
	ErrUnknownService = merry.Sentinel("no such service")
	// ErrUnknownEndpoint means that the service has no endpoint of that name.
	ErrUnknownEndpoint = merry.Sentinel("no such endpoint")
)

// query runs a function on the control goroutine and returns its result.
type query[T any] struct {
	run    func(e *Engine, now time.Duration) (T, error)
	result chan queryResult[T]
}

type queryResult[T any] struct {
	value T
	err   error
}

func (q query[T]) apply(e *Engine, now time.Duration) {
	value, err := q.run(e, now)
	q.result <- queryResult[T]{value, err}
}

// runQuery runs a query and waits for its result. It fails with ErrStopping, the
// context's error or the query's.
func runQuery[T any](ctx context.Context, e *Engine, run func(e *Engine, now time.Duration) (T, error)) (T, error) {
	q := query[T]{run, make(chan queryResult[T], 1)}
	e.post(ctx, q)
	var zero T
	select {
	case r := <-q.result:
		return r.value, r.err
	case <-e.stopped:
		return zero, ErrStopping
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// Status returns a summary of the host.
func (e *Engine) Status(ctx context.Context) (adminapi.Status, error) {
	return runQuery(ctx, e, func(e *Engine, now time.Duration) (adminapi.Status, error) {
		return e.status(), nil
	})
}

func (e *Engine) status() adminapi.Status {
	s := adminapi.Status{
		Host:     e.self.Name,
		Domain:   e.self.Domain,
		Group:    e.self.Group,
		State:    e.control.State().String(),
		Digest:   hex.EncodeToString(e.control.Digest()),
		Platform: *e.platform.Load(),
		Hosts:    e.control.HostStatuses(),
	}
	if b := e.control.Bundle(); b != nil {
		s.Version = uint64(b.Version)
	}
	return s
}

// Dump returns the state of the host, with at most limit flows.
func (e *Engine) Dump(ctx context.Context, limit int) (adminapi.Dump, error) {
	d, err := runQuery(ctx, e, func(e *Engine, now time.Duration) (adminapi.Dump, error) {
		d := e.control.Dump()
		d.Status = e.status()
		return d, nil
	})
	if err != nil {
		return d, err
	}
	e.addTrafficCounters(&d)
	return d, e.addFlows(ctx, &d, limit)
}

// addFlows adds flows from each shard, at most limit in total.
func (e *Engine) addFlows(ctx context.Context, d *adminapi.Dump, limit int) error {
	for i, shard := range e.plane.Shards() {
		part := (limit - len(d.Flows)) / (len(e.shards) - i)
		t := newShardQuery(func(now time.Duration) []steer.FlowInfo {
			return e.shards[i].Flows(now, part)
		})
		flows, err := runShardQuery(ctx, shard, t)
		if err != nil {
			return err
		}
		for _, f := range flows {
			d.Flows = append(d.Flows, e.flowDump(f))
		}
	}
	d.Truncated = d.FlowsHeld > len(d.Flows)
	return nil
}

func (e *Engine) flowDump(f steer.FlowInfo) adminapi.FlowDump {
	return adminapi.FlowDump{
		Fingerprint: fmt.Sprintf("%016x", uint64(f.Fingerprint)),
		Service:     e.serviceName(f.Service),
		Endpoint:    f.Endpoint.Config().Name,
		Owned:       f.Owned,
		Exception:   f.Exception,
		Ended:       endedName(f.Ended),
		IdleMs:      f.Idle.Milliseconds(),
		Requests:    f.Requests,
	}
}

func endedName(r steer.Reason) string {
	if r == steer.ReasonNone {
		return ""
	}
	return r.String()
}

func (e *Engine) serviceName(id config.ServiceID) string {
	v := e.view.Load()
	if v.Bundle == nil {
		return ""
	}
	if s := v.Bundle.Service(id); s != nil {
		return s.Name
	}
	return fmt.Sprint(id)
}

// Flow returns where packets of a flow are sent and why. It fails with
// ErrUnknownService, ErrStopping or the context's error.
func (e *Engine) Flow(ctx context.Context, q admin.FlowQuery) (adminapi.FlowResponse, error) {
	v := e.view.Load()
	table := v.Find(q.Protocol, q.Service)
	if table == nil {
		return adminapi.FlowResponse{}, ErrUnknownService
	}
	key := flow.Key{Protocol: q.Protocol, Caller: q.Caller, Service: table.Service.Address}
	fp := v.Fingerprint(key)
	owner, successor := v.Rank(fp)
	a := adminapi.FlowResponse{
		Fingerprint: fmt.Sprintf("%016x", uint64(fp)),
		Service:     table.Service.Name,
		Owner:       owner,
		Successor:   successor,
		Why:         "none",
	}
	if d := table.Default(fp); d != nil {
		a.Default = d.Config().Name
	}
	return a, e.explain(ctx, fp, &a)
}

// Explain implements admin.Queries. Flows of such a host are placed by their owner, which
// need not be this one.
func (e *Engine) Explain(context.Context, admin.ExplainQuery) (adminapi.ExplainResponse, error) {
	return adminapi.ExplainResponse{}, merry.Wrap(admin.ErrUnsupported)
}

// explain adds the state of the flow in its shard.
func (e *Engine) explain(ctx context.Context, fp flow.Fingerprint, a *adminapi.FlowResponse) error {
	shard := steer.ShardOf(fp, len(e.shards))
	type found struct {
		info  steer.FlowInfo
		known bool
	}
	f, err := runShardQuery(ctx, e.plane.Shards()[shard], newShardQuery(func(now time.Duration) found {
		info, known := e.shards[shard].Lookup(now, fp)
		return found{info, known}
	}))
	if err != nil {
		return err
	}
	if !f.known {
		a.Why, a.Endpoint = "default", a.Default
		a.Detail = "not in the flow table of this host; query the owner for a record"
		return nil
	}
	a.Endpoint = f.info.Endpoint.Config().Name
	a.Why = "record"
	if f.info.Owned {
		a.Why = "flow"
	}
	a.Detail = fmt.Sprintf("exception=%t endpoint=%s idle=%s open_requests=%d ended=%q",
		f.info.Exception, f.info.Endpoint.Life(), f.info.Idle.Round(time.Millisecond),
		f.info.Requests, endedName(f.info.Ended))
	return nil
}
