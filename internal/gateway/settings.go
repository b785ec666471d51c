package gateway

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Settings are what a host learns from its surroundings at its start.
type Settings struct {
	Host       topology.HostID
	DataCentre topology.DataCentre
	IP         string
	// CPUShare is the part of a core that the host may use.
	CPUShare    float64
	MemoryBytes int64
	// CallerAddress takes requests of callers, ReadyAddress the readiness
	// checks of the balancer.
	CallerAddress string
	ReadyAddress  string
	StoreAddress  string
	// PeerPort is the UDP port for datagrams between hosts, the same on all.
	PeerPort int
	// MetricsAddress serves metrics as text; empty for none.
	MetricsAddress string
	Bounds         Bounds
}

// Bounds are the promises of the deployment.
type Bounds struct {
	// DrainWindow is the time after the acknowledged announcement of a server's
	// shutdown in which requests may still reach it.
	DrainWindow time.Duration
	// MaxConfigDelay is the time after which an acknowledged configuration is
	// in force.
	MaxConfigDelay time.Duration
	// StopGrace is the time from SIGTERM to SIGKILL.
	StopGrace time.Duration
	// MaxGrantDuration is the longest duration of a grant.
	MaxGrantDuration time.Duration
	// RetryRatio and RetrySlack bound the repeated arrivals at a service in
	// any RetryWindow: ratio times the requests plus the slack, over all hosts.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ServerHeartbeat is the interval at which servers renew their registration.
	ServerHeartbeat time.Duration
	// MinMembershipTTL is the shortest time to live of a group membership.
	MinMembershipTTL time.Duration
}

// The least promises with which the product works: below them the intervals
// that follow are shorter than a call to the store or to a server may take.
const (
	minDrainWindow   = 300 * time.Millisecond
	minConfigDelay   = 300 * time.Millisecond
	minGrantDuration = 800 * time.Millisecond
	minStopGrace     = time.Second
	minRetryWindow   = time.Second
)

// Check returns all problems with which a process cannot start, nil if there is
// none.
func (s Settings) Check() error {
	var errs []error
	address := func(name, value string, optional bool) {
		if value == "" && optional {
			return
		}
		if _, err := netip.ParseAddrPort(value); err != nil {
			errs = append(errs, fmt.Errorf("%s: %q is not an address with a port", name, value))
		}
	}
	if s.Host == "" {
		errs = append(errs, errors.New("host: the name is missing"))
	}
	if _, err := netip.ParseAddr(s.IP); err != nil {
		errs = append(errs, fmt.Errorf("ip: %q is not an address", s.IP))
	}
	address("caller address", s.CallerAddress, false)
	address("ready address", s.ReadyAddress, false)
	address("store address", s.StoreAddress, false)
	address("metrics address", s.MetricsAddress, true)
	if s.PeerPort < 1 || s.PeerPort > 65535 {
		errs = append(errs, fmt.Errorf("peer port: %d is not a port", s.PeerPort))
	}
	return errors.Join(errs...)
}

// Problems returns the promises that cannot be kept. The product works with the
// least that it can keep in their place: a deployment whose promise is not in
// force may state any value for it.
func (b Bounds) Problems() []error {
	_, errs := b.clamped()
	return errs
}

// kept returns the bounds with the least that can be kept in place of what cannot.
func (b Bounds) clamped() (Bounds, []error) {
	var errs []error
	atLeast := func(name string, value *time.Duration, limit time.Duration) {
		if *value < limit {
			errs = append(errs, fmt.Errorf("%s: %s is less than %s, the least that can be kept", name, *value, limit))
			*value = limit
		}
	}
	atLeast("leave notice", &b.DrainWindow, minDrainWindow)
	atLeast("configuration in force", &b.MaxConfigDelay, minConfigDelay)
	atLeast("longest grant", &b.MaxGrantDuration, minGrantDuration)
	atLeast("grace at a stop", &b.StopGrace, minStopGrace)
	atLeast("retry window", &b.RetryWindow, minRetryWindow)
	return b, errs
}
