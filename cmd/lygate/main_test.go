package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lycheerudder/lycheerudder/internal/gateway"
	"github.com/lycheerudder/lycheerudder/platform/standin"
)

// Guards against changes of the settings file that are missed or take effect only
// after SIGHUP, and against invalid settings that end the watch or are sent.
func TestWatchSettings(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings")
	valid := standin.HostConfig{Name: "h", IP: "127.0.0.1", CallerAddress: "127.0.0.1:1", ReadyAddress: "127.0.0.1:2", StoreAddress: "127.0.0.1:3", PeerPort: 4}.Settings()
	write := func(line string) {
		g.Expect(os.WriteFile(path, append(valid[:len(valid):len(valid)], line...), 0o600)).To(Succeed())
	}
	write("")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	changed := make(chan gateway.Settings)
	go watchSettings(ctx, path, changed)
	time.Sleep(50 * time.Millisecond) // until watchSettings has recorded the initial file version

	write("terms.bounds.drain_ms=1500\n")
	var got gateway.Settings
	g.Eventually(changed, 2*settingsPollInterval).Should(Receive(&got))
	g.Expect(got.Bounds.DrainWindow).To(Equal(1500 * time.Millisecond))

	write("terms.bounds.drain_ms=soon\n")
	g.Consistently(changed, settingsPollInterval+500*time.Millisecond).ShouldNot(Receive())

	write("terms.bounds.drain_ms=1000\n")
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
	g.Eventually(changed, settingsPollInterval).Should(Receive(&got))
	g.Expect(got.Bounds.DrainWindow).To(Equal(time.Second))
}

// Guards against a share of extra work that the servers cannot bear.
func TestHedgeShareIsChecked(t *testing.T) {
	for share, valid := range map[float64]bool{0: true, 0.05: true, 0.2: true, 0.21: false, -0.01: false, math.NaN(): false, math.Inf(1): false} {
		g := NewWithT(t)
		o := options{Settings: "x", HedgeShare: share}
		g.Expect(o.Validate()).To(HaveLen(map[bool]int{true: 0, false: 1}[valid]), "%g", share)
		s := gateway.Settings{HedgeShare: share}
		g.Expect(strings.Contains(fmt.Sprint(s.Check()), "hedge share")).To(Equal(!valid), "%g", share)
	}
}
