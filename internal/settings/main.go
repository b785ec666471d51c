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

// Main parses the settings and runs a program until it ends or the process is
// told to stop. The first SIGINT or SIGTERM ends the context of run; a second
// one ends the process at once. Main does not return.
func Main(p Program, target Validator, run func(ctx context.Context) error) {
	if err := Parse(p, target, os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "%s: invalid settings:\n%v\n", p.Name, err)
		os.Exit(ExitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ctx.Done()
		stop() // restores the default action, so that a second signal ends the process
	}()
	if err := run(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		os.Exit(ExitFailure)
	}
	os.Exit(ExitOK)
}
