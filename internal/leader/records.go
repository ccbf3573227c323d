package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// storeFinishedJobs stores jobs as done of which every task has finished.
func (l *Leader) storeFinishedJobs(now time.Time, d *Draft) {
	for _, id := range l.sortFirstTierFirst(l.unstored.OldestFirst()) {
		j, live := l.jobStates[id], l.liveJobs[id]
		if live == nil || j == nil {
			l.unstored.Remove(id)
			continue
		}
		tasks, all := j.finished.Difference(j.storedFinished), l.allFinished(live, j)
		if len(tasks) == 0 && (!all || l.sharding.IsSingle()) {
			l.unstored.Remove(id)
			continue
		}
		if !all || len(tasks) > 0 && l.assignment.Unassigned(live) && !l.sharding.IsSingle() { // these must be in the ledger first
			continue
		}
		if r := d.Update(live); r != nil { // or the next round has capacity
			if l.finishRanges(r, id, live, now) {
				d.done = append(d.done, id)
			}
			d.finished[id] = tasks
		}
	}
}

// storeProgress writes the blocks of tasks in which some have finished, as far as the round has capacity.
func (l *Leader) storeProgress(d *Draft) {
	for _, id := range l.sortFirstTierFirst(l.unstored.OldestFirst()) {
		j, live := l.jobStates[id], l.liveJobs[id]
		if d.finished[id] != nil || l.allFinished(live, j) && (l.sharding.IsSingle() || !l.assignment.Unassigned(live)) {
			continue
		}
		last, fits := -1, false
		var stored []int
		for _, i := range j.finished.Difference(j.storedFinished) {
			if b := i / store.TasksPerBlock; b != last {
				last, fits = b, d.Add(store.ProgressEntry(id, b, j.finished))
			}
			if fits {
				stored = append(stored, i)
			}
		}
		if len(stored) > 0 {
			d.finished[id] = stored
		}
	}
}

// dropObsolete deletes records that are of no more use, and stores new machine types, as far as the
// round has capacity.
func (l *Leader) dropObsolete(d *Draft) {
	if l.typesChanged && d.ChangesLeft() > 0 {
		d.AddChange(wire.Operation{Put: store.MachineTypesKey, Value: store.MachineTypesRecord{Types: l.types}})
		l.typesChanged, d.storesTypes = false, true
	}
	for _, id := range sortedKeys(l.machinesToDrop) {
		if !l.ledger.HasMachine(id) || d.machines[id] || d.Add(store.DropMachine(id)) {
			d.dropped = append(d.dropped, id)
		}
	}
	for _, name := range l.scaler.Obsolete() {
		if !l.ledger.HasScaleOut(name) || d.Add(store.DropScaleOut(name)) {
			d.dropped = append(d.dropped, name)
		}
	}
}

// machineRecord returns the record of a machine. It does not name what was seen to have ended there,
// even if a call with its launch is still open: a late copy of that does nothing until a command under
// a later token clears the task, and is refused after that.
func machineRecord(m *fleet.Machine) store.MachineRecord {
	tasks := m.PossibleAttempts()
	for _, p := range m.Placements() {
		if name := p.Task.String(); !p.Active() && tasks[name] == p.Attempt {
			delete(tasks, name)
		}
	}
	return store.MachineRecord{Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Incarnation: m.Incarnation, Tasks: tasks}
}

// machineEntry returns the entry of a machine for a round.
func (l *Leader) machineEntry(d *Draft, id string) store.Entry {
	r := machineRecord(l.fleet.Machine(id))
	d.ledgerTasks[id] = r.Tasks
	return store.MachineEntry(id, r)
}
