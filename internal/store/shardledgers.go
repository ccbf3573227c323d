package store

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"amberdeal.example/amberdeal/wire"
)

// Ledgers reads the ledger of a part, and those of earlier groupings; a slot that is not
// understood is logged and counts as empty.
func (v *View) Ledgers(part string) PartLedgers {
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.grouping.Record
	out := PartLedgers{Name: LedgerOf(part, g.Number), Number: g.Number}
	out.Own = v.ledger(out.Name)
	out.Carried = len(g.Before) == 0 || v.newest(out.Name).Carried == g.Number
	for _, name := range g.Before {
		out.Before = append(out.Before, v.ledger(name)...)
	}
	return out
}

func (v *View) ledger(name string) (out []Slot) {
	for key, raw := range v.slots {
		num, mine := strings.CutPrefix(key, ledgers+name+"/")
		if n, err := strconv.Atoi(num); mine && err == nil && n >= 0 {
			rec, _ := read[SlotRecord](v, key, raw.Record)
			out = append(out, Slot{n, raw.Version, rec})
		}
	}
	return out
}

// newest reads the slot of a ledger that was written last.
func (v *View) newest(name string) (rec SlotRecord) {
	var newest Versioned[wire.Raw]
	for key, raw := range v.slots {
		if strings.HasPrefix(key, ledgers+name+"/") && raw.Version > newest.Version {
			newest = raw
		}
	}
	if newest.Version == 0 || wire.DecodeValue(newest.Record, &rec) != nil {
		return SlotRecord{}
	}
	return rec
}

// Carried reports whether a part has taken over what the ledgers of earlier groupings say.
func (v *View) Carried(part string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.grouping.Record
	return v.newest(LedgerOf(part, g.Number)).Carried == g.Number
}

// Leftover names the slots of the ledgers of earlier groupings, in order.
func (v *View) Leftover() (out []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for key := range v.slots {
		name, _, _ := strings.Cut(strings.TrimPrefix(key, ledgers), "/")
		if slices.Contains(v.grouping.Record.Before, name) {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// State is what a state is divided anew by: how it was, what all ledgers say, and who
// holds what.
type State struct {
	Grouping Versioned[GroupingRecord]
	Term     Versioned[uint64]
	Grants   Versioned[GrantRecord]
	Format   FormatRecord
	Ledgers  []string // the names of all
	Slots    []Slot   // of all
	Held     []string // parts that somebody holds
	Broken   []string // records that were not understood
}

// Held names the parts that somebody holds, and tells whether there is any ledger.
func (v *View) Held() (parts []string, used bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Sorted(maps.Keys(v.parts)), len(v.slots) > 0
}

// State gives what the view shows of the state as a whole; it decodes every ledger.
func (v *View) State() State {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := State{Grouping: v.grouping, Term: v.term, Grants: v.grants, Format: v.format, Held: slices.Sorted(maps.Keys(v.parts))}
	for key := range v.slots {
		name, _, _ := strings.Cut(strings.TrimPrefix(key, ledgers), "/")
		if !slices.Contains(s.Ledgers, name) {
			s.Ledgers = append(s.Ledgers, name)
		}
	}
	slices.Sort(s.Ledgers)
	for _, name := range s.Ledgers {
		s.Slots = append(s.Slots, v.ledger(name)...)
	}
	s.Broken = slices.Sorted(maps.Keys(v.broken))
	return s
}

// Slot reads one slot, by its key.
func (v *View) Slot(key string) (SlotRecord, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	raw, ok := v.slots[key]
	if !ok {
		return SlotRecord{}, 0
	}
	rec, _ := read[SlotRecord](v, key, raw.Record)
	return rec, raw.Version
}

// Written gives the revision at which a part's ledger was last written.
func (v *View) Written(part string) (newest uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	name := LedgerOf(part, v.grouping.Record.Number)
	for key, raw := range v.slots {
		if strings.HasPrefix(key, ledgers+name+"/") {
			newest = max(newest, raw.Version)
		}
	}
	return newest
}

// Clear tells up to which revision a part has said that no task is in it of any job
// that had ended by then. What it said is true for ever.
func (v *View) Clear(part string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newest(LedgerOf(part, v.grouping.Record.Number)).Clear
}
