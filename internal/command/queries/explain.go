package queries

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"toucangap/internal/adminapi"
	"toucangap/internal/command"
)

const (
	flagCaller  = "caller"
	flagService = "service"
	// defaultCandidates is the default number of endpoints listed.
	defaultCandidates = 20
)

// Explain returns the subcommand that shows where a new flow would go, and why.
func Explain(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show where a new flow would go now, and why",
		UsageText: `toucangap --host 192.0.2.11:7006 explain --caller 203.0.113.9:40000 --service 198.18.0.1:8080`,
		Description: "Nothing is sent and nothing changes. The output names the outcome and its cause, and the " +
			"service's endpoints in the order of preference with the parts of their costs, those that take no " +
			"new flows last. Only hosts that run `toucangapd relay` support it.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagCaller, Required: true, Usage: "the caller's `ADDRESS:PORT`"},
			&cli.StringFlag{Name: flagService, Required: true, Usage: "the `ADDRESS:PORT` that the caller sends to, or the name of its route"},
			&cli.IntFlag{Name: flagLimit, Value: defaultCandidates, Usage: "show up to `N` endpoints"},
		},
		ArgValidator: command.Arguments(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runExplain(ctx, cmd, env)
		},
	}
}

func runExplain(ctx context.Context, cmd *cli.Command, env *command.Env) error {
	caller := cmd.String(flagCaller)
	if _, err := netip.ParseAddrPort(caller); err != nil {
		return command.Usagef("--%s %q is not an address with port", flagCaller, caller)
	}
	client, err := command.NewClient(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := command.WithTimeout(ctx, cmd)
	defer cancel()
	query := url.Values{
		adminapi.ParamCaller:  {caller},
		adminapi.ParamService: {cmd.String(flagService)},
		adminapi.ParamLimit:   {strconv.Itoa(cmd.Int(flagLimit))},
	}
	responses, failed := command.CallHosts(ctx, client, func(ctx context.Context, host netip.AddrPort, result *adminapi.ExplainResponse) error {
		return client.Get(ctx, host, adminapi.PathExplain, query, result)
	})
	err = env.Print(cmd, responses, func(w io.Writer) { command.PrintResponses(w, responses, printExplanation) })
	if err != nil {
		return err
	}
	return failed
}

func printExplanation(w io.Writer, x *adminapi.ExplainResponse) {
	_, _ = fmt.Fprintf(w, "host %s, flow %s, configuration %d, position %s\n", x.Host, x.Flow, x.Version, x.Position)
	_, _ = fmt.Fprintf(w, "route %s, service %s: %s\n", orNone(x.Route), orNone(x.Service), serviceLoad(x))
	if f := x.Existing; f != nil {
		_, _ = fmt.Fprintf(w, "flow is known: %s, endpoint %s, idle for %d ms\n", f.State, orNone(f.Endpoint), f.IdleMs)
	}
	_, _ = fmt.Fprintf(w, "%s, endpoint %s, cause %s\n", x.Outcome, orNone(x.Endpoint), x.Cause)
	if len(x.Candidates) == 0 {
		return
	}
	rows := []string{"ENDPOINT\tDOMAIN\tNEW FLOWS\tCOST\tEXPECTED\tIN PROGRESS\tOTHER DOMAIN\tFAILURES\tFLOWS\tREQUESTS\tREASONS"}
	for _, c := range x.Candidates {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s",
			c.Name, c.Domain, yesNo(c.Available), microseconds(c.Cost), microseconds(c.Expected), microseconds(c.InProgress),
			microseconds(c.OtherDomain), microseconds(c.Failures), c.Flows, c.Requests, orNone(strings.Join(c.Reasons, ","))))
	}
	command.Table(w, rows...)
	if len(x.Candidates) < x.CandidateCount {
		_, _ = fmt.Fprintf(w, "%d of %d endpoints are shown; raise --%s to see more\n", len(x.Candidates), x.CandidateCount, flagLimit)
	}
}

// serviceLoad describes the service's requests at the host.
func serviceLoad(x *adminapi.ExplainResponse) string {
	limit := "no limit"
	if x.Limit > 0 {
		limit = fmt.Sprintf("limit %.1f", x.Limit)
	}
	return fmt.Sprintf("%d requests in flight, %s, %d flows held", x.InFlight, limit, x.Held)
}

func microseconds(n int64) string { return (time.Duration(n) * time.Microsecond).String() }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// orNone returns the text, or "-" if it is empty.
func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
