package schedule

import "math"

// Limit is what a response of a server says of the rate of requests that the server
// accepts. The zero value says nothing.
type Limit struct {
	// Stated is true if a response of the server was read.
	Stated bool
	// PerSecond is the rate in requests a second from all hosts together; infinite
	// if the response names no limit.
	PerSecond float64
}

// NoLimit returns what a response without a limit says.
func NoLimit() Limit { return Limit{Stated: true, PerSecond: math.Inf(1)} }

// Limited reports whether the server named a limit.
func (l Limit) Limited() bool { return l.Stated && !math.IsInf(l.PerSecond, 1) }
