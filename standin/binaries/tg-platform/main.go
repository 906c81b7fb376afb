// Command tg-platform simulates the platform's key-value service for tests and
// demonstrations on one machine.
package main

import (
	"errors"
	"flag"
	"fmt"
	"log"
	"net/http"
	"net/netip"

	"toucangap/standin/platform"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:2379", "loopback `address` and port to listen on")
	seed := flag.Uint64("seed", 1, "seed of the random faults")
	flag.Parse()
	if err := run(*listen, *seed); err != nil {
		log.Fatal(err)
	}
}

// run serves requests until the server fails.
func run(listen string, seed uint64) error {
	address, err := netip.ParseAddrPort(listen)
	if err != nil {
		return fmt.Errorf("flag -listen: %w", err)
	}
	if !address.Addr().IsLoopback() {
		return errors.New("flag -listen: not a loopback address")
	}
	service := platform.New(seed)
	defer service.Close()
	server := &http.Server{Addr: address.String(), Handler: service}
	log.Printf("listening on %s", address)
	return server.ListenAndServe()
}
