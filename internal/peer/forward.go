package peer

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/lycheerudder/lycheerudder/internal/peer/peerpb"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

const (
	// Requests with larger bodies go through DoStream.
	maxUnaryBody = 64 << 10
	chunkBytes   = 64 << 10
	// A host that restarts is back within a second.
	minReconnect   = 50 * time.Millisecond
	maxReconnect   = time.Second
	connectTimeout = time.Second
	// 4 KiB of answer for each of 10,000 ids fit into one hand-over.
	maxHandOverBytes = 64 << 20
	// Calls beyond this number of concurrent ones get a new goroutine.
	streamWorkers = 64
)

// Server is the receiving side of the peer interface.
type Server struct {
	peerpb.UnimplementedPeerServer
	doer    request.Doer
	relay   Relay
	control Control
}

// Relay serves subscribers of the log's streams.
type Relay interface {
	Relay(peerpb.Peer_RelayServer) error
}

// SetRelay sets what serves Relay calls. It must be called before the server
// runs.
func (s *Server) SetRelay(r Relay) { s.relay = r }

// Relay implements the relay call.
func (s *Server) Relay(stream peerpb.Peer_RelayServer) error {
	if s.relay == nil {
		return status.Error(codes.Unimplemented, "this host does not relay")
	}
	return s.relay.Relay(stream)
}

// NewServer returns a server that executes forwarded requests with doer.
func NewServer(doer request.Doer) *Server { return &Server{doer: doer} }

// WithControl passes control messages to c. Without it they must not arrive.
func (s *Server) WithControl(c Control) *Server {
	s.control = c
	return s
}

// NewGRPCServer returns a gRPC server with the peer interface. Its workers keep
// their stacks between calls; a new goroutine for each call would grow its
// stack each time.
func NewGRPCServer(srv peerpb.PeerServer) *grpc.Server {
	s := grpc.NewServer(
		grpc.NumStreamWorkers(streamWorkers),
		grpc.StaticStreamWindowSize(streamWindowBytes), grpc.StaticConnWindowSize(connWindowBytes),
		grpc.MaxRecvMsgSize(maxHandOverBytes),
	)
	peerpb.RegisterPeerServer(s, srv)
	return s
}

// Do implements the unary forward call.
func (s *Server) Do(ctx context.Context, p *peerpb.Request) (*peerpb.Response, error) {
	ctx, cancel := bound(ctx, p)
	defer cancel()
	ans, err := s.doer.Do(ctx, decodeRequest(p, p.Body))
	if err != nil {
		return encodeError(err), nil
	}
	defer func() { _ = ans.Body.Close() }()
	body, err := readAnswer(ans)
	if err != nil {
		return encodeError(err), nil
	}
	return encodeAnswer(ans, body), nil
}

// bound applies the deadline of a request. It usually arrives as the deadline
// of the call.
func bound(ctx context.Context, p *peerpb.Request) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, time.Duration(p.TimeoutUs)*time.Microsecond)
}

func readAnswer(ans *request.Answer) ([]byte, error) {
	if body, ok := ans.Content(); ok {
		return body, nil
	}
	if ans.Size >= 0 && ans.Size <= request.MaxAnswerBytes {
		body := make([]byte, ans.Size)
		if _, err := io.ReadFull(ans.Body, body); err != nil {
			return nil, broken(ans, err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(ans.Body, request.MaxAnswerBytes+1))
	if err == nil && len(body) > request.MaxAnswerBytes {
		err = eris.New("too large")
	}
	if err != nil {
		return nil, broken(ans, err)
	}
	return body, nil
}

// broken describes an answer that ended with an error. The error of the
// exchange says more than that of the reader.
func broken(ans *request.Answer, err error) error {
	if e := verdict.From(err); e.Code != verdict.CodeInternal {
		return e
	}
	return verdict.New(verdict.CodeAnswerBroken, verdict.Ran, "answer of server %s: %v", ans.Server, err)
}

// Client is the sending side of the peer interface for one host.
type Client struct {
	conn *grpc.ClientConn
	rpc  peerpb.PeerClient
	self string // address that control messages name
}

// Dial returns a client of the host at address. It connects on first use. The
// client never repeats a call: gRPC's transparent retry is limited to streams
// that the server has not seen, and is disabled as well.
func Dial(address string) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, append(StaticWindows(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(request.MaxAnswerBytes+(1<<16))),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minReconnect, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxReconnect},
			MinConnectTimeout: connectTimeout,
		}),
	)...)
	if err != nil {
		return nil, eris.Wrapf(err, "client of host %s", address)
	}
	return &Client{conn: conn, rpc: peerpb.NewPeerClient(conn)}, nil
}

// RPC returns the generated client.
func (c *Client) RPC() peerpb.PeerClient { return c.rpc }

// Windows of a connection. One stream holds the largest answer at most once.
const (
	streamWindowBytes = 1 << 20
	connWindowBytes   = 4 << 20
)

// StaticWindows returns dial options for fixed flow control windows. With
// windows that gRPC sizes itself, each message costs a ping and its answer to
// measure the bandwidth, which doubles the packets of an idle relay.
func StaticWindows() []grpc.DialOption {
	return []grpc.DialOption{grpc.WithStaticStreamWindowSize(streamWindowBytes), grpc.WithStaticConnWindowSize(connWindowBytes)}
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Do implements request.Doer. The verdict is not run if no connection to the
// host was ready, so that nothing was sent, or if the host says so. Every other
// failure may have run.
func (c *Client) Do(ctx context.Context, req *request.Request) (*request.Answer, error) {
	body, err := req.ReadBody()
	if err != nil {
		return nil, err
	}
	if err := c.ready(ctx); err != nil {
		return nil, err
	}
	timeout := request.MaxTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	if len(body) > maxUnaryBody {
		return c.stream(ctx, encodeRequest(req, timeout, nil), body)
	}
	resp, err := c.rpc.Do(ctx, encodeRequest(req, timeout, body))
	if err != nil {
		return nil, callError(err, verdict.MayHaveRun)
	}
	ans, err := decodeResponse(resp)
	if err != nil {
		return nil, err
	}
	return ans.WithBody(resp.Body), nil
}

// ready waits until the connection can carry a call. It fails at once while
// gRPC waits for the next attempt to connect.
func (c *Client) ready(ctx context.Context) error {
	for {
		if err := ctx.Err(); err != nil {
			return callError(status.FromContextError(err).Err(), verdict.NotRun)
		}
		state := c.conn.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			return verdict.New(verdict.CodeNoLeader, verdict.NotRun, "leader host cannot be reached")
		case connectivity.Idle:
			c.conn.Connect()
		case connectivity.Connecting:
		}
		c.conn.WaitForStateChange(ctx, state)
	}
}

// callError maps a failed call. gRPC reports calls that were not sent together
// with lost connections, so the verdict of the stage applies.
func callError(err error, v verdict.Verdict) error {
	switch status.Code(err) {
	case codes.DeadlineExceeded:
		return verdict.New(verdict.CodeDeadline, v, "deadline passed at the leader host")
	case codes.Canceled:
		return verdict.New(verdict.CodeCancelled, v, "cancelled at the leader host")
	default:
		return verdict.New(verdict.CodeNoLeader, v, "leader host failed: %v", err)
	}
}
