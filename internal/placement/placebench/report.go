package placebench

import (
	"fmt"
	"io"
	"strings"
)

// ScenarioNames returns the rows of the table of one deployment.
func ScenarioNames() []string {
	var names []string
	for _, s := range Scenarios() {
		names = append(names, s.Name)
	}
	return append(names, AllScenarios)
}

// WriteTable writes the results as a Markdown table per deployment, followed
// by a verdict.
func WriteTable(w io.Writer, o Options, results map[Cell]*Result) error {
	var b strings.Builder
	for _, d := range o.Deployments {
		fmt.Fprintf(&b, "### %s (weighs %s most)\n\n| scenario | policy |", d.Name, d.Priority)
		for m := range measureCount {
			fmt.Fprintf(&b, " %s |", m)
		}
		b.WriteString("\n|---|---|---:|---:|---:|---:|\n")
		for _, s := range ScenarioNames() {
			for _, p := range o.Policies {
				r := results[Cell{d.Name, s, p.Name, AllSeeds}]
				fmt.Fprintf(&b, "| %s | %s | %.3f | %.1f | %.1f | %.1f |\n", s, p.Name,
					r.Value(Imbalance), r.Value(Churn), r.Value(Unavailable), r.Value(Wait))
			}
		}
		b.WriteString("\n")
		for _, s := range ScenarioNames() {
			fmt.Fprintf(&b, "- %s: %s\n", s, judge(d, o, s, results))
		}
		b.WriteString("\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// judge says whether the first policy is best on the measure that the
// deployment weighs most, in how many of the seeds, and which baselines
// dominate it.
func judge(d Deployment, o Options, scenario string, results map[Cell]*Result) string {
	better, dominating := rivals(d, o, scenario, AllSeeds, results)
	text := "best on " + d.Priority.String()
	if len(better) > 0 {
		text = "not best on " + d.Priority.String() + ", behind " + strings.Join(better, ", ")
	}
	best := 0
	for seed := range o.Seeds {
		if b, _ := rivals(d, o, scenario, seed, results); len(b) == 0 {
			best++
		}
	}
	text += fmt.Sprintf(" (best with %d of %d seeds)", best, o.Seeds)
	if len(dominating) > 0 {
		return text + "; dominated by " + strings.Join(dominating, ", ")
	}
	return text + "; not dominated"
}

// rivals returns the baselines that are better than the first policy on the
// deployment's priority, and those that dominate it.
func rivals(d Deployment, o Options, scenario string, seed int, results map[Cell]*Result) (better, dominating []string) {
	own := results[Cell{d.Name, scenario, o.Policies[0].Name, seed}]
	for _, p := range o.Policies[1:] {
		r := results[Cell{d.Name, scenario, p.Name, seed}]
		if r.Value(d.Priority) < own.Value(d.Priority) {
			better = append(better, p.Name)
		}
		if Dominates(r, own) {
			dominating = append(dominating, p.Name)
		}
	}
	return better, dominating
}

// Dominates says whether a is at least as good as b on all measures and better
// on one.
func Dominates(a, b *Result) bool {
	better := false
	for m := range measureCount {
		if a.Value(m) > b.Value(m) {
			return false
		}
		better = better || a.Value(m) < b.Value(m)
	}
	return better
}
