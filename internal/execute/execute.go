// Package execute runs requests at the host that leads their partition.
package execute

import (
	"context"

	"github.com/lycheerudder/lycheerudder/internal/exchange"
	"github.com/lycheerudder/lycheerudder/internal/request"
)

// Owners tells which server owns the key of a request now. It returns a
// *verdict.Error with verdict NotRun if this host does not lead the partition
// or no server holds a valid grant.
type Owners interface {
	Owner(req *request.Request) (exchange.Target, error)
}

// Service executes requests. It implements request.Doer.
type Service struct {
	owners  Owners
	servers *exchange.Client
}

// New returns a Service.
func New(owners Owners, servers *exchange.Client) *Service {
	return &Service{owners: owners, servers: servers}
}

// Do implements request.Doer.
func (s *Service) Do(ctx context.Context, req *request.Request) (*request.Answer, error) {
	target, err := s.owners.Owner(req)
	if err != nil {
		return nil, err
	}
	return s.servers.Do(ctx, target, req)
}
