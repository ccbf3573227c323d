package store

import (
	"strconv"

	"amberdeal.example/amberdeal/wire"
)

// MachineRecord is what a new leader must know of a machine. Tasks holds the attempt of
// every task that may be there: it is written in the round that launches them.
type MachineRecord struct {
	_           struct{} `cbor:",toarray"`
	Addr        string
	Type        string
	Zone        string
	Spot        bool
	Incarnation uint64
	Tasks       map[string]uint64
}

// ScaleOutRecord is the intent to scale out by some machines, written before they are
// requested.
type ScaleOutRecord struct {
	_     struct{} `cbor:",toarray"`
	Type  string
	Zone  string
	Spot  bool
	Count int
}

// ZoneRecord is the state of a zone as the leader that wrote it has observed it.
type ZoneRecord struct {
	State   string `cbor:"state"`
	Number  uint64 `cbor:"number"` // grows with every change
	Since   int64  `cbor:"since"`  // ms since 1970
	Outages int    `cbor:"falls,omitempty"`
}

// ZoneRecoveryRecord is how far the recovery of a zone has come.
type ZoneRecoveryRecord struct {
	Step   string  `cbor:"step"`
	Number uint64  `cbor:"number"` // of the zone's record with which it began
	Since  int64   `cbor:"since"`  // ms since 1970
	Work   float64 `cbor:"work"`   // that was done there before, in GPUs
}

// Entry is a record of the ledger. Size bounds what it takes in a segment as the state
// service counts it. An entry without a value deletes the record.
type Entry struct {
	Key   string
	Value wire.Raw
	Size  int
}

// cborNull is the encoded value of a deleted entry.
const cborNull = 0xf6

// The prefixes of the kinds of entries.
const (
	machinePrefix      = "m/"
	scaleOutPrefix     = "a/"
	progressPrefix     = "p/"
	zonePrefix         = "z/"
	zoneRecoveryPrefix = "r/"
	preemptionPrefix   = "c/"
)

// Bounds of what parts of a segment take as the state service counts them, beside texts.
const (
	segmentOverheadBytes = 120 // a segment, without its entries
	entryOverheadBytes   = 12  // an entry, without its key and value
	nullBytes            = 4   // the value of a deleted entry
	// MachineTaskBytes is what one task takes in a machine's record.
	MachineTaskBytes        = 44
	machineFieldsBytes      = 40  // a machine's record without texts and tasks
	scaleOutFieldsBytes     = 30  // a scale-out's record without texts
	blockNumberBytes        = 10  // the number of a block of finished tasks
	zoneFieldsBytes         = 90  // a zone's record without texts
	zoneRecoveryFieldsBytes = 100 // a zone recovery's record without texts
)

// MachineEntry returns the entry of a machine.
func MachineEntry(id string, r MachineRecord) Entry {
	return Entry{machinePrefix + id, wire.Encode(r), MachineEntryBytes(id, &r)}
}

// MachineEntryBytes bounds what a machine's entry takes.
func MachineEntryBytes(id string, r *MachineRecord) int {
	return entryOverheadBytes + len(id) + len(r.Addr) + len(r.Type) + len(r.Zone) + machineFieldsBytes + MachineTaskBytes*len(r.Tasks)
}

// DropMachine returns the entry that deletes a machine.
func DropMachine(id string) Entry { return dropEntry(machinePrefix, id) }

// ScaleOutEntry returns the entry of the intent to scale out.
func ScaleOutEntry(name string, r ScaleOutRecord) Entry {
	return Entry{scaleOutPrefix + name, wire.Encode(r), entryOverheadBytes + len(name) + len(r.Type) + len(r.Zone) + scaleOutFieldsBytes}
}

// DropScaleOut returns the entry that deletes the intent to scale out.
func DropScaleOut(name string) Entry { return dropEntry(scaleOutPrefix, name) }

// ProgressEntry returns the entry of the finished tasks in one block of a job.
func ProgressEntry(job string, block int, finished *TaskSet) Entry {
	text := finished.EncodeBlock(block)
	return Entry{progressKey(job, block), wire.Encode(text), entryOverheadBytes + len(job) + blockNumberBytes + len(text)}
}

func progressKey(job string, block int) string {
	return progressPrefix + job + "/" + strconv.Itoa(block)
}

// ZoneEntry returns the entry of the state of a zone.
func ZoneEntry(zone string, r ZoneRecord) Entry {
	return Entry{zonePrefix + zone, wire.Encode(r), entryOverheadBytes + len(zone) + len(r.State) + zoneFieldsBytes}
}

// ZoneRecoveryEntry returns the entry of the recovery of a zone.
func ZoneRecoveryEntry(zone string, r ZoneRecoveryRecord) Entry {
	return Entry{zoneRecoveryPrefix + zone, wire.Encode(r), entryOverheadBytes + len(zone) + len(r.Step) + zoneRecoveryFieldsBytes}
}

// DropZoneRecovery returns the entry that deletes the recovery of a zone.
func DropZoneRecovery(zone string) Entry { return dropEntry(zoneRecoveryPrefix, zone) }

// dropEntry returns the entry that deletes a record.
func dropEntry(prefix, name string) Entry {
	return Entry{Key: prefix + name, Size: entryOverheadBytes + len(name) + nullBytes}
}
