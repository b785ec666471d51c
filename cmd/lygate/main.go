// Command lygate is the process of an entry host on the users' platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/gateway"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/settings"
	"github.com/lycheerudder/lycheerudder/platform"
)

// options are the settings of the product's own; those of the platform come in
// its settings file.
type options struct {
	Settings    string `env:"LYCHEERUDDER_CONFIG" flag:"settings" help:"path of the platform's settings file"`
	MetricsPort int    `env:"LYGATE_METRICS_PORT" flag:"metrics-port" help:"TCP port of the metrics on the host's address, path /metrics; 0 for none"`
	LogLevel    string `env:"LYGATE_LOG_LEVEL" envDefault:"info" flag:"log-level" help:"debug, info, warn or error"`
}

// Validate implements settings.Validator.
func (o *options) Validate() []error {
	var errs []error
	if o.Settings == "" {
		errs = append(errs, errors.New("settings: the path of the settings file is missing"))
	}
	if o.MetricsPort < 0 || o.MetricsPort > 65535 {
		errs = append(errs, fmt.Errorf("metrics-port: %d is not a port", o.MetricsPort))
	}
	return errs
}

// flushTime is the time for which the end of the process waits for its logs.
const flushTime = 100 * time.Millisecond

// memoryShare is the part of the memory limit that the runtime aims at.
const memoryShare = 0.7

func main() {
	var o options
	p := settings.Program{Name: "lygate", Description: "Entry host of lycheerudder on the users' platform."}
	settings.Main(p, &o, func(ctx context.Context) error {
		out := logging.NewAsyncWriter(os.Stdout)
		go out.Run()
		defer out.Flush(flushTime)
		if err := logging.SetupTo(out, o.LogLevel); err != nil {
			return err
		}
		set, err := platform.ReadSettings(o.Settings)
		if err != nil {
			return err
		}
		if set.MemoryBytes > 0 {
			debug.SetMemoryLimit(int64(float64(set.MemoryBytes) * memoryShare))
		}
		if o.MetricsPort > 0 {
			set.MetricsAddress = net.JoinHostPort(set.IP, strconv.Itoa(o.MetricsPort))
		}
		st := gateway.NewMetrics()
		st.RegisterFunc("log_lines_dropped_total", func() float64 { return float64(out.Dropped()) })
		store := platform.NewStoreClient(set.StoreAddress, func(path string) { st.Count("store" + path) })
		changed := make(chan gateway.Settings)
		go watchSettings(ctx, o.Settings, changed)
		return gateway.Run(ctx, set, changed, platform.Names, store, platform.NewGrantClient(), st)
	})
}

// settingsCheck is the interval at which the settings file is looked at: it may
// change without a signal.
const settingsCheck = 2 * time.Second

// watchSettings passes on the settings after SIGHUP and after a change of their
// file, until the context ends. A file that cannot be used is logged.
func watchSettings(ctx context.Context, path string, changed chan<- gateway.Settings) {
	log := logging.For(logging.Router)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	tick := time.NewTicker(settingsCheck)
	defer tick.Stop()
	last := fileState(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			last = fileState(path)
		case <-tick.C:
			now := fileState(path)
			if now == last {
				continue
			}
			last = now
		}
		set, err := platform.ReadSettings(path)
		if now := fileState(path); now != last {
			last = "" // it is being written; the next look reads it again
			continue
		}
		if err != nil {
			log.Error("the changed settings are not valid and are not used", err)
			continue
		}
		select {
		case changed <- set:
		case <-ctx.Done():
			return
		}
	}
}

// fileState tells versions of a file apart; it is empty if there is no file.
func fileState(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprintf("%d %d", info.Size(), info.ModTime().UnixNano())
}
