// Command lygate is the process of an entry host on the users' platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/lycheerudder/lycheerudder/internal/gateway"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/settings"
	"github.com/lycheerudder/lycheerudder/platform"
)

// options are the settings of the product's own; those of the platform come in
// its settings file.
type options struct {
	Settings string `env:"LYCHEERUDDER_CONFIG" flag:"settings" help:"path of the platform's settings file"`
	LogLevel string `env:"LYGATE_LOG_LEVEL" envDefault:"info" flag:"log-level" help:"debug, info, warn or error"`
}

// Validate implements settings.Validator.
func (o *options) Validate() []error { return nil }

// memoryShare is the part of the memory limit that the runtime aims at.
const memoryShare = 0.7

func main() {
	var o options
	p := settings.Program{Name: "lygate", Description: "Entry host of lycheerudder on the users' platform."}
	settings.Main(p, &o, func(ctx context.Context) error {
		if err := logging.SetupTo(os.Stdout, o.LogLevel); err != nil {
			return err
		}
		set, err := platform.ReadSettings(o.Settings)
		if err != nil {
			return err
		}
		if set.MemoryBytes > 0 {
			debug.SetMemoryLimit(int64(float64(set.MemoryBytes) * memoryShare))
		}
		st := gateway.NewStats()
		store := platform.NewStore(set.StoreAddress, func(path string) { st.Count("store" + path) })
		reload := make(chan os.Signal, 1)
		signal.Notify(reload, syscall.SIGHUP)
		go func() {
			for range reload {
				reloadSettings(o.Settings)
			}
		}()
		return gateway.Run(ctx, set, platform.Names, store, platform.NewGrants(), st)
	})
}

// reloadSettings checks the settings file again. The addresses, the limits and
// the bounds of a process hold from its start on; a change of them takes effect
// with the next start.
func reloadSettings(path string) {
	log := logging.For(logging.Router)
	if _, err := platform.ReadSettings(path); err != nil {
		log.Error("the changed settings are not valid and are not used", err)
		return
	}
	log.Info("settings were read again")
}
