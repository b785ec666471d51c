// Command lyctl is the operators' command line. Operators act only by
// publishing configuration; everything else is a query.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/hostlist"
	"github.com/lycheerudder/lycheerudder/internal/operator"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/settings"
	"github.com/lycheerudder/lycheerudder/internal/state"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Common holds the settings of all commands. It is exported so that package env
// can fill it where it is embedded.
type Common struct {
	Platform string `env:"LYR_PLATFORM" envDefault:"http://127.0.0.1:7400" flag:"platform" help:"URL of the platform's log service and host list."`
	Operator string `env:"LYR_OPERATOR" envDefault:"lyctl" flag:"operator" help:"Name that published records carry."`
	JSON     bool   `env:"LYR_JSON" flag:"json" help:"Print JSON."`
}

// Validate implements settings.Validator.
func (c *Common) Validate() []error {
	return settings.NonNilErrors(settings.CheckNotEmpty("platform", c.Platform), settings.CheckNotEmpty("operator", c.Operator))
}

func (c *Common) operator() *operator.Operator {
	return operator.New(platformlog.NewClient(c.Platform), c.Operator)
}

func (c *Common) fleet() *operator.Fleet {
	return operator.NewFleet(hostlist.NewClient(c.Platform))
}

type fileOptions struct {
	Common
	File string        `env:"LYR_CONFIG" flag:"file" help:"Configuration file."`
	Base int           `env:"LYR_BASE" envDefault:"-1" flag:"base" help:"Revision that the file is based on; -1 for the accepted one."`
	Wait time.Duration `env:"LYR_WAIT" flag:"wait" help:"Time to wait until the change is in force on all entry hosts."`
}

// Validate implements settings.Validator.
func (o *fileOptions) Validate() []error {
	return append(o.Common.Validate(), settings.NonNilErrors(settings.CheckNotEmpty("file", o.File))...)
}

// load reads and validates the file.
func (o *fileOptions) load() (*config.Document, error) {
	data, err := os.ReadFile(o.File)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", settings.ErrUsage, err)
	}
	doc, err := config.Parse(data)
	if err == nil {
		err = doc.Validate()
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %s:\n%w", settings.ErrUsage, o.File, err)
	}
	return doc, nil
}

type keyOptions struct {
	Common
	Service  string `env:"LYR_SERVICE" flag:"service" help:"Service of the key."`
	Customer string `env:"LYR_CUSTOMER" flag:"customer" help:"Customer of the key."`
	Key      string `env:"LYR_KEY" flag:"key" help:"The key."`
}

// Validate implements settings.Validator.
func (o *keyOptions) Validate() []error {
	return append(o.Common.Validate(), settings.NonNilErrors(
		settings.CheckNotEmpty("service", o.Service), settings.CheckNotEmpty("customer", o.Customer), settings.CheckNotEmpty("key", o.Key))...)
}

type stoppedOptions struct {
	Common
	Hosts  string `env:"LYR_HOSTS" flag:"hosts" help:"Incarnations that run no longer: host=incarnation, separated by commas."`
	Reason string `env:"LYR_REASON" flag:"reason" help:"Written reason, kept in the log."`
}

// Validate implements settings.Validator.
func (o *stoppedOptions) Validate() []error {
	_, err := o.statement()
	return append(o.Common.Validate(), settings.NonNilErrors(err)...)
}

func (o *stoppedOptions) statement() (record.HostsStopped, error) {
	h := record.HostsStopped{Reason: o.Reason}
	for pair := range strings.SplitSeq(o.Hosts, ",") {
		host, inc, _ := strings.Cut(pair, "=")
		n, err := strconv.ParseUint(inc, 10, 64)
		if err != nil {
			return h, fmt.Errorf("--hosts: %q is not host=incarnation", pair)
		}
		h.Members = append(h.Members, topology.Member{Host: topology.HostID(host), Incarnation: topology.Incarnation(n)})
	}
	return h, h.Check()
}

