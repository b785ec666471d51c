package peer_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lycheerudder/lycheerudder/internal/peer"
	"github.com/lycheerudder/lycheerudder/internal/peer/peerpb"
	"github.com/lycheerudder/lycheerudder/internal/request"
	"github.com/lycheerudder/lycheerudder/internal/topology"
	"github.com/lycheerudder/lycheerudder/internal/verdict"
)

// startServer serves srv and returns its address and the gRPC server.
func startServer(t *testing.T, srv peerpb.PeerServer) (string, *grpc.Server) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := grpc.NewServer()
	peerpb.RegisterPeerServer(s, srv)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return l.Addr().String(), s
}

func newClient(t *testing.T, address string) *peer.Client {
	c, err := peer.Dial(address)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func newRequest(size int) *request.Request {
	return &request.Request{
		Service: "booking", Customer: "pewright", Key: "k", Class: request.Background, ID: "1", Repeatable: true,
		Method: "PUT", Path: "/x?y=z", ContentType: "text/plain", Body: strings.NewReader(strings.Repeat("q", size)), Size: int64(size),
	}
}

type truncatedReader struct{ io.Reader }

func (r truncatedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		err = verdict.New(verdict.CodeBadResponse, verdict.Ran, "truncated")
	}
	return n, err
}

// TestForward guards against fields, bodies and errors that are lost or changed
// between hosts, in the unary and in the streamed call.
func TestForward(t *testing.T) {
	withHint := verdict.New(verdict.CodeNotLeader, verdict.NotRun, "moved").WithRetry(20 * time.Millisecond)
	withHint.Leader = "10.0.0.1:8081"
	for _, size := range []int{0, 10, 64 << 10, 64<<10 + 1, 1 << 20} {
		for _, c := range []struct {
			name      string
			bodySize  int
			truncated bool
			err       *verdict.Error
		}{
			{name: "empty response"},
			{name: "small response", bodySize: 100},
			{name: "one chunk", bodySize: 64 << 10},
			{name: "largest response", bodySize: 8 << 20},
			{name: "truncated response", bodySize: 100, truncated: true},
			{name: "truncated large response", bodySize: 100 << 10, truncated: true},
			{name: "not leader, with hint", err: withHint},
			{name: "ran, incomplete response", err: verdict.New(verdict.CodeBadResponse, verdict.Ran, "x")},
			{name: "may have run", err: verdict.New(verdict.CodeServerFailed, verdict.MayHaveRun, "x")},
		} {
			t.Run(c.name, func(t *testing.T) {
				g := NewWithT(t)
				var got *request.Request
				address, _ := startServer(t, peer.NewServer(request.DoerFunc(func(_ context.Context, req *request.Request) (*request.Response, error) {
					got = req
					if c.err != nil {
						return nil, c.err
					}
					var body io.Reader = strings.NewReader(strings.Repeat("a", c.bodySize))
					if c.truncated {
						body = truncatedReader{body}
					}
					return &request.Response{
						Status: 201, ContentType: "text/html", Body: io.NopCloser(body), Size: -1, Server: "s1",
						Fence: topology.Fence{Home: 1, List: 2, Term: 3, Seq: 4}, Timing: request.Timing{Queue: 1000, Server: 2000},
					}, nil
				})))
				resp, err := newClient(t, address).Do(t.Context(), newRequest(size))
				want := newRequest(size)
				_, err2 := want.ReadBody()
				g.Expect(err2).NotTo(HaveOccurred())
				got.Body, want.Body = nil, nil
				g.Expect(got).To(Equal(want))
				if c.err != nil {
					g.Expect(verdict.From(err)).To(Equal(c.err))
					return
				}
				var body []byte
				if err == nil {
					if content, ok := resp.BufferedBody(); ok {
						g.Expect(content).To(HaveLen(c.bodySize))
					}
					body, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
				}
				if c.truncated {
					g.Expect(verdict.From(err).Code).To(Equal(verdict.CodeBadResponse))
					g.Expect(verdict.From(err).Verdict).To(Equal(verdict.Ran))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(HaveLen(c.bodySize))
				head := request.Response{Status: resp.Status, ContentType: resp.ContentType, Server: resp.Server, Fence: resp.Fence, Timing: resp.Timing}
				g.Expect(head).To(Equal(request.Response{
					Status: 201, ContentType: "text/html", Server: "s1", Fence: topology.Fence{Home: 1, List: 2, Term: 3, Seq: 4},
					Timing: request.Timing{Queue: 1000, Server: 2000},
				}))
			})
		}
	}
}

// fakeHost is a host that sends fixed messages, whatever the request.
type fakeHost struct {
	peerpb.UnimplementedPeerServer
	response *peerpb.Response
	chunks   []*peerpb.ResponseChunk
}

func (f *fakeHost) Do(context.Context, *peerpb.Request) (*peerpb.Response, error) {
	return f.response, nil
}

func (f *fakeHost) DoStream(st grpc.BidiStreamingServer[peerpb.RequestChunk, peerpb.ResponseChunk]) error {
	for _, c := range f.chunks {
		if err := st.Send(c); err != nil {
			return err
		}
	}
	return nil
}

// TestMalformedResponses guards against malformed messages of another host that
// are decoded as NotRun or as a complete response.
func TestMalformedResponses(t *testing.T) {
	head := &peerpb.Response{Verdict: 2, Status: 200, Fence: "1.2.3.4"}
	for _, c := range []struct {
		name    string
		host    *fakeHost
		size    int
		verdict verdict.Verdict
	}{
		{"empty message", &fakeHost{response: &peerpb.Response{}}, 0, verdict.MayHaveRun},
		{"not run without code", &fakeHost{response: &peerpb.Response{Verdict: 1}}, 0, verdict.MayHaveRun},
		{"unknown verdict", &fakeHost{response: &peerpb.Response{Verdict: 257, Code: "fence"}}, 0, verdict.MayHaveRun},
		{"malformed fence", &fakeHost{response: &peerpb.Response{Verdict: 2, Fence: "1"}}, 0, verdict.Ran},
		{"stream without chunks", &fakeHost{}, 1 << 20, verdict.MayHaveRun},
		{"stream without head", &fakeHost{chunks: []*peerpb.ResponseChunk{{Last: true}}}, 1 << 20, verdict.MayHaveRun},
		{"stream without last chunk", &fakeHost{chunks: []*peerpb.ResponseChunk{{Head: head}, {Body: []byte("a")}}}, 1 << 20, verdict.Ran},
		{"stream ends with a code", &fakeHost{chunks: []*peerpb.ResponseChunk{{Head: head}, {Code: "answer-broken", Last: true}}}, 1 << 20, verdict.Ran},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := startServer(t, c.host)
			resp, err := newClient(t, address).Do(t.Context(), newRequest(c.size))
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			g.Expect(err).To(HaveOccurred())
			g.Expect(verdict.From(err).Verdict).To(Equal(c.verdict))
		})
	}
}

