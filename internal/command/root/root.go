// Package root assembles the operators' command-line client from its subcommands.
package root

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"toucangap/internal/command"
	"toucangap/internal/command/commands"
	"toucangap/internal/command/queries"
)

const description = `Queries: status, dump, flow, explain, bundle check|show|diff|current, settings check.
Commands that change state: drain, undrain, stop, bundle sign|propose|accept, keys.

Exit codes:
  0  success
  1  failure
  2  error in the command line
  3  the checked file has findings
  4  conflict: another bundle is in force or has the version`

const examples = `toucangap --host 192.0.2.11:7006 status
toucangap bundle check bundle.toml
toucangap --platform 192.0.2.21:2379 bundle accept 8 --replaces 7`

// New returns the root command with all subcommands.
func New(env *command.Env) *cli.Command {
	root := &cli.Command{
		Name:                  "toucangap",
		Usage:                 "operate the toucangap load balancer",
		UsageText:             examples,
		Description:           description,
		Flags:                 command.Flags(),
		Writer:                env.Out,
		ErrWriter:             env.Err,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Action:                unknownSubcommand,
		ConfigureShellCompletionCommand: func(completion *cli.Command) {
			completion.Hidden = false
		},
		Commands: []*cli.Command{
			queries.Status(env),
			queries.Dump(env),
			queries.Flow(env),
			queries.Explain(env),
			commands.Drain(env),
			commands.Undrain(env),
			commands.Stop(env),
			commandGroup("bundle", "check, sign, propose and accept configuration bundles", append(queries.Bundle(env), commands.Bundle(env)...)),
			commandGroup("settings", "check settings of hosts", queries.Settings(env)),
			commandGroup("keys", "make a test authority, certificates and signing keys", commands.Keys(env)),
		},
	}
	configureParsing(root)
	return root
}

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, env *command.Env, arguments []string) int {
	err := New(env).Run(ctx, arguments)
	if err != nil && !command.IsPrinted(err) {
		_, _ = fmt.Fprintln(env.Err, "toucangap:", err)
	}
	return command.ExitCode(err)
}

// commandGroup returns a command that only has subcommands.
func commandGroup(name, usage string, subcommands []*cli.Command) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Commands: subcommands, Action: unknownSubcommand}
}

// unknownSubcommand reports a missing or unknown subcommand.
func unknownSubcommand(_ context.Context, cmd *cli.Command) error {
	if cmd.NArg() == 0 {
		return command.Usagef("%s requires a subcommand; see --help", cmd.FullName())
	}
	return command.Usagef("%s has no subcommand %q; see --help", cmd.FullName(), cmd.Args().First())
}

// configureParsing makes every flag error a command.UsageError, and lets subcommands
// without subcommands of their own take "help" as an argument.
func configureParsing(cmd *cli.Command) {
	cmd.OnUsageError = usageError
	cmd.HideHelpCommand = len(cmd.Commands) == 0
	for _, subcommand := range cmd.Commands {
		configureParsing(subcommand)
	}
}

// usageError converts an error of the flag parser to a command.UsageError.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	var usage *command.UsageError
	if errors.As(err, &usage) {
		return err
	}
	return command.Usagef("%s; see --help", err)
}
