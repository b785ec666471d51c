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
