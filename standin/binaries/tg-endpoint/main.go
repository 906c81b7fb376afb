// Command tg-endpoint runs the simulated endpoints of a topology for tests and
// demonstrations.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"toucangap/standin/endpoint"
	"toucangap/standin/topology"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "tg-endpoint:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	config := endpoint.DefaultConfig()
	return &cli.Command{
		Name:  "tg-endpoint",
		Usage: "run the simulated endpoints of a topology",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "topology", Required: true, Usage: "topology `FILE`"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &config.Seed, Usage: "seed of all random choices"},
			&cli.DurationFlag{Name: "service-time", Value: config.ServiceTime, Destination: &config.ServiceTime, Usage: "mean service time of a request"},
			&cli.IntFlag{Name: "slots", Value: config.Slots, Destination: &config.Slots, Usage: "concurrent requests per endpoint"},
			&cli.IntFlag{Name: "queue", Value: config.Queue, Destination: &config.Queue, Usage: "maximum number of requests waiting for a slot"},
			&cli.IntFlag{Name: "max-flows", Value: config.MaxFlows, Destination: &config.MaxFlows, Usage: "maximum number of open flows per endpoint"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c.String("topology"), config)
		},
	}
}

func run(ctx context.Context, path string, config endpoint.Config) error {
	t, err := topology.Load(path)
	if err != nil {
		return err
	}
	group, err := endpoint.NewGroup(t, config)
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", t.Control.String())
	if err != nil {
		return err
	}
	return group.Serve(ctx, control)
}
