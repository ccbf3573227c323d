package store

import (
	"strconv"

	"amberdeal.example/amberdeal/wire"
)

// MachineRecord is what a new holder must know of a machine. Tasks names every
// attempt that may be there: it is written in the round that launches them.
type MachineRecord struct {
	_           struct{} `cbor:",toarray"`
	Addr        string
	Type        string
	Zone        string
	Spot        bool
	Incarnation uint64
	Tasks       map[string]uint64
}

// ScaleOutRecord is the intent of a rental.
type ScaleOutRecord struct {
	_     struct{} `cbor:",toarray"`
	Type  string
	Zone  string
	Spot  bool
	Count int
}

// ZoneRecord is what is thought of a zone, by the holder that wrote it.
type ZoneRecord struct {
	State   string `cbor:"state"`
	Number  uint64 `cbor:"number"`
	Since   int64  `cbor:"since"` // ms, time of day
	Outages int    `cbor:"falls,omitempty"`
}

// ZoneRecoveryRecord is how far the return of a zone has come.
type ZoneRecoveryRecord struct {
	Step   string  `cbor:"step"`
	Number uint64  `cbor:"number"` // of the zone's record with which it began
	Since  int64   `cbor:"since"`  // ms, time of day
	Work   float64 `cbor:"work"`   // that was done there before, in GPUs
}

// Entry is a record of the ledger. Size bounds what it takes in a slot in the
// form in which the state service counts; an entry without a value is dropped.
type Entry struct {
	Key   string
	Value wire.Raw
	Size  int
}

// The kinds of entries.
const (
	machinePrefix      = "m/"
	scaleOutPrefix     = "a/"
	progressPrefix     = "p/"
	zonePrefix         = "z/"
	zoneRecoveryPrefix = "r/"
	preemptionPrefix   = "c/"
)

// What a slot and an entry take beside their contents, at the most, and what
// one task takes in a machine's record.
const (
	segmentOverheadBytes = 120
	entryOverheadBytes   = 12
	MachineTaskBytes     = 44
)

// MachineEntry gives the entry of a machine.
func MachineEntry(id string, r MachineRecord) Entry {
	size := MachineEntryBytes(id, &r)
	return Entry{machinePrefix + id, wire.Encode(r), size}
}

// MachineEntryBytes bounds what a machine's entry takes.
func MachineEntryBytes(id string, r *MachineRecord) int {
	return entryOverheadBytes + len(id) + len(r.Addr) + len(r.Type) + len(r.Zone) + 40 + MachineTaskBytes*len(r.Tasks)
}

// ScaleOutEntry gives the entry of a rental's intent.
func ScaleOutEntry(name string, r ScaleOutRecord) Entry {
	return Entry{scaleOutPrefix + name, wire.Encode(r), entryOverheadBytes + len(name) + len(r.Type) + len(r.Zone) + 30}
}

// ProgressEntry gives the entry that tells which tasks of a block of a job are
// finished.
func ProgressEntry(job string, block int, done *TaskSet) Entry {
	text := done.EncodeBlock(block)
	return Entry{progressKey(job, block), wire.Encode(text), entryOverheadBytes + len(job) + 10 + len(text)}
}

func progressKey(job string, block int) string {
	return progressPrefix + job + "/" + strconv.Itoa(block)
}

// ZoneEntry gives the entry that tells the state of a zone.
func ZoneEntry(zone string, r ZoneRecord) Entry {
	return Entry{zonePrefix + zone, wire.Encode(r), entryOverheadBytes + len(zone) + len(r.State) + 90}
}

// ZoneRecoveryEntry gives the entry of a zone's return.
func ZoneRecoveryEntry(zone string, r ZoneRecoveryRecord) Entry {
	return Entry{zoneRecoveryPrefix + zone, wire.Encode(r), entryOverheadBytes + len(zone) + len(r.Step) + 100}
}

// DropZoneRecovery gives the entry that drops a zone's return.
func DropZoneRecovery(zone string) Entry {
	return Entry{Key: zoneRecoveryPrefix + zone, Size: entryOverheadBytes + len(zone) + 4}
}

// DropMachine gives the entry that drops a machine.
func DropMachine(id string) Entry {
	return Entry{Key: machinePrefix + id, Size: entryOverheadBytes + len(id) + 4}
}

// DropScaleOut gives the entry that drops the intent of a rental.
func DropScaleOut(name string) Entry {
	return Entry{Key: scaleOutPrefix + name, Size: entryOverheadBytes + len(name) + 4}
}
