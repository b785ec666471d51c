// Package admin is the operator interface of an entry host over HTTP. All
// routes are queries; operators change the system only by publishing
// configuration to the platform's log.
//
//	GET /healthz     200 while the process works
//	GET /readyz      200 while the host takes new requests, 503 otherwise
//	GET /metrics     Prometheus text format
//	GET /v1/status   Status
//	GET /v1/explain?service=&customer=&key=  Explanation
package admin

import (
	"net/http"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/metrics"
	"github.com/lycheerudder/lycheerudder/internal/query"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Status is the state of one entry host as it sees it.
type Status struct {
	Host        topology.HostID      `json:"host"`
	Incarnation topology.Incarnation `json:"incarnation"`
	DataCentre  topology.DataCentre  `json:"data_centre"`
	Cell        topology.CellID      `json:"cell"`
	Version     string               `json:"version"`
	Ready       bool                 `json:"ready"`
	// ConfigRevision is the offset of the configuration record in force; -1 if
	// there is none.
	ConfigRevision int64 `json:"config_revision"`
	// LogAgeMS is the age of the last confirmed log read; -1 if there was none.
	LogAgeMS int64 `json:"log_age_ms"`
	// Mode of the host for its cell's member list: normal, lost or pledged.
	Mode           string            `json:"mode"`
	List           uint32            `json:"list"`
	Members        []topology.Member `json:"members"`
	UnknownRecords int64             `json:"unknown_records"`
	Partitions     []Partition       `json:"partitions"`
	Quarantined    []Quarantined     `json:"quarantined"`
}

// Partition is a partition that the host leads.
type Partition struct {
	ID      topology.PartitionID `json:"id"`
	Epoch   string               `json:"epoch"`
	LeadMS  int64                `json:"lead_ms"`
	Servers []Server             `json:"servers"`
}

// Server is a server of a partition.
type Server struct {
	ID       topology.ServerID `json:"id"`
	Shards   int               `json:"shards"`
	LeaseMS  int64             `json:"lease_ms"`
	InFlight int               `json:"in_flight"`
	Queued   int               `json:"queued"`
	Draining bool              `json:"draining"`
}

// Quarantined is a request fingerprint that is refused.
type Quarantined struct {
	Fingerprint string `json:"fingerprint"`
	Crashes     int    `json:"crashes"`
	LeftMS      int64  `json:"left_ms"`
}

// Explanation says who owns a key, since when and why.
type Explanation struct {
	Shard      string               `json:"shard"`
	Partition  topology.PartitionID `json:"partition"`
	DataCentre topology.DataCentre  `json:"data_centre"`
	// Leader is the host that leads the partition, as this host sees it.
	Leader topology.HostID `json:"leader"`
	// The fields below are known only at the leader host.
	Server  topology.ServerID `json:"server,omitempty"`
	Fence   string            `json:"fence,omitempty"`
	State   string            `json:"state,omitempty"`
	SinceMS int64             `json:"since_ms,omitempty"`
	Reason  string            `json:"reason,omitempty"`
	// InPlace is true once the assignment was read back from the log.
	InPlace bool `json:"in_place"`
}

// Source answers the queries.
type Source interface {
	Status(now time.Time) Status
	Explain(service topology.Service, customer topology.Customer, key string) (Explanation, error)
	// Ready returns nil while the host takes new requests, or the reason why
	// it does not.
	Ready() error
}

// Handler serves the operator interface.
func Handler(src Source, set *metrics.Set) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := src.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_, _ = set.WriteTo(w)
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { query.WriteJSON(w, src.Status(time.Now())) })
	mux.HandleFunc("GET /v1/explain", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		e, err := src.Explain(topology.Service(q.Get("service")), topology.Customer(q.Get("customer")), q.Get("key"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		query.WriteJSON(w, e)
	})
	return mux
}
