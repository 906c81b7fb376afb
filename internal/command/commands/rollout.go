package commands

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"toucangap/internal/bundle"
	"toucangap/internal/command"
	"toucangap/internal/config"
	"toucangap/internal/settings"
)

// The flags of proposing and accepting bundles.
const (
	flagReplaces  = "replaces"
	flagOperation = "operation"
	flagTrust     = "trust"
)

// Bundle returns the subcommands that sign bundles and roll them out.
func Bundle(env *command.Env) []*cli.Command {
	return []*cli.Command{bundleSign(env), bundlePropose(env), bundleAccept(env)}
}

// operationFlag identifies a write so that it can be retried.
func operationFlag() cli.Flag {
	return &cli.StringFlag{Name: flagOperation, Usage: "retry the operation `ID` whose outcome is unknown"}
}

// operation returns the identifier given by the operation flag, or a new one.
func operation(cmd *cli.Command, env *command.Env) string {
	if id := cmd.String(flagOperation); id != "" {
		return id
	}
	return env.NewOperation()
}

func bundlePropose(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:        "propose",
		Usage:       "write a signed bundle to the platform under its version",
		ArgsUsage:   "FILE",
		UsageText:   "toucangap --platform 192.0.2.21:2379 bundle propose bundle-2.signed --trust host.toml",
		Description: "A proposed bundle is not in force. Exit code 4 means that a different bundle has the version.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagTrust, Usage: "verify the signatures with the operators of the settings in `FILE` first"},
			operationFlag(),
		},
		ArgValidator: command.Arguments("FILE"),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runPropose(ctx, cmd, env)
		},
	}
}

// proposeResult is the JSON form of the result of propose.
type proposeResult struct {
	Version   config.Version `json:"version"`
	Digest    string         `json:"digest"`
	Operation string         `json:"operation"`
}

func runPropose(ctx context.Context, cmd *cli.Command, env *command.Env) error {
	signed, err := command.ReadBundle(cmd.Args().First())
	if err != nil {
		return err
	}
	b, err := verify(cmd, signed)
	if err != nil {
		return err
	}
	data, err := signed.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := command.WithTimeout(ctx, cmd)
	defer cancel()
	store, err := env.Store(ctx, cmd)
	if err != nil {
		return err
	}
	result := proposeResult{b.Version, signed.Digest(), operation(cmd, env)}
	err = store.Propose(ctx, data, uint64(b.Version), result.Operation)
	if err != nil {
		return merry.Appendf(err, "operation %s", result.Operation)
	}
	return env.Print(cmd, result, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "proposed version %d, digest %s\n", result.Version, result.Digest)
	})
}

// verify returns the content of a bundle, which must have at least one
// signature. With the trust flag, the signatures and the content are verified as
// on a host.
func verify(cmd *cli.Command, signed *bundle.Signed) (*config.Bundle, error) {
	if len(signed.Signatures) == 0 {
		return nil, merry.Wrap(bundle.ErrTooFewSignatures)
	}
	file := cmd.String(flagTrust)
	if file == "" {
		return signed.Bundle()
	}
	s, err := settings.Load(file)
	if err != nil {
		return nil, err
	}
	return signed.Verify(s.Bundle)
}

func bundleAccept(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:      "accept",
		Usage:     "put a proposed version in force in place of the one it was reviewed against",
		ArgsUsage: "VERSION",
		UsageText: "toucangap --platform 192.0.2.21:2379 bundle accept 8 --replaces 7",
		Description: "Exit code 4 means that another version is in force now; it is printed with the differences. " +
			"To go back to earlier content, propose it again under a higher version.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagReplaces, Required: true, Usage: "the `VERSION` in force, 0 for none"},
			operationFlag(),
		},
		ArgValidator: command.Arguments("VERSION"),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runAccept(ctx, cmd, env)
		},
	}
}

// acceptance is a request to put a version in force.
type acceptance struct {
	store command.BundleStore
	// proposed is set by run.
	proposed  *bundle.Signed
	version   uint64
	replaces  uint64
	operation string
}

func runAccept(ctx context.Context, cmd *cli.Command, env *command.Env) error {
	version, err := strconv.ParseUint(cmd.Args().First(), 10, 64)
	if err != nil || version == 0 {
		return command.Usagef("VERSION %q is not a version number", cmd.Args().First())
	}
	ctx, cancel := command.WithTimeout(ctx, cmd)
	defer cancel()
	store, err := env.Store(ctx, cmd)
	if err != nil {
		return err
	}
	a := acceptance{store: store, version: version, replaces: cmd.Uint64(flagReplaces), operation: operation(cmd, env)}
	result, err := a.run(ctx)
	if err != nil {
		return err
	}
	return env.Print(cmd, result, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "version %d is in force\n", result.Current)
	})
}

// run validates the change from the version in force and accepts the proposal.
func (a *acceptance) run(ctx context.Context) (command.AcceptResult, error) {
	data, err := a.store.Proposed(ctx, a.version)
	if err != nil {
		return command.AcceptResult{}, err
	}
	a.proposed, err = bundle.DecodeSigned(data)
	if err != nil {
		return command.AcceptResult{}, err
	}
	err = a.validateChange(ctx)
	if err != nil {
		return command.AcceptResult{}, err
	}
	result, err := a.store.Accept(ctx, a.version, a.replaces, a.operation)
	if err != nil {
		return result, merry.Appendf(err, "operation %s", a.operation)
	}
	if result.Accepted {
		return result, nil
	}
	return result, a.conflict(ctx, result.Current)
}

// validateChange validates the change from the replaced version. If another
// version is in force, it does nothing, since Accept then reports the conflict.
func (a *acceptance) validateChange(ctx context.Context) error {
	after, err := a.proposed.Bundle()
	if err != nil {
		return err
	}
	current, err := command.CurrentBundle(ctx, a.store)
	if err != nil || current == nil {
		return err
	}
	before, err := current.Bundle()
	if err != nil || uint64(before.Version) != a.replaces {
		return err
	}
	return bundle.ValidateChange(before, after).Err()
}

// conflict returns a ConflictError with the version in force and, if that can be
// read, the differences of the proposed version from it.
func (a *acceptance) conflict(ctx context.Context, inForce uint64) error {
	conflict := &command.ConflictError{Wanted: a.version, Current: inForce}
	current, err := command.CurrentBundle(ctx, a.store)
	if err != nil || current == nil {
		return conflict
	}
	before, err := current.Bundle()
	if err != nil {
		return conflict
	}
	after, err := a.proposed.Bundle()
	if err != nil {
		return conflict
	}
	conflict.Difference = bundle.Compare(before, after).String()
	return conflict
}
