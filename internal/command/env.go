// Package command holds what the subcommands of the operators' command-line
// client share: the HTTP client for the hosts, access to the platform, output
// and exit codes. Read-only subcommands are in package queries, those that
// change state in package commands.
package command

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

// Env holds the dependencies of the subcommands.
type Env struct {
	// Out receives results, Err error messages.
	Out io.Writer
	Err io.Writer
	// OpenStore opens the store of bundles on the platform.
	OpenStore OpenStore
	Now       func() time.Time
	// NewOperation returns a new unique identifier of a write. A retry with the
	// same identifier after a lost response does not write twice.
	NewOperation func() string
}

// The flags of the root command.
const (
	FlagOutput   = "output"
	FlagHost     = "host"
	FlagCA       = "ca"
	FlagCert     = "cert"
	FlagKey      = "key"
	FlagTimeout  = "timeout"
	FlagPlatform = "platform"
	FlagPrefix   = "prefix"
)

// The defaults of the flags.
const (
	defaultTimeout = 5 * time.Second
	defaultPrefix  = "/toucangap/"
)

// Flags returns the flags of the root command, which apply to all subcommands.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: FlagOutput, Aliases: []string{"o"}, Value: OutputText, Usage: "print `FORMAT`, text or json", Validator: validateOutput},
		&cli.StringSliceFlag{Name: FlagHost, Usage: "admin `ADDR` of a host, may be repeated", Sources: cli.EnvVars("TOUCANGAP_HOST")},
		&cli.StringFlag{Name: FlagCA, Usage: "PEM `FILE` of the certificate authority", Sources: cli.EnvVars("TOUCANGAP_CA")},
		&cli.StringFlag{Name: FlagCert, Usage: "PEM `FILE` of the operator's certificate", Sources: cli.EnvVars("TOUCANGAP_CERT")},
		&cli.StringFlag{Name: FlagKey, Usage: "PEM `FILE` of the certificate's key", Sources: cli.EnvVars("TOUCANGAP_KEY")},
		&cli.DurationFlag{Name: FlagTimeout, Value: defaultTimeout, Usage: "give up after `DURATION`"},
		&cli.StringSliceFlag{Name: FlagPlatform, Usage: "`ADDR` of the platform's key-value service, may be repeated", Sources: cli.EnvVars("TOUCANGAP_PLATFORM")},
		&cli.StringFlag{Name: FlagPrefix, Value: defaultPrefix, Usage: "`PREFIX` of all keys on the platform"},
	}
}

// WithTimeout applies the timeout flag to the context.
func WithTimeout(ctx context.Context, cmd *cli.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, cmd.Duration(FlagTimeout))
}

// Arguments returns a check that there is exactly one argument for each name.
func Arguments(names ...string) cli.ArgValidatorFunc {
	return func(_ context.Context, cmd *cli.Command) error {
		if cmd.NArg() == len(names) {
			return nil
		}
		return Usagef("%s takes %d arguments %v, got %d", cmd.Name, len(names), names, cmd.NArg())
	}
}
