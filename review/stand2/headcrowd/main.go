// Program headcrowd lets many callers send bodies that stop just short of their end, each
// after a head of legal size with many short fields, and checks that the host stays within
// the memory of its machine.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/platform/standin"
	"github.com/lycheerudder/lycheerudder/review/stand2/lab"
)

const (
	service = "workshop"
	// callers is fewer than the connections for which a host has descriptors: 4,100 in all.
	callers = 1500
	// headBytes is below limits.max_header_bytes of the configuration, which is 16,384.
	headBytes = 15800
	// bodyBytes is far below limits.max_body_bytes, which is 64 MiB.
	bodyBytes = 30000
	ordinary  = 120
	interval  = 100 * time.Millisecond
	timeLeft  = 3 * time.Second
)

func main() {
	program := flag.String("program", "target/lygate", "program of a host")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the crowd comes")
	flag.Parse()
	code, err := run(*program, *recordPath, *trouble)
	if err != nil {
		fmt.Println(err)
	}
	os.Exit(code)
}

func run(program, recordPath string, trouble bool) (int, error) {
	record, err := lab.NewRecord(recordPath)
	if err != nil {
		return lab.CouldNot, err
	}
	defer record.Close()
	l, err := lab.New()
	if err != nil {
		return lab.CouldNot, err
	}
	defer l.Close()
	l.Deployment.MaxBodyBytes = 64 << 20
	for i := range 3 {
		s := standin.NewServer(fmt.Sprintf("i-%d", i), service, false, 2, 20*time.Millisecond, nil)
		if err := l.Deployment.StartServer(s); err != nil {
			return lab.CouldNot, err
		}
	}
	l.Deployment.RegisterServers()
	routes := []standin.Route{{Prefix: "/records/", Service: service, Idempotent: true}}
	if err := l.Deployment.PublishConfig(1, routes, map[string]bool{service: false}); err != nil {
		return lab.CouldNot, err
	}
	if err := l.StartHosts(program, 1); err != nil {
		return lab.CouldNot, err
	}
	host := l.Hosts[0]
	crowd := new(crowd)
	if trouble {
		crowd.start(host.CallerAddress)
		defer crowd.end()
	}
	return watch(record, host, crowd), nil
}

// crowd holds the connections of the callers that stop short.
type crowd struct {
	mu          sync.Mutex
	conns       []net.Conn
	open, bytes atomic.Int64
}

func (c *crowd) start(address string) {
	for i := range callers {
		go c.call(address, i)
	}
}

// call sends a whole head and all but the last byte of a body, and keeps the connection open.
func (c *crowd) call(address string, i int) {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, nc)
	c.mu.Unlock()
	n, err := io.WriteString(nc, head(i))
	c.bytes.Add(int64(n))
	if err == nil {
		n, err = nc.Write(make([]byte, bodyBytes-1))
		c.bytes.Add(int64(n))
	}
	if err != nil {
		return
	}
	c.open.Add(1)
	_, _ = io.Copy(io.Discard, nc) // until the host closes the connection
	c.open.Add(-1)
}

func (c *crowd) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, nc := range c.conns {
		_ = nc.Close()
	}
}

// head returns a head of headBytes with as many fields as fit.
func head(i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /records/%d HTTP/1.1\r\nHost: h.example\r\n%s: crowd-%d\r\n%s: 10000\r\nContent-Length: %d\r\n", i, "Lycheerudder-Request-Id", i, "Lycheerudder-Deadline-Ms", bodyBytes)
	for j := 0; b.Len() < headBytes; j++ {
		fmt.Fprintf(&b, "%c%c%c:1\r\n", 'a'+j%26, 'a'+j/26%26, 'a'+j/26/26%26)
	}
	b.WriteString("\r\n")
	return b.String()
}

// watch sends ordinary requests, and reports whether the host stays within its memory.
func watch(record *lab.Record, host *lab.Host, c *crowd) int {
	client := &http.Client{Timeout: timeLeft + time.Second}
	served := 0
	var most int64
	for i := range ordinary {
		status := send(client, host, i)
		if status == http.StatusOK {
			served++
		}
		used, err := host.Memory()
		if err != nil {
			record.Add("BROKEN: the process of the host has ended: %v", err)
			return lab.Broken
		}
		most = max(most, used)
		record.Add("ordinary-%d sent: GET /records/x, answered: %d; crowd: %d connections open, %d bytes sent; the host holds %d MiB of %d", i, status, c.open.Load(), c.bytes.Load(), used>>20, lab.MemoryMB)
		time.Sleep(interval)
	}
	record.Add("%d of %d ordinary requests are served; the host held %d MiB at most", served, ordinary, most>>20)
	switch {
	case most > lab.MemoryMB<<20:
		record.Add("BROKEN: the host is over the memory of its machine, %d MiB: the platform kills it", lab.MemoryMB)
		return lab.Broken
	case served == 0:
		record.Add("BROKEN: ordinary callers get no answers")
		return lab.Broken
	}
	return lab.Held
}

// send sends one ordinary request and returns the status of its answer, zero without one.
func send(client *http.Client, host *lab.Host, i int) int {
	resp, err := standin.SendRequest(client, host.CallerAddress, http.MethodGet, "/records/x", "ordinary-"+strconv.Itoa(i), timeLeft, 0)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := bufio.NewReader(resp.Body).WriteTo(io.Discard); err != nil && !errors.Is(err, io.EOF) {
		return 0
	}
	return resp.StatusCode
}
