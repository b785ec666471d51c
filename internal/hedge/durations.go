package hedge

import (
	"math"
	"time"
)

const (
	// firstBucket is the upper end of the first bucket, bucketsPerOctave the number of
	// buckets in which durations double: a quantile is at most 9% too long.
	firstBucket      = time.Millisecond
	bucketsPerOctave = 8
	// bucketCount covers 1 ms to 65 s, more than a request may take by any deadline.
	bucketCount = 16 * bucketsPerOctave
	// halfLife is the time in which the weight of an observation halves: the speed of
	// servers changes within seconds, and a host sees few requests of a route a second.
	halfLife = 30 * time.Second
)

// durations is a distribution of response times that forgets old ones. It has a fixed size
// of 0.5 KiB, and equal observations give equal results.
type durations struct {
	weights [bucketCount]float32
	total   float64
	decayed time.Duration // time of the last decay
}

// bucket returns the index of the bucket of a duration.
func bucket(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	i := math.Ceil(bucketsPerOctave * math.Log2(float64(d)/float64(firstBucket)))
	return min(int(i), bucketCount-1)
}

// upperEnd returns the longest duration of a bucket.
func upperEnd(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2(float64(i)/bucketsPerOctave))
}

// decayInterval is the interval between decays, so that not every observation changes all
// weights.
const decayInterval = halfLife / 30

func (d *durations) decay(now time.Duration) {
	if now-d.decayed < decayInterval {
		return
	}
	factor := float32(math.Exp2(-float64(now-d.decayed) / float64(halfLife)))
	d.decayed, d.total = now, 0
	for i := range d.weights {
		d.weights[i] *= factor
		d.total += float64(d.weights[i])
	}
}

func (d *durations) add(took, now time.Duration) {
	d.decay(now)
	d.weights[bucket(took)]++
	d.total++
}

// quantile returns a duration that the given share of the observations does not exceed.
func (d *durations) quantile(share float64) time.Duration {
	sum := 0.0
	for i, w := range d.weights {
		sum += float64(w)
		if sum >= share*d.total {
			return upperEnd(i)
		}
	}
	return upperEnd(bucketCount - 1)
}
