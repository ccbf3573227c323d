package store

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// RecoveredState is what a ledger tells a new holder.
type RecoveredState struct {
	Round          uint64
	Machines       map[string]MachineRecord
	ScaleOuts      map[string]ScaleOutRecord
	FinishedTasks  map[string]*TaskSet
	Zones          map[string]ZoneRecord
	ZoneRecoveries map[string]ZoneRecoveryRecord
	Preemptions    map[string]*tier.Preemption // by job
}

// RecoverSegments reads what slots of ledgers tell that nobody writes any more.
func RecoverSegments(slots []Segment) RecoveredState {
	rec := newRecoveredState()
	for _, s := range sortedByAge(slots) {
		rec.Round = max(rec.Round, s.Record.Round)
		for key, raw := range s.Record.Entries {
			rec.apply(key, raw)
		}
	}
	return rec
}

func newRecoveredState() RecoveredState {
	return RecoveredState{Machines: map[string]MachineRecord{}, ScaleOuts: map[string]ScaleOutRecord{}, FinishedTasks: map[string]*TaskSet{}, Zones: map[string]ZoneRecord{}, ZoneRecoveries: map[string]ZoneRecoveryRecord{}, Preemptions: map[string]*tier.Preemption{}}
}

// sortedByAge orders slots by when they were written: the newest value of a record counts.
func sortedByAge(slots []Segment) []Segment {
	slots = slices.Clone(slots)
	slices.SortFunc(slots, func(a, b Segment) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Number, b.Number))
	})
	return slots
}

// apply decodes an entry; what is not understood is kept as dropped.
func (rec *RecoveredState) apply(key string, raw wire.Raw) Entry {
	null := len(raw) == 0 || raw[0] == 0xf6
	if id, ok := strings.CutPrefix(key, machinePrefix); ok {
		delete(rec.Machines, id)
		var r MachineRecord
		if !null && wire.DecodeValue(raw, &r) == nil {
			rec.Machines[id] = r
			return Entry{key, raw, MachineEntryBytes(id, &r)}
		}
	}
	if name, ok := strings.CutPrefix(key, scaleOutPrefix); ok {
		delete(rec.ScaleOuts, name)
		var r ScaleOutRecord
		if !null && wire.DecodeValue(raw, &r) == nil {
			rec.ScaleOuts[name] = r
			return ScaleOutEntry(name, r)
		}
	}
	if zone, ok := strings.CutPrefix(key, zonePrefix); ok && !null {
		var r ZoneRecord
		// Of two parts' ledgers of an earlier grouping the one that went further counts.
		if wire.DecodeValue(raw, &r) == nil {
			if r.Number >= rec.Zones[zone].Number {
				rec.Zones[zone] = r
			}
			return ZoneEntry(zone, r)
		}
	}
	if zone, ok := strings.CutPrefix(key, zoneRecoveryPrefix); ok {
		delete(rec.ZoneRecoveries, zone)
		var r ZoneRecoveryRecord
		if !null && wire.DecodeValue(raw, &r) == nil {
			rec.ZoneRecoveries[zone] = r
			return ZoneRecoveryEntry(zone, r)
		}
	}
	if rest, ok := strings.CutPrefix(key, preemptionPrefix); ok {
		return rec.applyPreemption(key, rest, raw, null)
	}
	if rest, ok := strings.CutPrefix(key, progressPrefix); ok && !null {
		job, num, _ := strings.Cut(rest, "/")
		block, err := strconv.Atoi(num)
		var text string
		if err == nil && block >= 0 && block <= wire.MaxTasks/TasksPerBlock && wire.DecodeValue(raw, &text) == nil {
			if rec.FinishedTasks[job] == nil {
				rec.FinishedTasks[job] = NewTaskSet(0)
			}
			rec.FinishedTasks[job].MergeBlock(block, text)
			return Entry{key, raw, entryOverheadBytes + len(key) + 10 + len(text)}
		}
	}
	return Entry{Key: key}
}

func (rec *RecoveredState) applyPreemption(key, rest string, raw wire.Raw, null bool) Entry {
	job, machine, _ := strings.Cut(rest, "/")
	c := rec.Preemptions[job]
	if c == nil {
		c = &tier.Preemption{}
		rec.Preemptions[job] = c
	}
	c.Reservations = slices.DeleteFunc(c.Reservations, func(r tier.Reservation) bool { return r.Machine == machine })
	var r tier.Reservation
	if null || wire.DecodeValue(raw, &r) != nil || r.Machine != machine {
		return Entry{Key: key}
	}
	c.Reservations = append(c.Reservations, r)
	return PreemptionEntry(job, r)
}
