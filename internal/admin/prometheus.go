package admin

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// namePrefix precedes every metric name in the Prometheus text format.
const namePrefix = "toucangap_"

// quantiles are the quantiles exported for timers and histograms.
var quantiles = []float64{0.5, 0.99}

// writePrometheus writes the registry in the Prometheus text format, sorted by
// name. Metrics of types other than those of writeMetric are omitted.
func writePrometheus(w io.Writer, registry metrics.Registry) {
	all := make(map[string]any)
	registry.Each(func(name string, metric any) { all[name] = metric })
	for _, name := range slices.Sorted(maps.Keys(all)) {
		writeMetric(w, metricName(name), all[name])
	}
}

// writeMetric writes a counter or meter as a counter, a gauge as a gauge, and a
// histogram or timer as a summary.
func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		writeSample(w, name, "counter", float64(m.Count()))
	case metrics.Gauge:
		writeSample(w, name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		writeSample(w, name, "gauge", m.Value())
	case metrics.Meter:
		writeSample(w, name, "counter", float64(m.Snapshot().Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), s.Count(), s.Sum())
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), s.Count(), s.Sum())
	}
}

func writeSample(w io.Writer, name, kind string, value float64) {
	fmt.Fprintf(w, "# TYPE %s %s\n%s %g\n", name, kind, name, value)
}

func writeSummary(w io.Writer, name string, values []float64, count, sum int64) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(w, "%s_sum %d\n%s_count %d\n", name, sum, name, count)
}

// metricName replaces the characters that the text format does not allow in names.
func metricName(name string) string {
	return namePrefix + strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_':
			return r
		}
		return '_'
	}, name)
}
