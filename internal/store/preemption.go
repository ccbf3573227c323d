package store

import (
	"slices"
	"strings"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// A preemption has one record for each machine on which it reserves capacity. The records are
// written before any task is told to stop, so that the next leader can continue the preemption.

// PreemptionEntry returns the entry of the capacity that a preemption on behalf of a job reserves on
// one machine.
func PreemptionEntry(job string, r tier.Reservation) Entry {
	return Entry{preemptionKey(job, r.Machine), wire.Encode(r), entryOverheadBytes + len(job) + len(r.Machine) + r.SizeBound()}
}

// PreemptionTombstone returns the tombstone of a PreemptionEntry.
func PreemptionTombstone(job, machine string) Entry {
	return Entry{Key: preemptionKey(job, machine), Size: entryOverheadBytes + len(job) + len(machine) + 2*tombstoneValueBytes}
}

// HasPreemption reports whether the ledger holds a reservation for a job on a machine.
func (l *Ledger) HasPreemption(job, machine string) bool {
	return l.has(preemptionKey(job, machine))
}

func preemptionKey(job, machine string) string { return preemptionPrefix + job + "/" + machine }

// applyPreemption applies a reservation, whose name consists of the job and the machine.
func (rec *RecoveredState) applyPreemption(name, key string, raw wire.Raw) Entry {
	job, machine, _ := strings.Cut(name, "/")
	p := rec.Preemptions[job]
	if p == nil {
		p = &tier.Preemption{}
		rec.Preemptions[job] = p
	}
	p.Reservations = slices.DeleteFunc(p.Reservations, func(r tier.Reservation) bool { return r.Machine == machine })
	r, ok := decodeEntry[tier.Reservation](raw)
	if !ok || r.Machine != machine {
		return Entry{Key: key}
	}
	p.Reservations = append(p.Reservations, r)
	return PreemptionEntry(job, r)
}
