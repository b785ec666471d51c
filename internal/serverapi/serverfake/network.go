package serverfake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Instance is a Server that accepts in-memory connections. It has no sockets, so
// it can run in the virtual time of testing/synctest.
type Instance struct {
	*Server
	http     *http.Server
	listener *pipeListener

	mu    sync.Mutex
	fault Fault
}

// Start starts an Instance, which passes admitted requests to app.
func Start(opts Options, app http.Handler) *Instance {
	i := &Instance{Server: New(opts), listener: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}}
	i.http = &http.Server{Handler: i.Handler(app), ReadHeaderTimeout: time.Minute}
	go func() { _ = i.http.Serve(i.listener) }()
	return i
}

// ID returns the id of the server.
func (i *Instance) ID() topology.ServerID { return i.opts.ID }

// Kill simulates a crash of the server: it closes all connections and refuses new
// ones.
func (i *Instance) Kill() { _ = i.http.Close() }

// GrantShard grants the shard to the server for ten hours.
func (i *Instance) GrantShard(ref topology.ShardRef, fence topology.Fence) {
	_, _ = i.UpdateLease(context.Background(), serverapi.LeaseRequest{
		Epoch: fence.Epoch(), Incarnation: i.opts.Incarnation, Tick: i.opts.Clock.Now(), Duration: 10 * time.Hour,
		Grant: []serverapi.GrantOrder{{Ref: ref, Fence: fence}},
	})
}

// FailNext applies a fault to the next connection that is dialled.
func (i *Instance) FailNext(f Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault = f
}

// Dial connects to the server.
func (i *Instance) Dial(ctx context.Context) (net.Conn, error) {
	i.mu.Lock()
	fault := i.fault
	i.fault = nil
	i.mu.Unlock()
	conn, serverConn := net.Pipe()
	if fault != nil {
		var err error
		if conn, err = fault(conn); err != nil {
			return nil, err
		}
	}
	select {
	case i.listener.conns <- serverConn:
		return conn, nil
	case <-i.listener.closed:
		return nil, unix.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener accepts the server ends of connections that were created by
// net.Pipe.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Fault wraps a connection of the router, or refuses it with an error.
type Fault func(net.Conn) (net.Conn, error)

// Refuse is the fault of a server that accepts no connection.
func Refuse(net.Conn) (net.Conn, error) { return nil, unix.ECONNREFUSED }

// Cut closes the connection after the router has written or read a number of
// bytes; -1 means no limit. If reads is 0, it closes the connection when the
// first byte of the response has arrived, so that the request has taken effect.
func Cut(writes, reads int) Fault {
	return func(c net.Conn) (net.Conn, error) { return &faultyConn{Conn: c, writes: writes, reads: reads}, nil }
}

// Delay delays each read by the router.
func Delay(d time.Duration) Fault {
	return func(c net.Conn) (net.Conn, error) { return &faultyConn{Conn: c, writes: -1, reads: -1, delay: d}, nil }
}

// faultyConn is the router's end of a connection with a fault. writes and reads
// are the bytes left until the connection is closed, or -1 for no limit.
type faultyConn struct {
	net.Conn
	writes, reads int
	delay         time.Duration
}

// Write implements net.Conn.
func (c *faultyConn) Write(p []byte) (int, error) {
	if c.writes < 0 {
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:min(len(p), c.writes)])
	if c.writes -= n; c.writes == 0 {
		_ = c.Close()
		return n, unix.ECONNRESET
	}
	return n, nil
}

// Read implements net.Conn.
func (c *faultyConn) Read(p []byte) (int, error) {
	time.Sleep(c.delay)
	if c.reads < 0 {
		return c.Conn.Read(p)
	}
	if c.reads == 0 {
		_, _ = c.Conn.Read(make([]byte, 1))
		_ = c.Close()
		return 0, unix.ECONNRESET
	}
	n, err := c.Conn.Read(p[:min(len(p), c.reads)])
	c.reads -= n
	return n, err
}
