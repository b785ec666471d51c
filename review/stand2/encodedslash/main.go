// Program encodedslash sends requests whose path has an encoded slash, while servers lose
// some of their answers, and checks that none that must not be repeated runs twice.
package main

import (
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheerudder/lycheerudder/platform/standin"
	"github.com/lycheerudder/lycheerudder/review/stand2/lab"
)

const (
	service   = "workshop"
	servers   = 5
	forgetful = 3  // of the servers lose answers: 0.6, the largest share of answer_lost
	lostIn100 = 40 // of their answers are lost: 0.4, the largest x of answer_lost
	hosts     = 3
	requests  = 900
	interval  = 12 * time.Millisecond
	timeLeft  = 1500 * time.Millisecond
	// Answers are lost for 4 s, the time of answer_lost with the largest x.
	lossBegins = 4 * time.Second
	lossTime   = 4 * time.Second
)

// routes is the configuration: a route, and one that was split off it.
var routes = []standin.Route{
	{Prefix: "/orders/", Service: service, Idempotent: false},
	{Prefix: "/orders/reads/", Service: service, Idempotent: true},
}

// mayRepeat returns what the configuration says of a path as it was sent: the longest prefix
// that begins it decides.
func mayRepeat(path string) bool {
	longest, idempotent := -1, false
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > longest {
			longest, idempotent = len(r.Prefix), r.Idempotent
		}
	}
	return idempotent
}

func main() {
	program := flag.String("program", "target/lygate", "program of a host")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether servers lose answers")
	flag.Parse()
	code, err := run(*program, *recordPath, *trouble)
	if err != nil {
		fmt.Println(err)
	}
	os.Exit(code)
}

func run(program, recordPath string, trouble bool) (int, error) {
	record, err := lab.NewRecord(recordPath)
	if err != nil {
		return lab.CouldNot, err
	}
	defer record.Close()
	l, err := lab.New()
	if err != nil {
		return lab.CouldNot, err
	}
	defer l.Close()
	loss := new(loss)
	list, err := startServers(l, record, loss)
	if err != nil {
		return lab.CouldNot, err
	}
	if err := l.Deployment.PublishConfig(1, routes, map[string]bool{service: false}); err != nil {
		return lab.CouldNot, err
	}
	if err := l.StartHosts(program, hosts); err != nil {
		return lab.CouldNot, err
	}
	if trouble {
		loss.plan(time.Now())
	}
	sendAll(l, record)
	time.Sleep(time.Second) // lets running requests end
	return judge(record, list), nil
}

// loss is the time in which answers are lost.
type loss struct{ from atomic.Int64 }

func (l *loss) plan(start time.Time) { l.from.Store(start.Add(lossBegins).UnixNano()) }

func (l *loss) inForce() bool {
	from := l.from.Load()
	since := time.Since(time.Unix(0, from))
	return from != 0 && since >= 0 && since < lossTime
}

// startServers starts servers, some of which lose the answers of some requests that they ran.
func startServers(l *lab.Lab, record *lab.Record, loss *loss) ([]*standin.Server, error) {
	var list []*standin.Server
	for i := range servers {
		id := fmt.Sprintf("i-%d", i)
		s := standin.NewServer(id, service, false, 2, 60*time.Millisecond, func(request string, _ int) {
			record.Add("%s runs %s", id, request)
		})
		if i < forgetful {
			s.Respond = func(w http.ResponseWriter, r *http.Request) bool {
				return loss.inForce() && loseAnswer(record, id, w, r)
			}
		}
		if err := l.Deployment.StartServer(s); err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	l.Deployment.RegisterServers()
	return list, nil
}

// loseAnswer resets the connection instead of an answer, for a fixed part of the requests.
func loseAnswer(record *lab.Record, server string, w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get("Lycheerudder-Request-Id")
	h := fnv.New32a()
	_, _ = io.WriteString(h, id+server)
	if h.Sum32()%100 >= lostIn100 {
		return false
	}
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	record.Add("%s loses the answer to %s", server, id)
	_ = nc.Close()
	return true
}

// path returns the path of a request and its id, in turn one with an encoded slash, a plain
// one of the same route, and one that may be repeated.
func path(i int) (path, id string) {
	switch i % 3 {
	case 0:
		return fmt.Sprintf("/orders/reads%%2F%d", i), fmt.Sprintf("encoded-%d", i)
	case 1:
		return fmt.Sprintf("/orders/reads-%d", i), fmt.Sprintf("plain-%d", i)
	default:
		return fmt.Sprintf("/orders/reads/%d", i), fmt.Sprintf("repeatable-%d", i)
	}
}

func sendAll(l *lab.Lab, record *lab.Record) {
	client := &http.Client{Timeout: timeLeft + time.Second}
	var sent sync.WaitGroup
	for i := range requests {
		h := l.Hosts[i%len(l.Hosts)]
		sent.Go(func() {
			p, id := path(i)
			record.Add("%s sent: POST %s to %s", id, p, h.Name)
			resp, err := standin.SendRequest(client, h.CallerAddress, http.MethodPost, p, id, timeLeft, 0)
			if err != nil {
				record.Add("%s has no answer: %v", id, err)
				return
			}
			defer func() { _ = resp.Body.Close() }()
			body, _ := io.ReadAll(resp.Body)
			record.Add("%s answered: %d %q", id, resp.StatusCode, body)
		})
		time.Sleep(interval)
	}
	sent.Wait()
}

// judge reports whether a request that must not be repeated has run more than once.
func judge(record *lab.Record, list []*standin.Server) int {
	code, once := lab.Held, 0
	for i := range requests {
		p, id := path(i)
		runs := 0
		for _, s := range list {
			runs += s.RunCount(id)
		}
		switch {
		case runs == 1:
			once++
		case runs > 1 && mayRepeat(p):
			record.Add("%s (%s) ran %d times, which its route permits", id, p, runs)
		case runs > 1:
			record.Add("TWICE: %s (%s) ran %d times, and its route is non_idempotent", id, p, runs)
			code = lab.Broken
		}
	}
	record.Add("%d requests ran once", once)
	if once < requests/2 {
		record.Add("too few requests were run for a verdict")
		return lab.CouldNot
	}
	return code
}
