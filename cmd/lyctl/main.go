// Command lyctl is the operators' command line.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/publish"
	"github.com/lycheerudder/lycheerudder/internal/settings"
)

// timeout bounds the whole command. A record whose outcome is not known by
// then may still take effect.
const timeout = 30 * time.Second

type options struct {
	Platform string `env:"LYR_PLATFORM" envDefault:"http://127.0.0.1:7400" flag:"platform" help:"URL of the platform's log service."`
	File     string `env:"LYR_CONFIG" flag:"file" help:"Configuration file to publish."`
}

// Validate implements settings.Validator.
func (o *options) Validate() []error {
	return settings.Problems(settings.CheckNotEmpty("file", o.File))
}

func main() {
	var o options
	p := settings.Program{Name: "lyctl", Description: "Publishes configuration."}
	settings.Main(p, &o, func(ctx context.Context) error { return publishFile(ctx, o) })
}

func publishFile(ctx context.Context, o options) error {
	data, err := os.ReadFile(o.File)
	if err != nil {
		return err
	}
	doc, err := config.Parse(data)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	op := publish.NewOperator(platformlog.NewClient(o.Platform), publish.DefaultWriter())
	go op.Run(ctx)
	plan, err := op.Plan(ctx, doc)
	if err != nil {
		return err
	}
	for _, line := range plan.Lines {
		fmt.Println(line)
	}
	if len(plan.Lines) == 0 {
		fmt.Println("nothing to change")
		return nil
	}
	revision, err := op.Publish(ctx, plan, timeout)
	if err != nil {
		return err
	}
	fmt.Println("published as revision", revision)
	return nil
}
