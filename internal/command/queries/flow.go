package queries

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"net/url"

	"github.com/urfave/cli/v3"

	"toucangap/internal/adminapi"
	"toucangap/internal/command"
	"toucangap/internal/flow"
)

// Flow returns the subcommand that shows a flow's endpoint and the reason for it.
func Flow(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:      "flow",
		Usage:     "show which endpoint a flow has, and why",
		ArgsUsage: "PROTOCOL CALLER SERVICE",
		UsageText: `toucangap --host 192.0.2.11:7006 flow udp 203.0.113.9:40000 alerts`,
		Description: "PROTOCOL is tcp or udp, CALLER the caller's address and port, SERVICE the service's name. " +
			"The output names the owner and the successor among the hosts, the default endpoint and the one in use.",
		ArgValidator: command.Arguments("PROTOCOL", "CALLER", "SERVICE"),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runFlow(ctx, cmd, env)
		},
	}
}

func runFlow(ctx context.Context, cmd *cli.Command, env *command.Env) error {
	query, err := flowQuery(cmd.Args().Get(0), cmd.Args().Get(1), cmd.Args().Get(2))
	if err != nil {
		return err
	}
	client, err := command.NewClient(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := command.WithTimeout(ctx, cmd)
	defer cancel()
	responses, failed := command.CallHosts(ctx, client, func(ctx context.Context, host netip.AddrPort, result *adminapi.FlowResponse) error {
		return client.Get(ctx, host, adminapi.PathFlow, query, result)
	})
	err = env.Print(cmd, responses, func(w io.Writer) { printFlowResponses(w, responses) })
	if err != nil {
		return err
	}
	return failed
}

// flowQuery validates the arguments and returns them as URL parameters.
func flowQuery(protocol, caller, service string) (url.Values, error) {
	if protocol != flow.TCP.String() && protocol != flow.UDP.String() {
		return nil, command.Usagef("PROTOCOL %q is neither tcp nor udp", protocol)
	}
	if _, err := netip.ParseAddrPort(caller); err != nil {
		return nil, command.Usagef("CALLER %q is not an address with port", caller)
	}
	return url.Values{
		adminapi.ParamProtocol: {protocol},
		adminapi.ParamCaller:   {caller},
		adminapi.ParamService:  {service},
	}, nil
}

func printFlowResponses(w io.Writer, responses []command.HostResponse[adminapi.FlowResponse]) {
	rows := []string{"ASKED\tSERVICE\tENDPOINT\tWHY\tDEFAULT\tOWNER\tSUCCESSOR\tFINGERPRINT\tDETAIL"}
	for _, r := range responses {
		f := r.Result
		if f == nil {
			rows = append(rows, fmt.Sprintf("%s\tfailed: %s", r.Address, r.Error))
			continue
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s",
			r.Address, f.Service, f.Endpoint, f.Why, f.Default, f.Owner, f.Successor, f.Fingerprint, f.Detail))
	}
	command.Table(w, rows...)
}
