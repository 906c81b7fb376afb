package commands

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"toucangap/internal/command"
	"toucangap/internal/keys"
)

// The flags of the keys subcommands.
const (
	flagDirectory = "dir"
	flagValid     = "valid"
	flagAddress   = "address"
	flagDNS       = "dns"
)

// The default validity of certificates.
const (
	authorityValidity   = 5 * 365 * 24 * time.Hour
	certificateValidity = 90 * 24 * time.Hour
)

// The names and suffixes of the files.
const (
	authorityName    = "authority"
	suffixPEM        = ".pem"
	suffixKey        = ".key"
	suffixSigningKey = ".sign.key"
)

// Keys returns the subcommands that generate keys and certificates.
func Keys(env *command.Env) []*cli.Command {
	return []*cli.Command{keysAuthority(env), keysHost(env), keysOperator(env)}
}

func keyFlags(validity time.Duration, more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: flagDirectory, Value: ".", Usage: "`DIRECTORY` of the authority and the new files"},
		&cli.DurationFlag{Name: flagValid, Value: validity, Usage: "let certificates expire after `DURATION`"},
	}, more...)
}

func keysAuthority(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:         "authority",
		Usage:        "make a certificate authority for tests: authority.pem and authority.key",
		UsageText:    "toucangap keys authority --dir keys",
		Flags:        keyFlags(authorityValidity),
		ArgValidator: command.Arguments(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			now := env.Now()
			authority, err := keys.NewAuthority("toucangap authority", now, now.Add(cmd.Duration(flagValid)))
			if err != nil {
				return err
			}
			pair, err := authority.PEM()
			if err != nil {
				return err
			}
			files, err := writePair(cmd, authorityName, pair)
			if err != nil {
				return err
			}
			return printKey(cmd, env, keyResult{Files: files})
		},
	}
}

func keysHost(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:      "host",
		Usage:     "make a host's certificate: NAME.pem and NAME.key",
		ArgsUsage: "NAME",
		UsageText: "toucangap keys host port-louis-1 --address 192.0.2.11 --dir keys",
		Flags: keyFlags(certificateValidity,
			&cli.StringSliceFlag{Name: flagAddress, Required: true, Usage: "`IP` address of the host, may be repeated"},
			&cli.StringSliceFlag{Name: flagDNS, Usage: "DNS `NAME` of the host, may be repeated"},
		),
		ArgValidator: command.Arguments("NAME"),
		Action: func(_ context.Context, cmd *cli.Command) error {
			request := keys.CertificateRequest{Name: cmd.Args().First(), Role: keys.RoleHost, Names: cmd.StringSlice(flagDNS)}
			for _, text := range cmd.StringSlice(flagAddress) {
				address, err := netip.ParseAddr(text)
				if err != nil {
					return command.Usagef("--%s %q is not an IP address", flagAddress, text)
				}
				request.Addresses = append(request.Addresses, address)
			}
			files, err := issue(cmd, env, request)
			if err != nil {
				return err
			}
			return printKey(cmd, env, keyResult{Files: files})
		},
	}
}

func keysOperator(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:        "operator",
		Usage:       "make an operator's certificate and signing key: NAME.pem, NAME.key and NAME.sign.key",
		ArgsUsage:   "NAME",
		UsageText:   "toucangap keys operator anjali --dir keys",
		Description: "Prints the public signing key for [bundle.operators] of the hosts' settings.",
		Flags:       keyFlags(certificateValidity),

		ArgValidator: command.Arguments("NAME"),
		Action: func(_ context.Context, cmd *cli.Command) error {
			name := cmd.Args().First()
			files, err := issue(cmd, env, keys.CertificateRequest{Name: name, Role: keys.RoleOperator})
			if err != nil {
				return err
			}
			result, err := writeSigningKey(cmd, name)
			if err != nil {
				return err
			}
			result.Files = append(files, result.Files...)
			return printKey(cmd, env, result)
		},
	}
}

// issue creates a certificate signed by the authority in the directory and
// returns the names of the files written.
func issue(cmd *cli.Command, env *command.Env, request keys.CertificateRequest) ([]string, error) {
	authority, err := loadAuthority(cmd.String(flagDirectory))
	if err != nil {
		return nil, err
	}
	request.From = env.Now()
	request.Until = request.From.Add(cmd.Duration(flagValid))
	pair, err := authority.Issue(request)
	if err != nil {
		return nil, err
	}
	return writePair(cmd, request.Name, pair)
}

// loadAuthority reads the authority in the directory.
func loadAuthority(directory string) (*keys.Authority, error) {
	certificate, err := os.ReadFile(filepath.Join(directory, authorityName+suffixPEM))
	if err != nil {
		return nil, merry.Prepend(err, "read authority")
	}
	key, err := os.ReadFile(filepath.Join(directory, authorityName+suffixKey))
	if err != nil {
		return nil, merry.Prepend(err, "read authority")
	}
	return keys.LoadAuthority(keys.Pair{Certificate: certificate, Key: key})
}

// keyResult is the JSON form of the generated keys.
type keyResult struct {
	Files []string `json:"files"`
	// Public is the public signing key in base64.
	Public string `json:"public,omitempty"`
}

// writePair writes a certificate and its key and returns the files' names.
func writePair(cmd *cli.Command, name string, pair keys.Pair) ([]string, error) {
	base := filepath.Join(cmd.String(flagDirectory), name)
	err := command.WriteNew(base+suffixKey, pair.Key, command.ModePrivate)
	if err != nil {
		return nil, err
	}
	err = command.WriteNew(base+suffixPEM, pair.Certificate, command.ModePublic)
	return []string{base + suffixPEM, base + suffixKey}, err
}

// writeSigningKey generates and writes an operator's signing key.
func writeSigningKey(cmd *cli.Command, name string) (keyResult, error) {
	pem, err := keys.GenerateSigningKey()
	if err != nil {
		return keyResult{}, err
	}
	key, err := keys.DecodeSigningKey(pem)
	if err != nil {
		return keyResult{}, err
	}
	file := filepath.Join(cmd.String(flagDirectory), name+suffixSigningKey)
	err = command.WriteNew(file, pem, command.ModePrivate)
	return keyResult{Files: []string{file}, Public: keys.EncodePublicKey(key)}, err
}

func printKey(cmd *cli.Command, env *command.Env, result keyResult) error {
	return env.Print(cmd, result, func(w io.Writer) {
		for _, file := range result.Files {
			_, _ = fmt.Fprintln(w, "wrote", file)
		}
		if result.Public != "" {
			_, _ = fmt.Fprintln(w, "public key", result.Public)
		}
	})
}
