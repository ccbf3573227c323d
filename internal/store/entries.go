package store

import (
	"strconv"

	"amberdeal.example/amberdeal/wire"
)

// MachineRecord is what a new leader must know about a machine. Tasks holds the attempt of every
// task that may be on the machine; it is written in the round that launches the task.
type MachineRecord struct {
	_           struct{} `cbor:",toarray"`
	Addr        string
	Type        string
	Zone        string
	Spot        bool
	Incarnation uint64
	Tasks       map[string]uint64
}

// ScaleOutRecord is the intent to add machines to the fleet. It is written before the machines are
// requested from the cloud.
type ScaleOutRecord struct {
	_     struct{} `cbor:",toarray"`
	Type  string
	Zone  string
	Spot  bool
	Count int
}

// ZoneRecord is the state of a zone as observed by the leader that wrote it.
type ZoneRecord struct {
	State   string `cbor:"state"`
	Number  uint64 `cbor:"number"` // increases with every change
	Since   int64  `cbor:"since"`  // ms since 1970
	Outages int    `cbor:"falls,omitempty"`
}

// ZoneRecoveryRecord is the progress of the recovery of a zone.
type ZoneRecoveryRecord struct {
	Step   string  `cbor:"step"`
	Number uint64  `cbor:"number"` // ZoneRecord.Number when the recovery began
	Since  int64   `cbor:"since"`  // ms since 1970
	Work   float64 `cbor:"work"`   // work that ran in the zone when it became unreachable, in GPUs
}

// Entry is a record of the ledger. Size is an upper bound of its size in a segment as the state
// service counts it. An entry without a value is a tombstone: it deletes the record.
type Entry struct {
	Key   string
	Value wire.Raw
	Size  int
}

// cborNull is the CBOR encoding of null, the stored value of a tombstone.
const cborNull = 0xf6

// Key prefixes of the kinds of entries.
const (
	machinePrefix      = "m/"
	scaleOutPrefix     = "a/"
	progressPrefix     = "p/"
	zonePrefix         = "z/"
	zoneRecoveryPrefix = "r/"
	preemptionPrefix   = "c/"
)

// Upper bounds of the sizes of parts of a segment, as the state service counts them. Strings are
// counted separately, by their length.
const (
	segmentOverheadBytes = 120 // a segment without its entries
	entryOverheadBytes   = 12  // an entry without its key and value
	tombstoneValueBytes  = 4   // the value of a tombstone
	// MachineTaskBytes is an upper bound of the size of one task in a machine's record.
	MachineTaskBytes        = 44
	machineFieldsBytes      = 40  // a machine's record without strings and tasks
	scaleOutFieldsBytes     = 30  // a scale-out's record without strings
	blockNumberBytes        = 10  // the number of a block of finished tasks
	zoneFieldsBytes         = 90  // a zone's record without strings
	zoneRecoveryFieldsBytes = 100 // a zone recovery's record without strings
)

// MachineEntry returns the entry of a machine.
func MachineEntry(id string, r MachineRecord) Entry {
	return Entry{machinePrefix + id, wire.Encode(r), MachineEntryBytes(id, &r)}
}

// MachineEntryBytes returns an upper bound of the size of a machine's entry.
func MachineEntryBytes(id string, r *MachineRecord) int {
	return entryOverheadBytes + len(id) + len(r.Addr) + len(r.Type) + len(r.Zone) + machineFieldsBytes + MachineTaskBytes*len(r.Tasks)
}

// MachineTombstone returns the tombstone of a machine's record.
func MachineTombstone(id string) Entry { return tombstone(machinePrefix, id) }

// ScaleOutEntry returns the entry of a scale-out.
func ScaleOutEntry(name string, r ScaleOutRecord) Entry {
	return Entry{scaleOutPrefix + name, wire.Encode(r), entryOverheadBytes + len(name) + len(r.Type) + len(r.Zone) + scaleOutFieldsBytes}
}

// ScaleOutTombstone returns the tombstone of a scale-out's record.
func ScaleOutTombstone(name string) Entry { return tombstone(scaleOutPrefix, name) }

// ProgressEntry returns the entry of the finished tasks in one block of a job's tasks.
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

// ZoneRecoveryTombstone returns the tombstone of a zone recovery's record.
func ZoneRecoveryTombstone(zone string) Entry { return tombstone(zoneRecoveryPrefix, zone) }

// tombstone returns the entry that deletes a record.
func tombstone(prefix, name string) Entry {
	return Entry{Key: prefix + name, Size: entryOverheadBytes + len(name) + tombstoneValueBytes}
}
