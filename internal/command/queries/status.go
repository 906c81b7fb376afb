package queries

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"

	"github.com/urfave/cli/v3"

	"toucangap/internal/adminapi"
	"toucangap/internal/command"
	"toucangap/internal/config"
)

// Status returns the subcommand that shows hosts and their bundle versions.
func Status(env *command.Env) *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show hosts, their state and bundle version, and which do not have the newest",
		UsageText: `toucangap --host 192.0.2.11:7006 --host 192.0.2.12:7006 status
toucangap --host 192.0.2.11:7006 --output json status`,
		ArgValidator: command.Arguments(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runStatus(ctx, cmd, env)
		},
	}
}

func runStatus(ctx context.Context, cmd *cli.Command, env *command.Env) error {
	client, err := command.NewClient(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := command.WithTimeout(ctx, cmd)
	defer cancel()
	responses, failed := command.CallHosts(ctx, client, func(ctx context.Context, host netip.AddrPort, result *adminapi.Status) error {
		return client.Get(ctx, host, adminapi.PathStatus, nil, result)
	})
	overview := newOverview(responses)
	err = env.Print(cmd, overview, overview.print)
	if err != nil {
		return err
	}
	return failed
}

// overview combines the responses of several hosts.
type overview struct {
	// Newest is the highest bundle version of all hosts.
	Newest uint64 `json:"newest_bundle_version"`
	// Outdated lists the hosts that do not have the newest version.
	Outdated  []string                                `json:"lacking"`
	Responses []command.HostResponse[adminapi.Status] `json:"hosts"`
	// hosts holds all known hosts by name.
	hosts map[string]adminapi.HostStatus
}

func newOverview(responses []command.HostResponse[adminapi.Status]) *overview {
	o := &overview{Responses: responses, Outdated: []string{}, hosts: mergeHosts(responses)}
	for _, host := range o.hosts {
		o.Newest = max(o.Newest, host.Version)
	}
	for _, name := range slices.Sorted(maps.Keys(o.hosts)) {
		if host := o.hosts[name]; host.Version < o.Newest && isMember(host) {
			o.Outdated = append(o.Outdated, name)
		}
	}
	return o
}

// mergeHosts returns all hosts by name. A host's own status takes precedence over
// what others report of it. Of their reports, the one with the newest version is
// used.
func mergeHosts(responses []command.HostResponse[adminapi.Status]) map[string]adminapi.HostStatus {
	hosts := make(map[string]adminapi.HostStatus)
	for _, r := range responses {
		if r.Result == nil {
			continue
		}
		for _, host := range r.Result.Hosts {
			known, ok := hosts[host.Name]
			if !ok || host.Version > known.Version {
				hosts[host.Name] = host
			}
		}
	}
	for _, r := range responses {
		if s := r.Result; s != nil {
			hosts[s.Host] = adminapi.HostStatus{Name: s.Host, Domain: s.Domain, State: s.State, Version: s.Version, Connected: true}
		}
	}
	return hosts
}

// isMember reports whether the host has neither left nor been confirmed dead.
func isMember(host adminapi.HostStatus) bool {
	return host.State != config.HostLeft.String() && host.State != config.HostDead.String()
}

func (o *overview) print(w io.Writer) {
	rows := []string{"ADDRESS\tHOST\tDOMAIN\tGROUP\tSTATE\tBUNDLE\tDIGEST\tPLATFORM"}
	for _, r := range o.Responses {
		if s := r.Result; s != nil {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d\t%.12s\t%s",
				r.Address, s.Host, s.Domain, s.Group, s.State, s.Version, s.Digest, s.Platform))
		} else {
			rows = append(rows, fmt.Sprintf("%s\tfailed: %s", r.Address, r.Error))
		}
	}
	command.Table(w, rows...)
	o.printOthers(w)
	_, _ = fmt.Fprintf(w, "newest bundle version: %d\n", o.Newest)
	for _, name := range o.Outdated {
		_, _ = fmt.Fprintf(w, "outdated: %s has version %d\n", name, o.hosts[name].Version)
	}
}

// printOthers lists the hosts that did not respond, as others report them.
func (o *overview) printOthers(w io.Writer) {
	responded := make(map[string]bool)
	for _, a := range o.Responses {
		if a.Result != nil {
			responded[a.Result.Host] = true
		}
	}
	others := slices.SortedFunc(maps.Values(o.hosts), func(a, b adminapi.HostStatus) int { return cmp.Compare(a.Name, b.Name) })
	rows := []string{"SEEN BY OTHERS\tDOMAIN\tSTATE\tBUNDLE"}
	for _, host := range others {
		if !responded[host.Name] {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d", host.Name, host.Domain, host.State, host.Version))
		}
	}
	if len(rows) > 1 {
		command.Table(w, rows...)
	}
}
