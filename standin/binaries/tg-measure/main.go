// Command tg-measure runs a table of scenarios in the lab simulation and writes
// a report of broken flows, imbalance, control traffic, response times and
// refusals as text, JSON and a plot. With --strict it exits with status 1 if a
// target is missed. It exits with status 2 on any other error.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"toucangap/standin/measure"
)

// The exit codes.
const (
	exitTargetMissed = 1
	exitFailure      = 2
)

// errTargetMissed is returned with --strict if a target is missed.
var errTargetMissed = merry.Sentinel("a target is missed")

func main() {
	err := command().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "tg-measure:", err)
	if errors.Is(err, errTargetMissed) {
		os.Exit(exitTargetMissed)
	}
	os.Exit(exitFailure)
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "tg-measure",
		Usage: "measure the decision code in the lab simulation",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "out/measure", Usage: "output directory of the report"},
			&cli.IntSliceFlag{Name: "sizes", Value: []int{60, 600, 6000, 30000}, Usage: "numbers of open flows"},
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of seeds per scenario"},
			&cli.StringSliceFlag{Name: "only", Usage: "scenarios to run"},
			&cli.BoolFlag{Name: "baselines", Value: true, Usage: "also run the baselines"},
			&cli.IntFlag{Name: "workers", Value: 3, Usage: "number of concurrent runs"},
			&cli.BoolFlag{Name: "strict", Usage: "exit with status 1 if a target is missed"},
			&cli.BoolFlag{Name: "scale", Usage: "add one large-scale run"},
			&cli.IntFlag{Name: "scale-hosts", Value: 4, Usage: "hosts of the large-scale run"},
			&cli.IntFlag{Name: "scale-flows", Value: 200_000, Usage: "open flows per host of the large-scale run"},
			&cli.IntFlag{Name: "scale-rate", Value: 2000, Usage: "new flows per second and host of the large-scale run"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return run(c) },
	}
}

func run(c *cli.Command) error {
	results := measure.Run(measure.Options{
		Sizes:     c.IntSlice("sizes"),
		Seeds:     c.Int("seeds"),
		Only:      c.StringSlice("only"),
		Baselines: c.Bool("baselines"),
		Workers:   c.Int("workers"),
		Progress:  progress,
	})
	report := measure.NewReport(results, runScale(c))
	if err := write(c.String("out"), report); err != nil {
		return err
	}
	if err := report.WriteText(os.Stdout); err != nil {
		return merry.Wrap(err)
	}
	if c.Bool("strict") && report.Missed() {
		return errTargetMissed
	}
	return nil
}

// runScale performs the large-scale run if requested.
func runScale(c *cli.Command) *measure.Scale {
	if !c.Bool("scale") {
		return nil
	}
	return measure.RunScale(measure.ScaleOptions{
		Hosts:        c.Int("scale-hosts"),
		PerHost:      c.Int("scale-flows"),
		NewPerSecond: c.Int("scale-rate"),
		Seed:         1,
	})
}

func progress(done, total int, r measure.Result) {
	fmt.Fprintf(os.Stderr, "%d/%d %s %d %s %s seed=%d\n", done, total, r.User, r.Flows, r.Scenario, r.Brain, r.Seed)
}

// write writes the report in all formats.
func write(dir string, r measure.Report) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return merry.Wrap(err)
	}
	formats := []struct {
		name  string
		write func(io.Writer) error
	}{
		{"report.txt", r.WriteText},
		{"report.json", r.WriteJSON},
		{"report.svg", r.WriteSVG},
	}
	for _, f := range formats {
		if err := writeFile(filepath.Join(dir, f.name), f.write); err != nil {
			return err
		}
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return merry.Wrap(err)
	}
	return merry.Wrap(errors.Join(write(f), f.Close()))
}
