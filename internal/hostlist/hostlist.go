// Package hostlist is the client of the platform's list of live and leaving
// hosts. The list lags: a host may be gone although it is listed as live.
package hostlist

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lycheerudder/lycheerudder/internal/httpresponse"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Role says what runs on a host.
type Role string

// Roles of hosts.
const (
	RoleEntry  Role = "entry"
	RoleServer Role = "server"
)

// Host is one entry of the list.
type Host struct {
	ID         string              `json:"id"`
	Role       Role                `json:"role"`
	DataCentre topology.DataCentre `json:"data_centre"`
	// Service is set for a server.
	Service topology.Service `json:"service,omitempty"`
	// Address is host:port of the gRPC interface of an entry host, or of the
	// HTTP interface of a server.
	Address string `json:"address"`
	// Admin is host:port of the operator interface of an entry host.
	Admin   string `json:"admin,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Source returns the current list.
type Source interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Client reads the list over HTTP: GET /hosts. It sends the entity tag of its
// copy, so that an unchanged list costs no transfer. It is safe for concurrent
// use.
type Client struct {
	base string
	http *http.Client

	mu    sync.Mutex
	tag   string
	hosts []Host
}

// NewClient returns a client of the platform at base.
func NewClient(base string) *Client {
	transport := httpresponse.Transport(http.DefaultTransport.(*http.Transport).Clone())
	return &Client{base: base, http: &http.Client{Transport: transport, Timeout: 2 * time.Second}}
}

// Hosts implements Source. The result must not be changed.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/hosts", nil)
	if err != nil {
		return nil, eris.Wrap(err, "host list request")
	}
	if c.tag != "" {
		req.Header.Set("If-None-Match", c.tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "host list")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return c.hosts, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("host list: status %d", resp.StatusCode)
	}
	var hosts []Host
	if err := json.NewDecoder(resp.Body).Decode(&hosts); err != nil {
		return nil, eris.Wrap(err, "decode host list")
	}
	c.tag, c.hosts = resp.Header.Get("ETag"), hosts
	return hosts, nil
}
