package ownership_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/keymap"
	"github.com/lycheerudder/lycheerudder/internal/ownership"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

// ownerTest drives a Manager whose keys all belong to s-0.
type ownerTest struct {
	*ownership.Manager
	now time.Duration
}

func serversWithLife(life int64) map[topology.ServerID]ownership.Server {
	return map[topology.ServerID]ownership.Server{"s-0": {Address: "s-0", Incarnation: life}, "s-1": {Address: "s-1", Incarnation: 1}}
}

func newOwnerTest(life int64) *ownerTest {
	fence := int64(0)
	m := ownership.New("booking", settings, keymap.Map{{From: 0, To: keymap.KeyCount - 1, Server: "s-0"}}, func() int64 { fence++; return fence }, 0)
	m.SetServers(serversWithLife(life))
	return &ownerTest{Manager: m, now: time.Minute}
}

// step returns the orders that are due, and the server of the first range that the
// next key map names.
func (o *ownerTest) step() (orders []ownership.Order, next topology.ServerID) {
	o.now += 20 * time.Millisecond
	orders = o.Step(o.now, o.now)
	keyMap, _ := o.NextKeyMap()
	o.KeyMapNotStored(false)
	return orders, keyMap[0].Server
}

// Guards against a registration of an earlier life, which a restored store shows until the
// server registers again, that makes a server count as restarted: it still holds its keys.
func TestRegistrationOfAnEarlierLifeComesBack(t *testing.T) {
	g := NewWithT(t)
	o := newOwnerTest(2)
	orders, _ := o.step()
	g.Expect(orders).To(HaveLen(1))
	o.HandleResult(orders[0], ownership.Done, "", o.now) // s-0 holds all keys for 2.2 s
	o.Move(0, keymap.KeyCount-1, "s-1")
	orders, _ = o.step()
	g.Expect(orders).To(HaveLen(1))
	g.Expect(orders[0].Kind).To(Equal(ownership.Release)) // under way; s-0 still works
	o.SetServers(serversWithLife(1))                      // the copy of the store
	o.step()
	o.SetServers(serversWithLife(2)) // s-0 has registered again
	_, next := o.step()
	g.Expect(next).To(Equal(topology.ServerID("s-0")), "s-0 has neither released its keys nor has its grant expired")
}

// Guards against a grant that a restarted server accepts before its new registration is
// read, and that counts as ended then.
func TestGrantAcceptedBeforeTheNewLifeIsKnown(t *testing.T) {
	g := NewWithT(t)
	o := newOwnerTest(1)
	orders, _ := o.step()
	o.HandleResult(orders[0], ownership.Done, "", o.now)
	o.now += settings.RenewInterval
	orders, _ = o.step()
	g.Expect(orders).To(HaveLen(1))
	o.HandleResult(orders[0], ownership.Unsent, "", o.now) // s-0 has ended
	o.now += settings.RetryInterval
	orders, _ = o.step()
	g.Expect(orders).To(HaveLen(1))
	o.HandleResult(orders[0], ownership.Done, "", o.now) // its next life has accepted the grant
	o.Move(0, keymap.KeyCount-1, "s-1")
	orders, _ = o.step()
	g.Expect(orders).To(HaveLen(1))
	g.Expect(orders[0].Kind).To(Equal(ownership.Release))
	o.SetServers(serversWithLife(2)) // the registration is read only now
	_, next := o.step()
	g.Expect(next).To(Equal(topology.ServerID("s-0")), "s-0 has neither released its keys nor has its grant expired")
}

// Guards against keys that go back to their last server although an append that gives them
// to another one may still take effect.
func TestNoRevertWhileAnAppendIsInDoubt(t *testing.T) {
	g := NewWithT(t)
	o := newOwnerTest(1)
	orders, _ := o.step()
	o.HandleResult(orders[0], ownership.Done, "", o.now)
	o.Move(0, keymap.KeyCount-1, "s-1")
	orders, _ = o.step()
	o.HandleResult(orders[0], ownership.Done, "h", o.now)
	keyMap, changed := o.NextKeyMap()
	g.Expect(changed).To(BeTrue())
	g.Expect(keyMap[0].Server).To(Equal(topology.ServerID("s-1")))
	o.KeyMapNotStored(true) // no response: the store may take it later
	o.NextKeyMap()
	o.KeyMapNotStored(false) // refused
	o.RevertMoves(o.now)
	orders, _ = o.step()
	g.Expect(orders).To(BeEmpty(), "the stored key map may name s-1")
}

// Guards against the address of an earlier life, which a restored store shows until the
// server registers again: that another server responds there says nothing about the
// present life, which holds its keys at its own address.
func TestAddressOfAnEarlierLifeComesBack(t *testing.T) {
	g := NewWithT(t)
	o := newOwnerTest(2)
	orders, _ := o.step()
	o.HandleResult(orders[0], ownership.Done, "", o.now)
	o.now += settings.RenewInterval
	earlier := serversWithLife(1)
	earlier["s-0"] = ownership.Server{Address: "reused", Incarnation: 1}
	o.SetServers(earlier)
	orders, _ = o.step()
	g.Expect(orders).To(HaveLen(1))
	g.Expect(orders[0].Address).NotTo(Equal("reused"))
	o.now += settings.CallTimeout
	o.HandleResult(orders[0], ownership.Unknown, "", o.now)
	o.Move(0, keymap.KeyCount-1, "s-1")
	orders, _ = o.step()
	for _, order := range orders {
		g.Expect(order.Address).NotTo(Equal("reused"))
		o.HandleResult(order, ownership.Unknown, "", o.now)
	}
	_, next := o.step()
	g.Expect(next).To(Equal(topology.ServerID("s-0")), "the grant to s-0 has not expired")
}

// Guards against the same while the present life has not responded to a grant yet: it may
// hold the keys at its own address.
func TestAddressOfAnEarlierLifeComesBackBeforeAResponse(t *testing.T) {
	g := NewWithT(t)
	o := newOwnerTest(1)
	orders, _ := o.step()
	o.HandleResult(orders[0], ownership.Done, "", o.now)
	later := serversWithLife(2)
	later["s-0"] = ownership.Server{Address: "later", Incarnation: 2}
	o.SetServers(later)
	o.now += settings.RetryInterval
	orders, _ = o.step()
	g.Expect(orders).To(HaveLen(1))
	g.Expect(orders[0].Address).To(Equal("later"))
	o.now += settings.CallTimeout
	o.HandleResult(orders[0], ownership.Unknown, "", o.now)
	o.SetServers(serversWithLife(1))
	o.now += settings.RetryInterval
	orders, _ = o.step()
	g.Expect(orders).To(HaveLen(1))
	o.HandleResult(orders[0], ownership.ServerGone, "", o.now)
	o.Move(0, keymap.KeyCount-1, "s-1")
	o.step()
	_, next := o.step()
	g.Expect(next).To(Equal(topology.ServerID("s-0")), "the grant to the later life has not expired")
}
