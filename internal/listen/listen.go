// Package listen starts the servers of a process.
package listen

import (
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
)

// Start listens on an address, returns the one that was bound, and reports the
// end of run, unless it ended by a shutdown.
func Start(network, address string, run func(net.Listener) error, failed chan<- error) (string, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	go func() {
		if err := run(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return l.Addr().String(), nil
}
