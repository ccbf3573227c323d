package store

import (
	"testing"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// newSegment returns a segment that holds the entries.
func newSegment(number int, version uint64, entries ...Entry) Segment {
	s := Segment{Number: number, Version: version, Record: SegmentRecord{Round: version, Entries: map[string]wire.Raw{}}}
	for _, e := range entries {
		s.Record.Entries[e.Key] = e.Value
		if e.Value == nil {
			s.Record.Entries[e.Key] = wire.Raw{cborNull}
		}
	}
	return s
}

// TestRecoveryAppliesNewestEntries recovers from two segments, given in either order. The newer one deletes
// and replaces records of the older one and adds finished tasks.
func TestRecoveryAppliesNewestEntries(t *testing.T) {
	early, late := NewTaskSet(0), NewTaskSet(0)
	early.Add(1)
	late.Add(1030)
	older := newSegment(1, 3,
		MachineEntry("n-1", MachineRecord{Addr: "a:1"}), MachineEntry("n-2", MachineRecord{Addr: "b:1"}),
		ScaleOutEntry("s-1", ScaleOutRecord{Count: 2}), ZoneRecoveryEntry("za", ZoneRecoveryRecord{Step: "retain"}),
		ProgressEntry("wk-1", 0, early), ZoneEntry("za", ZoneRecord{State: "up", Number: 4}),
		PreemptionEntry("wk-9", tier.Reservation{Machine: "n-1", Tasks: 1}), PreemptionEntry("wk-9", tier.Reservation{Machine: "n-2", Tasks: 1}))
	newer := newSegment(0, 5,
		MachineTombstone("n-1"), MachineEntry("n-2", MachineRecord{Addr: "b:2"}), ScaleOutTombstone("s-1"), ZoneRecoveryTombstone("za"),
		ProgressEntry("wk-1", 1, late), ZoneEntry("za", ZoneRecord{State: "down", Number: 3}),
		PreemptionTombstone("wk-9", "n-1"), PreemptionEntry("wk-9", tier.Reservation{Machine: "n-2", Tasks: 7}))
	for _, segments := range [][]Segment{{older, newer}, {newer, older}} {
		got := RecoverSegments(segments)
		if len(got.Machines) != 1 || got.Machines["n-2"].Addr != "b:2" {
			t.Errorf("machines: %+v", got.Machines)
		}
		if len(got.ScaleOuts) != 0 || len(got.ZoneRecoveries) != 0 || got.Round != 5 {
			t.Errorf("scale-outs %v, recoveries %v, round %d", got.ScaleOuts, got.ZoneRecoveries, got.Round)
		}
		if f := got.FinishedTasks["wk-1"]; f == nil || f.Count() != 2 || !f.Contains(1) || !f.Contains(1030) {
			t.Errorf("finished: %+v", f)
		}
		if got.Zones["za"].State != "up" { // the record with the greater number
			t.Errorf("zones: %+v", got.Zones)
		}
		if p := got.Preemptions["wk-9"]; len(p.Reservations) != 1 || p.Reservations[0].Machine != "n-2" || p.Reservations[0].Tasks != 7 {
			t.Errorf("preemptions: %+v", p)
		}
	}
}

// TestUnreadableEntriesCountAsDeleted checks that an entry of an unknown kind and an entry that can't be
// decoded are neither recovered nor kept in the ledger.
func TestUnreadableEntriesCountAsDeleted(t *testing.T) {
	rec := newRecoveredState()
	for key, raw := range map[string]wire.Raw{
		"x/y":                          {0x01},
		machinePrefix + "n-1":          {0x01},
		progressPrefix + "wk-1/-1":     wire.Encode("AQ"),
		progressPrefix + "wk-1/999999": wire.Encode("AQ"),
		zonePrefix + "za":              nil,
	} {
		if e := rec.apply(key, raw); e.Value != nil || e.Key != key {
			t.Errorf("%s: %+v", key, e)
		}
	}
	if len(rec.Machines)+len(rec.FinishedTasks)+len(rec.Zones) > 0 {
		t.Errorf("recovered: %+v", rec)
	}
}
