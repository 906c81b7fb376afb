package traffic

import (
	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"

	"toucangap/internal/packet"
	"toucangap/internal/steer"
)

// ErrMetric is returned if a metric name is already registered.
var ErrMetric = merry.Sentinel("cannot register metric")

// Prefixes of metric names and dump keys.
const (
	metricPrefix = "traffic."
	defectPrefix = "defect."
	dropPrefix   = "drop."
	replyPrefix  = "reply."
)

// Values returns the totals by name. Totals by defect or reason are named
// "defect.", "drop." or "reply." followed by the name of the defect or reason.
func (t Counters) Values() map[string]int64 {
	out := map[string]int64{
		"received":    t.Received,
		"forwarded":   t.Forwarded,
		"returned":    t.Returned,
		"passed":      t.Passed,
		"replied":     t.Replied,
		"queue-full":  t.QueueFull,
		"read-errors": t.ReadErrors,
		"send-errors": t.SendErrors,
		"unanswered":  t.UnbuiltReplies,
	}
	for _, d := range packet.Defects() {
		out[defectPrefix+d.String()] = t.Defects[d]
	}
	for i := range t.Drops {
		reason := steer.Reason(i).String()
		out[dropPrefix+reason] = t.Drops[i]
		out[replyPrefix+reason] = t.Replies[i]
	}
	return out
}

// Register adds a gauge for each total to the registry. It fails with ErrMetric.
func (p *Plane) Register(registry metrics.Registry) error {
	for name := range p.Counters().Values() {
		gauge := metrics.NewFunctionalGauge(func() int64 {
			return p.Counters().Values()[name]
		})
		if err := registry.Register(metricPrefix+name, gauge); err != nil {
			return merry.Wrap(ErrMetric, merry.WithCause(err))
		}
	}
	return nil
}
