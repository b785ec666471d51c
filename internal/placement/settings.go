package placement

import (
	"fmt"
	"time"
)

// Weights are the costs of imbalance, of changes and of unavailable keys. Only
// their ratios matter.
type Weights struct {
	// Imbalance is the cost of one unit of squared relative deviation from
	// the mean utilisation for one second.
	Imbalance float64 `json:"imbalance"`
	// Churn is the cost of one change of ownership. It must be positive:
	// balancing ends because every change has to be worth at least this.
	Churn float64 `json:"churn"`
	// Unavailable is the cost of one key that cannot be used for one second.
	Unavailable float64 `json:"unavailable"`
}

// Settings are the parameters of Decide for one deployment.
type Settings struct {
	Weights Weights `json:"weights"`
	// Smoothing is the time constant of the measured load of shards.
	// SpeedSmoothing is that of Server.NominalLoad and Server.BusySlots; the
	// speed of a server changes less often than the load of a shard.
	Smoothing      time.Duration `json:"smoothing_ns"`
	SpeedSmoothing time.Duration `json:"speed_smoothing_ns"`
	// Horizon is the time over which the reduced imbalance counts as the
	// benefit of a change.
	Horizon time.Duration `json:"horizon_ns"`
	// MaxChanges limits the rebalancing changes per ChangeInterval. It does not
	// limit moves away from lost and draining servers.
	MaxChanges     int           `json:"max_moves"`
	ChangeInterval time.Duration `json:"interval_ns"`
	// StartGap and StopGap give balancing a hysteresis. It starts when the
	// utilisations of the most and the least utilised server differ by more than
	// StartGap times the mean. While there are recent changes it continues until
	// they differ by at most StopGap times the mean.
	StartGap float64 `json:"enter"`
	StopGap  float64 `json:"exit"`
	// MinOwnedFor is the time for which a server must have owned a shard or key
	// before it is moved to balance load, or joined.
	MinOwnedFor time.Duration `json:"min_held_ns"`
	// ReportBound is the largest relative change that reports can make to a
	// server's capacity. It is at most MaxReportBound.
	ReportBound float64 `json:"report_bound"`
	// Warmup is the time over which the load of a started server is increased in
	// steps.
	Warmup time.Duration `json:"cold_ramp_ns"`
	// DrainWithin is the time within which a draining server is emptied.
	DrainWithin time.Duration `json:"drain_within_ns"`
	// SplitShare and JoinShare are loads of a key, relative to the mean load of
	// a live server. Above SplitShare a key may be split off to balance load,
	// below JoinShare a split-off key is joined with its shard again.
	SplitShare float64 `json:"split_share"`
	JoinShare  float64 `json:"join_share"`
	// MaxSplitKeys limits the number of split-off keys of a partition.
	MaxSplitKeys int `json:"max_split"`
	// KeysPerShard and MoveTime determine the cost of moving a shard to balance
	// load: KeysPerShard keys are unavailable for MoveTime.
	KeysPerShard float64       `json:"keys_per_shard"`
	MoveTime     time.Duration `json:"move_time_ns"`
}

// MaxReportBound limits Settings.ReportBound, so that no server can steer
// placement by its reports.
const MaxReportBound = 0.25

// CommonSettings returns the settings that do not depend on the deployment.
func CommonSettings() Settings {
	return Settings{
		Smoothing: 10 * time.Second, SpeedSmoothing: 30 * time.Second, Horizon: time.Minute, ChangeInterval: 10 * time.Second, MinOwnedFor: 30 * time.Second,
		ReportBound: MaxReportBound, Warmup: 10 * time.Second, DrainWithin: 3 * time.Second,
		SplitShare: 0.05, JoinShare: 0.02, MaxSplitKeys: 64,
		// A move to balance load takes about 10 ms to revoke and grant, and about
		// one service time to drain.
		KeysPerShard: 200, MoveTime: 20 * time.Millisecond,
	}
}

// KingstonSettings returns the settings of the Kingston deployment, which gives
// unavailable time the highest weight. docs/placement.md has the measurements
// behind the values.
func KingstonSettings() Settings {
	s := CommonSettings()
	s.Weights = Weights{Imbalance: 1, Churn: 0.02, Unavailable: 10}
	s.MaxChanges, s.StartGap, s.StopGap = 4, 0.3, 0.2
	return s
}

// HrJadranSettings returns the settings of the hr-jadran deployment, which gives
// imbalance the highest weight.
func HrJadranSettings() Settings {
	s := CommonSettings()
	s.Weights = Weights{Imbalance: 10, Churn: 0.02, Unavailable: 0.02}
	s.MaxChanges, s.StartGap, s.StopGap = 16, 0.15, 0.1
	return s
}

// Validate returns an error if Decide cannot keep its guarantees with the settings,
// for example that balancing ends and that reports have little influence.
func (s Settings) Validate() error {
	switch {
	case s.Weights.Imbalance < 0 || s.Weights.Churn <= 0 || s.Weights.Unavailable < 0:
		return fmt.Errorf("placement weights must not be negative and the weight of churn must be positive")
	case s.ReportBound < 0 || s.ReportBound > MaxReportBound:
		return fmt.Errorf("report bound %g is not between 0 and %g", s.ReportBound, MaxReportBound)
	case s.StopGap < 0 || s.StartGap < s.StopGap:
		return fmt.Errorf("hysteresis needs 0 <= exit (%g) <= enter (%g)", s.StopGap, s.StartGap)
	case s.JoinShare < 0 || s.SplitShare < 2*s.JoinShare:
		// With a smaller distance, measurement noise would split and join a key
		// again and again.
		return fmt.Errorf("split share %g is not at least twice the join share %g", s.SplitShare, s.JoinShare)
	case s.MaxChanges < 0 || s.MaxSplitKeys < 0:
		return fmt.Errorf("limits on moves and splits must not be negative")
	case s.ChangeInterval < Tick || s.DrainWithin < Tick:
		return fmt.Errorf("interval and drain time must be at least one tick")
	}
	return nil
}
