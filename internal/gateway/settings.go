package gateway

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/hedge"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Settings configure a host. Only the bounds can change while it runs.
type Settings struct {
	Host       topology.HostID
	DataCentre topology.DataCentre
	IP         string
	// CPUShare is the number of CPU cores that the host may use; it can be a
	// fraction.
	CPUShare    float64
	MemoryBytes int64
	// MaxSockets is the number of sockets that the process may have open; zero if it is not
	// limited.
	MaxSockets int
	// CallerAddress accepts requests of callers, ReadyAddress the readiness
	// checks of the balancer.
	CallerAddress string
	ReadyAddress  string
	StoreAddress  string
	// PeerPort is the UDP port for datagrams between hosts, the same on all.
	PeerPort int
	// MetricsAddress serves metrics as text and the state queries; empty for
	// none.
	MetricsAddress string
	// HedgeShare is the share of the requests to a service for which a second copy may be
	// sent, from 0 (none) to hedge.MaxShare.
	HedgeShare float64
	Bounds     Bounds
}

// Bounds are the time and retry limits that the deployment guarantees.
type Bounds struct {
	// DrainWindow is the time after the acknowledged announcement of a server's
	// shutdown in which requests may still reach the server.
	DrainWindow time.Duration
	// MaxConfigDelay is the time after which an acknowledged configuration is
	// in force.
	MaxConfigDelay time.Duration
	// StopGrace is the time from SIGTERM to SIGKILL.
	StopGrace time.Duration
	// MaxGrantDuration is the longest duration of a grant.
	MaxGrantDuration time.Duration
	// RetryRatio and RetrySlack bound the retries that a service receives in
	// any RetryWindow: the ratio times its requests plus the slack, over all
	// hosts.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// WarmupExcess and WarmupSlack bound the requests that a cold server receives
	// in any second: the rate that it tolerates times the excess, plus the slack,
	// over all hosts.
	WarmupExcess float64
	WarmupSlack  float64
	// ServerHeartbeat is the interval at which servers renew their
	// registration.
	ServerHeartbeat time.Duration
	// MinMembershipTTL is the shortest time to live of a group membership that
	// the store accepts.
	MinMembershipTTL time.Duration
}

// The smallest bounds that can be met: below them, the intervals derived from
// them would be shorter than a call to the store or to a server may take.
const (
	minDrainWindow   = 300 * time.Millisecond
	minConfigDelay   = 300 * time.Millisecond
	minGrantDuration = 800 * time.Millisecond
	minStopGrace     = time.Second
	minRetryWindow   = time.Second
)

// Check returns all problems because of which a process cannot start, joined;
// nil if there are none.
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
	if !(s.HedgeShare >= 0 && s.HedgeShare <= hedge.MaxShare) {
		errs = append(errs, fmt.Errorf("hedge share: %g is not from 0 to %g", s.HedgeShare, hedge.MaxShare))
	}
	return errors.Join(errs...)
}

// Problems returns the bounds that cannot be met. The smallest value that can
// be met is used in their place: a deployment may state any value for a bound
// that does not apply to it.
func (b Bounds) Problems() []error {
	_, errs := b.clamped()
	return errs
}

// clamped returns the bounds with those that cannot be met raised to the
// smallest value that can.
func (b Bounds) clamped() (Bounds, []error) {
	var errs []error
	atLeast := func(name string, value *time.Duration, limit time.Duration) {
		if *value < limit {
			errs = append(errs, fmt.Errorf("%s: %s is less than %s, the smallest value that can be met", name, *value, limit))
			*value = limit
		}
	}
	atLeast("drain window", &b.DrainWindow, minDrainWindow)
	atLeast("configuration delay", &b.MaxConfigDelay, minConfigDelay)
	atLeast("grant duration", &b.MaxGrantDuration, minGrantDuration)
	atLeast("grace period of a stop", &b.StopGrace, minStopGrace)
	atLeast("retry window", &b.RetryWindow, minRetryWindow)
	return b, errs
}
