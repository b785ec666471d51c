package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is how a proxy treats the data on its connections.
type mode int32

const (
	forward mode = iota
	// stall forwards no data; connections stay open.
	stall
	// stallResponses forwards no data from the store.
	stallResponses
	// delay forwards data after delayTime.
	delay
	// reset resets all connections, old and new.
	reset
)

const delayTime = 120 * time.Millisecond

// proxy forwards connections from one host to the store.
type proxy struct {
	address  string
	target   string
	listener net.Listener
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, listener: l, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}

// setModeFor sets a mode for the given duration and then forwards again.
func (p *proxy) setModeFor(m mode, duration time.Duration) {
	p.mode.Store(int32(m))
	if m == reset {
		p.resetAll()
	}
	time.Sleep(duration)
	p.mode.Store(int32(forward))
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode(p.mode.Load()) == reset {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[upstream] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.transfer(upstream, c, false) })
	wg.Go(func() { p.transfer(c, upstream, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

// transfer forwards data in one direction according to the mode.
func (p *proxy) transfer(to, from net.Conn, responses bool) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for m := mode(p.mode.Load()); m == stall || (m == stallResponses && responses); m = mode(p.mode.Load()) {
			time.Sleep(10 * time.Millisecond)
		}
		if mode(p.mode.Load()) == delay {
			time.Sleep(delayTime)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
