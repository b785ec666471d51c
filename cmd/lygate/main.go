// Command lygate runs one host of the request router on the users' platform.
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
	"github.com/lycheerudder/lycheerudder/internal/hedge"
	"github.com/lycheerudder/lycheerudder/internal/logging"
	"github.com/lycheerudder/lycheerudder/internal/settings"
	"github.com/lycheerudder/lycheerudder/platform"
)

// options holds the settings that are not part of the platform's settings file.
type options struct {
	Settings    string `env:"LYCHEERUDDER_CONFIG" flag:"settings" help:"path of the platform's settings file"`
	MetricsPort int    `env:"LYGATE_METRICS_PORT" flag:"metrics-port" help:"TCP port of the metrics on the host's address, path /metrics; 0 for none"`
	// HedgeShare is off by default: hedges are extra work for the servers.
	HedgeShare float64 `env:"LYGATE_HEDGE_SHARE" flag:"hedge-share" help:"share of the requests to a service for which a second copy may be sent to another server, 0 to 0.2; 0 for none"`
	LogLevel   string  `env:"LYGATE_LOG_LEVEL" envDefault:"info" flag:"log-level" help:"debug, info, warn or error"`
}

// Validate implements settings.Validator.
func (o *options) Validate() []error {
	var errs []error
	if o.Settings == "" {
		errs = append(errs, errors.New("settings: the path of the settings file is required"))
	}
	if o.MetricsPort < 0 || o.MetricsPort > 65535 {
		errs = append(errs, fmt.Errorf("metrics-port: %d is not a port from 0 to 65535", o.MetricsPort))
	}
	if !(o.HedgeShare >= 0 && o.HedgeShare <= hedge.MaxShare) { // also if it is not a number
		errs = append(errs, fmt.Errorf("hedge-share: %g is not a share from 0 to %g", o.HedgeShare, hedge.MaxShare))
	}
	return errs
}

// logFlushTimeout bounds the wait for buffered log lines before the process exits.
const logFlushTimeout = 100 * time.Millisecond

func main() {
	var o options
	p := settings.Program{Name: "lygate", Description: "Entry host of lycheerudder on the users' platform."}
	settings.Main(p, &o, func(ctx context.Context) error {
		logs := logging.NewAsyncWriter(os.Stdout)
		go logs.Run()
		defer logs.Flush(logFlushTimeout)
		if err := logging.SetupTo(logs, o.LogLevel); err != nil {
			return err
		}
		initial, err := platform.ReadSettings(o.Settings)
		if err != nil {
			return err
		}
		if initial.MemoryBytes > 0 {
			debug.SetMemoryLimit(int64(float64(initial.MemoryBytes) * gateway.GoMemoryShare))
		}
		if o.MetricsPort > 0 {
			initial.MetricsAddress = net.JoinHostPort(initial.IP, strconv.Itoa(o.MetricsPort))
		}
		initial.HedgeShare = o.HedgeShare
		metrics := gateway.NewMetrics()
		metrics.RegisterFunc("log_lines_dropped_total", func() float64 { return float64(logs.Dropped()) })
		store := platform.NewStoreClient(initial.StoreAddress, func(path string) { metrics.Count("store" + path) })
		store.OnCall(metrics.CountStoreCall)
		changed := make(chan gateway.Settings)
		go watchSettings(ctx, o.Settings, changed)
		return gateway.Run(ctx, initial, changed, platform.HTTPNames, store, platform.NewGrantClient(), metrics)
	})
}

// settingsPollInterval is the interval at which the settings file is checked for
// changes, because it may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// watchSettings sends the settings after SIGHUP and after each change of their
// file until the context ends. Invalid settings are logged and not sent.
func watchSettings(ctx context.Context, path string, changed chan<- gateway.Settings) {
	log := logging.For(logging.Router)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := fileVersion(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			last = fileVersion(path)
		case <-ticker.C:
			now := fileVersion(path)
			if now == last {
				continue
			}
			last = now
		}
		next, err := platform.ReadSettings(path)
		if now := fileVersion(path); now != last {
			last = "" // the file is being written; it is read again at the next tick
			continue
		}
		if err != nil {
			log.Error("changed settings file is invalid; keeping the previous settings", err)
			continue
		}
		select {
		case changed <- next:
		case <-ctx.Done():
			return
		}
	}
}

// fileVersion returns the size and modification time of a file, or an empty string
// if it cannot be read.
func fileVersion(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprintf("%d %d", info.Size(), info.ModTime().UnixNano())
}
