package placement

import (
	"math"
	"slices"
	"time"
)

// Tick is the interval at which a leader calls Decide.
const Tick = time.Second

const (
	// speedPrior is the amount of busy slots at which a server's measured
	// speed counts as much as the assumption of nominal speed. It keeps the
	// weight of a server with little work near nominal.
	speedPrior = 0.5
	// ownWork is the measured work in busy slots from which reports have no
	// effect. The leader's own measurement is then more exact than the reports,
	// whose noise would only cause moves.
	ownWork = 0.5
	// minReports is the number of fresh reports that must exist before they
	// count. Their median then ignores a single misleading report.
	minReports = 3
	// maxReportAge is the age from which a report is ignored.
	maxReportAge = 5 * time.Second
	minSpeed     = 0.1
	maxSpeed     = 4
	rampSteps    = 10
)

// Capacity returns the number of slots of nominal speed that the server is
// worth when it is warm. The leader's own measurement sets it; reports change
// it by at most set.ReportBound.
func Capacity(s Server, set Settings) float64 {
	own := speed(s.NominalLoad, s.BusySlots)
	w := own
	if busy, ok := medianReport(s.Reports); ok {
		bound := set.ReportBound * max(0, 1-s.NominalLoad/ownWork)
		w = min(max(speed(s.NominalLoad, busy), own*(1-bound)), own*(1+bound))
	}
	return float64(s.Slots) * w
}

// WarmupFraction returns the share of its weight that a server may use at the given
// time after its start.
func WarmupFraction(since, ramp time.Duration) float64 {
	if since >= ramp || ramp <= 0 {
		return 1
	}
	return (math.Floor(rampSteps*float64(since)/float64(ramp)) + 1) / rampSteps
}

// Smooth returns the exponentially weighted mean after one more sample. The
// sample was measured over dt; tau is the time constant.
func Smooth(mean, sample float64, dt, tau time.Duration) float64 {
	return mean + (sample-mean)*(1-math.Exp(-float64(dt)/float64(tau)))
}

func speed(work, busy float64) float64 {
	return min(max((work+speedPrior)/(busy+speedPrior), minSpeed), maxSpeed)
}

func medianReport(reports []Report) (float64, bool) {
	fresh := make([]float64, 0, len(reports))
	for _, r := range reports {
		if r.Age <= maxReportAge && r.BusySlots >= 0 {
			fresh = append(fresh, r.BusySlots)
		}
	}
	if len(fresh) < minReports {
		return 0, false
	}
	slices.Sort(fresh)
	return fresh[(len(fresh)-1)/2], true
}