func main() {
	var validate, diff, publish fileOptions
	var exceptions, status, members Common
	var explain keyOptions
	var stopped stoppedOptions
	var gates GateOptions
	var gateKey gateKeyOptions
	commands := append(gateCommands(&gates, &gateKey),
		settings.Command{Name: "validate", Description: "Checks a configuration file.", Settings: &validate, Run: func(context.Context) error {
			_, err := validate.load()
			return err
		}},
		settings.Command{Name: "diff", Description: "Shows what a configuration file would change.", Settings: &diff,
			Run: func(ctx context.Context) error { return runDiff(ctx, diff) }},
		settings.Command{Name: "publish", Description: "Publishes a configuration file.", Settings: &publish,
			Run: func(ctx context.Context) error { return runPublish(ctx, publish) }},
		settings.Command{Name: "exceptions", Description: "Lists the exceptions with their reasons.", Settings: &exceptions,
			Run: func(ctx context.Context) error { return runExceptions(ctx, exceptions) }},
		settings.Command{Name: "explain", Description: "Shows who owns a key, since when and why.", Settings: &explain,
			Run: func(ctx context.Context) error { return runExplain(ctx, explain) }},
		settings.Command{Name: "status", Description: "Shows hosts, servers, leases, drains and quarantined requests.", Settings: &status,
			Run: func(ctx context.Context) error { return runStatus(ctx, status) }},
		settings.Command{Name: "members", Description: "Lists the members of each cell as the log has them.", Settings: &members,
			Run: func(ctx context.Context) error { return runMembers(ctx, members) }},
		settings.Command{Name: "hosts-stopped", Description: "States that host incarnations run no longer.", Settings: &stopped,
			Run: func(ctx context.Context) error { return runStopped(ctx, stopped) }},
	)
	settings.MainCommands(settings.Program{Name: "lyctl", Description: "Publishes configuration and shows the state of the fleet."}, commands...)
}

func runDiff(ctx context.Context, o fileOptions) error {
	next, err := o.load()
	if err != nil {
		return err
	}
	prev, _, err := o.operator().Config(ctx)
	if err != nil {
		return err
	}
	change := config.Diff(prev, next)
	if o.JSON {
		return printJSON(change)
	}
	for _, line := range change.Describe(prev) {
		fmt.Println(line)
	}
	return nil
}

func runPublish(ctx context.Context, o fileOptions) error {
	next, err := o.load()
	if err != nil {
		return err
	}
	rev, err := o.operator().Publish(ctx, next, int64(o.Base))
	var conflict *state.Conflict
	switch {
	case errors.As(err, &conflict):
		return fmt.Errorf("another operator was first: %w", err)
	case err != nil:
		return err
	}
	fmt.Printf("accepted as revision %d\n", rev.Offset)
	if o.Wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, o.Wait)
	defer cancel()
	start := time.Now()
	lagging, err := o.fleet().WaitInForce(ctx, rev.Offset)
	if err != nil {
		return err
	}
	if len(lagging) > 0 {
		printLagging(lagging)
		return fmt.Errorf("not in force on %d hosts after %s", len(lagging), o.Wait)
	}
	fmt.Printf("in force on all entry hosts after %s\n", time.Since(start).Round(time.Millisecond))
	return nil
}

func runExceptions(ctx context.Context, o Common) error {
	doc, _, err := o.operator().Config(ctx)
	if err != nil || doc == nil {
		return err
	}
	if o.JSON {
		return printJSON(doc.Exceptions)
	}
	return printExceptions(doc.Exceptions)
}

func runExplain(ctx context.Context, o keyOptions) error {
	e, err := o.fleet().Explain(ctx, topology.Service(o.Service), topology.Customer(o.Customer), o.Key)
	if err != nil {
		return err
	}
	if o.JSON {
		return printJSON(e)
	}
	return printExplanation(e)
}

func runStatus(ctx context.Context, o Common) error {
	hosts, err := o.fleet().Status(ctx)
	if err != nil {
		return err
	}
	if o.JSON {
		return printJSON(hosts)
	}
	return printStatus(hosts)
}

func runMembers(ctx context.Context, o Common) error {
	fold, err := o.operator().Members(ctx)
	if err != nil {
		return err
	}
	if o.JSON {
		return printJSON(fold.Lists())
	}
	return printMembers(fold.Lists())
}

func runStopped(ctx context.Context, o stoppedOptions) error {
	h, err := o.statement()
	if err != nil {
		return fmt.Errorf("%w: %w", settings.ErrUsage, err)
	}
	alive, err := o.fleet().AliveMembers(ctx, h)
	if err != nil {
		return err
	}
	if len(alive) > 0 {
		return fmt.Errorf("refused: %d of the named incarnations still answer, first %s", len(alive), alive[0].Host)
	}
	return o.operator().DeclareStopped(ctx, h)
}
