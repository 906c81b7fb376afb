package queries

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"toucangap/internal/bundle"
	"toucangap/internal/command"
	"toucangap/internal/config"
)

const flagPrevious = "previous"

// Bundle returns the read-only subcommands for bundles.
func Bundle(env *command.Env) []*cli.Command {
	return []*cli.Command{bundleCheck(env), bundleShow(env), bundleDiff(env), bundleCurrent(env)}
}

func bundleCheck(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "report all errors in a TOML bundle",
		ArgsUsage: "FILE",
		UsageText: `toucangap bundle check bundle.toml
toucangap bundle check bundle.toml --previous accepted.signed`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagPrevious, Usage: "also check the change from the bundle in `FILE`, TOML or signed"},
		},
		ArgValidator: command.Arguments("FILE"),
		Action: func(_ context.Context, cmd *cli.Command) error {
			previous, err := command.ReadContent(cmd.String(flagPrevious))
			if err != nil {
				return err
			}
			file := cmd.Args().First()
			return env.PrintFindings(cmd, file, bundle.Check(file, previous))
		},
	}
}

func bundleShow(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:         "show",
		Usage:        "print a bundle, TOML or signed, with its version, digest and signers",
		ArgsUsage:    "FILE",
		UsageText:    "toucangap bundle show bundle.signed",
		Description:  "The signatures are listed, not verified: hosts verify them with the keys of their own settings.",
		ArgValidator: command.Arguments("FILE"),
		Action: func(_ context.Context, cmd *cli.Command) error {
			signed, err := command.ReadBundle(cmd.Args().First())
			if err != nil {
				return err
			}
			return printBundle(cmd, env, signed)
		},
	}
}

func bundleCurrent(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:         "current",
		Usage:        "print the bundle in force on the platform",
		UsageText:    "toucangap --platform 192.0.2.21:2379 bundle current",
		ArgValidator: command.Arguments(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, cancel := command.WithTimeout(ctx, cmd)
			defer cancel()
			store, err := env.Store(ctx, cmd)
			if err != nil {
				return err
			}
			signed, err := command.CurrentBundle(ctx, store)
			if err != nil {
				return err
			}
			if signed == nil {
				return env.Print(cmd, bundleView{Signers: []string{}, Bundle: json.RawMessage("null")}, func(w io.Writer) { _, _ = fmt.Fprintln(w, "no bundle is in force") })
			}
			return printBundle(cmd, env, signed)
		},
	}
}

func bundleDiff(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:         "diff",
		Usage:        "print what differs between two bundles, TOML or signed",
		ArgsUsage:    "OLD NEW",
		UsageText:    "toucangap bundle diff accepted.signed bundle.toml",
		ArgValidator: command.Arguments("OLD", "NEW"),
		Action: func(_ context.Context, cmd *cli.Command) error {
			before, err := command.ReadContent(cmd.Args().Get(0))
			if err != nil {
				return err
			}
			after, err := command.ReadContent(cmd.Args().Get(1))
			if err != nil {
				return err
			}
			diff := bundle.Compare(before, after)
			return env.Print(cmd, diff, func(w io.Writer) { _, _ = io.WriteString(w, diff.String()) })
		},
	}
}

// bundleView is the JSON form of a printed bundle.
type bundleView struct {
	Digest  string   `json:"digest"`
	Signers []string `json:"signers"`
	// Bundle is the content, null if there is none.
	Bundle json.RawMessage `json:"bundle"`
}

// printBundle prints a bundle with its digest and signers.
func printBundle(cmd *cli.Command, env *command.Env, signed *bundle.Signed) error {
	b, err := signed.Bundle()
	if err != nil {
		return err
	}
	content, err := signed.ContentJSON()
	if err != nil {
		return err
	}
	view := bundleView{Digest: signed.Digest(), Signers: []string{}, Bundle: content}
	for _, s := range signed.Signatures {
		view.Signers = append(view.Signers, s.Operator)
	}
	return env.Print(cmd, view, func(w io.Writer) { view.print(w, b) })
}

func (v bundleView) print(w io.Writer, b *config.Bundle) {
	_, _ = fmt.Fprintf(w, "version %d\ndigest %s\nsigned by %q\ndomains %q\n", b.Version, v.Digest, v.Signers, b.Domains)
	rows := []string{"SERVICE\tID\tADDRESS\tGROUP\tREQUESTS\tDIAL\tENDPOINT\tID\tDOMAIN\tADDRESS\tWEIGHT\tSLOTS\tMAX FLOWS"}
	for _, s := range b.Services {
		for _, e := range s.Endpoints {
			rows = append(rows, fmt.Sprintf("%s\t%d\t%s %s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d",
				s.Name, s.ID, s.Protocol, s.Address, s.Group, s.Requests, s.Balance,
				e.Name, e.ID, e.Domain, e.Address, e.Weight, e.Slots, e.MaxFlows))
		}
	}
	command.Table(w, rows...)
}
