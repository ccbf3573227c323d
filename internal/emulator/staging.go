package emulator

import (
	"time"
)

// runTimeline stages each fault of the timeline at its time.
func (cluster *Cluster) runTimeline() {
	for _, f := range cluster.Config.Timeline {
		sleep(cluster.ctx, f.At-time.Since(cluster.startedAt))
		if cluster.ctx.Err() != nil {
			return
		}
		if _, err := cluster.Stage(f); err != nil {
			cluster.log.Error("fault not staged", "fault", f.Label, "kind", f.Kind, "error", err)
		}
	}
}

// Stage injects a fault now. The fault is lifted after its duration, or by Lift if it has none.
func (cluster *Cluster) Stage(f Fault) (StagedFault, error) {
	if err := f.Check(cluster.Config); err != nil {
		return StagedFault{}, err
	}
	lift, err := cluster.apply(&f)
	if err != nil {
		return StagedFault{}, err
	}
	cluster.mu.Lock()
	cluster.faultCount++
	s := StagedFault{Number: cluster.faultCount, Label: f.Label, Description: f.describe(), Since: cluster.ageSeconds(), lift: lift}
	staged := s
	cluster.activeFaults[s.Number] = &staged
	cluster.fixture.SetFaultFreeSince(time.Time{})
	cluster.mu.Unlock()
	cluster.log.Info("fault staged", "number", s.Number, "label", f.Label, "what", s.Description)
	switch {
	case lift == nil:
		cluster.Lift(s.Number)
	case f.For > 0:
		time.AfterFunc(f.For, func() { cluster.Lift(s.Number) })
	}
	return s, nil
}

// Lift ends an active fault. It returns false if the fault is not active.
func (cluster *Cluster) Lift(number int) bool {
	cluster.mu.Lock()
	s := cluster.activeFaults[number]
	if s == nil || s.Until > 0 {
		cluster.mu.Unlock()
		return false
	}
	s.Until = cluster.ageSeconds()
	if cluster.noActiveFaults() {
		cluster.fixture.SetFaultFreeSince(time.Now())
	}
	cluster.mu.Unlock()
	if s.lift != nil {
		s.lift()
		cluster.log.Info("fault lifted", "number", number, "label", s.Label)
	}
	return true
}

// noActiveFaults reports whether no fault is active. The caller holds the lock.
func (cluster *Cluster) noActiveFaults() bool {
	for _, s := range cluster.activeFaults {
		if s.Until == 0 {
			return false
		}
	}
	return true
}

// ageSeconds returns the seconds since the cluster started, rounded to milliseconds.
func (cluster *Cluster) ageSeconds() float64 {
	return time.Since(cluster.startedAt).Round(time.Millisecond).Seconds()
}

// StagedFault is a fault that is or was active. Times are in seconds since the cluster started.
type StagedFault struct {
	Number      int     `json:"number"`
	Label       string  `json:"label,omitempty"`
	Description string  `json:"what"`
	Since       float64 `json:"since_s"`
	Until       float64 `json:"until_s,omitempty"` // 0 while it is active
	lift        func()
}
