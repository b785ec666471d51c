// Package config defines the configuration that operators publish: fleet
// defaults and a short list of exceptions, each with a written reason.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Service holds the settings of one service.
type Service struct {
	// Shards is the number of shards; it must not change.
	Shards uint32 `json:"shards"`
	// DataCentres lists the first homes of the partitions. Shard i belongs to
	// the partition of DataCentres[i mod len] until home records move it. The
	// list must not change, because a change would move shards without the
	// release of their old home.
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

// Fleet holds the settings of the whole deployment. Zero values mean the
// documented default.
type Fleet struct {
	// MaxAutonomy is the time for which a data centre acts alone.
	MaxAutonomy time.Duration `json:"max_autonomy_ns,omitempty"`
	// LogReadBack confirms log reads by a marker record.
	LogReadBack bool `json:"log_read_back,omitempty"`
	// Weights of the placement goals.
	WeightImbalance   float64 `json:"weight_imbalance,omitempty"`
	WeightChurn       float64 `json:"weight_churn,omitempty"`
	WeightUnavailable float64 `json:"weight_unavailable,omitempty"`
}

// Target selects what an exception applies to. Empty fields match everything;
// at least one field is set.
type Target struct {
	Service    topology.Service     `json:"service,omitempty"`
	Customer   topology.Customer    `json:"customer,omitempty"`
	DataCentre topology.DataCentre  `json:"data_centre,omitempty"`
	Partition  topology.PartitionID `json:"partition,omitempty"`
}

// Exception overrides one setting for one target.
type Exception struct {
	// ID names the exception in changes and diffs.
	ID      string          `json:"id"`
	Target  Target          `json:"target"`
	Setting string          `json:"setting"`
	Value   json.RawMessage `json:"value"`
	Reason  string          `json:"reason"`
	// Expires ends the exception; zero means that it stays until removed.
	Expires time.Time `json:"expires,omitzero"`
}

// Document is the complete configuration. A published document is immutable.
type Document struct {
	Fleet      Fleet                          `json:"fleet,omitzero"`
	Services   map[topology.Service]Service   `json:"services"`
	Customers  map[topology.Customer]Customer `json:"customers"`
	Exceptions []Exception                    `json:"exceptions,omitempty"`
}

// Parse reads a document. It rejects unknown fields and data after the
// document, and does not validate values.
func Parse(data []byte) (*Document, error) {
	var d Document
	if err := DecodeStrict(data, &d); err != nil {
		return nil, err
	}
	return &d, nil
}

// DecodeStrict reads one JSON value and rejects unknown fields and trailing
// data.
func DecodeStrict(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); err != io.EOF {
		return fmt.Errorf("data after the end of the JSON value")
	}
	return nil
}

// PartitionOf returns the partition and the data centre that a shard has
// without home records. The service must exist and have a data centre.
func (d *Document) PartitionOf(service topology.Service, shard topology.ShardID) (topology.PartitionID, topology.DataCentre, error) {
	s, ok := d.Services[service]
	if !ok || len(s.DataCentres) == 0 {
		return "", "", fmt.Errorf("service %q is not configured", service)
	}
	dc := s.DataCentres[int(shard)%len(s.DataCentres)]
	return topology.PartitionName(service, dc, 0), dc, nil
}
