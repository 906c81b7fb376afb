// Package queries holds the read-only subcommands of the command-line client:
// status, dump, flow, bundle check, show, diff and current, and settings check.
package queries

import (
	"context"

	"github.com/urfave/cli/v3"

	"toucangap/internal/command"
	"toucangap/internal/settings"
)

// Settings returns the subcommands for settings files.
func Settings(env *command.Env) []*cli.Command {
	return []*cli.Command{{
		Name:         "check",
		Usage:        "report all errors in a host's settings file",
		ArgsUsage:    "FILE",
		UsageText:    "toucangap settings check host.toml",
		ArgValidator: command.Arguments("FILE"),
		Action: func(_ context.Context, cmd *cli.Command) error {
			file := cmd.Args().First()
			return env.PrintFindings(cmd, file, settings.Check(file))
		},
	}}
}
