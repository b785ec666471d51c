package httpserver

import "github.com/lycheerudder/lycheerudder/internal/clock"

// SetClock replaces the clock. It must be called before Serve.
func (s *Server) SetClock(clk clock.Clock) { s.clk = clk }
