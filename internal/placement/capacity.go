package placement

import (
	"math"
	"slices"
	"time"
)

// Tick is the interval at which a leader calls Decide.
const Tick = time.Second

const (
	// speedPrior is the number of busy slots at which a server's measured speed
	// counts as much as the assumption of nominal speed. It keeps the capacity
	// of a server with little load near nominal.
	speedPrior = 0.5
	// reportCutoff is the measured load in busy slots at and above which reports
	// have no effect. The leader's own measurement is then more exact than the
	// reports, whose noise would only cause moves.
	reportCutoff = 0.5
	// minReports is the number of recent reports below which all are ignored.
	// The median of three ignores a single misleading report.
	minReports = 3
	// Reports older than maxReportAge are ignored.
	maxReportAge = 5 * time.Second
	// minSpeed and maxSpeed limit the measured speed relative to nominal.
	minSpeed    = 0.1
	maxSpeed    = 4
	warmupSteps = 10
)

// Capacity returns the number of slots of nominal speed that the server is worth
// after its warm-up. It follows from the leader's own measurement; reports change
// it by at most settings.ReportBound.
func Capacity(s Server, settings Settings) float64 {
	measured := speed(s.NominalLoad, s.BusySlots)
	adjusted := measured
	if busy, ok := medianReport(s.Reports); ok {
		bound := settings.ReportBound * max(0, 1-s.NominalLoad/reportCutoff)
		adjusted = min(max(speed(s.NominalLoad, busy), measured*(1-bound)), measured*(1+bound))
	}
	return float64(s.Slots) * adjusted
}

// WarmupFraction returns the fraction of its capacity that a server may use at the
// given time after its start. It grows in steps to 1 at the end of the warm-up.
func WarmupFraction(uptime, warmup time.Duration) float64 {
	if uptime >= warmup || warmup <= 0 {
		return 1
	}
	return (math.Floor(warmupSteps*float64(uptime)/float64(warmup)) + 1) / warmupSteps
}

// Smooth returns the exponentially weighted moving average with one sample added
// that was measured over dt. The time constant is tau.
func Smooth(mean, sample float64, dt, tau time.Duration) float64 {
	return mean + (sample-mean)*(1-math.Exp(-float64(dt)/float64(tau)))
}

// speed returns a server's speed relative to nominal.
func speed(nominalLoad, busySlots float64) float64 {
	return min(max((nominalLoad+speedPrior)/(busySlots+speedPrior), minSpeed), maxSpeed)
}

// medianReport returns the median busy slots of the recent reports (the lower one
// of two), or false if there are too few.
func medianReport(reports []Report) (float64, bool) {
	recent := make([]float64, 0, len(reports))
	for _, r := range reports {
		if r.Age <= maxReportAge && r.BusySlots >= 0 {
			recent = append(recent, r.BusySlots)
		}
	}
	if len(recent) < minReports {
		return 0, false
	}
	slices.Sort(recent)
	return recent[(len(recent)-1)/2], true
}
