package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/lycheerudder/lycheerudder/internal/admin"
	"github.com/lycheerudder/lycheerudder/internal/config"
	"github.com/lycheerudder/lycheerudder/internal/operator"
	"github.com/lycheerudder/lycheerudder/internal/state"
)

func printJSON(v any) error { return printJSONTo(os.Stdout, v) }

func printJSONTo(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table calls fill with a writer that aligns columns separated by tabs.
func table(fill func(w io.Writer)) error { return tableTo(os.Stdout, fill) }

func tableTo(out io.Writer, fill func(w io.Writer)) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fill(w)
	return w.Flush()
}

func row(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }

func millis(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

func printLagging(hosts []operator.HostStatus) {
	_ = table(func(w io.Writer) {
		row(w, "HOST\tREVISION\tERROR")
		for _, h := range hosts {
			revision := "-"
			if h.Status != nil {
				revision = fmt.Sprint(h.Status.ConfigRevision)
			}
			row(w, "%s\t%s\t%s", h.Host.ID, revision, h.Error)
		}
	})
}

func printExceptions(list []config.Exception) error {
	return table(func(w io.Writer) {
		row(w, "ID\tTARGET\tSETTING\tVALUE\tEXPIRES\tREASON")
		for _, x := range list {
			target, _ := json.Marshal(x.Target)
			expires := "-"
			if !x.Expires.IsZero() {
				expires = x.Expires.Format(time.RFC3339)
			}
			row(w, "%s\t%s\t%s\t%s\t%s\t%s", x.ID, target, x.Setting, x.Value, expires, x.Reason)
		}
	})
}

// printMembers writes members in the form that hosts-stopped takes.
func printMembers(lists []state.MemberList) error {
	return table(func(w io.Writer) {
		row(w, "CELL\tDATA CENTRE\tLIST\tREVISION\tMEMBERS")
		for _, l := range lists {
			members := make([]string, len(l.Members))
			for i, m := range l.Members {
				members[i] = fmt.Sprintf("%s=%d", m.Host, m.Incarnation)
			}
			row(w, "%s\t%s\t%d\t%d\t%s", l.Cell, l.DataCentre, l.Version, l.Revision.Offset, strings.Join(members, ","))
		}
	})
}

func printExplanation(e admin.Explanation) error {
	return table(func(w io.Writer) {
		row(w, "shard\t%s", e.Shard)
		row(w, "partition\t%s", e.Partition)
		row(w, "data centre\t%s", e.DataCentre)
		row(w, "leader host\t%s", e.Leader)
		row(w, "owner\t%s", e.Server)
		row(w, "state\t%s", e.State)
		row(w, "fence\t%s", e.Fence)
		row(w, "since\t%s ago", millis(e.SinceMS))
		row(w, "reason\t%s", e.Reason)
		row(w, "in place\t%t", e.InPlace)
	})
}

func printStatus(hosts []operator.HostStatus) error {
	return table(func(w io.Writer) {
		row(w, "HOST\tDATA CENTRE\tREADY\tREVISION\tLOG AGE\tMODE\tLIST\tUNKNOWN\tERROR")
		for _, h := range hosts {
			s := h.Status
			if s == nil {
				row(w, "%s\t%s\t-\t-\t-\t-\t-\t-\t%s", h.Host.ID, h.Host.DataCentre, h.Error)
				continue
			}
			row(w, "%s\t%s\t%t\t%d\t%s\t%s\t%d (%d members)\t%d\t", s.Host, s.DataCentre, s.Ready, s.ConfigRevision, millis(s.LogAgeMS), s.Mode, s.List, len(s.Members), s.UnknownRecords)
		}
		row(w, "\nPARTITION\tLEADER\tEPOCH\tSERVER\tSHARDS\tLEASE\tIN FLIGHT\tQUEUED\tDRAINING")
		for _, h := range hosts {
			printPartitions(w, h.Status)
		}
		row(w, "\nQUARANTINED\tHOST\tCRASHES\tLEFT")
		for _, h := range hosts {
			if h.Status == nil {
				continue
			}
			for _, q := range h.Status.Quarantined {
				row(w, "%s\t%s\t%d\t%s", q.Fingerprint, h.Status.Host, q.Crashes, millis(q.LeftMS))
			}
		}
	})
}

func printPartitions(w io.Writer, s *admin.Status) {
	if s == nil {
		return
	}
	for _, p := range s.Partitions {
		for _, srv := range p.Servers {
			row(w, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%d\t%t", p.ID, s.Host, p.Epoch, srv.ID, srv.Shards, millis(srv.LeaseMS), srv.InFlight, srv.Queued, srv.Draining)
		}
	}
}
