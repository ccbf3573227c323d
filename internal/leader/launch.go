package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/stall"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// launchGroup is a set of launches that are made together or not at all: a single task, or all tasks of a gang.
type launchGroup struct {
	launches []scheduler.Launch
	bytes    int             // space that its entries take in the ledger
	machines map[string]bool // machines whose records the round does not write yet
	full     bool            // a machine would get more tasks than its record may name
}

// nextGroup splits a non-empty list of launches into its first group and the rest.
func nextGroup(launches []scheduler.Launch) (group, rest []scheduler.Launch) {
	n := 1
	for launches[0].Job.Shape == wire.Gang && n < len(launches) && launches[n].Job == launches[0].Job {
		n++
	}
	return launches[:n], launches[n:]
}

// launch places tasks as far as the round has capacity. Each job takes a condition of the transaction, and each machine
// takes space in the ledger for its record, which names the tasks that may be there. Launches that don't fit are
// decided again in the next round; a gang is never split. launch returns why the last omitted group was left out.
func (l *Leader) launch(now time.Time, d *Draft, launches []scheduler.Launch) (withheld stall.Cause) {
	var group []scheduler.Launch
	for len(launches) > 0 {
		group, launches = nextGroup(launches)
		g := l.measureGroup(d, group)
		switch {
		case g.full:
			withheld = stall.CauseMachines
		case !d.Fits(g.bytes):
			withheld = stall.CauseLedger
		case !d.Guard(l.liveJobs[group[0].Job.ID]):
			withheld = stall.CauseConditions
		default:
			l.placeGroup(now, d, g)
		}
	}
	for _, id := range sortedKeys(d.machines) {
		d.AddReserved(l.machineEntry(d, id))
	}
	return withheld
}

// recordShare is the share of a ledger segment that the record of one machine may take, so that the records of several
// machines fill segments well.
const recordShare = 4

// maxTasksPerMachine returns how many tasks may be on one machine: as many as its record may name. The scheduler plans by
// the same number.
func (l *Leader) maxTasksPerMachine() int {
	return max(1, l.cfg.Store.ValueBytes/recordShare/store.MachineTaskBytes)
}

// measureGroup returns a group of launches with the capacity of the round that it takes.
func (l *Leader) measureGroup(d *Draft, launches []scheduler.Launch) launchGroup {
	g := launchGroup{launches: launches, bytes: len(launches) * store.MachineTaskBytes, machines: make(map[string]bool)}
	tasksByMachine := make(map[string]int)
	for _, launch := range launches {
		m := l.fleet.Machine(launch.Machine)
		if !d.machines[launch.Machine] && !g.machines[launch.Machine] {
			g.machines[launch.Machine] = true
			g.bytes += store.MachineEntryBytes(m.ID, &store.MachineRecord{Addr: m.Addr, Type: m.Type, Zone: m.Zone}) + m.CountActive()*store.MachineTaskBytes
		}
		tasksByMachine[m.ID]++
		g.full = g.full || m.CountActive()+tasksByMachine[m.ID] > l.maxTasksPerMachine()
	}
	return g
}

// placeGroup places a group for which the round has capacity. Its tasks share one attempt. The attempt need not be
// stored to be unique, because it contains this leader's fencing token.
func (l *Leader) placeGroup(now time.Time, d *Draft, g launchGroup) {
	d.Reserve(g.bytes)
	for id := range g.machines {
		d.machines[id] = true
	}
	attempt := l.nextAttempt(l.lease.FencingToken)
	if order := l.liveJobs[g.launches[0].Job.ID].Record.CoAllocation; order >= store.CoAllocationFirstAttempt {
		attempt = order
	}
	for _, launch := range g.launches {
		p := l.fleet.Place(now, l.fleet.Machine(launch.Machine), wire.TaskID{Job: launch.Job.ID, Index: launch.TaskIndex}, attempt)
		d.launches = append(d.launches, p)
		l.consumeReservation(d, p)
		l.log.Debug("task placed", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "round", d.Number)
	}
}
