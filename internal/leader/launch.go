package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// launch places tasks as far as the round has room: a condition for each job,
// and in the ledger each machine, whose record names what may be there. The
// rest is decided again in the next round; a gang is never split. Kept says why the last one
// that is left out is.
func (h *Holder) launch(now time.Time, d *Draft, launches []scheduler.Launch) (kept StallCause) {
	most := max(1, h.cfg.Store.ValueBytes/4/store.TaskBytes) // tasks of a machine, so that records divide well
	for len(launches) > 0 {
		n := 1
		for launches[0].Job.Shape == wire.Gang && n < len(launches) && launches[n].Job == launches[0].Job {
			n++
		}
		group := launches[:n]
		launches = launches[n:]
		id := group[0].Job.ID
		size, full := n*store.TaskBytes, false
		fresh := make(map[string]bool)
		for _, l := range group {
			m := h.fleet.Machine(l.Machine)
			if !d.machines[l.Machine] && !fresh[l.Machine] {
				fresh[l.Machine] = true
				size += store.MachineBytes(m.ID, &store.MachineRecord{Addr: m.Addr, Type: m.Type, Zone: m.Zone}) + m.Held()*store.TaskBytes
			}
			full = full || m.Held()+n > most
		}
		switch {
		case full:
			kept = StallMachines
			continue
		case size > d.room:
			kept = StallLedger
			continue
		case !d.guard(h.live[id]):
			kept = StallConditions
			continue
		}
		d.room -= size
		for id := range fresh {
			d.machines[id] = true
		}
		// Unique without storage; the tasks of a gang share one attempt.
		h.sequence++
		attempt := h.held.Term<<24 | h.sequence
		if order := h.live[id].Record.CoAllocation; order >= store.CoAllocationFirst {
			attempt = order
		}
		for _, l := range group {
			p := h.fleet.Place(now, h.fleet.Machine(l.Machine), wire.TaskID{Job: l.Job.ID, Index: l.Index}, attempt)
			d.launches = append(d.launches, p)
			h.useRoom(d, p)
			h.log.Debug("placed", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "round", d.Number)
		}
	}
	for _, id := range sortedKeys(d.machines) {
		d.entries = append(d.entries, h.machineEntry(d, id))
	}
	return kept
}
