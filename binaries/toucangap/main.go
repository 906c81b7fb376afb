// Command toucangap is the operators' command-line client of the load balancer.
package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"syscall"
	"time"

	"toucangap/internal/command"
	"toucangap/internal/command/root"
	"toucangap/internal/command/store"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := root.Run(ctx, newEnv(), os.Args)
	stop()
	os.Exit(code)
}

// newEnv returns the dependencies of the subcommands.
func newEnv() *command.Env {
	return &command.Env{
		Out:          os.Stdout,
		Err:          os.Stderr,
		OpenStore:    store.Open,
		Now:          time.Now,
		NewOperation: rand.Text,
	}
}
