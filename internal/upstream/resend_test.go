package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/membudget"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

// Guards against a request that is sent once more to a server that refused it, and whose
// first refusal, written a second time, is taken for the response to the second send: the
// request id is the same in both.
func TestCopyOfRefusalToEarlierSend(t *testing.T) {
	for _, refusal := range []string{
		"HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 X\r\nX-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
		"HTTP/1.1 421 X\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(refusal[9:12], func(t *testing.T) {
			g := NewWithT(t)
			address, runs := startServer(t, func(c net.Conn, br *bufio.Reader) bool {
				// The same connection refuses the request, and writes that refusal again
				// when the next request on it has arrived and runs.
				respond(refusal, true)(c, br)
				r, err := http.ReadRequest(br)
				if err != nil {
					return false
				}
				_, _ = io.WriteString(c, strings.ReplaceAll(refusal+okResponse, "ID", r.Header.Get("X-Id")))
				return false
			})
			client := upstream.New(headers, membudget.New(testMemory))
			r := request("x", "")
			out := client.Do(t.Context(), "s", address, time.Now().Add(time.Second), r)
			g.Expect(out.NotRun).To(BeTrue())
			out = client.Do(t.Context(), "s", address, time.Now().Add(time.Second), r)
			g.Expect(out.NotRun).To(BeFalse(), "the second send has run")
			g.Expect(out.Result).To(Equal(schedule.Succeeded), "%v", out.Cause)
			g.Expect(runs.Load()).To(Equal(int32(1)))
			other := client.Do(t.Context(), "s", address, time.Now().Add(time.Second), request("y", ""))
			g.Expect(other.Result).To(Equal(schedule.Succeeded), "%v", other.Cause)
		})
	}
}

// Guards against a request that is sent again on a connection that carried a copy of it: a
// second response to the copy would pass for that to the request. Run with the race
// detector, it guards against copies that share what exchanges change.
func TestCopyOfRequest(t *testing.T) {
	g := NewWithT(t)
	address, _ := startServer(t, nil)
	var dials atomic.Int32
	client := upstream.NewWithDialer(headers, membudget.New(testMemory), func(ctx context.Context, address string) (net.Conn, error) {
		dials.Add(1)
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	})
	r := request("first", "")
	second := r.Copy()
	var both sync.WaitGroup
	for _, sent := range []*upstream.Request{r, second} {
		both.Go(func() {
			out := client.Do(t.Context(), "s", address, time.Now().Add(time.Second), sent)
			g.Expect(out.Response).NotTo(BeNil(), "%v", out.Cause)
		})
	}
	both.Wait()
	r.AddConnsOf(second)
	used := dials.Load()
	out := client.Do(t.Context(), "s", address, time.Now().Add(time.Second), r)
	g.Expect(out.Response).NotTo(BeNil(), "%v", out.Cause)
	g.Expect(dials.Load()).To(Equal(used+1), "a connection of its own")
}
