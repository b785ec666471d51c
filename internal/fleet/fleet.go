// Package fleet holds what an entry host believes about the deployment: the
// published configuration and the registered servers. It performs no I/O and
// reads no clock.
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
	Slots      int
	// Incarnation is the start of the process. A server that starts again under its
	// id has a later one and holds nothing.
	Incarnation int64
	// Draining is true once the server has announced its shutdown.
	Draining bool
	// WarmupLeft is the time for which the server remains slow after its start.
	WarmupLeft time.Duration
}

// WeightedService is one of the services among which a route divides its requests.
type WeightedService struct {
	Service topology.Service
	Weight  float64
}

// Route says how the requests of one host name and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time for which a request is kept waiting.
	Timeout time.Duration
	// TargetLatency is the latency objective.
	TargetLatency time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of servers to which a request may be sent.
	MaxAttempts  int
	TrafficSplit []WeightedService
}

// Service describes a set of servers that run the same requests.
type Service struct {
	Name       topology.Service
	HealthPath string
	// MaxConns is the number of connections that a server accepts from all
	// callers together.
	MaxConns int
	// Keyed services run a request only at the owner of its key.
	Keyed bool
	// Warmup is the time for which keys stay slow that arrive without handover.
	Warmup time.Duration
}

// Limits bound what a caller may send.
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
	// routes lists the routes of each host name, the longest prefix first.
	routes map[string][]*Route
}

// NewConfig returns a configuration with an index of its routes.
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

// Match returns the route of a request; nil if there is none.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ChooseService returns the service of a request: point is a number from 0 to 1 that
// falls into the interval of one of the shares.
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
