package caller

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/ansel1/merry/v2"

	"toucangap/standin/endpoint"
)

// serveDump serves the results so far over HTTP until the context is
// canceled.
func (r *recorder) serveDump(ctx context.Context, o Options, services []string) error {
	listener, err := net.Listen("tcp", o.Dump.String())
	if err != nil {
		return merry.Prepend(err, "listen for the callers' dump")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+endpoint.PathDump, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.snapshot(o, services))
	})
	server := &http.Server{Handler: mux}
	context.AfterFunc(ctx, func() { server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}
