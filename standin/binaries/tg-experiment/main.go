// Command tg-experiment compares rules for placement, failover, death detection and
// admission in emulated scenarios. It prints a table and can also write it and a
// plot to a directory.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"toucangap/standin/experiment"
)

func main() {
	command := &cli.Command{
		Name:  "tg-experiment",
		Usage: "compare rules for placement, failover, death detection and admission in the emulator",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the runs"},
			&cli.StringFlag{Name: "out", Usage: "write the table and a plot to `DIR`"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "tg-experiment:", err)
		os.Exit(1)
	}
}

func run(_ context.Context, c *cli.Command) error {
	cells := experiment.Run(c.Uint64("seed"))
	if err := experiment.WriteTable(os.Stdout, cells); err != nil {
		return err
	}
	dir := c.String("out")
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(dir, "experiment.txt"))
	if err != nil {
		return err
	}
	return errors.Join(experiment.WriteTable(file, cells), file.Close(),
		experiment.WritePlot(filepath.Join(dir, "experiment.svg"), cells))
}
