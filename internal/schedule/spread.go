package schedule

const (
	// spreadBuckets and spreadStep set the resolution of a spread: ratios up to 4, in
	// steps that are below the usual deviation of processing times (0.3 of their mean).
	spreadBuckets = 40
	spreadStep    = 0.1
	// spreadWeight is the weight of a new observation. It equals that of the mean, so
	// that the two agree.
	spreadWeight = classWeight
	// minSpreadObservations is the number of observations below which the usual ratios
	// are assumed: a ninth decile needs some tens of them.
	minSpreadObservations = 30
	// usualMedian and usualSafe are the median and the ninth decile of a class before
	// minSpreadObservations: those of a normal distribution with a deviation of 0.3.
	usualMedian = 1.0
	usualSafe   = 1.4
	// safeShare is the share of jobs that meet their target if they start safely.
	safeShare = 0.9
	// spreadInterval is the number of observations between updates of the quantiles.
	spreadInterval = 8
)

// spread is the distribution of the processing times of a class relative to what is
// expected at their servers. The mean alone does not tell which jobs meet their target:
// of some classes a few jobs take several times as long as the others.
type spread struct {
	shares       [spreadBuckets]float64
	observations int
	// median and safe are the quantiles of one half and of safeShare.
	median, safe float64
}

// observe adds the ratio of an observed to an expected processing time.
func (d *spread) observe(ratio float64) {
	weight := max(spreadWeight, 1/float64(d.observations+1))
	for i := range d.shares {
		d.shares[i] *= 1 - weight
	}
	d.shares[min(int(ratio/spreadStep), spreadBuckets-1)] += weight
	d.observations++
	if d.observations%spreadInterval == 0 {
		d.median, d.safe = d.quantile(0.5), d.quantile(safeShare)
	}
}

// quantile returns the ratio that the given share of the jobs does not exceed.
func (d *spread) quantile(share float64) float64 {
	var sum float64
	for i, s := range d.shares {
		if sum+s >= share {
			return spreadStep * (float64(i) + (share-sum)/s)
		}
		sum += s
	}
	return spreadStep * spreadBuckets
}

// medianRatio returns the multiple of its expected time within which half of the jobs of
// a class end.
func (d *spread) medianRatio() float64 {
	if d.observations < minSpreadObservations {
		return usualMedian
	}
	return d.median
}

// safeRatio returns the multiple of its expected time within which safeShare of the jobs
// of a class end.
func (d *spread) safeRatio() float64 {
	if d.observations < minSpreadObservations {
		return usualSafe
	}
	return d.safe
}
