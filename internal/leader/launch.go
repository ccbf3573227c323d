package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/stall"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// launch places tasks as far as the round has room: a condition for each job,
// and in the ledger each machine, whose record names what may be there. The
// rest is decided again in the next round; a gang is never split. Kept says why the last one
// that is left out is.
func (h *Leader) launch(now time.Time, d *Draft, launches []scheduler.Launch) (withheld stall.Cause) {
	maxTasks := max(1, h.cfg.Store.ValueBytes/4/store.MachineTaskBytes) // tasks of a machine, so that records divide well
	for len(launches) > 0 {
		n := 1
		for launches[0].Job.Shape == wire.Gang && n < len(launches) && launches[n].Job == launches[0].Job {
			n++
		}
		group := launches[:n]
		launches = launches[n:]
		id := group[0].Job.ID
		size, full := n*store.MachineTaskBytes, false
		fresh := make(map[string]bool)
		for _, l := range group {
			m := h.fleet.Machine(l.Machine)
			if !d.machines[l.Machine] && !fresh[l.Machine] {
				fresh[l.Machine] = true
				size += store.MachineEntryBytes(m.ID, &store.MachineRecord{Addr: m.Addr, Type: m.Type, Zone: m.Zone}) + m.CountPossible()*store.MachineTaskBytes
			}
			full = full || m.CountPossible()+n > maxTasks
		}
		switch {
		case full:
			withheld = stall.CauseMachines
			continue
		case !d.Fits(size):
			withheld = stall.CauseLedger
			continue
		case !d.Guard(h.liveJobs[id]):
			withheld = stall.CauseConditions
			continue
		}
		d.Reserve(size)
		for id := range fresh {
			d.machines[id] = true
		}
		// Unique without storage; the tasks of a gang share one attempt.
		h.attemptSequence++
		attempt := h.lease.FencingToken<<24 | h.attemptSequence
		if order := h.liveJobs[id].Record.CoAllocation; order >= store.CoAllocationFirstAttempt {
			attempt = order
		}
		for _, l := range group {
			p := h.fleet.Place(now, h.fleet.Machine(l.Machine), wire.TaskID{Job: l.Job.ID, Index: l.TaskIndex}, attempt)
			d.launches = append(d.launches, p)
			h.consumeReservation(d, p)
			h.log.Debug("placed", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "round", d.Number)
		}
	}
	for _, id := range sortedKeys(d.machines) {
		d.AddReserved(h.machineEntry(d, id))
	}
	return withheld
}
