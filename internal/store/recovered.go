package store

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// RecoveredState is the state that a new leader recovers from a ledger.
type RecoveredState struct {
	Round          uint64 // the last round that was written
	Machines       map[string]MachineRecord
	ScaleOuts      map[string]ScaleOutRecord
	FinishedTasks  map[string]*TaskSet // by job
	Zones          map[string]ZoneRecord
	ZoneRecoveries map[string]ZoneRecoveryRecord
	Preemptions    map[string]*tier.Preemption // by job
}

func newRecoveredState() RecoveredState {
	return RecoveredState{
		Machines:       map[string]MachineRecord{},
		ScaleOuts:      map[string]ScaleOutRecord{},
		FinishedTasks:  map[string]*TaskSet{},
		Zones:          map[string]ZoneRecord{},
		ZoneRecoveries: map[string]ZoneRecoveryRecord{},
		Preemptions:    map[string]*tier.Preemption{},
	}
}

// RecoverSegments recovers the state from the segments of ledgers that are no longer written.
func RecoverSegments(segments []Segment) RecoveredState {
	rec := newRecoveredState()
	for _, s := range sortedByAge(segments) {
		rec.Round = max(rec.Round, s.Record.Round)
		for key, raw := range s.Record.Entries {
			rec.apply(key, raw)
		}
	}
	return rec
}

// sortedByAge returns the segments from the oldest to the most recently written, so that the newest
// value of an entry is applied last.
func sortedByAge(segments []Segment) []Segment {
	segments = slices.Clone(segments)
	slices.SortFunc(segments, func(a, b Segment) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Number, b.Number))
	})
	return segments
}

// entryKinds maps each key prefix to the function that recovers the entries of that kind. The
// function gets the name after the prefix, the whole key and the value, and returns the entry to
// keep in the ledger.
var entryKinds = []struct {
	prefix string
	apply  func(rec *RecoveredState, name, key string, raw wire.Raw) Entry
}{
	{machinePrefix, (*RecoveredState).applyMachine},
	{scaleOutPrefix, (*RecoveredState).applyScaleOut},
	{zonePrefix, (*RecoveredState).applyZone},
	{zoneRecoveryPrefix, (*RecoveredState).applyZoneRecovery},
	{preemptionPrefix, (*RecoveredState).applyPreemption},
	{progressPrefix, (*RecoveredState).applyProgress},
}

// apply applies an entry and returns the entry to keep in the ledger. An entry that can't be decoded
// is treated as a tombstone.
func (rec *RecoveredState) apply(key string, raw wire.Raw) Entry {
	for _, kind := range entryKinds {
		if name, ok := strings.CutPrefix(key, kind.prefix); ok {
			return kind.apply(rec, name, key, raw)
		}
	}
	return Entry{Key: key}
}

// decodeEntry decodes an entry's value. It returns false for a tombstone or a damaged value.
func decodeEntry[T any](raw wire.Raw) (v T, ok bool) {
	if len(raw) == 0 || raw[0] == cborNull {
		return v, false
	}
	if err := wire.DecodeValue(raw, &v); err != nil {
		return v, false
	}
	return v, true
}

func (rec *RecoveredState) applyMachine(id, key string, raw wire.Raw) Entry {
	return replaceRecord(rec.Machines, id, key, raw, func(_ string, r MachineRecord) Entry { return Entry{key, raw, MachineEntryBytes(id, &r)} })
}

func (rec *RecoveredState) applyScaleOut(name, key string, raw wire.Raw) Entry {
	return replaceRecord(rec.ScaleOuts, name, key, raw, ScaleOutEntry)
}

// replaceRecord replaces the record with a name by the one in an entry of the ledger, and returns the entry of the new
// record. It removes the record if the entry deletes it.
func replaceRecord[T any](records map[string]T, name, key string, raw wire.Raw, entryOf func(name string, r T) Entry) Entry {
	delete(records, name)
	r, ok := decodeEntry[T](raw)
	if !ok {
		return Entry{Key: key}
	}
	records[name] = r
	return entryOf(name, r)
}

// applyZone applies the state of a zone. The ledgers of two shards of an earlier sharding may both
// have a record of the zone; the one with the greater number is used. A zone's state is never deleted.
func (rec *RecoveredState) applyZone(zone, key string, raw wire.Raw) Entry {
	r, ok := decodeEntry[ZoneRecord](raw)
	if !ok {
		return Entry{Key: key}
	}
	if r.Number >= rec.Zones[zone].Number {
		rec.Zones[zone] = r
	}
	return ZoneEntry(zone, r)
}

func (rec *RecoveredState) applyZoneRecovery(zone, key string, raw wire.Raw) Entry {
	return replaceRecord(rec.ZoneRecoveries, zone, key, raw, ZoneRecoveryEntry)
}

// applyProgress adds finished tasks of a job. Blocks of several segments are merged, because a
// finished task stays finished.
func (rec *RecoveredState) applyProgress(name, key string, raw wire.Raw) Entry {
	job, number, _ := strings.Cut(name, "/")
	block, err := strconv.Atoi(number)
	if err != nil || block < 0 || block > wire.MaxTasks/TasksPerBlock {
		return Entry{Key: key}
	}
	text, ok := decodeEntry[string](raw)
	if !ok {
		return Entry{Key: key}
	}
	if rec.FinishedTasks[job] == nil {
		rec.FinishedTasks[job] = NewTaskSet(0)
	}
	rec.FinishedTasks[job].MergeBlock(block, text)
	return Entry{key, raw, entryOverheadBytes + len(key) + blockNumberBytes + len(text)}
}
