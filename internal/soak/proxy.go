package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is what a proxy does with the bytes of its connections.
type mode int32

const (
	pass mode = iota
	// silence holds all bytes up; connections stay open.
	silence
	// oneWay holds up the bytes of the store only.
	oneWay
	// delay passes bytes late.
	delay
	// reset resets all connections, old and new.
	reset
)

const delayTime = 120 * time.Millisecond

// proxy stands between one host and the store.
type proxy struct {
	address string
	target  string
	l       net.Listener
	mode    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, l: l, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) close() {
	_ = p.l.Close()
	p.resetAll()
}

// during sets a mode for a time.
func (p *proxy) during(m mode, hold time.Duration) {
	p.mode.Store(int32(m))
	if m == reset {
		p.resetAll()
	}
	time.Sleep(hold)
	p.mode.Store(int32(pass))
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
		c, err := p.l.Accept()
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
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[up] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(up, c, false) })
	both.Go(func() { p.copy(c, up, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, up)
	p.mu.Unlock()
}

// copy passes bytes on as the mode says.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for m := mode(p.mode.Load()); m == silence || (m == oneWay && answers); m = mode(p.mode.Load()) {
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
