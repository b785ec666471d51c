package settings

import (
	"context"
	"errors"
	"fmt"
	"os"
	"reflect"

	"github.com/caarlos0/env/v11"
	"github.com/integrii/flaggy"
)

// Command is one subcommand of a program.
type Command struct {
	Name        string
	Description string
	// Settings receives the settings of the command.
	Settings Validator
	Run      func(ctx context.Context) error
}

// ErrUsage marks an error that is caused by invalid input. The program exits with
// ExitUsage.
var ErrUsage = errors.New("invalid input")

// MainCommands parses the settings and runs the subcommand that the arguments
// name, until it ends or the process gets SIGINT or SIGTERM. It does not return.
func MainCommands(p Program, commands ...Command) {
	cmd, err := parseCommand(p, commands, os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: invalid settings:\n%v\n", p.Name, err)
		os.Exit(ExitUsage)
	}
	if err := runUntilSignal(cmd.Run); err != nil {
		fmt.Fprintf(os.Stderr, "%s %s: %v\n", p.Name, cmd.Name, err)
		if errors.Is(err, ErrUsage) {
			os.Exit(ExitUsage)
		}
		os.Exit(ExitFailure)
	}
	os.Exit(ExitOK)
}

func parseCommand(p Program, commands []Command, args []string) (Command, error) {
	parser := newParser(p)
	subs := make([]*flaggy.Subcommand, len(commands))
	for i, c := range commands {
		if err := env.Parse(c.Settings); err != nil {
			return Command{}, err
		}
		subs[i] = flaggy.NewSubcommand(c.Name)
		subs[i].Description = c.Description
		addFlags(subs[i], reflect.ValueOf(c.Settings).Elem())
		parser.AttachSubcommand(subs[i], 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return Command{}, err
	}
	for i, sub := range subs {
		if sub.Used {
			return commands[i], errors.Join(commands[i].Settings.Validate()...)
		}
	}
	return Command{}, errors.New("a command is required; see --help")
}
