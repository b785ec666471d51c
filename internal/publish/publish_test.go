package publish

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/platformlog/logfake"
	"github.com/lycheerudder/lycheerudder/internal/state"
)

func document(g *WithT, share string) *config.Document {
	d, err := config.Parse([]byte(`{"services":{"booking":{"shards":8,"data_centres":["a"],"checks_fences":true,"slots":2,"max_conns":9}},"customers":{"pewright":{"share":` + share + `}}}`))
	g.Expect(err).NotTo(HaveOccurred())
	return d
}

// TestOperators guards against an operator who overwrites a change that was
// published after the review, or is not told whose change won.
func TestOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		l := logfake.New()
		one, two := NewOperator(l, "one"), NewOperator(l, "two")
		go one.Run(ctx)
		go two.Run(ctx)
		plan, err := one.Plan(ctx, document(g, "1"))
		g.Expect(err).NotTo(HaveOccurred())
		other, err := two.Plan(ctx, document(g, "2"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(one.Publish(ctx, plan, time.Minute)).To(BeZero())
		_, err = two.Publish(ctx, other, time.Minute)
		var conflict *state.Conflict
		g.Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
		g.Expect(conflict.Winner.Writer).To(Equal("one"))

		other, err = two.Plan(ctx, document(g, "2"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(other.Lines).To(Equal([]string{`customer pewright: {"share":1} -> {"share":2}`}))
		g.Expect(two.Publish(ctx, other, time.Minute)).To(BeEquivalentTo(2))
		_, err = one.Plan(ctx, document(g, "-1"))
		g.Expect(err).To(MatchError(ContainSubstring("share must be positive")))

		l.SetFaults(logfake.Faults{Down: true})
		short, stop := context.WithTimeout(ctx, time.Minute)
		defer stop()
		_, err = one.Plan(short, document(g, "3"))
		g.Expect(err).To(MatchError(context.DeadlineExceeded), "a plan must not rest on old configuration")
	})
}
