package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// linkDelay is the time one way between clients and zones (sejk-gateway).
	linkDelay = 8 * time.Millisecond
	// maxOutstanding is the number of requests that a client sends before the first of
	// them has been answered.
	maxOutstanding = 4
)

// link is the connection of a client to a host over a link with a delay and a small
// window.
type link struct {
	nc net.Conn
	// window is the number of bytes that the host can send before the client has
	// acknowledged them.
	window   int
	sending  chan delayed
	received *io.PipeReader
}

type delayed struct {
	due  time.Time
	data []byte
}

// openLink connects to a host. The receive buffer is small, so that what the window does
// not hold stays at the host.
func openLink(address string, window int) (*link, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
		}); e != nil {
			return e
		}
		return err
	}}
	nc, err := d.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	r, w := io.Pipe()
	l := &link{nc: nc, window: window, sending: make(chan delayed, 2*maxOutstanding), received: r}
	arriving := make(chan delayed, 64)
	go func() {
		for d := range l.sending {
			time.Sleep(time.Until(d.due))
			_, _ = nc.Write(d.data)
		}
	}()
	go l.receive(arriving)
	go func() {
		for d := range arriving {
			time.Sleep(time.Until(d.due))
			if _, err := w.Write(d.data); err != nil {
				continue
			}
		}
		_ = w.CloseWithError(io.ErrUnexpectedEOF)
	}()
	return l, nil
}

// receive reads from the host. Bytes leave the window when their acknowledgement has
// reached the host.
func (l *link) receive(arriving chan<- delayed) {
	defer close(arriving)
	var inWindow []delayed // due when they are acknowledged
	free := l.window
	for {
		for len(inWindow) > 0 && (free == 0 || !time.Now().Before(inWindow[0].due)) {
			time.Sleep(time.Until(inWindow[0].due))
			free += len(inWindow[0].data)
			inWindow = inWindow[1:]
		}
		data := make([]byte, free)
		n, err := l.nc.Read(data)
		if n > 0 {
			now := time.Now()
			arriving <- delayed{now.Add(linkDelay), data[:n]}
			inWindow = append(inWindow, delayed{now.Add(2 * linkDelay), data[:n]})
			free -= n
		}
		if err != nil {
			return
		}
	}
}

func (l *link) send(data []byte) { l.sending <- delayed{time.Now().Add(linkDelay), data} }

func (l *link) close() {
	close(l.sending)
	_ = l.nc.Close()
	_ = l.received.Close()
}

// pipeline is a client that keeps a connection and sends further idempotent requests
// before the first has been answered.
type pipeline struct {
	c *clients
	// first holds the routes of requests that no other waits before, further that of
	// the requests behind them.
	first   []*route
	further *route
	// perSecond is the mean rate of its requests, window that of its links.
	perSecond float64
	window    int

	mu     sync.Mutex
	open   []*request // sent and not answered, in order
	closed bool       // the host has said that it closes the connection, or it has ended
}

// run sends requests until stopped, on one connection after the other. pick chooses a
// host for a new connection, as the platform does.
func (p *pipeline) run(stopped func() bool, pick func() *host) {
	for !stopped() {
		h := pick()
		if h == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		l, err := openLink(fmt.Sprintf("%s:%d", h.ip, frontPort), p.window)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		p.use(l, h, stopped)
		l.close()
	}
}

// use sends requests on a connection until it is closed.
func (p *pipeline) use(l *link, h *host, stopped func() bool) {
	p.mu.Lock()
	p.open, p.closed = nil, false
	p.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.read(l)
	}()
	for {
		select {
		case <-ended:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / p.perSecond * float64(time.Second))):
		}
		p.mu.Lock()
		switch {
		case p.closed:
		case stopped():
			if len(p.open) == 0 {
				p.mu.Unlock()
				return
			}
		case len(p.open) < maxOutstanding:
			p.open = append(p.open, p.sendOne(l, h))
		}
		p.mu.Unlock()
	}
}

func (p *pipeline) sendOne(l *link, h *host) *request {
	r := p.further
	if len(p.open) == 0 {
		r = p.first[rand.IntN(len(p.first))]
	}
	p.c.mu.Lock()
	p.c.n++
	q := &request{id: fmt.Sprintf("%08x%08x", rand.Uint32(), p.c.n), route: r, host: h, sent: time.Now()}
	p.c.all = append(p.c.all, q)
	p.c.mu.Unlock()
	p.c.log.write(event{Kind: "sent", ID: q.id, Host: h.name, Note: r.name})
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s /%s/%s HTTP/1.1\r\nHost: %s\r\nLycheerudder-Request-Id: %s\r\nLycheerudder-Deadline-Ms: %d\r\n",
		r.method, r.name, q.id, siteHost, q.id, r.deadline.Milliseconds())
	if r.method != http.MethodGet {
		b.WriteString("Content-Length: 0\r\n")
	}
	b.WriteString("\r\n")
	l.send(b.Bytes())
	return q
}

// read reads the answers in the order of the requests.
func (p *pipeline) read(l *link) {
	br := bufio.NewReader(l.received)
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
		if err != nil {
			p.end(0)
			return
		}
		if resp.Close {
			p.mu.Lock()
			p.closed = true
			p.mu.Unlock()
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			p.end(len(body))
			return
		}
		p.mu.Lock()
		if len(p.open) == 0 { // an answer that nobody asked for
			p.mu.Unlock()
			return
		}
		q := p.open[0]
		p.open = p.open[1:]
		p.mu.Unlock()
		p.c.answer(q, resp, body)
		if resp.Close {
			p.end(0)
			return
		}
	}
}

// answer records a complete answer.
func (c *clients) answer(q *request, resp *http.Response, body []byte) {
	c.mu.Lock()
	q.status, q.complete, q.ended = resp.StatusCode, true, time.Now()
	q.echo = resp.Header.Get("Lycheerudder-Request-Id")
	q.signed = resp.Header.Get("Lycheerudder-Server-Signature") != ""
	c.mu.Unlock()
	c.log.write(event{Kind: "answered", ID: q.id, Host: q.host.name, Status: q.status, Note: fmt.Sprintf("%d bytes, close %t", len(body), resp.Close)})
}

// end records that the connection has ended with requests unanswered, of the first of
// which a part of the answer may have arrived.
func (p *pipeline) end(part int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.c.mu.Lock()
	for _, q := range p.open {
		q.ended = time.Now()
	}
	p.c.mu.Unlock()
	for i, q := range p.open {
		if i > 0 {
			part = 0
		}
		p.c.log.write(event{Kind: "cut", ID: q.id, Host: q.host.name, Note: fmt.Sprintf("the connection ended after %d bytes of the body", part)})
	}
}
