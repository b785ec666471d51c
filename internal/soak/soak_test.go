package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/soak"
)

// Runs one short seed with real processes. Guards against faults in the soak itself, and
// against changes that violate a guarantee at the first faults. Longer runs with other
// seeds are started manually (make soak).
func TestShortSoak(t *testing.T) {
	g := NewWithT(t)
	program := filepath.Join(t.TempDir(), "lygate")
	out, err := exec.Command("go", "build", "-o", program, "github.com/lycheerudder/lycheerudder/cmd/lygate").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	r, err := soak.Run(t.Context(), soak.Options{
		Seed: 1, Duration: 6 * time.Second, Hosts: 3, Servers: 4, Callers: 4, Program: program, LogDir: t.TempDir(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	for _, f := range r.Faults {
		t.Log(f)
	}
	g.Expect(r.Violations).To(BeEmpty())
	g.Expect(r.Served).To(BeNumerically(">", 100))
}
