package engine

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"toucangap/internal/adminapi"
)

// metricsPeriod is how often gauges are updated.
const metricsPeriod = time.Second

// runMetrics updates the gauges from the dump, so that metrics and dump show the
// same figures.
func (e *Engine) runMetrics(ctx context.Context) error {
	ticker := time.NewTicker(metricsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d, err := runQuery(ctx, e, func(e *Engine, _ time.Duration) (adminapi.Dump, error) {
				return e.control.Dump(), nil
			})
			if err != nil {
				return nil
			}
			e.addTrafficCounters(&d)
			e.publishMetrics(&d)
		}
	}
}

// publishMetrics sets the gauges from a dump.
func (e *Engine) publishMetrics(d *adminapi.Dump) {
	for name, n := range d.Totals {
		e.gauge(name, n)
	}
	for reason, n := range d.DropsByReason {
		e.gauge("drops_"+reason, n)
	}
	e.gauge("flows_held", int64(d.FlowsHeld))
	e.gauge("control_bytes_sent", d.Budgets.ControlBytesSent)
	e.gauge("records_waiting", int64(d.Budgets.RecordsWaiting))
	for _, s := range d.Services {
		for _, ep := range s.Endpoints {
			prefix := "endpoint_" + s.Name + "_" + ep.Name
			e.gauge(prefix+"_flows", int64(ep.Flows))
			e.gauge(prefix+"_requests", int64(ep.Requests))
		}
	}
}

func (e *Engine) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, e.registry).Update(value)
}
