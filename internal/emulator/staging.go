package emulator

import (
	"time"
)

// runTimeline stages the faults of the world file, each at its time.
func (w *Cluster) runTimeline() {
	for _, f := range w.Config.Timeline {
		sleep(w.ctx, f.At-time.Since(w.startedAt))
		if w.ctx.Err() != nil {
			return
		}
		if _, err := w.Stage(f); err != nil {
			w.log.Error("fault not staged", "fault", f.Label, "kind", f.Kind, "error", err)
		}
	}
}

// Stage injects a fault now, for its duration or until it is lifted.
func (w *Cluster) Stage(f Fault) (StagedFault, error) {
	if err := f.Check(w.Config); err != nil {
		return StagedFault{}, err
	}
	lift, err := w.apply(&f)
	if err != nil {
		return StagedFault{}, err
	}
	w.mu.Lock()
	w.faultCount++
	s := StagedFault{Number: w.faultCount, Label: f.Label, Description: f.describe(), Since: w.ageSeconds(), lift: lift}
	kept := s
	w.activeFaults[s.Number] = &kept
	w.fixture.SetQuietSince(time.Time{})
	w.mu.Unlock()
	w.log.Info("fault", "number", s.Number, "label", f.Label, "what", s.Description)
	switch {
	case lift == nil:
		w.Lift(s.Number)
	case f.For > 0:
		time.AfterFunc(f.For, func() { w.Lift(s.Number) })
	}
	return s, nil
}

// Lift ends an active fault, and reports whether it was active.
func (w *Cluster) Lift(number int) bool {
	w.mu.Lock()
	s := w.activeFaults[number]
	if s == nil || s.Until > 0 {
		w.mu.Unlock()
		return false
	}
	s.Until = w.ageSeconds()
	if w.noActiveFaults() {
		w.fixture.SetQuietSince(time.Now())
	}
	w.mu.Unlock()
	if s.lift != nil {
		s.lift()
		w.log.Info("fault lifted", "number", number, "label", s.Label)
	}
	return true
}

// noActiveFaults reports whether no fault is active.
func (w *Cluster) noActiveFaults() bool {
	for _, s := range w.activeFaults {
		if s.Until == 0 {
			return false
		}
	}
	return true
}

// ageSeconds returns the seconds since the cluster started.
func (w *Cluster) ageSeconds() float64 {
	return time.Since(w.startedAt).Round(time.Millisecond).Seconds()
}

// StagedFault is a fault that is active, or was.
type StagedFault struct {
	Number      int     `json:"number"`
	Label       string  `json:"label,omitempty"`
	Description string  `json:"what"`
	Since       float64 `json:"since_s"`
	Until       float64 `json:"until_s,omitempty"` // 0 while it is active
	lift        func()
}
