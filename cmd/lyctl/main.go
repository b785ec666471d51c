// Command lyctl is the operators' command line.
package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/platformlog"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/settings"
)

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
	settings.Main(p, &o, func(ctx context.Context) error {
		data, err := os.ReadFile(o.File)
		if err != nil {
			return err
		}
		var doc config.Document
		if err := json.Unmarshal(data, &doc); err != nil {
			return err
		}
		e, err := record.New(record.KindConfig, -1, "lyctl", doc)
		if err != nil {
			return err
		}
		encoded, err := e.Encode()
		if err != nil {
			return err
		}
		_, err = platformlog.NewClient(o.Platform).Append(ctx, record.StreamConfig, encoded)
		return err
	})
}
