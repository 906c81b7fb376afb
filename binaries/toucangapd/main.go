// Command toucangapd is the daemon of a load balancer host.
package main

import (
	"os"

	"toucangap/internal/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args, os.Stdout, os.Stderr))
}
