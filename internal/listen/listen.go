// Package listen starts network servers in the background.
package listen

import (
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
)

// Start listens on an address, runs serve in a goroutine and returns the address
// that was bound. An error of serve is sent on errs, unless the server was shut
// down.
func Start(network, address string, serve func(net.Listener) error, errs chan<- error) (string, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	go func() {
		if err := serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			errs <- err
		}
	}()
	return l.Addr().String(), nil
}
