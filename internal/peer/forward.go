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
	// Requests with larger bodies are sent with DoStream.
	maxUnaryBody = 64 << 10
	chunkBytes   = 64 << 10
	// A host restarts within a second, so longer reconnect delays are not needed.
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = time.Second
	connectTimeout    = time.Second
	// Must hold a handover of 10,000 request ids with 4 KiB of response body each.
	maxHandOverBytes = 64 << 20
	// Number of worker goroutines for calls; gRPC starts a new goroutine for a call
	// that finds all of them busy.
	streamWorkers = 64
)

// Server serves the calls of other entry hosts.
type Server struct {
	peerpb.UnimplementedPeerServer
	doer    request.Doer
	relay   Relay
	control Control
}

// Relay serves the streams of the log to other hosts that subscribe to them.
type Relay interface {
	Relay(peerpb.Peer_RelayServer) error
}

// SetRelay sets the handler of Relay calls. It must be called before the server
// starts to serve. Without it, the calls fail as unimplemented.
func (s *Server) SetRelay(r Relay) { s.relay = r }

// Relay implements peerpb.PeerServer.
func (s *Server) Relay(stream peerpb.Peer_RelayServer) error {
	if s.relay == nil {
		return status.Error(codes.Unimplemented, "this host does not relay the log")
	}
	return s.relay.Relay(stream)
}

// NewServer returns a server that executes forwarded requests with doer.
func NewServer(doer request.Doer) *Server { return &Server{doer: doer} }

// WithControl sets the handler of control messages and returns s. A server
// without one panics when it receives a control message.
func (s *Server) WithControl(c Control) *Server {
	s.control = c
	return s
}

// NewGRPCServer returns a gRPC server for the peer interface. It runs calls on
// long-lived workers, which keep their grown stacks; a new goroutine for each
// call would have to grow its stack each time.
func NewGRPCServer(srv peerpb.PeerServer) *grpc.Server {
	s := grpc.NewServer(
		grpc.NumStreamWorkers(streamWorkers),
		grpc.StaticStreamWindowSize(streamWindowBytes), grpc.StaticConnWindowSize(connWindowBytes),
		grpc.MaxRecvMsgSize(maxHandOverBytes),
	)
	peerpb.RegisterPeerServer(s, srv)
	return s
}

// Do implements peerpb.PeerServer. It executes a forwarded request whose body
// arrives in the same message.
func (s *Server) Do(ctx context.Context, p *peerpb.Request) (*peerpb.Response, error) {
	ctx, cancel := withRequestDeadline(ctx, p)
	defer cancel()
	resp, err := s.doer.Do(ctx, decodeRequest(p, p.Body))
	if err != nil {
		return encodeError(err), nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readBody(resp)
	if err != nil {
		return encodeError(err), nil
	}
	return encodeResponse(resp, body), nil
}

// withRequestDeadline returns a context with the deadline of the request. The
// call usually has that deadline already; otherwise the timeout in the request
// applies.
func withRequestDeadline(ctx context.Context, p *peerpb.Request) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, time.Duration(p.TimeoutUs)*time.Microsecond)
}

func readBody(resp *request.Response) ([]byte, error) {
	if body, ok := resp.BufferedBody(); ok {
		return body, nil
	}
	if resp.Size >= 0 && resp.Size <= request.MaxResponseBodyBytes {
		body := make([]byte, resp.Size)
		if _, err := io.ReadFull(resp.Body, body); err != nil {
			return nil, bodyError(resp, err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, request.MaxResponseBodyBytes+1))
	if err == nil && len(body) > request.MaxResponseBodyBytes {
		err = eris.New("too large")
	}
	if err != nil {
		return nil, bodyError(resp, err)
	}
	return body, nil
}

// bodyError returns the error for a response body that could not be read to its
// end. An error with a verdict code of its own is returned as it is, because it
// is more specific.
func bodyError(resp *request.Response, err error) error {
	if e := verdict.From(err); e.Code != verdict.CodeInternal {
		return e
	}
	return verdict.New(verdict.CodeBadResponse, verdict.Ran, "response body of server %s: %v", resp.Server, err)
}

// Client sends requests and control messages to one other entry host.
type Client struct {
	conn        *grpc.ClientConn
	rpc         peerpb.PeerClient
	selfAddress string // peer address of this host, sent with control messages
}

// Dial returns a client of the host at address. It connects on first use. The
// client never retries a call. gRPC's transparent retries, which only cover
// streams that the server has not processed, are disabled too.
func Dial(address string) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, append(StaticWindows(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(request.MaxResponseBodyBytes+(1<<16))),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minReconnectDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: connectTimeout,
		}),
	)...)
	if err != nil {
		return nil, eris.Wrapf(err, "client of host %s", address)
	}
	return &Client{conn: conn, rpc: peerpb.NewPeerClient(conn)}, nil
}

// RPC returns the generated gRPC client.
func (c *Client) RPC() peerpb.PeerClient { return c.rpc }

// Flow control windows: the amount of unread data that the sender of a stream,
// and of all streams of a connection together, may have outstanding.
const (
	streamWindowBytes = 1 << 20
	connWindowBytes   = 4 << 20
)

// StaticWindows returns dial options for fixed flow control windows. If gRPC
// sizes the windows itself, it measures the bandwidth with a ping and its
// acknowledgement for each message, which doubles the packets of an idle relay.
func StaticWindows() []grpc.DialOption {
	return []grpc.DialOption{grpc.WithStaticStreamWindowSize(streamWindowBytes), grpc.WithStaticConnWindowSize(connWindowBytes)}
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Do implements request.Doer. An error has the verdict NotRun if no connection
// to the host was ready, so that nothing was sent. If the host reported an error,
// its verdict applies. After any other failure of the call the request may have
// run.
func (c *Client) Do(ctx context.Context, req *request.Request) (*request.Response, error) {
	body, err := req.ReadBody()
	if err != nil {
		return nil, err
	}
	if err := c.waitReady(ctx); err != nil {
		return nil, err
	}
	timeout := request.MaxTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	if len(body) > maxUnaryBody {
		return c.doStream(ctx, encodeRequest(req, timeout, nil), body)
	}
	reply, err := c.rpc.Do(ctx, encodeRequest(req, timeout, body))
	if err != nil {
		return nil, callError(err, verdict.MayHaveRun)
	}
	resp, err := decodeResponse(reply)
	if err != nil {
		return nil, err
	}
	return resp.WithBody(reply.Body), nil
}

// waitReady waits until the connection is ready. It fails at once while gRPC
// waits before its next attempt to connect.
func (c *Client) waitReady(ctx context.Context) error {
	for {
		if err := ctx.Err(); err != nil {
			return callError(status.FromContextError(err).Err(), verdict.NotRun)
		}
		state := c.conn.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			return verdict.New(verdict.CodeNoLeader, verdict.NotRun, "leader host is unreachable")
		case connectivity.Idle:
			c.conn.Connect()
		case connectivity.Connecting:
		}
		c.conn.WaitForStateChange(ctx, state)
	}
}

// callError converts the gRPC error of a call to one with verdict v. The caller
// chooses v, because gRPC reports the same status for a call that was never sent
// and for one that was lost with its connection.
func callError(err error, v verdict.Verdict) error {
	switch status.Code(err) {
	case codes.DeadlineExceeded:
		return verdict.New(verdict.CodeDeadline, v, "deadline passed in the call to the leader host")
	case codes.Canceled:
		return verdict.New(verdict.CodeCancelled, v, "cancelled in the call to the leader host")
	default:
		return verdict.New(verdict.CodeNoLeader, v, "call to the leader host failed: %v", err)
	}
}
