// Command lylog is a stand-in for the platform: the log service and the list
// of hosts. It keeps everything in memory and is meant for tests and the demo.
package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/hostlist/hostfake"
	"github.com/lycheerudder/lycheerudder/internal/platformlog/logfake"
	"github.com/lycheerudder/lycheerudder/internal/settings"
)

type options struct {
	Listen string `env:"LYR_LISTEN" envDefault:"127.0.0.1:7400" flag:"listen" help:"Address of the HTTP interface."`
}

// Validate implements settings.Validator.
func (o *options) Validate() []error {
	return settings.NonNilErrors(settings.CheckAddress("listen", o.Listen))
}

func main() {
	var o options
	p := settings.Program{Name: "lylog", Description: "Stand-in for the platform's log service and host list."}
	settings.Main(p, &o, func(ctx context.Context) error {
		mux := http.NewServeMux()
		hosts := hostfake.New().Handler()
		mux.Handle("/", logfake.New().Handler())
		mux.Handle("/hosts", hosts)
		mux.Handle("/hosts/", hosts)
		srv := &http.Server{Addr: o.Listen, Handler: mux, ReadHeaderTimeout: time.Second}
		go func() {
			<-ctx.Done()
			_ = srv.Close()
		}()
		if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}
