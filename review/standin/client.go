package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// route is a kind of request.
type route struct {
	name, service string
	idempotent    bool
	method        string
	deadline      time.Duration
	keyed         bool
}

// request is one attempt of a client.
type request struct {
	id       string
	route    *route
	host     *host
	key      int
	sent     time.Time
	ended    time.Time
	status   int // 0 if there was no whole answer
	echo     string
	signed   bool
	leaving  bool // the answer says that its server leaves
	body     string
	complete bool
}

// clients send requests at a steady rate, each on a connection of its own, and keep
// what came of them.
type clients struct {
	log *recorder
	mu  sync.Mutex
	all []*request
	wg  sync.WaitGroup
	n   int
}

// run sends perSecond requests of a route until the context ends. pick chooses the host
// and the key.
func (c *clients) run(ctx context.Context, r *route, perSecond float64, pick func() (*host, int)) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h, key := pick()
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.send(r, h, key)
			}()
		}
	}
}

func (c *clients) send(r *route, h *host, key int) *request {
	c.mu.Lock()
	c.n++
	q := &request{id: fmt.Sprintf("%08x%08x", rand.Uint32(), c.n), route: r, host: h, key: key}
	c.all = append(c.all, q)
	c.mu.Unlock()
	c.log.write(event{Kind: "sent", ID: q.id, Host: h.name, Key: key, Note: r.name})
	sent := time.Now()
	c.exchange(q, sent)
	c.mu.Lock()
	q.sent, q.ended = sent, time.Now()
	c.mu.Unlock()
	c.log.write(event{Kind: "answered", ID: q.id, Host: h.name, Status: q.status, Body: q.body})
	return q
}

// exchange sends a request and reads its answer.
func (c *clients) exchange(q *request, sent time.Time) {
	nc, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", q.host.ip, frontPort), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(sent.Add(q.route.deadline))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s /%s/%s HTTP/1.1\r\nHost: %s\r\nLycheerudder-Request-Id: %s\r\nLycheerudder-Deadline-Ms: %d\r\n",
		q.route.method, q.route.name, q.id, siteHost, q.id, q.route.deadline.Milliseconds())
	if q.route.keyed {
		fmt.Fprintf(&b, "Lycheerudder-Shard-Key: %d\r\n", q.key)
	}
	if q.route.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.id), q.id)
	} else {
		b.WriteString("\r\n")
	}
	if _, err := nc.Write(b.Bytes()); err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: q.route.method})
	if err != nil {
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	q.status, q.body, q.complete = resp.StatusCode, string(body), true
	q.echo = resp.Header.Get("Lycheerudder-Request-Id")
	q.signed = resp.Header.Get("Lycheerudder-Server-Signature") != ""
	q.leaving = resp.Header.Get("Server-Leaving") != ""
}

func (c *clients) list() []*request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*request(nil), c.all...)
}
