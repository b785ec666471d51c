package config

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const valid = `{"services":{"booking":{"shards":64,"data_centres":["a"],"checks_fences":true,"slots":2,"max_conns":130}},
	"customers":{"pewright":{"share":1}},
	"exceptions":[{"id":"x1","target":{"service":"booking"},"setting":"slots","value":3,"reason":"larger hosts"}]}`

func parse(g *WithT, s string) *Document {
	d, err := Parse([]byte(s))
	g.Expect(err).NotTo(HaveOccurred())
	return d
}

// TestValidate guards against configuration that is accepted although it is
// wrong, and against errors that hide other errors.
func TestValidate(t *testing.T) {
	for name, c := range map[string]struct {
		old, new string
		want     []string
	}{
		"valid":           {"", "", nil},
		"no reason":       {`"larger hosts"`, `" "`, []string{`exception "x1": needs a written reason`}},
		"shards changed":  {`"shards":64`, `"shards":65`, []string{"shards must not change (64 to 65)"}},
		"homes changed":   {`["a"]`, `["a","b"]`, []string{"data_centres must not change"}},
		"setting unknown": {`"setting":"slots"`, `"setting":"shards"`, []string{`"shards" does not exist or cannot`}},
		"value of a type": {`"value":3`, `"value":"3"`, []string{"has the wrong type"}},
		"value missing":   {`"value":3,`, ``, []string{"needs a value"}},
		"target unknown":  {`{"service":"booking"}`, `{"service":"bookin"}`, []string{`service "bookin" is not configured`}},
		"target missing":  {`{"service":"booking"}`, `{}`, []string{"needs a target"}},
		"all at once": {`"slots":2,"max_conns":130}},"customers":{"pewright":{"share":1}}`, `"slots":0,"max_conns":1}},"customers":{"":{"share":0}}`,
			[]string{"slots and max_conns", "has no name", "share must be positive"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			flat := strings.ReplaceAll(valid, "\n\t", "")
			next := parse(g, strings.Replace(flat, c.old, c.new, 1))
			err := ValidateChange(parse(g, valid), next)
			if c.want == nil {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(HaveLen(len(c.want)))
			for _, w := range c.want {
				g.Expect(err.Error()).To(ContainSubstring(w))
			}
		})
	}
	for _, bad := range []string{`{"sevices":{}}`, `{} {}`, ``, `[]`, `{"services":{"a":{"shard":1}}}`} {
		_, err := Parse([]byte(bad))
		NewWithT(t).Expect(err).To(HaveOccurred(), bad)
	}
}

// TestEffective guards against an exception that applies elsewhere, stays in
// force after its expiry, or overrides a more specific one.
func TestEffective(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	d := parse(g, valid)
	d.Exceptions = []Exception{
		{ID: "p", Target: Target{Partition: "booking.a.0"}, Setting: "slots", Value: json.RawMessage("5"), Reason: "r", Expires: now},
		{ID: "s", Target: Target{Service: "booking"}, Setting: "slots", Value: json.RawMessage("3"), Reason: "r"},
		{ID: "d", Target: Target{DataCentre: "a"}, Setting: "slots", Value: json.RawMessage("4"), Reason: "r"},
		{ID: "c", Target: Target{Customer: "pewright", DataCentre: "b"}, Setting: "share", Value: json.RawMessage("9"), Reason: "r"},
	}
	g.Expect(d.Validate()).To(Succeed())
	for _, c := range []struct {
		scope Target
		now   time.Time
		slots int
		share float64
	}{
		{Target{Service: "booking"}, now, 3, 0},
		{Target{Service: "booking", DataCentre: "a", Partition: "booking.a.0"}, now.Add(-1), 5, 0},
		{Target{Service: "booking", DataCentre: "a", Partition: "booking.a.0"}, now, 3, 0},
		{Target{Service: "other", DataCentre: "a"}, now, 4, 0},
		{Target{Service: "booking", DataCentre: "a", Customer: "pewright"}, now, 3, 1},
		{Target{Service: "booking", DataCentre: "b", Customer: "pewright"}, now, 3, 9},
	} {
		e := d.Effective(c.scope, c.now)
		g.Expect(e.Service.Slots).To(Equal(c.slots), "%+v", c)
		g.Expect(e.Customer.Share).To(Equal(c.share), "%+v", c)
	}
}

// TestDiff guards against a change that does not lead to the document that the
// operator reviewed.
func TestDiff(t *testing.T) {
	g := NewWithT(t)
	prev, next := parse(g, valid), parse(g, valid)
	next.Fleet.WeightChurn = 2
	next.Services["rounds"] = Service{Shards: 1, DataCentres: []topology.DataCentre{"b"}, Slots: 1, MaxConns: 1}
	delete(next.Customers, "pewright")
	next.Customers["sejk-kombi"] = Customer{Share: 2}
	next.Exceptions[0].ID = "x2"
	c := Diff(prev, next)
	g.Expect(c.Apply(prev)).To(Equal(next))
	g.Expect(prev).To(Equal(parse(g, valid)), "the previous document must not change")
	g.Expect(Diff(next, next)).To(Equal(Change{Services: map[topology.Service]*Service{}, Customers: map[topology.Customer]*Customer{}}))
	g.Expect(strings.Join(c.Describe(prev), "\n")).To(Equal(`fleet: {} -> {"weight_churn":2}
service rounds: added {"shards":1,"data_centres":["b"],"checks_fences":false,"slots":1,"max_conns":1,"max_exchange_ns":0}
customer pewright: removed {"share":1}
customer sejk-kombi: added {"share":2}
exception x2: added {"id":"x2","target":{"service":"booking"},"setting":"slots","value":3,"reason":"larger hosts"}
exception x1: removed {"id":"x1","target":{"service":"booking"},"setting":"slots","value":3,"reason":"larger hosts"}`))
}