// TestIncompleteRequest guards against a host that executes an incomplete or
// oversized request of another host.
func TestIncompleteRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		chunks []*peerpb.RequestChunk
	}{
		{"no chunk", nil},
		{"no head", []*peerpb.RequestChunk{{Body: []byte("a"), Last: true}}},
		{"no last chunk", []*peerpb.RequestChunk{{Head: &peerpb.Request{}}, {Body: []byte("a")}}},
		{"over 1 MiB", []*peerpb.RequestChunk{{Head: &peerpb.Request{}, Body: make([]byte, 1<<20)}, {Body: []byte("a"), Last: true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			ran := false
			address, _ := startServer(t, peer.NewServer(request.DoerFunc(func(context.Context, *request.Request) (*request.Response, error) {
				ran = true
				return nil, verdict.New(verdict.CodeInternal, verdict.MayHaveRun, "ran")
			})))
			conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			st, err := peerpb.NewPeerClient(conn).DoStream(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			for _, chunk := range c.chunks {
				g.Expect(st.Send(chunk)).To(Succeed())
			}
			_ = st.CloseSend()
			response, err := st.Recv()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.Head.Verdict).To(BeEquivalentTo(verdict.NotRun))
			g.Expect(ran).To(BeFalse())
		})
	}
}

// TestLostHost guards against a wrong verdict when the host is unreachable or
// stops during the call, and against deadlines and cancellations that are not
// passed on to it.
func TestLostHost(t *testing.T) {
	for _, size := range []int{10, 100 << 10} {
		for _, c := range []struct {
			name    string
			stopped bool // the host stops before the call
			end     func(cancel context.CancelFunc, s *grpc.Server)
			code    verdict.Code
			verdict verdict.Verdict
		}{
			{"host is unreachable", true, nil, verdict.CodeNoLeader, verdict.NotRun},
			{"stopped during the call", false, func(_ context.CancelFunc, s *grpc.Server) { s.Stop() }, verdict.CodeNoLeader, verdict.MayHaveRun},
			{"cancelled during the call", false, func(cancel context.CancelFunc, _ *grpc.Server) { cancel() }, verdict.CodeCancelled, verdict.MayHaveRun},
		} {
			t.Run(c.name, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				var s *grpc.Server
				ended := make(chan struct{}, 1)
				remaining := make(chan time.Duration, 1)
				address, s := startServer(t, peer.NewServer(request.DoerFunc(func(ctx context.Context, _ *request.Request) (*request.Response, error) {
					d, _ := ctx.Deadline()
					remaining <- time.Until(d)
					go c.end(cancel, s)
					<-ctx.Done()
					ended <- struct{}{}
					return nil, verdict.New(verdict.CodeCancelled, verdict.MayHaveRun, "ended")
				})))
				if c.stopped {
					s.Stop()
				}
				_, err := newClient(t, address).Do(ctx, newRequest(size))
				g.Expect(verdict.From(err).Code).To(Equal(c.code))
				g.Expect(verdict.From(err).Verdict).To(Equal(c.verdict))
				if !c.stopped {
					<-ended
					g.Expect(<-remaining).To(BeNumerically("~", 20*time.Second, 15*time.Second))
				}
			})
		}
	}
}

// TestDeadline guards against a deadline that passes before the call and is
// reported as anything but NotRun, and against one that passes during the call
// and is reported with another code.
func TestDeadline(t *testing.T) {
	g := NewWithT(t)
	address, _ := startServer(t, peer.NewServer(request.DoerFunc(func(ctx context.Context, _ *request.Request) (*request.Response, error) {
		<-ctx.Done()
		return nil, verdict.New(verdict.CodeDeadline, verdict.MayHaveRun, "ended")
	})))
	c := newClient(t, address)
	passed, cancel := context.WithDeadline(t.Context(), time.Unix(1, 0))
	defer cancel()
	_, err := c.Do(passed, newRequest(0))
	g.Expect(verdict.From(err)).To(Equal(verdict.New(verdict.CodeDeadline, verdict.NotRun, "deadline passed in the call to the leader host")))
	short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = c.Do(short, newRequest(0))
	g.Expect(verdict.From(err).Code).To(Equal(verdict.CodeDeadline))
}
