// Package hostfake is an in-memory stand-in for the platform's host list.
package hostfake

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/lycheerudder/lycheerudder/internal/hostlist"
)

// List is the list of hosts. It is safe for concurrent use.
type List struct {
	mu       sync.Mutex
	hosts    map[string]hostlist.Host
	revision int
}

// New returns a list of the given hosts.
func New(hosts ...hostlist.Host) *List {
	l := &List{hosts: make(map[string]hostlist.Host)}
	for _, h := range hosts {
		l.hosts[h.ID] = h
	}
	return l
}

// Put adds or replaces a host.
func (l *List) Put(h hostlist.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[h.ID] = h
	l.revision++
}

// Remove removes a host.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.hosts, id)
	l.revision++
}

// Hosts implements hostlist.Source. The result is sorted by id.
func (l *List) Hosts(context.Context) ([]hostlist.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := make([]hostlist.Host, 0, len(l.hosts))
	for _, h := range l.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b hostlist.Host) int { return strings.Compare(a.ID, b.ID) })
	return hosts, nil
}

// tag identifies the present content. It is read before the content, so that a
// change in between is seen by the next read.
func (l *List) tag() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strconv.Quote(strconv.Itoa(l.revision))
}

// Handler serves GET /hosts, PUT /hosts/{id} and DELETE /hosts/{id}.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		tag := l.tag()
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		hosts, _ := l.Hosts(r.Context())
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(hosts)
	})
	mux.HandleFunc("PUT /hosts/{id}", func(w http.ResponseWriter, r *http.Request) {
		var h hostlist.Host
		if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h.ID = r.PathValue("id")
		l.Put(h)
	})
	mux.HandleFunc("DELETE /hosts/{id}", func(_ http.ResponseWriter, r *http.Request) {
		l.Remove(r.PathValue("id"))
	})
	return mux
}
