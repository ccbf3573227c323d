package emulator

import (
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Status is the state of a cluster.
type Status struct {
	AgeS               float64       `json:"age_s"`
	Machines           int           `json:"machines"`
	Up                 int           `json:"up"`
	Cost               float64       `json:"cost"`
	Requests           int           `json:"state_requests"`
	Changes            int           `json:"state_changes"`
	Keys               int           `json:"state_keys"`
	RunningTasks       int           `json:"tasks_on_machines"`
	StartedTasks       int           `json:"tasks_started"`
	FencingToken       uint64        `json:"term"` // of the last election
	StartedAfterCancel []string      `json:"started_after_cancellation"`
	Violations         []string      `json:"rules_broken"`
	Faults             []StagedFault `json:"faults"`
}

// Status returns the state of the cluster.
func (w *Cluster) Status() Status {
	s := Status{AgeS: time.Since(w.startedAt).Seconds(), Up: w.cloud.CountRunning()}
	s.Cost, s.Machines = w.cloud.Cost()
	s.Requests, s.Changes, s.Keys = w.state.Counts()
	s.RunningTasks, s.StartedTasks = w.fixture.Counts()
	s.Violations = w.fixture.Violations()
	s.StartedAfterCancel, _ = w.fixture.Launches.AfterCancellation()
	for _, it := range w.Page(store.FencingTokenKey, 1) {
		_ = wire.DecodeValue(it.Value, &s.FencingToken)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := 1; n <= w.faultCount; n++ {
		s.Faults = append(s.Faults, *w.activeFaults[n])
	}
	return s
}
