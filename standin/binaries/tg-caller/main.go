// Command tg-caller opens flows to the services of a topology, checks every
// answer and prints a summary. It exits with status 1 if an invariant is
// violated and with status 2 on any other error.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"toucangap/standin/caller"
	"toucangap/standin/topology"
)

// The exit codes.
const (
	exitViolation = 1
	exitFailure   = 2
)

// errViolation is returned if an invariant is violated.
var errViolation = merry.Sentinel("an invariant is violated")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := command().Run(ctx, os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "tg-caller:", err)
	if errors.Is(err, errViolation) {
		os.Exit(exitViolation)
	}
	os.Exit(exitFailure)
}

func command() *cli.Command {
	o := caller.DefaultOptions()
	return &cli.Command{
		Name:  "tg-caller",
		Usage: "open flows to the services of a topology and check every answer",
		Flags: append(flags(&o), impairmentFlags(&o)...),
		Action: func(ctx context.Context, c *cli.Command) error {
			var err error
			if o.Drained, err = parseAll(c.StringSlice("drained"), caller.ParseDrained); err != nil {
				return err
			}
			if o.BlockPeriods, err = parseAll(c.StringSlice("cut"), caller.ParseBlockPeriod); err != nil {
				return err
			}
			if text := c.String("dump"); text != "" {
				if o.Dump, err = netip.ParseAddrPort(text); err != nil {
					return err
				}
			}
			return run(ctx, c.String("topology"), c.Bool("json"), o)
		},
	}
}

// parseAll parses the values of a repeatable flag.
func parseAll[T any](texts []string, parse func(string) (T, error)) ([]T, error) {
	var out []T
	for _, text := range texts {
		value, err := parse(text)
		if err != nil {
			return nil, err
		}
		out = append(out, value)
	}
	return out, nil
}

func flags(o *caller.Options) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "topology", Required: true, Usage: "topology `FILE`"},
		&cli.BoolFlag{Name: "json", Usage: "print the summary in JSON"},
		&cli.StringFlag{Name: "dump", Usage: "serve the results so far over HTTP at `ADDRESS`"},
		&cli.StringFlag{Name: "run", Value: o.Run, Destination: &o.Run, Usage: "name of this run, prefix of request IDs"},
		&cli.Uint64Flag{Name: "seed", Value: o.Seed, Destination: &o.Seed, Usage: "seed of all random choices"},
		&cli.DurationFlag{Name: "duration", Value: o.Duration, Destination: &o.Duration, Usage: "how long requests are sent"},
		&cli.IntFlag{Name: "max-requests", Value: o.MaxRequests, Destination: &o.MaxRequests, Usage: "maximum number of requests"},
		&cli.Float64Flag{Name: "rate", Value: o.Rate, Destination: &o.Rate, Usage: "CoAP requests per second to each service"},
		&cli.IntFlag{Name: "flows", Value: o.Flows, Destination: &o.Flows, Usage: "concurrent CoAP flows to each service"},
		&cli.IntFlag{Name: "flow-requests", Value: o.FlowRequests, Destination: &o.FlowRequests, Usage: "mean number of requests per CoAP flow"},
		&cli.Float64Flag{Name: "post-share", Value: o.PostShare, Destination: &o.PostShare, Usage: "fraction of non-idempotent requests"},
		&cli.DurationFlag{Name: "deadline", Value: o.Deadline, Destination: &o.Deadline, Usage: "how long a caller waits for an answer"},
		&cli.DurationFlag{Name: "ack-timeout", Value: o.AckTimeout, Destination: &o.AckTimeout, Usage: "initial retransmission timeout"},
		&cli.IntFlag{Name: "streams", Value: o.Streams, Destination: &o.Streams, Usage: "connections to each TCP service"},
		&cli.DurationFlag{Name: "stream-interval", Value: o.StreamInterval, Destination: &o.StreamInterval, Usage: "time between requests on a connection"},
		&cli.DurationFlag{Name: "window", Value: o.Window, Destination: &o.Window, Usage: "measurement window of the load imbalance"},
		&cli.IntFlag{Name: "broken-limit", Destination: &o.BrokenLimit, Usage: "maximum number of broken flows"},
		&cli.IntFlag{Name: "unknown-limit", Destination: &o.UnknownLimit, Usage: "maximum number of requests with an unknown outcome"},
		&cli.DurationFlag{Name: "planned-until", Destination: &o.PlannedUntil, Usage: "time of the first unplanned fault; before it no flow may break and no outcome may be unknown"},
		&cli.StringSliceFlag{Name: "drained", Usage: "`SERVICE/ENDPOINT@TIME`: endpoint that must receive no new flows after that time"},
	}
}

func impairmentFlags(o *caller.Options) []cli.Flag {
	i := &o.Impairment
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "cut", Usage: "`HOST@TIME+TIME`: drop all packets from callers to the host, from the first TIME on, for the second TIME"},
		&cli.DurationFlag{Name: "delay", Destination: &i.Delay, Usage: "delay of each packet"},
		&cli.DurationFlag{Name: "jitter", Destination: &i.Jitter, Usage: "maximum additional random delay"},
		&cli.Float64Flag{Name: "loss", Destination: &i.Loss, Usage: "fraction of packets lost"},
		&cli.Float64Flag{Name: "duplication", Destination: &i.Duplication, Usage: "fraction of packets duplicated"},
		&cli.Float64Flag{Name: "reordering", Destination: &i.Reordering, Usage: "fraction of packets reordered"},
		&cli.DurationFlag{Name: "reorder-delay", Destination: &i.ReorderDelay, Usage: "additional delay of reordered packets"},
	}
}

func run(ctx context.Context, path string, asJSON bool, o caller.Options) error {
	t, err := topology.Load(path)
	if err != nil {
		return err
	}
	summary, err := caller.Run(ctx, t, o)
	if err != nil {
		return err
	}
	if err := write(summary, asJSON); err != nil {
		return err
	}
	if len(summary.Violations) > 0 {
		return errViolation
	}
	return nil
}

func write(summary *caller.Summary, asJSON bool) error {
	if !asJSON {
		return summary.WriteText(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(summary)
}
