// Command tg-soak injects seeded schedules of faults into a small deployment of
// real daemons on loopback addresses. It exits with status 1 if an invariant is
// violated or a schedule can't be run.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"toucangap/standin/soak"
)

// errViolation is returned if an invariant was violated under some schedule.
var errViolation = merry.Sentinel("a schedule violated an invariant")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "tg-soak:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "tg-soak",
		Usage: "inject random faults into real daemons and check what callers and endpoints observe",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemon", Value: "bin/toucangapd", Usage: "path of the daemon's `PROGRAM`"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first `SEED`"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds"},
			&cli.DurationFlag{Name: "faults", Value: 8 * time.Second, Usage: "period in which faults begin"},
			&cli.IntFlag{Name: "domains", Value: 3, Usage: "failure domains"},
			&cli.IntFlag{Name: "hosts", Value: 2, Usage: "hosts per domain"},
			&cli.FloatFlag{Name: "rate", Value: 150, Usage: "requests per second"},
			&cli.IntFlag{Name: "port", Value: 18100, Usage: "first of ten ports on 127.0.0.0/8"},
			&cli.BoolFlag{Name: "calm", Usage: "inject no faults, only run the load"},
			&cli.BoolFlag{Name: "store-kinds", Usage: "draw also other writers' entries and conditions of the store"},
			&cli.StringSliceFlag{Name: "leave-out", Usage: "leave out faults of a `KIND`"},
			&cli.BoolFlag{Name: "keep", Usage: "keep the hosts' logs"},
			&cli.BoolFlag{Name: "reduce", Usage: "remove faults from a failing schedule as long as it still fails"},
			&cli.StringFlag{Name: "schedule", Usage: "run the schedule in `FILE` instead of seeds"},
			&cli.StringFlag{Name: "out", Usage: "write reports and plots to `DIR`"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	o := soak.Options{
		Daemon: c.String("daemon"), Port: c.Int("port"), Faults: c.Duration("faults"),
		Domains: c.Int("domains"), Hosts: c.Int("hosts"), Rate: c.Float("rate"), Keep: c.Bool("keep"),
		StoreKinds: c.Bool("store-kinds"),
	}
	schedules, err := loadSchedules(c, o)
	if err != nil {
		return err
	}
	failed := 0
	for _, schedule := range schedules {
		report, err := soak.Run(ctx, o, schedule)
		if err != nil {
			return err
		}
		fmt.Print(report.Text())
		if err := writeReport(c.String("out"), &report); err != nil {
			return err
		}
		if len(report.Violations) == 0 {
			continue
		}
		failed++
		if c.Bool("reduce") {
			if err := reduceSchedule(ctx, o, schedule); err != nil {
				return err
			}
		}
	}
	fmt.Printf("%d passed, %d failed\n", len(schedules)-failed, failed)
	if failed > 0 {
		return errViolation
	}
	return nil
}

// loadSchedules returns the schedule in the file if one is given, otherwise those of
// the seeds.
func loadSchedules(c *cli.Command, o soak.Options) ([]soak.Schedule, error) {
	if path := c.String("schedule"); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var s soak.Schedule
		return []soak.Schedule{s}, errors.Join(json.Unmarshal(data, &s))
	}
	var schedules []soak.Schedule
	for i := range c.Int("seeds") {
		s := soak.NewSchedule(c.Uint64("seed")+uint64(i), o.Faults, o.StoreKinds).Without(c.StringSlice("leave-out"))
		if c.Bool("calm") {
			s.Faults = nil
		}
		schedules = append(schedules, s)
	}
	return schedules, nil
}

// reduceSchedule prints the shortest failing schedule found.
func reduceSchedule(ctx context.Context, o soak.Options, failing soak.Schedule) error {
	shortest, err := soak.Reduce(ctx, o, failing)
	if err != nil {
		return err
	}
	text, err := json.Marshal(shortest)
	if err != nil {
		return err
	}
	fmt.Printf("shortest failing schedule: %s\n", text)
	return nil
}

// writeReport writes a report and its plot to the directory, if one is given.
func writeReport(dir string, report *soak.Report) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	base := filepath.Join(dir, fmt.Sprintf("soak-%d", report.Schedule.Seed))
	text, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return err
	}
	return errors.Join(os.WriteFile(base+".json", text, 0o644), report.WritePlot(base+".svg"))
}
