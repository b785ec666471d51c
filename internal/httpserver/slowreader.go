package httpserver

import "time"

// slowReadAfter is the time after which a response that its caller has not read yields to
// other responses. Callers on a link of 10 Mbit/s read 1 MiB in it.
const slowReadAfter = time.Second

// beginWrite sets the deadline for the write of a response.
func (c *conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeFrom = c.server.clk.Now()
	c.writing = true
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// endWrite says that a response was written or given up.
func (c *conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
}

// CloseSlowReader ends the response that has been written for the longest time, if that is
// slowReadAfter or more: its caller gets a part of it, and its connection is closed. It returns
// false if there is none, and true while one that was ended still holds its memory.
func (s *Server) CloseSlowReader() bool {
	now := s.clk.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var slowest *conn
	from := now - slowReadAfter
	for c := range s.conns {
		c.mu.Lock()
		if c.writing && c.writeFrom <= from {
			slowest, from = c, c.writeFrom
		}
		ending := c.writing && c.writeEnded
		c.mu.Unlock()
		if ending {
			return true
		}
	}
	if slowest == nil {
		return false
	}
	slowest.mu.Lock()
	defer slowest.mu.Unlock()
	if slowest.writing {
		slowest.writeEnded = true
		s.slowReadersClosed.Add(1)
		_ = slowest.SetWriteDeadline(past)
	}
	return true
}

// SlowReadersClosed returns the number of connections that CloseSlowReader has closed.
func (s *Server) SlowReadersClosed() int64 { return s.slowReadersClosed.Load() }
