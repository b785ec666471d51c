package main

import (
	"fmt"
	"time"
)

// violation is a broken rule.
type violation struct{ rule, text string }

// checkLeaving checks DRAIN of the news page: a request that a client sent later than
// drain after a machine had passed on an answer with Server-Leaving reaches that server
// from that machine.
func checkLeaving(events []event, requests []*request, drain time.Duration) []violation {
	arrived := make(map[string][]event) // arrivals by request
	for _, e := range events {
		if e.Kind == "arrives" {
			arrived[e.ID] = append(arrived[e.ID], e)
		}
	}
	type place struct{ host, server string }
	told := make(map[place]time.Time)
	for _, q := range requests {
		if !q.leaving || len(arrived[q.id]) == 0 {
			continue
		}
		p := place{q.host.name, arrived[q.id][len(arrived[q.id])-1].Server}
		if t, ok := told[p]; !ok || q.ended.Before(t) {
			told[p] = q.ended
		}
	}
	var out []violation
	for _, q := range requests {
		for _, e := range arrived[q.id] {
			t, ok := told[place{q.host.name, e.Server}]
			if ok && q.sent.Sub(t) > drain {
				out = append(out, violation{"DRAIN", fmt.Sprintf("%s was sent %d ms after %s had passed on an answer with Server-Leaving of %s, and reached that server",
					q.id, q.sent.Sub(t).Milliseconds(), q.host.name, e.Server)})
			}
		}
	}
	return out
}

// checkStopping checks LOST of RULES.md around planned work: from a SIGTERM of its host
// until 1 s after grace_s, a request that was passed on to a server ends without a complete
// answer. Not counted are those whose deadline was reached or at which the server was still
// at work in the last sixth of grace_s.
func checkStopping(events []event, requests []*request, stops []stop) []violation {
	ran := make(map[string]time.Time) // end of the server's work by request
	for _, e := range events {
		if e.Kind == "ran" {
			ran[e.ID] = e.at
		}
	}
	var out []violation
	for _, q := range requests {
		end, ok := ran[q.id]
		if q.complete || !ok || !q.ended.Before(q.sent.Add(q.route.deadline)) {
			continue
		}
		for _, s := range stops {
			if s.host != q.host || q.ended.Before(s.at) || q.ended.After(s.at.Add(grace+time.Second)) || end.After(s.at.Add(grace*5/6)) {
				continue
			}
			out = append(out, violation{"LOST", fmt.Sprintf("%s (%s) was sent to %s %d ms after its SIGTERM, a server had answered it %d ms later, and the connection ended without the whole answer %d ms after that",
				q.id, q.route.name, q.host.name, q.sent.Sub(s.at).Milliseconds(), end.Sub(q.sent).Milliseconds(), q.ended.Sub(end).Milliseconds())})
		}
	}
	return out
}
