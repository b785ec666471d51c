package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/httpresponse"
)

// requestWrite is the write of a request, which may go on while the response is read.
type requestWrite struct {
	conn *conn
	// halfClosed is true once the server has closed its side of the connection.
	halfClosed atomic.Bool
	done       chan struct{} // closed when the write has ended
	n          int64         // bytes that the connection accepted; valid after done
	err        error         // valid after done
}

// run writes the request. If the server has closed its side of the connection, it goes on
// as long as the server reads.
func (w *requestWrite) run(ctx context.Context, request net.Buffers) {
	defer close(w.done)
	for {
		n, err := request.WriteTo(w.conn.Conn)
		w.n, w.err = w.n+n, err
		if n == 0 || !w.halfClosed.Load() || ctx.Err() != nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		w.limit(ctx)
	}
}

// limit lets the write fail after httpresponse.HalfClosedTimeout, or once the context has ended.
func (w *requestWrite) limit(ctx context.Context) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(httpresponse.HalfClosedTimeout))
	if ctx.Err() != nil { // the deadline that its end has set may be the one replaced
		interrupt(w.conn)
	}
}

// await waits for the end of the write once the server has closed its side of the
// connection, and returns the error of the write.
func (w *requestWrite) await(ctx context.Context) error {
	w.halfClosed.Store(true)
	w.limit(ctx)
	<-w.done
	return w.err
}

// ended reports whether the write has ended.
func (w *requestWrite) ended() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}
