package store

import (
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// Room that is claimed back for a job is a record for each machine: what is stopped there is
// written before anything is said, and the next holder goes on with it.

// PreemptionEntry gives the entry of room that is claimed back for a job.
func PreemptionEntry(job string, r tier.Reservation) Entry {
	return Entry{preemptionKey(job, r.Machine), wire.Encode(r), entryOverheadBytes + len(job) + len(r.Machine) + r.SizeBound()}
}

// DropPreemption gives the entry that drops it.
func DropPreemption(job, machine string) Entry {
	return Entry{Key: preemptionKey(job, machine), Size: entryOverheadBytes + len(job) + len(machine) + 8}
}

// HasPreemption reports whether room on a machine is claimed back for a job.
func (l *Ledger) HasPreemption(job, machine string) bool {
	_, ok := l.location[preemptionKey(job, machine)]
	return ok
}

func preemptionKey(job, machine string) string { return preemptionPrefix + job + "/" + machine }
