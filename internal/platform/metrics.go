package platform

import "github.com/rcrowley/go-metrics"

// Publish registers the client's counters as gauges in the registry, under names
// that start with "platform.". It fails if the registry already has such a name.
func (c *Client) Publish(registry metrics.Registry) error {
	gauges := map[string]func(Stats) int64{
		"platform.calls":            func(s Stats) int64 { return s.Calls },
		"platform.retries":          func(s Stats) int64 { return s.Retries },
		"platform.failures":         func(s Stats) int64 { return s.Failures },
		"platform.refused":          func(s Stats) int64 { return s.Refused },
		"platform.unknown_outcomes": func(s Stats) int64 { return s.Unknown },
	}
	for name, read := range gauges {
		gauge := metrics.NewFunctionalGauge(func() int64 { return read(c.Stats()) })
		if err := registry.Register(name, gauge); err != nil {
			return err
		}
	}
	return nil
}
