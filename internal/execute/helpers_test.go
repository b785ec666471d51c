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

	"github.com/lycheerudder/lycheerudder/internal/clock"
	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/execute"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/serverapi/serverfake"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

const partition = topology.PartitionID("booking.kgn-a.0")

var ref = topology.ShardRef{Service: "booking"}

func newServer(t *testing.T, id topology.ServerID, app http.HandlerFunc) *serverfake.Instance {
	s := serverfake.Start(serverfake.Options{ID: id, Incarnation: 1, ChecksFences: true, Slots: 2, Clock: clock.NewMonotonic(), CountRuns: true}, app)
	t.Cleanup(s.Kill)
	return s
}

// host is a host with its own view of the leadership and of the owner of the
// shard. It implements execute.Owners.
type host struct {
	svc    *execute.Service
	mu     sync.Mutex
	target exchange.Target
	err    *verdict.Error
	calls  atomic.Int32
}

func newHost(t *testing.T, servers ...*serverfake.Instance) *host {
	h := &host{err: verdict.New(verdict.CodeNotLeader, verdict.NotRun, "not the leader")}
	client := exchange.NewClientWithDialer(45, func(ctx context.Context, _, address string) (net.Conn, error) {
		for _, s := range servers {
			if string(s.ID()) == address {
				return s.Dial(ctx)
			}
		}
		return nil, errors.New("unknown server")
	})
	h.svc = execute.New(execute.Options{Owners: h, Servers: client, Clock: clock.NewMonotonic()})
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

// lead makes this host the leader of the partition and s the owner of the shard.
// If s is nil, the shard has no owner.
func (h *host) lead(term uint32, since time.Time, s *serverfake.Instance) {
	fence := topology.Fence{List: 1, Term: term, Seq: 1}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == nil {
		h.err = verdict.New(verdict.CodeNoOwner, verdict.NotRun, "shard has no owner")
		return
	}
	s.GrantShard(ref, fence)
	h.err = nil
	h.target = exchange.Target{Server: s.ID(), BaseURL: "http://" + string(s.ID()), Shard: ref, Fence: fence, Partition: partition, LeaderSince: since}
}

func (h *host) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.err = verdict.New(verdict.CodeNotLeader, verdict.NotRun, "not the leader")
}

// result is the outcome of a request as its caller sees it.
type result struct {
	code    verdict.Code
	verdict verdict.Verdict
	body    string
}

// call sends a request with the id to d. An empty id makes it repeatable.
func call(ctx context.Context, d request.Doer, id, body string) result {
	req := &request.Request{Service: "booking", Customer: "pewright", Key: "k", ID: id, Repeatable: id == "", Method: http.MethodPost, Path: "/x"}
	req.SetBody([]byte(body))
	resp, err := d.Do(ctx, req)
	if err != nil {
		e := verdict.From(err)
		return result{code: e.Code, verdict: e.Verdict}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		e := verdict.From(err)
		return result{code: e.Code, verdict: e.Verdict}
	}
	return result{verdict: verdict.Ran, body: string(got)}
}

func withTimeout(t *testing.T, d time.Duration, f func(ctx context.Context) result) result {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	return f(ctx)
}

// newID returns a UUIDv7 of the current time. uuid.NewV7 cannot be used because
// its times never decrease, but each test starts at the same virtual time.
func newID() string {
	u := uuid.New()
	u[6] = u[6]&0x0f | 0x70
	return shiftDate(request.ID{UUID: u, Created: time.Now()}, 0)
}

// shiftDate returns the id with its creation time moved forward by ahead.
func shiftDate(id request.ID, ahead time.Duration) string {
	ms := id.Created.Add(ahead).UnixMilli()
	for i := 5; i >= 0; i-- {
		id.UUID[i] = byte(ms)
		ms >>= 8
	}
	return id.UUID.String()
}

// countingHandler responds after workTime with a number that is different for
// each run.
func countingHandler() http.HandlerFunc {
	var n atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(workTime):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "run "+strconv.FormatInt(n.Add(1), 10))
	}
}
