package endpoint

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"

	"github.com/ansel1/merry/v2"

	"toucangap/standin/rotation"
	"toucangap/standin/topology"
)

// The HTTP paths of the control interface: GET PathDump returns a list of Dump,
// and POST PathCommand executes a Command.
const (
	PathDump    = "/standin/dump"
	PathCommand = "/standin/command"
)

// ErrNoEndpoint is returned for a command that matches no endpoint.
var ErrNoEndpoint = merry.Sentinel("no such endpoint")

// maxCommandSize limits the request body of a command in bytes.
const maxCommandSize = 4096

// Group runs all endpoints of a topology in one process.
type Group struct {
	endpoints []*Endpoint
	hosts     *rotation.Rotation
}

// NewGroup opens the sockets of all endpoints of a topology.
func NewGroup(t *topology.Topology, config Config) (*Group, error) {
	members := make([]rotation.Member, 0, len(t.Hosts))
	for _, h := range t.Hosts {
		members = append(members, rotation.Member{Traffic: h.Endpoints, Admin: h.Admin})
	}
	g := &Group{hosts: rotation.New(members)}
	for _, s := range t.Services {
		for _, described := range s.Endpoints {
			id := Identity{
				Name: described.Name, Service: s.Name, Domain: described.Domain,
				Advertised: s.Address, Protocol: s.Protocol,
			}
			e, err := Listen(id, described.Address, config, g.hosts)
			if err != nil {
				g.close()
				return nil, err
			}
			g.endpoints = append(g.endpoints, e)
		}
	}
	return g, nil
}

func (g *Group) close() {
	for _, e := range g.endpoints {
		e.socket.Close()
	}
}

// Serve runs all endpoints and the HTTP control interface until the context is
// canceled. It returns an error if the control interface fails before.
func (g *Group) Serve(ctx context.Context, control net.Listener) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { g.ServeTraffic(ctx) })
	server := &http.Server{Handler: g.Handler()}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(control); err != nil && ctx.Err() == nil {
		return merry.Prepend(err, "serve control interface")
	}
	return nil
}

// ServeTraffic runs all endpoints until the context is canceled.
func (g *Group) ServeTraffic(ctx context.Context) {
	g.hosts.Watch(ctx)
	var wait sync.WaitGroup
	for _, e := range g.endpoints {
		wait.Go(func() { e.Serve(ctx) })
	}
	wait.Wait()
}

// Addresses returns the listen addresses of the endpoints in topology order.
func (g *Group) Addresses() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(g.endpoints))
	for _, e := range g.endpoints {
		out = append(out, e.Address())
	}
	return out
}

// Handler returns the handler of the control interface.
func (g *Group) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathDump, g.serveDump)
	mux.HandleFunc("POST "+PathCommand, g.serveCommand)
	return mux
}

// Dump returns the state of all endpoints with at most limit runs each.
func (g *Group) Dump(limit int) []Dump {
	out := make([]Dump, 0, len(g.endpoints))
	for _, e := range g.endpoints {
		out = append(out, e.Dump(limit))
	}
	return out
}

// Apply executes a command at all endpoints that it matches. It fails with
// ErrNoEndpoint or ErrUnknownCommand.
func (g *Group) Apply(command Command) error {
	found := false
	for _, e := range g.endpoints {
		if e.Service != command.Service {
			continue
		}
		if command.Endpoint != "" && command.Endpoint != e.Name {
			continue
		}
		found = true
		if err := e.Apply(command); err != nil {
			return err
		}
	}
	if !found {
		return merry.Appendf(ErrNoEndpoint, "%s/%s", command.Service, command.Endpoint)
	}
	return nil
}

// defaultDumpLimit is the default number of runs per endpoint in a dump.
const defaultDumpLimit = 100

// serveDump returns the state of all endpoints; the query parameter "runs"
// limits the runs per endpoint.
func (g *Group) serveDump(w http.ResponseWriter, r *http.Request) {
	limit := defaultDumpLimit
	if asked, err := strconv.Atoi(r.URL.Query().Get("runs")); err == nil {
		limit = min(max(asked, 0), maxRuns)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(g.Dump(limit))
}

func (g *Group) serveCommand(w http.ResponseWriter, r *http.Request) {
	var command Command
	body := http.MaxBytesReader(w, r.Body, maxCommandSize)
	if err := json.NewDecoder(body).Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := g.Apply(command); err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
