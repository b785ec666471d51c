// Command lyserver is a stand-in for a backend server. It keeps grants as the
// server contract says and answers each request after a fixed time.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/serverapi/serverfake"
	"github.com/lycheerudder/lycheerudder/internal/settings"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

type options struct {
	ID           string        `env:"LYR_SERVER" flag:"id" help:"Name of this server."`
	Listen       string        `env:"LYR_LISTEN" envDefault:"127.0.0.1:7500" flag:"listen" help:"Address of the HTTP interface."`
	Slots        int           `env:"LYR_SLOTS" envDefault:"2" flag:"slots" help:"Requests that run at the same time."`
	Work         time.Duration `env:"LYR_WORK" envDefault:"2ms" flag:"work" help:"Time that a request takes."`
	RunLog       string        `env:"LYR_RUN_LOG" flag:"run-log" help:"File to which the id of each request that runs is appended."`
	IgnoreFences bool          `env:"LYR_IGNORE_FENCES" flag:"ignore-fences" help:"Run any request without a check of its grant."`
}

// Validate implements settings.Validator.
func (o *options) Validate() []error {
	return settings.NonNilErrors(settings.CheckNotEmpty("id", o.ID), settings.CheckAddress("listen", o.Listen))
}

func main() {
	var o options
	p := settings.Program{Name: "lyserver", Description: "Stand-in for a backend server."}
	settings.Main(p, &o, func(ctx context.Context) error {
		runLog, err := openRunLog(o.RunLog)
		if err != nil {
			return err
		}
		server := serverfake.New(serverfake.Options{
			ID: topology.ServerID(o.ID), Incarnation: topology.Incarnation(time.Now().UnixNano()),
			ChecksFences: !o.IgnoreFences, Slots: o.Slots, Clock: clock.BootTime{},
			CountRuns: runLog != nil, RunLog: runLog,
		})
		srv := &http.Server{Addr: o.Listen, Handler: server.Handler(app(o)), ReadHeaderTimeout: time.Second}
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

// openRunLog returns nil without a name. Writes to the file are not buffered,
// so that they outlive a kill.
func openRunLog(name string) (io.Writer, error) {
	if name == "" {
		return nil, nil
	}
	return os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
}

func app(o options) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(o.Work)
		_, _ = fmt.Fprintf(w, "server %s answered %s %s for key %s\n", o.ID, r.Method, r.URL.Path, r.Header.Get(serverapi.HeaderKey))
	})
}
