package execute_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sys/unix"

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/execute"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/serverapi"
	"github.com/lycheerudder/lycheerudder/internal/serverapi/serverfake"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

const partition = topology.PartitionID("booking.kgn-a.0")

var ref = topology.ShardRef{Service: "booking"}

// pipeListener accepts connections of net.Pipe, so that servers run in virtual
// time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// server is a backend server in the bubble of a test.
type server struct {
	id   topology.ServerID
	fake *serverfake.Server
	http *http.Server
	l    *pipeListener
	// fault wraps the next connection of the router; nil after its use.
	fault func(net.Conn) (net.Conn, error)
	mu    sync.Mutex
}

func newServer(t *testing.T, id topology.ServerID, app http.HandlerFunc) *server {
	s := &server{id: id, l: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}}
	s.fake = serverfake.New(serverfake.Options{ID: id, Incarnation: 1, ChecksFences: true, Slots: 2, Clock: clock.NewProcess(), CountRuns: true})
	s.http = &http.Server{Handler: s.fake.Handler(app)}
	go func() { _ = s.http.Serve(s.l) }()
	t.Cleanup(s.kill)
	return s
}

// kill ends the server as a crash does: connections break and new ones are
// refused.
func (s *server) kill() { _ = s.http.Close() }

// grant gives the shard to the server for a long time.
func (s *server) grant(fence topology.Fence) {
	_, _ = s.fake.UpdateLease(context.Background(), serverapi.LeaseRequest{
		Epoch: fence.Epoch(), Incarnation: 1, Duration: 10 * time.Hour, Grant: []serverapi.GrantOrder{{Ref: ref, Fence: fence}},
	})
}

func (s *server) dial(ctx context.Context) (net.Conn, error) {
	s.mu.Lock()
	fault := s.fault
	s.fault = nil
	s.mu.Unlock()
	ours, theirs := net.Pipe()
	conn := ours
	if fault != nil {
		c, err := fault(ours)
		if err != nil {
			return nil, err
		}
		conn = c
	}
	select {
	case s.l.conns <- theirs:
		return conn, nil
	case <-s.l.closed:
		return nil, unix.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// host is a leader host with its own view of the ownership.
type host struct {
	svc    *execute.Service
	mu     sync.Mutex
	target exchange.Target
	err    *verdict.Error
	calls  atomic.Int32
}

func newHost(t *testing.T, servers ...*server) *host {
	h := &host{err: verdict.New(verdict.CodeNotLeader, verdict.NotRun, "not the leader")}
	client := exchange.NewClientWith(45, func(ctx context.Context, _, address string) (net.Conn, error) {
		for _, s := range servers {
			if string(s.id) == address {
				return s.dial(ctx)
			}
		}
		return nil, errors.New("unknown server")
	})
	h.svc = execute.NewWith(execute.Options{Owners: h, Servers: client, Clock: clock.NewProcess()})
	t.Cleanup(client.Close)
	return h
}

func (h *host) Owner(*request.Request) (exchange.Target, error) {
	h.calls.Add(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err != nil {
		return exchange.Target{}, h.err
	}
	return h.target, nil
}

// lead makes the host lead the partition with the shard at s; a nil server is a
// shard without an owner.
func (h *host) lead(term uint32, since time.Time, s *server) {
	fence := topology.Fence{List: 1, Term: term, Seq: 1}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == nil {
		h.err = verdict.New(verdict.CodeNoOwner, verdict.NotRun, "shard has no owner")
		return
	}
	s.grant(fence)
	h.err = nil
	h.target = exchange.Target{Server: s.id, Base: "http://" + string(s.id), Ref: ref, Fence: fence, Partition: partition, Since: since}
}

func (h *host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.err = verdict.New(verdict.CodeNotLeader, verdict.NotRun, "not the leader")
}

// result is what a caller sees.
type result struct {
	code    verdict.Code
	verdict verdict.Verdict
	body    string
}

// call sends a request with the id to d. An empty id makes it repeatable.
func call(ctx context.Context, d request.Doer, id, body string) result {
	req := &request.Request{Service: "booking", Customer: "pewright", Key: "k", ID: id, Repeatable: id == "", Method: http.MethodPost, Path: "/x"}
	req.SetBody([]byte(body))
	ans, err := d.Do(ctx, req)
	if err != nil {
		e := verdict.From(err)
		return result{code: e.Code, verdict: e.Verdict}
	}
	defer func() { _ = ans.Body.Close() }()
	got, err := io.ReadAll(ans.Body)
	if err != nil {
		e := verdict.From(err)
		return result{code: e.Code, verdict: e.Verdict}
	}
	return result{verdict: verdict.Ran, body: string(got)}
}

func within(t *testing.T, d time.Duration, f func(ctx context.Context) result) result {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	return f(ctx)
}

// newID returns a UUIDv7 of the current time. uuid.NewV7 does not serve here: it
// never goes back in time, but each test starts at the same virtual time.
func newID() string {
	u := uuid.New()
	u[6] = u[6]&0x0f | 0x70
	return dated(request.ID{UUID: u, Created: time.Now()}, 0)
}

// dated returns the id with its date moved by ahead.
func dated(id request.ID, ahead time.Duration) string {
	ms := id.Created.Add(ahead).UnixMilli()
	for i := 5; i >= 0; i-- {
		id.UUID[i] = byte(ms)
		ms >>= 8
	}
	return id.UUID.String()
}

// count answers after some work with a number that is different for each run.
func count() http.HandlerFunc {
	var n atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(work):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "run "+strconv.FormatInt(n.Add(1), 10))
	}
}
