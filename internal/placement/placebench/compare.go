// Package placebench compares the placement policy with baselines on a small
// queueing model of servers, and measures the cost of one decision. It is
// used by the benchmark command only.
package placebench

import (
	"math"
	"sync"
)

// Metric is one of the compared measures. Lower is better for all of them.
type Metric int

// Metrics.
const (
	// Imbalance is the mean over time of max/mean utilisation.
	Imbalance Metric = iota
	// Churn is the number of changes of ownership per minute and deployment.
	Churn
	// Unavailable is the number of key-seconds per run and deployment in which
	// a key had no owner that could serve it.
	Unavailable
	// Wait is the 99th percentile of the time from arrival to start in
	// milliseconds.
	Wait
	measureCount
)

func (m Metric) String() string {
	return [...]string{"max/mean load", "moves/min", "unavailable key-s", "p99 wait ms"}[m]
}

const (
	// bucketsPerOctave bounds the error of a percentile to 1.1%.
	bucketsPerOctave = 64
	octaves          = 24
	minWait          = 1e-5
)

// Result holds the sums of one or more runs.
type Result struct {
	Changes     float64
	Unavailable float64
	imbalance   float64
	samples     float64
	waits       [octaves * bucketsPerOctave]float64
	requests    float64
	runs        map[uint64]bool
	scenarios   map[string]bool
}

func (r *Result) addWait(w float64) {
	b := 0
	if w > minWait {
		b = min(int(math.Log2(w/minWait)*bucketsPerOctave), len(r.waits)-1)
	}
	r.waits[b]++
	r.requests++
}

func (r *Result) addImbalance(x float64) {
	r.imbalance += x
	r.samples++
}

// merge adds the sums of another run.
func (r *Result) merge(o *Result, seed uint64, scenario string) {
	if r.runs == nil {
		r.runs, r.scenarios = make(map[uint64]bool), make(map[string]bool)
	}
	r.runs[seed], r.scenarios[scenario] = true, true
	r.Changes += o.Changes
	r.Unavailable += o.Unavailable
	r.imbalance += o.imbalance
	r.samples += o.samples
	r.requests += o.requests
	for i, n := range o.waits {
		r.waits[i] += n
	}
}

// Value returns a measure per run of a whole deployment.
func (r *Result) Value(m Metric) float64 {
	runs := float64(len(r.runs) * len(r.scenarios))
	switch m {
	case Imbalance:
		return r.imbalance / r.samples
	case Churn:
		return r.Changes / runs / (runTime / 60)
	case Unavailable:
		return r.Unavailable / runs
	default:
		return 1000 * r.percentile(0.99)
	}
}

func (r *Result) percentile(p float64) float64 {
	var sum float64
	for i, n := range r.waits {
		if sum += n; sum >= p*r.requests {
			return minWait * math.Exp2(float64(i+1)/bucketsPerOctave)
		}
	}
	return math.Inf(1)
}

// AllScenarios is the name of the row over all scenarios.
const AllScenarios = "all"

// AllSeeds is the seed of a cell that covers all seeds.
const AllSeeds = -1

// Cell names a result.
type Cell struct {
	Deployment, Scenario, Policy string
	Seed                         int
}

// Options say what to compare.
type Options struct {
	Deployments []Deployment
	Policies    []Policy
	Seeds       int
	Workers     int
}

// firstSeed separates the seeds of the comparison from seeds 0 to 2, with which
// the settings were chosen.
const firstSeed = 100

type job struct {
	deployment Deployment
	scenario   Scenario
	policy     Policy
	servers    int
	seed       uint64
	partition  uint64
}

// Compare runs every policy with the same requests in every scenario.
func Compare(o Options) map[Cell]*Result {
	jobs := make(chan job)
	results := make(map[Cell]*Result)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range o.Workers {
		wg.Go(func() {
			for j := range jobs {
				r := j.run()
				mu.Lock()
				for _, c := range j.cells() {
					if results[c] == nil {
						results[c] = &Result{}
					}
					results[c].merge(&r, j.seed, j.scenario.Name)
				}
				mu.Unlock()
			}
		})
	}
	for _, d := range o.Deployments {
		for _, j := range d.jobs(o) {
			jobs <- j
		}
	}
	close(jobs)
	wg.Wait()
	return results
}

func (d Deployment) jobs(o Options) []job {
	var jobs []job
	for seed := range o.Seeds {
		for _, sc := range Scenarios() {
			for _, p := range o.Policies {
				partition := uint64(0)
				for _, s := range d.Services {
					for _, n := range s.Partitions {
						jobs = append(jobs, job{d, sc, p, n, uint64(seed), partition})
						partition++
					}
				}
			}
		}
	}
	return jobs
}

// cells returns the cells that include the run of the job.
func (j job) cells() []Cell {
	var cells []Cell
	for _, scenario := range []string{j.scenario.Name, AllScenarios} {
		for _, seed := range []int{int(j.seed), AllSeeds} {
			cells = append(cells, Cell{j.deployment.Name, scenario, j.policy.Name, seed})
		}
	}
	return cells
}

func (j job) run() Result {
	seed := (firstSeed+j.seed)*1000 + j.partition + 1
	return newModel(j.policy.Decide, j.deployment.Settings, j.servers, seed).run(j.scenario)
}
