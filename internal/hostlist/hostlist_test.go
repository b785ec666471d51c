package hostlist_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/hostlist"
	"github.com/lycheerudder/lycheerudder/internal/hostlist/hostfake"
)

// Guards against a list that is transferred in full at every poll, and against
// a change that a cached list hides.
func TestClient(t *testing.T) {
	g := NewWithT(t)
	list := hostfake.New(hostlist.Host{ID: "h1", Role: hostlist.RoleEntry})
	full := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		list.Handler().ServeHTTP(rec, r)
		if rec.Code == http.StatusOK {
			full++
		}
		w.Header().Set("ETag", rec.Header().Get("ETag"))
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	defer srv.Close()
	c := hostlist.NewClient(srv.URL)
	for range 3 {
		hosts, err := c.Hosts(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(hosts).To(HaveLen(1))
	}
	g.Expect(full).To(Equal(1))
	list.Put(hostlist.Host{ID: "h2", Role: hostlist.RoleEntry})
	hosts, err := c.Hosts(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(hosts).To(HaveLen(2))
	list.Remove("h1")
	g.Expect(c.Hosts(t.Context())).To(HaveLen(1))
	g.Expect(full).To(Equal(3))
}
