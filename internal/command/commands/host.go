// Package commands holds the subcommands of the command-line client that change
// state: drain, undrain, stop, bundle sign, propose and accept, and keys.
package commands

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"github.com/urfave/cli/v3"

	"toucangap/internal/adminapi"
	"toucangap/internal/command"
)

// Drain returns the subcommand that drains an endpoint: it gets no new flows,
// and open ones stay.
func Drain(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:         "drain",
		Usage:        "give an endpoint no new flows; open ones stay",
		ArgsUsage:    "SERVICE ENDPOINT",
		UsageText:    "toucangap --host 192.0.2.11:7006 drain alerts alerts-2",
		Description:  "The mark is sent to every --host; hosts pass it on to one another, so one of them is enough.",
		ArgValidator: command.Arguments("SERVICE", "ENDPOINT"),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return sendMark(ctx, cmd, env, true)
		},
	}
}

// Undrain returns the subcommand that reverses Drain.
func Undrain(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:         "undrain",
		Usage:        "give a drained endpoint new flows again",
		ArgsUsage:    "SERVICE ENDPOINT",
		UsageText:    "toucangap --host 192.0.2.11:7006 undrain alerts alerts-2",
		ArgValidator: command.Arguments("SERVICE", "ENDPOINT"),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return sendMark(ctx, cmd, env, false)
		},
	}
}

// sendMark sends a command to drain or undrain an endpoint to all hosts given by
// the flags.
func sendMark(ctx context.Context, cmd *cli.Command, env *command.Env, isDraining bool) error {
	body := adminapi.MarkCommand{
		Service:  cmd.Args().Get(0),
		Endpoint: cmd.Args().Get(1),
		Draining: isDraining,
	}
	return postToHosts(ctx, cmd, env, adminapi.PathMark, body)
}

// Stop returns the subcommand that shuts hosts down gracefully.
func Stop(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:         "stop",
		Usage:        "stop hosts gracefully: they hand their flows over first",
		UsageText:    "toucangap --host 192.0.2.11:7006 stop",
		ArgValidator: command.Arguments(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return postToHosts(ctx, cmd, env, adminapi.PathStop, struct{}{})
		},
	}
}

// postToHosts sends a command to all hosts given by the flags and prints the responses.
func postToHosts(ctx context.Context, cmd *cli.Command, env *command.Env, path string, body any) error {
	client, err := command.NewClient(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := command.WithTimeout(ctx, cmd)
	defer cancel()
	responses, failed := command.CallHosts(ctx, client, func(ctx context.Context, host netip.AddrPort, result *adminapi.Accepted) error {
		return client.Post(ctx, host, path, body, result)
	})
	err = env.Print(cmd, responses, func(w io.Writer) { printAccepted(w, responses) })
	if err != nil {
		return err
	}
	return failed
}

func printAccepted(w io.Writer, responses []command.HostResponse[adminapi.Accepted]) {
	for _, r := range responses {
		if r.Result == nil {
			_, _ = fmt.Fprintf(w, "%s: failed: %s\n", r.Address, r.Error)
			continue
		}
		_, _ = fmt.Fprintf(w, "%s: %s\n", r.Address, r.Result.Message)
	}
}
