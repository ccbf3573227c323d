package scheduler

import (
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// TestTierShares checks other planning steps where tiers are set: a replica is moved without a reclaim,
// first replicas are launched for the first tier only and do not use reclaimed capacity, and a gang that
// fits into its tier's share uses the machines that it has reserved.
func TestTierShares(t *testing.T) {
	plan := func(jobs []*Job, tiers []tier.Tier, reclaims []Reclaim, machines ...*Machine) Plan {
		snapshot := testSnapshot(jobs, machines...)
		snapshot.Tiers, snapshot.Reclaims, snapshot.MaxMoves, snapshot.MaxGangWait = tier.New(tiers), reclaims, 4, time.Minute
		return Schedule(snapshot)
	}
	service := func(id string, active int, waiting ...int) *Job {
		j := job(id, wire.Service, wire.Production, 4, waiting...)
		j.ActiveTasks = active
		return j
	}
	top := []tier.Tier{{Name: "top", Order: 1, Priorities: []string{"production"}}}

	moved := service("wk-1", 0)
	moved.SpreadRule, moved.Tasks = &SpreadRule{Even: true}, 2
	running := func(i int) Task { return Task{Job: moved, Index: i, RunTime: time.Minute} }
	if p := plan([]*Job{moved}, top, nil, machine("n-1", "a", running(0)), machine("n-2", "a", running(1)), machine("n-3", "b")); len(p.Stops) != 1 || len(p.Reclaims) != 0 {
		t.Errorf("moves %+v, reclaims %+v", p.Stops, p.Reclaims)
	}
	first := []tier.Tier{{Name: "top", Order: 1, Classes: []string{"wk-1"}}}
	if got, want := formatLaunches(plan([]*Job{service("wk-2", 0, 0, 1), service("wk-1", 0, 0, 1)}, first, nil, machine("n-1", "a"), machine("n-2", "a"))), "wk-1/0 on n-2, wk-1/1 on n-1, "; got != want {
		t.Errorf("launches %s, want %s", got, want)
	}
	if got, want := formatLaunches(plan([]*Job{service("wk-1", 3, 3), service("wk-2", 0, 0, 1, 2, 3)}, top, []Reclaim{{"wk-1", "n-1", 1, 0}}, machine("n-1", "a"))), "wk-1/3 on n-1, "; got != want {
		t.Errorf("launches %s, want %s", got, want)
	}
	if got, want := formatLaunches(plan([]*Job{service("wk-1", 0, 0, 1), service("wk-2", 0, 0, 1, 2, 3)}, top, []Reclaim{{"wk-1", "n-1", 1, 0}, {"wk-1", "n-2", 1, 0}}, machine("n-1", "a"), machine("n-2", "a"))), "wk-1/0 on n-2, wk-1/1 on n-1, "; got != want {
		t.Errorf("launches %s, want %s", got, want)
	}
	gang := job("wk-1", wire.Gang, wire.High, 4, 0, 1)
	gang.Age = time.Minute
	small := machine("n-3", "a")
	small.Free.CPUs = 8
	shared := append(top, tier.Tier{Name: "live", Order: 2, Priorities: []string{"high"}, Share: tier.Share{Cards: 8}})
	if got, want := formatLaunches(plan([]*Job{gang}, shared, nil, machine("n-1", "a"), machine("n-2", "a"), small)), "wk-1/0 on n-2, wk-1/1 on n-1, "; got != want {
		t.Errorf("launches %s, want %s", got, want)
	}
}
