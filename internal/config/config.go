// Package config defines the configuration that operators publish: fleet
// defaults and a short list of exceptions.
package config

import (
	"fmt"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Service holds the settings of one service.
type Service struct {
	// Shards is the number of shards; it must not change.
	Shards uint32 `json:"shards"`
	// DataCentres lists the homes of the partitions. Shard i belongs to the
	// partition of DataCentres[i mod len].
	DataCentres []topology.DataCentre `json:"data_centres"`
	// ChecksFences says whether the servers check grants.
	ChecksFences bool `json:"checks_fences"`
	// Slots is the number of requests that a server runs at the same time.
	Slots int `json:"slots"`
	// MaxConns is the number of connections that a server takes.
	MaxConns int `json:"max_conns"`
	// MaxExchange bounds one exchange with a server that does not check fences.
	MaxExchange time.Duration `json:"max_exchange_ns"`
}

// Customer holds the settings of one customer.
type Customer struct {
	// Share is the weight in the fair queue.
	Share float64 `json:"share"`
}

// Document is the complete configuration.
type Document struct {
	Services  map[topology.Service]Service   `json:"services"`
	Customers map[topology.Customer]Customer `json:"customers"`
}

// PartitionOf returns the partition and the data centre of a shard. The
// service must exist and have a data centre.
func (d *Document) PartitionOf(service topology.Service, shard topology.ShardID) (topology.PartitionID, topology.DataCentre, error) {
	s, ok := d.Services[service]
	if !ok || len(s.DataCentres) == 0 {
		return "", "", fmt.Errorf("service %q is not configured", service)
	}
	dc := s.DataCentres[int(shard)%len(s.DataCentres)]
	return topology.PartitionName(service, dc, 0), dc, nil
}
