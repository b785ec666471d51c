package placebench

import (
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/lycheerudder/lycheerudder/internal/placement"
	"github.com/lycheerudder/lycheerudder/internal/topology"
)

const (
	// shardsPerPartition and keysPerPartition yield about 156 keys per shard.
	shardsPerPartition = 128
	keysPerPartition   = 20_000
	// With zipfExponent the hottest key gets 9.5% of the requests of a partition.
	zipfExponent = 1.0
	// meanService is the mean of the exponential service time in seconds.
	meanService = 0.010
	// slots is the number of requests that a server runs at the same time.
	slots = 2
	// baseUtilisation is the fraction of the slots that is busy on average while all
	// servers are up and run at nominal speed.
	baseUtilisation = 0.5
	// hotRanks is the number of hottest keys that a change of the hot set
	// replaces.
	hotRanks = 50
)

// workload draws the requests of one partition at random. The requests do not depend
// on the policy.
type workload struct {
	rng *rand.Rand
	// rate is the number of requests per second.
	rate float64
	// prob is the probability of each popularity rank; accept and alias are the tables
	// for sampling ranks with the alias method.
	prob   []float64
	accept []float64
	alias  []int32
	// keys maps ranks to keys, shards maps keys to shards.
	keys   []int32
	shards []int32
	refs   []topology.ShardRef
}

func newWorkload(seed uint64, servers int) *workload {
	w := &workload{
		rng:    rand.New(rand.NewPCG(seed, 1)),
		rate:   baseUtilisation * slots * float64(servers) / meanService,
		prob:   make([]float64, keysPerPartition),
		keys:   make([]int32, keysPerPartition),
		shards: make([]int32, keysPerPartition),
		refs:   make([]topology.ShardRef, keysPerPartition),
	}
	var sum float64
	for i := range w.prob {
		w.prob[i] = math.Pow(float64(i+1), -zipfExponent)
		sum += w.prob[i]
	}
	for i, k := range w.rng.Perm(keysPerPartition) {
		w.prob[i] /= sum
		w.keys[i] = int32(k)
		w.shards[i] = int32(w.rng.IntN(shardsPerPartition))
		w.refs[i] = topology.ShardRef{Service: "bench", Shard: topology.ShardID(w.shards[i]), Key: strconv.Itoa(i)}
	}
	w.buildAliasTables()
	return w
}

// buildAliasTables builds the tables of Vose's alias method.
func (w *workload) buildAliasTables() {
	n := len(w.prob)
	w.accept, w.alias = make([]float64, n), make([]int32, n)
	var small, large []int32
	for i, p := range w.prob {
		w.accept[i] = p * float64(n)
		if w.accept[i] < 1 {
			small = append(small, int32(i))
		} else {
			large = append(large, int32(i))
		}
	}
	for len(small) > 0 && len(large) > 0 {
		s, l := small[len(small)-1], large[len(large)-1]
		small = small[:len(small)-1]
		w.alias[s] = l
		w.accept[l] -= 1 - w.accept[s]
		if w.accept[l] < 1 {
			large = large[:len(large)-1]
			small = append(small, l)
		}
	}
	for _, rest := range [][]int32{small, large} {
		for _, i := range rest {
			w.accept[i] = 1
		}
	}
}

// nextRequest returns the time between the last request and the next one, the key of
// the next one and its service time at nominal speed, in seconds.
func (w *workload) nextRequest() (gap float64, key int32, service float64) {
	gap = w.rng.ExpFloat64() / w.rate
	i := int32(w.rng.IntN(len(w.prob)))
	if w.rng.Float64() >= w.accept[i] {
		i = w.alias[i]
	}
	return gap, w.keys[i], w.rng.ExpFloat64() * meanService
}

// changeHotSet swaps the hottest keys with randomly chosen other ones.
func (w *workload) changeHotSet() {
	for i := range hotRanks {
		j := hotRanks + w.rng.IntN(len(w.keys)-hotRanks)
		w.keys[i], w.keys[j] = w.keys[j], w.keys[i]
	}
}

// keyLoads returns the true load of each key in busy slots.
func (w *workload) keyLoads() []float64 {
	loads := make([]float64, len(w.keys))
	for rank, k := range w.keys {
		loads[k] = w.prob[rank] * w.rate * meanService
	}
	return loads
}

// Service is one service of a deployment with the number of servers in each
// of its partitions.
type Service struct {
	Name       string
	Partitions []int
}

// Deployment describes a deployment of the router: its settings and the servers of its
// services.
type Deployment struct {
	Name     string
	Settings placement.Settings
	Services []Service
	// Priority is the metric that matters most to the deployment.
	Priority Metric
}

// Deployments returns the deployments that are compared, at their present size.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "Kingston", Settings: placement.KingstonSettings(), Priority: Unavailable,
			Services: []Service{{"booking", []int{5, 5, 5, 5}}, {"workshop", []int{4, 4, 4, 3}}},
		},
		{
			Name: "hr-jadran", Settings: placement.HrJadranSettings(), Priority: Imbalance,
			Services: []Service{{"rounds", []int{9, 8, 8}}, {"settlement", []int{5, 5, 5}}},
		},
	}
}
