package peer

import (
	"context"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/lycheerudder/lycheerudder/internal/peer/peerpb"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// Server is the receiving side of the peer interface.
type Server struct {
	peerpb.UnimplementedPeerServer
	doer  request.Doer
	relay Relay
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

// Do implements the unary forward call.
func (s *Server) Do(ctx context.Context, p *peerpb.Request) (*peerpb.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.TimeoutUs)*time.Microsecond)
	defer cancel()
	ans, err := s.doer.Do(ctx, decodeRequest(p))
	if err != nil {
		return encodeError(err), nil
	}
	defer func() { _ = ans.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(ans.Body, request.MaxAnswerBytes+1))
	if err != nil || len(body) > request.MaxAnswerBytes {
		return encodeError(verdict.New(verdict.CodeAnswerBroken, verdict.Ran, "answer of server %s is broken or too large", ans.Server)), nil
	}
	return encodeAnswer(ans, body), nil
}

// Client is the sending side of the peer interface for one host.
type Client struct {
	conn *grpc.ClientConn
	rpc  peerpb.PeerClient
}

// Dial returns a client of the host at address. It connects on first use. The
// client never repeats a call: gRPC's transparent retry is limited to streams
// that the server has not seen, and is disabled as well.
func Dial(address string) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, append(StaticWindows(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(request.MaxAnswerBytes+(1<<16))),
	)...)
	if err != nil {
		return nil, err
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

// Do implements request.Doer.
func (c *Client) Do(ctx context.Context, req *request.Request) (*request.Answer, error) {
	body, err := req.ReadBody()
	if err != nil {
		return nil, err
	}
	timeout := request.MaxTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	resp, err := c.rpc.Do(ctx, encodeRequest(req, timeout, body))
	if err != nil {
		return nil, callError(err)
	}
	return decodeResponse(resp)
}

// callError maps a failed call. Only a failure to connect proves that the
// other host did not see the request, and gRPC reports it together with lost
// connections, so every failure counts as possibly run.
func callError(err error) error {
	switch status.Code(err) {
	case codes.DeadlineExceeded:
		return verdict.New(verdict.CodeDeadline, verdict.MayHaveRun, "deadline passed at the leader host")
	case codes.Canceled:
		return verdict.New(verdict.CodeCancelled, verdict.MayHaveRun, "cancelled at the leader host")
	default:
		return verdict.New(verdict.CodeNoLeader, verdict.MayHaveRun, "leader host failed: %v", err)
	}
}
