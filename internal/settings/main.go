package settings

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of all programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Main parses the settings and runs a program until it ends or the process gets
// SIGINT or SIGTERM. Main does not return.
func Main(p Program, target Validator, run func(ctx context.Context) error) {
	if err := Parse(p, target, os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "%s: invalid settings:\n%v\n", p.Name, err)
		os.Exit(ExitUsage)
	}
	if err := runUntilSignal(run); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		os.Exit(ExitFailure)
	}
	os.Exit(ExitOK)
}

// runUntilSignal runs a function with a context that ends at the first SIGINT or
// SIGTERM. A second signal ends the process at once.
func runUntilSignal(run func(ctx context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go func() {
		<-ctx.Done()
		stop() // restores the default action of the signals
	}()
	return run(ctx)
}
