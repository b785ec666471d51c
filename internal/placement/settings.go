package placement

import (
	"fmt"
	"time"
)

// Weights are the prices of the three measures. They are relative to each
// other; only their ratios matter.
type Weights struct {
	// Imbalance is the price of one unit of squared relative deviation from
	// the mean utilisation for one second.
	Imbalance float64 `json:"imbalance"`
	// Churn is the price of one change of ownership. It must be positive:
	// balancing ends because every change has to be worth at least this.
	Churn float64 `json:"churn"`
	// Unavailable is the price of one key that cannot be used for one second.
	Unavailable float64 `json:"unavailable"`
}

// Settings control the policy of one deployment.
type Settings struct {
	Weights Weights `json:"weights"`
	// Smoothing is the time constant of the leader's load measurements,
	// SpeedSmoothing that of the work and busy slots of servers. The speed of
	// a server changes less often than the load of a shard.
	Smoothing      time.Duration `json:"smoothing_ns"`
	SpeedSmoothing time.Duration `json:"speed_smoothing_ns"`
	// Horizon is the time for which a better balance is credited to a move.
	Horizon time.Duration `json:"horizon_ns"`
	// MaxChanges limits the planned changes per ChangeInterval. Moves away from lost
	// and leaving servers are not limited by it.
	MaxChanges     int           `json:"max_moves"`
	ChangeInterval time.Duration `json:"interval_ns"`
	// StartGap and StopGap are the hysteresis: balancing begins when the most and
	// the least utilised server differ by more than StartGap times the mean, and
	// goes on, while there were recent changes, down to StopGap.
	StartGap float64 `json:"enter"`
	StopGap  float64 `json:"exit"`
	// MinOwnedFor is the shortest stay of a shard between two planned moves.
	MinOwnedFor time.Duration `json:"min_held_ns"`
	// ReportBound is the largest relative change that reports make to a
	// server's weight. It is at most MaxReportBound.
	ReportBound float64 `json:"report_bound"`
	// Warmup is the time over which a started server takes load in steps.
	Warmup time.Duration `json:"cold_ramp_ns"`
	// DrainWithin is the time in which a leaving server is emptied.
	DrainWithin time.Duration `json:"drain_within_ns"`
	// SplitShare and JoinShare are loads of a key relative to the fair share
	// of a server. Above SplitShare a key may be split off to balance, below
	// JoinShare it is joined again.
	SplitShare float64 `json:"split_share"`
	JoinShare  float64 `json:"join_share"`
	// MaxSplitKeys limits the number of split-off keys of a partition.
	MaxSplitKeys int `json:"max_split"`
	// KeysPerShard and MoveTime give the cost of a planned move: that many
	// keys are unavailable for MoveTime.
	KeysPerShard float64       `json:"keys_per_shard"`
	MoveTime     time.Duration `json:"move_time_ns"`
}

// MaxReportBound is the design's limit on the influence of reports.
const MaxReportBound = 0.25

// CommonSettings returns the settings that do not depend on the deployment.
func CommonSettings() Settings {
	return Settings{
		Smoothing: 10 * time.Second, SpeedSmoothing: 30 * time.Second, Horizon: time.Minute, ChangeInterval: 10 * time.Second, MinOwnedFor: 30 * time.Second,
		ReportBound: MaxReportBound, Warmup: 10 * time.Second, DrainWithin: 3 * time.Second,
		SplitShare: 0.05, JoinShare: 0.02, MaxSplitKeys: 64,
		// A planned move takes about 10 ms for revoke and grant and about one
		// service time to drain.
		KeysPerShard: 200, MoveTime: 20 * time.Millisecond,
	}
}

// KingstonSettings returns the settings of the deployment that weighs unavailable
// time most. docs/placement.md holds the measurements behind the values.
func KingstonSettings() Settings {
	s := CommonSettings()
	s.Weights = Weights{Imbalance: 1, Churn: 0.02, Unavailable: 10}
	s.MaxChanges, s.StartGap, s.StopGap = 4, 0.3, 0.2
	return s
}

// HrJadranSettings returns the settings of the deployment that weighs imbalance most.
func HrJadranSettings() Settings {
	s := CommonSettings()
	s.Weights = Weights{Imbalance: 10, Churn: 0.02, Unavailable: 0.02}
	s.MaxChanges, s.StartGap, s.StopGap = 16, 0.15, 0.1
	return s
}

// Validate returns an error if a value contradicts the guarantees of Decide.
func (s Settings) Validate() error {
	switch {
	case s.Weights.Imbalance < 0 || s.Weights.Churn <= 0 || s.Weights.Unavailable < 0:
		return fmt.Errorf("placement weights must not be negative and the weight of churn must be positive")
	case s.ReportBound < 0 || s.ReportBound > MaxReportBound:
		return fmt.Errorf("report bound %g is not between 0 and %g", s.ReportBound, MaxReportBound)
	case s.StopGap < 0 || s.StartGap < s.StopGap:
		return fmt.Errorf("hysteresis needs 0 <= exit (%g) <= enter (%g)", s.StopGap, s.StartGap)
	case s.JoinShare < 0 || s.SplitShare < 2*s.JoinShare:
		// A smaller distance would split and join a key on measurement noise.
		return fmt.Errorf("split share %g is not at least twice the join share %g", s.SplitShare, s.JoinShare)
	case s.MaxChanges < 0 || s.MaxSplitKeys < 0:
		return fmt.Errorf("limits on moves and splits must not be negative")
	case s.ChangeInterval < Tick || s.DrainWithin < Tick:
		return fmt.Errorf("interval and drain time must be at least one tick")
	}
	return nil
}
