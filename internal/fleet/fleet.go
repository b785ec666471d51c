// Package fleet holds a host's view of the deployment: the published configuration
// and the registered servers. It performs no I/O and reads no clock.
package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Server is the registration of one server process.
type Server struct {
	ID         topology.ServerID
	Service    topology.Service
	Address    string
	DataCentre topology.DataCentre
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Incarnation identifies one start of the process. A server that restarts with
	// the same ID has a higher incarnation and holds no keys.
	Incarnation int64
	// Sequence rises with each registration of one incarnation; zero if it is unknown.
	Sequence int64
	// Draining is true once the server has announced its shutdown, in its registration or
	// in a response, and while its data centre is evacuated.
	Draining bool
	// WarmupLeft is how much longer the server responds slowly after its start.
	WarmupLeft time.Duration
	// ConfirmedAt is the time after which the registration was written, by the reads of
	// this host; zero if it is not known.
	ConfirmedAt time.Duration
}

// outdates reports whether s was registered after other, another registration of the same
// server. A registration without a sequence counts as the later one.
func (s Server) outdates(other Server) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation > other.Incarnation
	}
	return s.Sequence == 0 || other.Sequence == 0 || s.Sequence > other.Sequence
}

// WeightedService is one of the services among which a route splits its requests.
type WeightedService struct {
	Service topology.Service
	Weight  float64
}

// Route holds the settings for requests with one host name and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// LargeResponses is true if a second copy at the same time would cost much memory and
	// many bytes on the link of the host.
	LargeResponses bool
	// Timeout is the maximum time for which a request waits for its response.
	Timeout       time.Duration
	TargetLatency time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of attempts that may have run the request.
	MaxAttempts  int
	TrafficSplit []WeightedService
}

// Service holds the settings of a set of servers that run the same requests.
type Service struct {
	Name       topology.Service
	HealthPath string
	// MaxConns is the number of connections that one server accepts from all
	// clients together.
	MaxConns int
	// Keyed is true if only the server that owns the key of a request may run it.
	Keyed bool
	// Warmup is how long requests for a key stay slow on a server that became its
	// owner without a handover.
	Warmup time.Duration
	// WarmupRate is the number of requests a second that a server tolerates in the
	// ColdTime after its start; zero if there is no such limit.
	WarmupRate float64
	ColdTime   time.Duration
}

// Limits bounds the requests that callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the published configuration.
type Config struct {
	Version  int64
	Services map[topology.Service]Service
	Limits   Limits
	// routes holds the routes of each host name, the longest prefix first.
	routes map[string][]*Route
}

// NewConfig returns a configuration whose routes are indexed by host name.
func NewConfig(version int64, routes []*Route, services []Service, limits Limits) *Config {
	c := &Config{
		Version:  version,
		Services: make(map[topology.Service]Service, len(services)),
		Limits:   limits,
		routes:   make(map[string][]*Route),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, list := range c.routes {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Match returns the route with the longest matching prefix, or nil if there is none.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ChooseService returns the service of a request. The point, from 0 inclusive to 1
// exclusive, selects a service in proportion to the weights of the traffic split.
func (r *Route) ChooseService(point float64) topology.Service {
	var total float64
	for _, s := range r.TrafficSplit {
		total += s.Weight
	}
	point *= total
	for _, s := range r.TrafficSplit {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	if len(r.TrafficSplit) == 0 {
		return ""
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}
