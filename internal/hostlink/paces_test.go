package hostlink_test

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/hostlink"
)

// pacesCollector keeps the last message with paces.
type pacesCollector struct {
	collector
	paces **hostlink.ServerPaces
}

func (c pacesCollector) HandleServerPaces(m *hostlink.ServerPaces) { *c.paces = m }

// Guards against paces of servers that are lost on their way to the leader, and against
// hosts that fail on them without being able to lead.
func TestServerPacesArrive(t *testing.T) {
	g := NewWithT(t)
	sent := hostlink.ServerPaces{Paces: []hostlink.ServerPace{{Service: 9, Server: "s-1", Percent: 300}}}
	datagram, err := cbor.Marshal([]any{nil, nil, nil, nil, nil, nil, sent})
	g.Expect(err).NotTo(HaveOccurred())
	var got *hostlink.ServerPaces
	g.Expect(hostlink.Dispatch(datagram, netip.AddrPort{}, pacesCollector{paces: &got})).To(Succeed())
	g.Expect(got).To(Equal(&sent))
	g.Expect(hostlink.Dispatch(datagram, netip.AddrPort{}, collector{})).To(Succeed())
}
