// Command lyrouter is the process of an entry host: it accepts requests of
// callers, forwards them to the host that leads their partition, and grants
// shards to backend servers.
package main

import (
	"context"

	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/router"
	"github.com/lycheerudder/lycheerudder/internal/settings"
)

func main() {
	var s router.Settings
	p := settings.Program{Name: "lyrouter", Description: "Routes requests to the servers that own their keys."}
	settings.Main(p, &s, func(ctx context.Context) error {
		if err := logging.Setup(s.LogLevel, s.LogJSON); err != nil {
			return err
		}
		s.SetMemoryLimit()
		return router.Run(ctx, s)
	})
}
