package queries

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"toucangap/internal/adminapi"
	"toucangap/internal/command"
)

const (
	flagLimit    = "limit"
	defaultLimit = 100
)

// Dump returns the subcommand that shows the state of hosts.
func Dump(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:  "dump",
		Usage: "show the state of hosts: endpoints, peers, budgets, drops and flows",
		UsageText: `toucangap --host 192.0.2.11:7006 dump
toucangap --host 192.0.2.11:7006 --output json dump --limit 1000`,
		Flags:        []cli.Flag{&cli.IntFlag{Name: flagLimit, Value: defaultLimit, Usage: "show up to `N` flows of each host"}},
		ArgValidator: command.Arguments(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runDump(ctx, cmd, env)
		},
	}
}

func runDump(ctx context.Context, cmd *cli.Command, env *command.Env) error {
	client, err := command.NewClient(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := command.WithTimeout(ctx, cmd)
	defer cancel()
	query := url.Values{adminapi.ParamLimit: {strconv.Itoa(cmd.Int(flagLimit))}}
	responses, failed := command.CallHosts(ctx, client, func(ctx context.Context, host netip.AddrPort, result *adminapi.Dump) error {
		return client.Get(ctx, host, adminapi.PathDump, query, result)
	})
	err = env.Print(cmd, responses, func(w io.Writer) { command.PrintResponses(w, responses, printDump) })
	if err != nil {
		return err
	}
	return failed
}

func printDump(w io.Writer, d *adminapi.Dump) {
	s := d.Status
	_, _ = fmt.Fprintf(w, "host %s (%s, %s), bundle %d, platform %s\n", s.Host, s.Domain, s.State, s.Version, s.Platform)
	printEndpoints(w, d.Services)
	printSpillover(w, d.Services)
	printPeers(w, d.Peers)
	_, _ = fmt.Fprintf(w, "control: %d bytes sent, budget %d bytes/s, %d records waiting\n",
		d.Budgets.ControlBytesSent, d.Budgets.ControlBytesPerSecond, d.Budgets.RecordsWaiting)
	for _, m := range d.Marks {
		_, _ = fmt.Fprintf(w, "mark: service %s endpoint %s draining %t\n", m.Service, m.Endpoint, m.Draining)
	}
	printCounts(w, "total", d.Totals)
	printCounts(w, "dropped", d.DropsByReason)
	printFlows(w, d)
}

func printEndpoints(w io.Writer, services []adminapi.ServiceDump) {
	rows := []string{"SERVICE\tENDPOINT\tDOMAIN\tSTATE\tFLOWS\tREQUESTS\tPEERS' FLOWS\tPEERS' REQUESTS\tSILENT"}
	for _, s := range services {
		for _, e := range s.Endpoints {
			if e.ColdOwner != "" {
				e.State += " (owner " + e.ColdOwner + ")"
			}
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d",
				s.Name, e.Name, e.Domain, e.State, e.Flows, e.Requests, e.PeersFlows, e.PeersRequests, e.UnansweredFlows))
		}
	}
	command.Table(w, rows...)
}

func printSpillover(w io.Writer, services []adminapi.ServiceDump) {
	for _, s := range services {
		if p := s.Spillover; p != nil {
			_, _ = fmt.Fprintf(w, "spillover: service %s share %.3f, home %d µs (%d ms ago), remote %d µs (%d ms ago), closed [%s]\n",
				s.Name, p.Share, p.HomeMicros, p.HomeAgeMs, p.RemoteMicros, p.RemoteAgeMs, strings.Join(p.Closed, " "))
			printCounts(w, "left "+s.Name, p.Left)
		}
	}
}

func printPeers(w io.Writer, peers []adminapi.PeerDump) {
	if len(peers) == 0 {
		return
	}
	rows := []string{"PEER\tQUEUED\tUNACKNOWLEDGED\tHELD\tBASELINE\tLEASE UNTIL MS"}
	for _, p := range peers {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d",
			p.Name, p.RecordsQueued, p.RecordsUnacknowledged, p.RecordsReceived, p.Baseline, p.LeaseUntilMs))
	}
	command.Table(w, rows...)
}

func printCounts(w io.Writer, label string, counts map[string]int64) {
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(w, "%s: %s %d\n", label, key, counts[key])
	}
}

func printFlows(w io.Writer, d *adminapi.Dump) {
	_, _ = fmt.Fprintf(w, "flows held: %d, shown: %d\n", d.FlowsHeld, len(d.Flows))
	if len(d.Flows) == 0 {
		return
	}
	rows := []string{"SERVICE\tFLOW\tENDPOINT\tOWNED\tEXCEPTION\tENDED\tIDLE MS\tREQUESTS"}
	for _, f := range d.Flows {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%t\t%t\t%s\t%d\t%d",
			f.Service, f.Fingerprint, f.Endpoint, f.Owned, f.Exception, f.Ended, f.IdleMs, f.Requests))
	}
	command.Table(w, rows...)
	if d.Truncated {
		_, _ = fmt.Fprintln(w, "not all flows are shown; raise --limit to see more")
	}
}
