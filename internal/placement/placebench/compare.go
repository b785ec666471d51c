// Package placebench compares the placement policy with baselines in a
// simulation of servers with queues, and measures the cost of one decision. It is
// used by the benchmark command only.
package placebench

import (
	"math"
	"sync"
)

// Metric is a metric by which policies are compared. Lower is better for all of them.
type Metric int

// Metrics.
const (
	// Imbalance is the ratio of the highest to the mean utilisation of the servers,
	// averaged over time.
	Imbalance Metric = iota
	// Churn is the number of moves, splits and joins per minute in a deployment.
	Churn
	// Unavailable is the time in which a key had no owner that could serve it,
	// summed over all keys of a deployment, per run.
	Unavailable
	// Wait is the 99th percentile of the time from the arrival of a request to its
	// start, in milliseconds.
	Wait
	metricCount
)

func (m Metric) String() string {
	return [...]string{"max/mean load", "moves/min", "unavailable key-s", "p99 wait ms"}[m]
}

const (
	// bucketsPerOctave limits the error of a percentile to 1.1%.
	bucketsPerOctave = 64
	octaves          = 24
	// minWait is the lower limit of the histogram in seconds.
	minWait = 1e-5
)

// Result holds the measurements of one or more runs.
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

// merge adds the measurements of another run.
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

// Value returns the value of a metric for one run of a whole deployment, averaged
// over the runs.
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

// AllScenarios is the scenario name of results that cover all scenarios.
const AllScenarios = "all"

// AllSeeds is the seed of results that cover all seeds.
const AllSeeds = -1

// ResultKey identifies the runs that a Result covers.
type ResultKey struct {
	Deployment, Scenario, Policy string
	Seed                         int
}

// Options configure a comparison.
type Options struct {
	Deployments []Deployment
	Policies    []Policy
	Seeds       int
	Workers     int
}

// firstSeed is added to the seeds of a comparison so that they differ from seeds 0
// to 2, for which the settings of the policy were chosen.
const firstSeed = 100

// job is the simulation of one partition of a deployment.
type job struct {
	deployment Deployment
	scenario   Scenario
	policy     Policy
	servers    int
	seed       uint64
	partition  uint64
}

// Compare simulates every scenario with every policy. All policies get the same
// requests.
func Compare(o Options) map[ResultKey]*Result {
	jobs := make(chan job)
	results := make(map[ResultKey]*Result)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range o.Workers {
		wg.Go(func() {
			for j := range jobs {
				r := j.run()
				mu.Lock()
				for _, key := range j.resultKeys() {
					if results[key] == nil {
						results[key] = &Result{}
					}
					results[key].merge(&r, j.seed, j.scenario.Name)
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

// resultKeys returns the keys of the results that include the run of the job.
func (j job) resultKeys() []ResultKey {
	var keys []ResultKey
	for _, scenario := range []string{j.scenario.Name, AllScenarios} {
		for _, seed := range []int{int(j.seed), AllSeeds} {
			keys = append(keys, ResultKey{j.deployment.Name, scenario, j.policy.Name, seed})
		}
	}
	return keys
}

func (j job) run() Result {
	seed := (firstSeed+j.seed)*1000 + j.partition + 1
	return newModel(j.policy.Decide, j.deployment.Settings, j.servers, seed).run(j.scenario)
}
