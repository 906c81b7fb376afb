// Package daemon implements the command line of toucangapd, the daemon of a host.
// It runs package engine or, with the subcommand relay, package relayd.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"toucangap/internal/engine"
	"toucangap/internal/finding"
	"toucangap/internal/settings"
)

// The exit codes of the process.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
	// ExitFindings reports errors in the settings file.
	ExitFindings = 3
)

// shutdownTimeout bounds a graceful shutdown started by a signal.
const shutdownTimeout = 40 * time.Second

// Main runs the daemon and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	command := newCommand(stdout, stderr)
	err := command.Run(context.Background(), args)
	return exitCode(err, stderr)
}

// exitCode prints the error and returns the exit code for it.
func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, err)
	var findings finding.List
	if errors.As(err, &findings) {
		return ExitFindings
	}
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	return ExitFailure
}

var errUsage = errors.New("usage: toucangapd --settings FILE")

func newCommand(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "toucangapd",
		Usage:     "the daemon of a load balancer host",
		UsageText: "toucangapd --settings FILE\ntoucangapd --check-settings FILE",
		Description: "Exit codes: 0 success, 1 failure, 2 usage error, 3 errors in the settings.\n" +
			"SIGTERM starts a graceful shutdown; a second one ends the process at once.",
		Writer:    stdout,
		ErrWriter: stderr,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "run with the settings in `FILE`"},
			&cli.StringFlag{Name: "check-settings", Usage: "check `FILE` and print all errors"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"},
		},
		Commands: []*cli.Command{relayCommand(stdout)},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c, stdout, stderr)
		},
	}
}

func run(ctx context.Context, c *cli.Command, stdout, stderr io.Writer) error {
	if path := c.String("check-settings"); path != "" {
		if err := settings.Check(path).Err(); err != nil {
			return err
		}
		fmt.Fprintln(stdout, path+": no errors")
		return nil
	}
	path := c.String("settings")
	if path == "" {
		return errUsage
	}
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.String("log-level"))); err != nil {
		return errUsage
	}
	logger := slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: level}))
	return serve(ctx, s, logger)
}

// serve runs the engine until it has shut down or is canceled.
func serve(ctx context.Context, s *settings.Settings, logger *slog.Logger) error {
	e, err := engine.New(s, logger)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	go shutDownOnSignal(ctx, cancel, e, signals)
	return e.Run(ctx)
}

// shutDownOnSignal starts a graceful shutdown at the first signal. It cancels the
// engine at the second, when the shutdown cannot be started, or when it exceeds
// shutdownTimeout.
func shutDownOnSignal(ctx context.Context, cancel context.CancelFunc, e *engine.Engine, signals <-chan os.Signal) {
	select {
	case <-ctx.Done():
		return
	case <-signals:
	}
	if _, err := e.Stop(ctx); err != nil {
		cancel()
		return
	}
	select {
	case <-ctx.Done():
	case <-signals:
		cancel()
	case <-time.After(shutdownTimeout):
		cancel()
	}
}
