package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"toucangap/internal/relayd"
	"toucangap/internal/settings"
)

// relaySettingsEnvVar is the environment variable with the path of the settings
// file. It is read if the settings flag is not given.
const relaySettingsEnvVar = "TOUCANGAP_NODE_FILE"

// relayCommand returns the subcommand for a host that forwards flows by tokens.
func relayCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "relay",
		Usage: "forward flows by the tokens in their packets; configuration and endpoints come from the store",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "run with the settings in `FILE`", Sources: cli.EnvVars(relaySettingsEnvVar)},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runRelay(ctx, c, stdout)
		},
	}
}

func runRelay(ctx context.Context, c *cli.Command, stdout io.Writer) error {
	path := c.String("settings")
	if path == "" {
		return errUsage
	}
	s, err := settings.LoadRelay(path)
	if err != nil {
		return err
	}
	if c.Bool("check") {
		fmt.Fprintln(stdout, path+": no errors")
		return nil
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.String("log-level"))); err != nil {
		return errUsage
	}
	d, err := relayd.New(s, stdout, level)
	if err != nil {
		return err
	}
	return serveRelay(ctx, d, path)
}

// serveRelay runs the host until a graceful shutdown, which SIGTERM or an interrupt
// starts, is complete. A second such signal ends the host at once; SIGHUP reloads
// the settings.
func serveRelay(ctx context.Context, d *relayd.Daemon, path string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	go d.WatchSettings(ctx, path)
	go func() {
		stopping := false
		for received := range signals {
			switch {
			case received == syscall.SIGHUP:
				d.Reload(path)
			case stopping:
				cancel()
			default:
				stopping = true
				go func() {
					d.Stop(ctx)
					cancel()
				}()
			}
		}
	}()
	return d.Run(ctx)
}
