package hopbench

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/lycheerudder/lycheerudder/internal/frontend"
	"github.com/lycheerudder/lycheerudder/internal/serverapi"
)

const (
	keys      = 4096
	bodyBytes = 200
	saturated = 64  // callers at saturation
	paced     = 256 // callers at a fixed rate
	satTime   = time.Second
)

var (
	requestBody = strings.Repeat("q", bodyBytes)
	answerBody  = strings.Repeat("a", bodyBytes)
)

// Answer is a server application that answers each request at once.
func Answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, answerBody)
}

// Path sends request n of a run over one of the ways.
type Path func(c *http.Client, n int) error

// Direct sends a request to its server.
func (f *Fleet) Direct(c *http.Client, n int) error {
	key := "key-" + strconv.Itoa(n%keys)
	t := f.owner(key)
	return send(c, t.BaseURL+"/v1/run/sheet", map[string]string{
		serverapi.HeaderShard: t.Shard.String(), serverapi.HeaderFence: t.Fence.String(), serverapi.HeaderKey: key, serverapi.HeaderCustomer: "pewright",
	})
}

// Through returns the path through the host with the given base URL.
func Through(base string) Path {
	return func(c *http.Client, n int) error {
		id, err := uuid.NewV7()
		if err != nil {
			return eris.Wrap(err, "request id")
		}
		return send(c, base+"/v1/booking/sheet", map[string]string{
			frontend.HeaderCustomer: "pewright", frontend.HeaderKey: "key-" + strconv.Itoa(n%keys), frontend.HeaderRequestID: id.String(),
		})
	}
}

func send(c *http.Client, url string, headers map[string]string) error {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(requestBody))
	if err != nil {
		return eris.Wrap(err, "request")
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := c.Do(req)
	if err != nil {
		return eris.Wrap(err, "call")
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return eris.Wrap(err, "answer")
	}
	if resp.StatusCode != http.StatusOK || len(body) != bodyBytes {
		return eris.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return nil
}

// Saturation returns the requests per second with a fixed number of callers.
// Requests that are refused because a server has no free slot do not count.
func Saturation(c *http.Client, p Path) float64 {
	var done, next atomic.Int64
	start := time.Now()
	var wg sync.WaitGroup
	for range saturated {
		wg.Go(func() {
			for time.Since(start) < satTime {
				if p(c, int(next.Add(1))) == nil {
					done.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return float64(done.Load()) / time.Since(start).Seconds()
}

// Result is the outcome of Measure. The CPU time is that of the whole process
// per request. It includes that of callers and servers, which is the same for
// each path; the difference to the direct path is that of the entry hosts.
type Result struct {
	P50, P99, CPU time.Duration
	Rate          float64
	Failed        int64
	Err           error // of one failed request
}

// Measure sends n requests at a fixed rate.
func Measure(c *http.Client, p Path, n int, rate float64) Result {
	var r Result
	var mu sync.Mutex
	took := make([]time.Duration, n)
	interval := time.Duration(float64(time.Second) / rate)
	before, start := cpu(), time.Now()
	var wg sync.WaitGroup
	for w := range min(paced, n) {
		wg.Go(func() {
			for i := w; i < n; i += paced {
				time.Sleep(time.Until(start.Add(time.Duration(i) * interval)))
				sent := time.Now()
				if err := p(c, i); err != nil {
					mu.Lock()
					r.Failed, r.Err = r.Failed+1, err
					mu.Unlock()
				}
				took[i] = time.Since(sent)
			}
		})
	}
	wg.Wait()
	r.CPU = (cpu() - before) / time.Duration(n)
	r.Rate = float64(n) / time.Since(start).Seconds()
	slices.Sort(took)
	r.P50, r.P99 = took[(n-1)/2], took[(n-1)*99/100]
	return r
}

// cpu returns the CPU time of this process.
func cpu() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0 // cannot fail with these arguments
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
