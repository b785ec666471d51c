package placebench

import (
	"fmt"
	"io"
	"strings"
)

// ScenarioNames returns the names of the scenarios, followed by AllScenarios.
func ScenarioNames() []string {
	var names []string
	for _, s := range Scenarios() {
		names = append(names, s.Name)
	}
	return append(names, AllScenarios)
}

// WriteTable writes a Markdown table of the results of each deployment, followed by
// one line per scenario that compares the first policy with the others.
func WriteTable(w io.Writer, o Options, results map[ResultKey]*Result) error {
	var b strings.Builder
	for _, d := range o.Deployments {
		fmt.Fprintf(&b, "### %s (weighs %s most)\n\n| scenario | policy |", d.Name, d.Priority)
		for m := range metricCount {
			fmt.Fprintf(&b, " %s |", m)
		}
		b.WriteString("\n|---|---|---:|---:|---:|---:|\n")
		for _, s := range ScenarioNames() {
			for _, p := range o.Policies {
				r := results[ResultKey{d.Name, s, p.Name, AllSeeds}]
				fmt.Fprintf(&b, "| %s | %s | %.3f | %.1f | %.1f | %.1f |\n", s, p.Name,
					r.Value(Imbalance), r.Value(Churn), r.Value(Unavailable), r.Value(Wait))
			}
		}
		b.WriteString("\n")
		for _, s := range ScenarioNames() {
			fmt.Fprintf(&b, "- %s: %s\n", s, verdict(d, o, s, results))
		}
		b.WriteString("\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// verdict describes whether the first policy is best by the priority metric of the
// deployment, with how many of the seeds it is, and which baselines dominate it.
func verdict(d Deployment, o Options, scenario string, results map[ResultKey]*Result) string {
	better, dominating := compareWithBaselines(d, o, scenario, AllSeeds, results)
	text := "best on " + d.Priority.String()
	if len(better) > 0 {
		text = "not best on " + d.Priority.String() + ", behind " + strings.Join(better, ", ")
	}
	best := 0
	for seed := range o.Seeds {
		if b, _ := compareWithBaselines(d, o, scenario, seed, results); len(b) == 0 {
			best++
		}
	}
	text += fmt.Sprintf(" (best with %d of %d seeds)", best, o.Seeds)
	if len(dominating) > 0 {
		return text + "; dominated by " + strings.Join(dominating, ", ")
	}
	return text + "; not dominated"
}

// compareWithBaselines returns the baselines that are better than the first policy by
// the priority metric of the deployment, and those that dominate it.
func compareWithBaselines(d Deployment, o Options, scenario string, seed int, results map[ResultKey]*Result) (better, dominating []string) {
	own := results[ResultKey{d.Name, scenario, o.Policies[0].Name, seed}]
	for _, p := range o.Policies[1:] {
		r := results[ResultKey{d.Name, scenario, p.Name, seed}]
		if r.Value(d.Priority) < own.Value(d.Priority) {
			better = append(better, p.Name)
		}
		if Dominates(r, own) {
			dominating = append(dominating, p.Name)
		}
	}
	return better, dominating
}

// Dominates reports whether a is at least as good as b by every metric and better by
// at least one.
func Dominates(a, b *Result) bool {
	better := false
	for m := range metricCount {
		if a.Value(m) > b.Value(m) {
			return false
		}
		better = better || a.Value(m) < b.Value(m)
	}
	return better
}
