package commands

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"toucangap/internal/bundle"
	"toucangap/internal/command"
	"toucangap/internal/keys"
)

// The flags of the sign subcommand.
const (
	flagOperator   = "operator"
	flagSigningKey = "signing-key"
	flagOut        = "out"
)

func bundleSign(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:      "sign",
		Usage:     "sign a bundle, or add a signature to a signed one",
		ArgsUsage: "FILE",
		UsageText: `toucangap bundle sign bundle.toml --operator anjali --signing-key anjali.sign.key --out bundle-1.signed
toucangap bundle sign bundle-1.signed --operator claes --signing-key claes.sign.key --out bundle-2.signed`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagOperator, Required: true, Usage: "sign as `NAME`, as in the hosts' settings"},
			&cli.StringFlag{Name: flagSigningKey, Required: true, Usage: "PEM `FILE` of the operator's signing key"},
			&cli.StringFlag{Name: flagOut, Required: true, Usage: "write the signed bundle to `FILE`, which must not exist"},
		},
		ArgValidator: command.Arguments("FILE"),
		Action: func(_ context.Context, cmd *cli.Command) error {
			return runSign(cmd, env)
		},
	}
}

// signResult is the JSON form of the result of sign.
type signResult struct {
	File       string `json:"file"`
	Digest     string `json:"digest"`
	Signatures int    `json:"signatures"`
}

func runSign(cmd *cli.Command, env *command.Env) error {
	signed, err := command.ReadBundle(cmd.Args().First())
	if err != nil {
		return err
	}
	err = validateContent(signed)
	if err != nil {
		return err
	}
	pem, err := os.ReadFile(cmd.String(flagSigningKey))
	if err != nil {
		return merry.Wrap(err)
	}
	key, err := keys.DecodeSigningKey(pem)
	if err != nil {
		return err
	}
	signed.Sign(cmd.String(flagOperator), key)
	data, err := signed.Encode()
	if err != nil {
		return err
	}
	file := cmd.String(flagOut)
	err = command.WriteNew(file, data, command.ModePublic)
	if err != nil {
		return err
	}
	result := signResult{file, signed.Digest(), len(signed.Signatures)}
	return env.Print(cmd, result, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s: digest %s, %d signatures\n", result.File, result.Digest, result.Signatures)
	})
}

// validateContent returns the findings in the content of a bundle as an error.
func validateContent(signed *bundle.Signed) error {
	b, err := signed.Bundle()
	if err != nil {
		return err
	}
	return bundle.Validate(b).Err()
}
