// Package settings reads the settings of a program from its environment and
// flags. Flags override environment variables, which override defaults.
package settings

import (
	"errors"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/caarlos0/env/v11"
	"github.com/integrii/flaggy"
)

// Version is the version of all programs of this module.
const Version = "0.1.0"

// Program describes a program to Parse.
type Program struct {
	Name        string
	Description string
}

// Validator is implemented by settings.
type Validator interface {
	// Validate returns one error for each invalid setting.
	Validate() []error
}

// Parse fills target, a pointer to a struct, from the environment and from args.
// The struct's fields have the tags env, envDefault, flag and help. If settings
// are invalid, the returned error joins all errors of Validate. Parse exits the
// process for --help and --version.
func Parse(p Program, target Validator, args []string) error {
	if err := env.Parse(target); err != nil {
		return err
	}
	parser := newParser(p)
	addFlags(&parser.Subcommand, reflect.ValueOf(target).Elem())
	if err := parser.ParseArgs(args); err != nil {
		return err
	}
	return errors.Join(target.Validate()...)
}

func newParser(p Program) *flaggy.Parser {
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.Version = Version
	return parser
}

// addFlags adds the flags of a struct and of its embedded structs.
func addFlags(parser *flaggy.Subcommand, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Anonymous {
			addFlags(parser, v.Field(i))
			continue
		}
		name := field.Tag.Get("flag")
		if name == "" {
			continue
		}
		help := fmt.Sprintf("%s (environment: %s)", field.Tag.Get("help"), strings.Split(field.Tag.Get("env"), ",")[0])
		switch ptr := v.Field(i).Addr().Interface().(type) {
		case *string:
			parser.String(ptr, "", name, help)
		case *int:
			parser.Int(ptr, "", name, help)
		case *bool:
			parser.Bool(ptr, "", name, help)
		case *float64:
			parser.Float64(ptr, "", name, help)
		case *time.Duration:
			parser.Duration(ptr, "", name, help)
		default:
			panic("settings: unsupported type of field " + field.Name)
		}
	}
}

// CheckAddress returns an error unless value is an IP address and a port.
func CheckAddress(flag, value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return fmt.Errorf("--%s must be an IP address and a port, not %q", flag, value)
	}
	return nil
}

// CheckNotEmpty returns an error if value is empty.
func CheckNotEmpty(flag, value string) error {
	if value == "" {
		return fmt.Errorf("--%s is required", flag)
	}
	return nil
}

// NonNilErrors returns the errors that are not nil.
func NonNilErrors(errs ...error) []error {
	return slices.DeleteFunc(errs, func(err error) bool { return err == nil })
}
