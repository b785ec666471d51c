package capacity

import (
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// segmentBytes is the overhead that is added per segment: Ethernet 14, IPv4 20,
// TCP with timestamps 32. Acknowledgements without data are not counted.
const segmentBytes = 66

// wire counts both directions of all connections of a listener. Each write of
// either side counts as one segment.
type wire struct{ payload, segments atomic.Int64 }

func (w *wire) total() float64 { return float64(w.payload.Load() + segmentBytes*w.segments.Load()) }

func (w *wire) count(n int) {
	if n > 0 {
		w.payload.Add(int64(n))
		w.segments.Add(1)
	}
}

type countedListener struct {
	net.Listener
	w *wire
}

// listen returns a listener on loopback whose connections are counted.
func listen(w *wire) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	return countedListener{l, w}, nil
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.w}, nil
}

type countedConn struct {
	net.Conn
	w *wire
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.w.count(n)
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.w.count(n)
	return n, err
}
