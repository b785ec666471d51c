package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/gateway"
)

// gate answers the queries of one host.
func gate(t *testing.T, s gateway.HostState, k gateway.KeyState) string {
	mux := http.NewServeMux()
	mux.HandleFunc(gateway.PathState, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s) })
	mux.HandleFunc(gateway.PathKey, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(k) })
	web := httptest.NewServer(mux)
	t.Cleanup(web.Close)
	return strings.TrimPrefix(web.URL, "http://")
}

// Guards against one host that does not answer and hides the others, and against
// the word of a host that only follows being taken for that of the leader.
func TestGateCommands(t *testing.T) {
	g := NewWithT(t)
	follower := gate(t, gateway.HostState{Host: "edge-1", Leader: "10.0.0.2:7000", ConfigVersion: 7, Counts: map[string]int64{"refused-overloaded": 3}},
		gateway.KeyState{Service: "booking", Key: 9, Server: "i-old", Source: gateway.SourceKeyMap})
	leader := gate(t, gateway.HostState{Host: "edge-2", Leads: true, ConfigVersion: 7, Services: []gateway.ServiceState{{Service: "booking", Slots: 38, Unowned: 2}}},
		gateway.KeyState{Service: "booking", Key: 9, From: 8, To: 10, Server: "i-new", Granted: true, Reason: "because", Source: gateway.SourceGrants})
	var out bytes.Buffer
	err := runGates(t.Context(), GateOptions{Gates: follower + ",127.0.0.1:1," + leader}, &out)
	g.Expect(err).To(MatchError(ContainSubstring("127.0.0.1:1")))
	g.Expect(out.String()).To(And(ContainSubstring("overloaded=3"), ContainSubstring("this host"), ContainSubstring("38")))

	out.Reset()
	key := gateKeyOptions{GateOptions: GateOptions{Gates: follower + "," + leader}, Service: "booking", Key: 9}
	g.Expect(runGateKey(t.Context(), key, &out)).To(Succeed())
	g.Expect(out.String()).To(And(ContainSubstring("i-new"), ContainSubstring("because"), Not(ContainSubstring("i-old"))))

	key.Gates = "127.0.0.1:1"
	g.Expect(runGateKey(t.Context(), key, &out)).NotTo(Succeed())
}
