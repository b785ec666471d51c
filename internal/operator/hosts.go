package operator

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/admin"
	"github.com/lycheerudder/lycheerudder/internal/hostlist"
	"github.com/lycheerudder/lycheerudder/internal/query"
	"github.com/lycheerudder/lycheerudder/internal/record"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	hostTimeout  = 2 * time.Second
	pollInterval = 200 * time.Millisecond
	maxQueries   = 64 // host queries at the same time
)

// HostStatus is the answer of one entry host, or the error of the query.
type HostStatus struct {
	Host   hostlist.Host `json:"host"`
	Status *admin.Status `json:"status,omitempty"`
	Error  string        `json:"error,omitempty"`
}

// Fleet queries the entry hosts that the platform lists.
type Fleet struct {
	hosts hostlist.Source
	http  *http.Client
}

// NewFleet returns a Fleet.
func NewFleet(hosts hostlist.Source) *Fleet {
	return &Fleet{hosts: hosts, http: &http.Client{Timeout: hostTimeout}}
}

// Status asks all entry hosts for their state.
func (f *Fleet) Status(ctx context.Context) ([]HostStatus, error) {
	entries, err := f.entries(ctx)
	if err != nil {
		return nil, err
	}
	result := make([]HostStatus, len(entries))
	var wg sync.WaitGroup
	limit := make(chan struct{}, maxQueries)
	for i, h := range entries {
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			result[i] = f.status(ctx, h)
		})
	}
	wg.Wait()
	return result, nil
}

func (f *Fleet) entries(ctx context.Context) ([]hostlist.Host, error) {
	all, err := f.hosts.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	var entries []hostlist.Host
	for _, h := range all {
		if h.Role == hostlist.RoleEntry {
			entries = append(entries, h)
		}
	}
	return entries, nil
}

func (f *Fleet) status(ctx context.Context, h hostlist.Host) HostStatus {
	var s admin.Status
	if err := f.get(ctx, h, "/v1/status", &s); err != nil {
		return HostStatus{Host: h, Error: err.Error()}
	}
	return HostStatus{Host: h, Status: &s}
}

func (f *Fleet) get(ctx context.Context, h hostlist.Host, path string, into any) error {
	return query.Get(ctx, f.http, h.Admin, path, into)
}

// WaitInForce waits until every live entry host has applied the configuration
// revision, and returns the hosts that have not when the context ends.
func (f *Fleet) WaitInForce(ctx context.Context, revision int64) ([]HostStatus, error) {
	for {
		all, err := f.Status(context.WithoutCancel(ctx))
		if err != nil {
			return nil, err
		}
		var lagging []HostStatus
		for _, h := range all {
			if !h.Host.Leaving && (h.Status == nil || h.Status.ConfigRevision < revision) {
				lagging = append(lagging, h)
			}
		}
		if len(lagging) == 0 {
			return nil, nil
		}
		select {
		case <-ctx.Done():
			return lagging, nil
		case <-time.After(pollInterval):
		}
	}
}

// Explain asks the leader of a key's partition who owns the key.
func (f *Fleet) Explain(ctx context.Context, service topology.Service, customer topology.Customer, key string) (admin.Explanation, error) {
	entries, err := f.entries(ctx)
	if err != nil {
		return admin.Explanation{}, err
	}
	q := url.Values{"service": {string(service)}, "customer": {string(customer)}, "key": {key}}
	var best admin.Explanation
	err = eris.New("no entry host answered")
	for _, h := range entries {
		var e admin.Explanation
		if getErr := f.get(ctx, h, "/v1/explain?"+q.Encode(), &e); getErr != nil {
			continue
		}
		best, err = e, nil
		if e.Server != "" {
			break
		}
	}
	return best, err
}

// AliveMembers returns the named incarnations that still answer. A statement
// that they are stopped would be unsafe.
func (f *Fleet) AliveMembers(ctx context.Context, h record.HostsStopped) ([]topology.Member, error) {
	all, err := f.Status(ctx)
	if err != nil {
		return nil, err
	}
	var alive []topology.Member
	for _, m := range h.Members {
		for _, s := range all {
			if s.Status != nil && s.Status.Host == m.Host && s.Status.Incarnation == m.Incarnation {
				alive = append(alive, m)
			}
		}
	}
	return alive, nil
}
