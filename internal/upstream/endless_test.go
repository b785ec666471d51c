package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/membudget"
	"github.com/lycheerudder/lycheerudder/internal/schedule"
	"github.com/lycheerudder/lycheerudder/internal/upstream"
)

// endless reads a request and sends head, and after it text until the connection
// ends.
func endless(head, text string) script {
	text = strings.Repeat(text, 32<<10/len(text))
	return func(c net.Conn, br *bufio.Reader) bool {
		respond(head, true)(c, br)
		for {
			if _, err := io.WriteString(c, text); err != nil {
				return false
			}
		}
	}
}

const okHead = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\n"

var endlessResponses = []struct {
	name, head, text string
}{
	{"status line", "HTTP/1.1 200 ", "x"},
	{"one header line", okHead + "X-Long: ", "x"},
	{"header lines", okHead, "X-More: abcdefgh\r\n"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"body without length", okHead + "\r\n", "x"},
	{"chunked body", okHead + "Transfer-Encoding: chunked\r\n\r\n", "8\r\nabcdefgh\r\n"},
	{"chunk extension", okHead + "Transfer-Encoding: chunked\r\n\r\n8;", "x"},
	{"trailer", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: abcdefgh\r\n"},
	{"body with a length", okHead + "Content-Length: 9000000000000\r\n\r\n", "x"},
	{"not HTTP", "", "hello "},
}

// peakHeap returns the largest increase of the heap in bytes while f runs.
func peakHeap(f func()) uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	before, peak := m.HeapAlloc, m.HeapAlloc
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		select {
		case <-done:
			return peak - before
		case <-time.After(2 * time.Millisecond):
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
		}
	}
}

// Guards against a server that sends bytes without end: the exchange must end long
// before its deadline as a fault of the server, in little memory, and its connection
// must not be used again.
func TestEndlessResponses(t *testing.T) {
	for _, c := range endlessResponses {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := startServer(t, endless(c.head, c.text))
			memory := membudget.New(testMemory)
			client := upstream.New(headers, memory)
			start := time.Now()
			deadline := start.Add(20 * time.Second)
			var out upstream.Outcome
			peak := peakHeap(func() { out = client.Do(t.Context(), "s", address, deadline, request("first", "")) })
			g.Expect(out.Result).To(Equal(schedule.Broken), "%v", out.Cause)
			g.Expect(out.NotRun).To(BeFalse())
			g.Expect(out.Response).To(BeNil())
			g.Expect(time.Since(start)).To(BeNumerically("<", 10*time.Second))
			g.Expect(peak).To(BeNumerically("<", 2*testMemory))
			g.Expect(memory.Used()).To(BeZero())
			out = client.Do(t.Context(), "s", address, time.Now().Add(2*time.Second), request("second", ""))
			g.Expect(out.Response).NotTo(BeNil(), "%v", out.Cause)
			g.Expect(string(out.Response.Body)).To(Equal("/second"))
		})
	}
}

// Sends requests to 20 servers that all send bodies without end, beside requests to a
// sound server. Guards against limits that apply to each exchange alone: together
// they would exceed the memory of the host. Requests to the sound server must get
// their responses.
func TestManyEndlessResponses(t *testing.T) {
	g := NewWithT(t)
	memory := membudget.New(testMemory)
	client := upstream.New(headers, memory)
	sound, _ := startServer(t, nil)
	var hostile []string
	for range 20 {
		address, _ := startServer(t, endless(okHead+"\r\n", "x"))
		hostile = append(hostile, address)
	}
	var wrong []string
	peak := peakHeap(func() {
		var wg sync.WaitGroup
		for _, address := range hostile {
			wg.Add(1)
			go func() {
				defer wg.Done()
				client.Do(t.Context(), "s", address, time.Now().Add(5*time.Second), request("hostile", ""))
			}()
		}
		for n := range 200 {
			id := fmt.Sprintf("sound-%d", n)
			out := client.Do(t.Context(), "s", sound, time.Now().Add(2*time.Second), request(id, ""))
			if out.Response == nil || string(out.Response.Body) != "/"+id {
				wrong = append(wrong, fmt.Sprint(id, out.Cause))
				continue
			}
			out.Response.Release()
		}
		wg.Wait()
	})
	g.Expect(wrong).To(BeEmpty())
	g.Expect(peak).To(BeNumerically("<", 3*testMemory))
	g.Expect(memory.Used()).To(BeZero())
}
