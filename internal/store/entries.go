package store

import (
	"strconv"

	"amberdeal.example/amberdeal/wire"
)

// MachineRecord is what a new holder must know of a machine. Tasks names every
// attempt that may be there: it is written in the round that launches them.
type MachineRecord struct {
	_       struct{} `cbor:",toarray"`
	Addr    string
	Type    string
	Zone    string
	Spot    bool
	Session uint64
	Tasks   map[string]uint64
}

// AskRecord is the intent of a rental.
type AskRecord struct {
	_     struct{} `cbor:",toarray"`
	Type  string
	Zone  string
	Spot  bool
	Count int
}

// ZoneRecord is what is thought of a zone, by the holder that wrote it.
type ZoneRecord struct {
	State  string `cbor:"state"`
	Number uint64 `cbor:"number"`
	Since  int64  `cbor:"since"` // ms, time of day
	Falls  int    `cbor:"falls,omitempty"`
}

// ReturnRecord is how far the return of a zone has come.
type ReturnRecord struct {
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
	machineEntry  = "m/"
	askEntry      = "a/"
	progressEntry = "p/"
	zoneEntry     = "z/"
	returnEntry   = "r/"
	claimEntry    = "c/"
)

// What a slot and an entry take beside their contents, at the most, and what
// one task takes in a machine's record.
const (
	slotBytes  = 120
	entryBytes = 12
	TaskBytes  = 44
)

// MachineEntry gives the entry of a machine.
func MachineEntry(id string, r MachineRecord) Entry {
	size := MachineBytes(id, &r)
	return Entry{machineEntry + id, wire.Encode(r), size}
}

// MachineBytes bounds what a machine's entry takes.
func MachineBytes(id string, r *MachineRecord) int {
	return entryBytes + len(id) + len(r.Addr) + len(r.Type) + len(r.Zone) + 40 + TaskBytes*len(r.Tasks)
}

// AskEntry gives the entry of a rental's intent.
func AskEntry(name string, r AskRecord) Entry {
	return Entry{askEntry + name, wire.Encode(r), entryBytes + len(name) + len(r.Type) + len(r.Zone) + 30}
}

// ProgressEntry gives the entry that tells which tasks of a block of a job are
// finished.
func ProgressEntry(job string, block int, done *Bits) Entry {
	text := done.Block(block)
	return Entry{progressKey(job, block), wire.Encode(text), entryBytes + len(job) + 10 + len(text)}
}

func progressKey(job string, block int) string {
	return progressEntry + job + "/" + strconv.Itoa(block)
}

// ZoneEntry gives the entry that tells the state of a zone.
func ZoneEntry(zone string, r ZoneRecord) Entry {
	return Entry{zoneEntry + zone, wire.Encode(r), entryBytes + len(zone) + len(r.State) + 90}
}

// ReturnEntry gives the entry of a zone's return.
func ReturnEntry(zone string, r ReturnRecord) Entry {
	return Entry{returnEntry + zone, wire.Encode(r), entryBytes + len(zone) + len(r.Step) + 100}
}

// DropReturn gives the entry that drops a zone's return.
func DropReturn(zone string) Entry {
	return Entry{Key: returnEntry + zone, Size: entryBytes + len(zone) + 4}
}

// DropMachine gives the entry that drops a machine.
func DropMachine(id string) Entry {
	return Entry{Key: machineEntry + id, Size: entryBytes + len(id) + 4}
}

// DropAsk gives the entry that drops the intent of a rental.
func DropAsk(name string) Entry { return Entry{Key: askEntry + name, Size: entryBytes + len(name) + 4} }
