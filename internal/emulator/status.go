package emulator

import (
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Status is a snapshot of a cluster's state and counters.
type Status struct {
	AgeS               float64       `json:"age_s"`
	Machines           int           `json:"machines"`
	Up                 int           `json:"up"` // machines that run
	Cost               float64       `json:"cost"`
	Requests           int           `json:"state_requests"` // to the state service
	Changes            int           `json:"state_changes"`  // of the state service
	Keys               int           `json:"state_keys"`
	RunningTasks       int           `json:"tasks_on_machines"`
	StartedTasks       int           `json:"tasks_started"`
	FencingToken       uint64        `json:"term"` // of the last leader election
	StartedAfterCancel []string      `json:"started_after_cancellation"`
	Violations         []string      `json:"rules_broken"`
	Faults             []StagedFault `json:"faults"`
}

// Status returns the current status of the cluster.
func (cluster *Cluster) Status() Status {
	s := Status{AgeS: time.Since(cluster.startedAt).Seconds(), Up: cluster.cloud.CountRunning()}
	s.Cost, s.Machines = cluster.cloud.Cost()
	s.Requests, s.Changes, s.Keys = cluster.state.Counts()
	s.RunningTasks, s.StartedTasks = cluster.fixture.Counts()
	s.Violations = cluster.fixture.Violations()
	s.StartedAfterCancel, _ = cluster.fixture.Launches.AfterCancellation()
	for _, it := range cluster.ListKeys(store.FencingTokenKey, 1) {
		_ = wire.DecodeValue(it.Value, &s.FencingToken)
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	for n := 1; n <= cluster.faultCount; n++ {
		s.Faults = append(s.Faults, *cluster.activeFaults[n])
	}
	return s
}
