package tier

import (
	"fmt"
	"testing"
	"time"
)

// storedPreemptions returns the preemptions that the store holds for two jobs, one of each of the first two tiers.
func storedPreemptions() map[string]*Preemption {
	deadline := time.Unix(1e9, 0).Add(30 * time.Second).UnixMilli()
	return map[string]*Preemption{
		"wk-1": {Reservations: []Reservation{{Machine: "n-1", Tier: "live", Tasks: 1, Deadline: deadline, Stops: map[string]uint64{"wk-7/0": 3}}}},
		"wk-2": {Reservations: []Reservation{{Machine: "n-2", Tier: "batch", Level: 1, Tasks: 2, Deadline: deadline, Stops: map[string]uint64{"wk-8/0": 4}}}},
	}
}

var testTiers = New([]Tier{{Name: "live", Order: 1, Share: Share{Cards: 4}}, {Name: "batch", Order: 2}})

// TestPreemptionsWithoutTiers checks that every record is dropped if tiers are no longer configured.
func TestPreemptionsWithoutTiers(t *testing.T) {
	p := NewPreemptions(Default(), storedPreemptions())
	round := map[ReservationKey]bool{{"wk-2", "n-2"}: false}
	p.MarkStale(round)
	if got := fmt.Sprint(p.Jobs(), SortedKeys(round), round[ReservationKey{"wk-1", "n-1"}], round[ReservationKey{"wk-2", "n-2"}]); got != "[] [{wk-1 n-1} {wk-2 n-2}] true false" {
		t.Error(got)
	}
}

// TestPreemptionsReview checks that reservations that are no longer needed are dropped, that their records are stale
// until a round has written them, and that tasks that have not stopped in time are reported.
func TestPreemptionsReview(t *testing.T) {
	p := NewPreemptions(testTiers, storedPreemptions())
	now := time.Unix(1e9, 0)
	facts := func(waiting int) ReviewInput {
		return ReviewInput{Now: now, WaitingTasks: func(string) (int, bool) { return waiting, true }, MachineUsable: func(string) bool { return true },
			MayOccupy: func(string, uint64, string) bool { return true }}
	}
	var reported []string
	report := func(job, task string) { reported = append(reported, job+": "+task) }
	p.Review(facts(1), report)
	round := map[ReservationKey]bool{}
	p.MarkStale(round)
	if got := fmt.Sprint(p.Jobs(), p.For("wk-2").Reservation("n-2").Tasks, round, reported); got != "[wk-1 wk-2] 1 map[{wk-2 n-2}:true] []" {
		t.Error(got)
	}
	due := p.DueStops(now, func(string) time.Duration { return 0 })
	if got := fmt.Sprint(due, p.FirstTierMachines()); got != "[{wk-1 {wk-7/0 3 n-1}} {wk-2 {wk-8/0 4 n-2}}] map[n-1:true n-2:false]" {
		t.Error(got)
	}
	p.SetStatuses(make([]Status, len(testTiers.Tiers)))
	if s := p.Statuses(); s[0].Claims != 1 || s[1].Claims != 1 || s[2].Claims != 0 {
		t.Error(s)
	}
	now = now.Add(31 * time.Second)
	p.Review(facts(1), report)
	if got := fmt.Sprint(p.Jobs(), reported, p.Overdue("wk-7/0", 3), p.Overdue("wk-7/0", 4)); got != "[] [wk-1: wk-7/0 wk-2: wk-8/0] true false" {
		t.Error(got)
	}
	p.Commit(nil, map[ReservationKey]bool{{"wk-1", "n-1"}: false, {"wk-2", "n-2"}: false})
	round = map[ReservationKey]bool{}
	if p.MarkStale(round); len(round) != 0 {
		t.Error(round)
	}
	p.Commit(map[string]*Preemption{"wk-3": {Reservations: []Reservation{{Machine: "n-3", Tasks: 1}}}, "wk-4": {}}, nil)
	if got := fmt.Sprint(p.Jobs(), len(p.For("wk-9").Reservations)); got != "[wk-3] 0" {
		t.Error(got)
	}
}
