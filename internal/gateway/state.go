package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/query"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// Paths of the state queries, which are served beside the metrics.
const (
	PathState = "/state"
	PathKey   = "/key"
)

// Sources of a KeyState: the grants of the leader, or the key map that another
// host has read from the store.
const (
	SourceGrants = "grants"
	SourceKeyMap = "key map"
)

// HostState is the state of a host, its leader and its services as the host
// knows them.
type HostState struct {
	Host       topology.HostID     `json:"host"`
	DataCentre topology.DataCentre `json:"data_centre"`
	Leads      bool                `json:"leads"`
	// Leader is the address of the leader that the host follows; empty if it
	// leads or knows none.
	Leader string `json:"leader,omitempty"`
	Epoch  int64  `json:"epoch"`
	// ConfigVersion is the version of the configuration in force; zero if none
	// is.
	ConfigVersion int64 `json:"config_version"`
	// ListAgeMS is the age of the host's list of servers, LeaderListAgeMS the
	// age of its leader's list.
	ListAgeMS       int64          `json:"list_age_ms"`
	LeaderListAgeMS int64          `json:"leader_list_age_ms"`
	Hosts           int            `json:"hosts"`
	Services        []ServiceState `json:"services,omitempty"`
	// Counts holds the counters of responses, refusals and retries by their
	// reason.
	Counts map[string]int64 `json:"counts"`
}

// ServiceState is the load of a service; only the leader knows it.
type ServiceState struct {
	Service   topology.Service `json:"service"`
	Waiting   int              `json:"waiting"`
	Running   int              `json:"running"`
	Slots     int              `json:"slots"`
	KeyRanges int              `json:"key_ranges"`
	Moving    int              `json:"moving"`
	Unowned   int              `json:"unowned"`
}

// KeyState is the owner of a key and the reason for its state, as far as the
// host knows.
type KeyState struct {
	Service topology.Service `json:"service"`
	Key     int              `json:"key"`
	// From and To bound the range of keys that is granted as a whole.
	From    int               `json:"from"`
	To      int               `json:"to"`
	Server  topology.ServerID `json:"server"`
	Next    topology.ServerID `json:"next,omitempty"`
	Granted bool              `json:"held"`
	// Reason is a sentence that explains the state of the key.
	Reason string `json:"why"`
	// Source is SourceGrants or SourceKeyMap.
	Source string `json:"source"`
	// FreeInMS is the time after which a key that is not granted can be granted
	// to another server; zero if it is not known.
	FreeInMS int64 `json:"free_in_ms,omitempty"`
}

func (g *gateway) registerStateHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathState, func(w http.ResponseWriter, _ *http.Request) { query.WriteJSON(w, g.hostState()) })
	mux.HandleFunc("GET "+PathKey, func(w http.ResponseWriter, r *http.Request) {
		key, err := strconv.Atoi(r.URL.Query().Get("key"))
		if err != nil || key < 0 || key >= keymap.KeyCount {
			http.Error(w, "key: a number from 0 to "+strconv.Itoa(keymap.KeyCount-1)+" is expected", http.StatusBadRequest)
			return
		}
		k, ok := g.keyState(topology.Service(r.URL.Query().Get("service")), key)
		if !ok {
			http.Error(w, "service: no keyed service of this name is known", http.StatusNotFound)
			return
		}
		query.WriteJSON(w, k)
	})
}

func (g *gateway) hostState() HostState {
	view := g.leaderClient.state()
	leader, epoch := g.leaderClient.currentLeader()
	h := HostState{
		Host: g.settings.Host, DataCentre: g.settings.DataCentre, Leads: view.leads, Epoch: epoch, Hosts: view.hosts, ConfigVersion: g.watcher.configVersion(),
		ListAgeMS: g.watcher.listAge().Milliseconds(), LeaderListAgeMS: view.listAge.Milliseconds(), Counts: g.ingress.metrics.counterValues(),
	}
	if leader.IsValid() {
		h.Leader = leader.String()
	}
	if s := g.elector.scheduler.Load(); s != nil {
		h.LeaderListAgeMS = h.ListAgeMS
		for _, sum := range s.summaries() {
			h.Services = append(h.Services, ServiceState{sum.service, sum.waiting, sum.running, sum.slots, sum.keyRanges, sum.moving, sum.unowned})
		}
		slices.SortFunc(h.Services, func(a, b ServiceState) int { return strings.Compare(string(a.Service), string(b.Service)) })
	}
	return h
}

func (g *gateway) keyState(service topology.Service, key int) (KeyState, bool) {
	s := g.elector.scheduler.Load()
	if s == nil {
		s = g.leaderClient.fallback
	}
	return s.keyState(service, key)
}

// keyState returns the state of a key of a keyed service.
func (s *scheduler) keyState(service topology.Service, key int) (KeyState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	svc, ok := s.services[hash32(string(service))]
	if !ok || !svc.keyed {
		return KeyState{}, false
	}
	if svc.grants == nil {
		k := KeyState{Service: service, Key: key, From: key, To: key, Server: svc.keyMap.Server(key), Source: SourceKeyMap}
		k.Reason = "the store named this server when it was last read; the leader knows whether it holds the key"
		return k, true
	}
	now := s.clk.Now()
	k := KeyState{Service: service, Key: key, Source: SourceGrants}
	svc.grants.Ranges(now, func(r ownership.RangeState) {
		if key < r.From || key > r.To {
			return
		}
		k.From, k.To, k.Server, k.Next, k.Granted = r.From, r.To, r.Server, r.Next, r.Granted
		k.Reason = keyStateReason(r)
		if !r.Granted && r.FreeAt > now {
			k.FreeInMS = (r.FreeAt - now).Round(time.Millisecond).Milliseconds()
		}
	})
	return k, true
}

// keyStateReason explains the state of a key range. Operators receive the
// sentences through PathKey and lyctl, so their text must not change.
func keyStateReason(r ownership.RangeState) string {
	switch {
	case r.Server == "" && r.Next == "":
		return "no server has been chosen yet"
	case r.Granted && r.Next != "":
		return "the server holds the key by a grant of this leader; a move has been decided"
	case r.Granted:
		return "the server holds the key by a grant of this leader"
	case r.Unreachable:
		return "the server does not answer; the key is granted anew when its hold has run out"
	case r.Next != "":
		return "the key moves: it is released, then the store is told, then the next server gets it"
	default:
		return "the grant of this leader has not been answered yet"
	}
}
