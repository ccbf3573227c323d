package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// storeFinishedJobs adds the jobs of which all tasks of this shard have finished to a round, as many as fit.
func (l *Leader) storeFinishedJobs(now time.Time, d *Draft) {
	for _, id := range l.sortByTierRank(l.unstoredCompletions.OldestFirst()) {
		j, live := l.jobStates[id], l.liveJobs[id]
		if live == nil || j == nil {
			l.unstoredCompletions.Remove(id)
			continue
		}
		tasks, all := j.finished.Difference(j.storedFinished), l.ownTasksFinished(live, j)
		if len(tasks) == 0 && (!all || l.sharding.IsSingle()) {
			l.unstoredCompletions.Remove(id)
			continue
		}
		if !all || len(tasks) > 0 && l.assignment.Unassigned(live) && !l.sharding.IsSingle() { // the finished tasks must be in the ledger first
			continue
		}
		if r := d.Update(live); r != nil { // else it is retried in the next round
			if l.finishRanges(r, id, live, now) {
				d.done = append(d.done, id)
			}
			d.finished[id] = tasks
		}
	}
}

// storeProgress adds the blocks of tasks of which some have newly finished to a round, as many as fit.
func (l *Leader) storeProgress(d *Draft) {
	for _, id := range l.sortByTierRank(l.unstoredCompletions.OldestFirst()) {
		j, live := l.jobStates[id], l.liveJobs[id]
		if d.finished[id] != nil || l.ownTasksFinished(live, j) && (l.sharding.IsSingle() || !l.assignment.Unassigned(live)) {
			continue
		}
		lastBlock, fits := -1, false
		var stored []int
		for _, i := range j.finished.Difference(j.storedFinished) {
			if block := i / store.TasksPerBlock; block != lastBlock {
				lastBlock, fits = block, d.Add(store.ProgressEntry(id, block, j.finished))
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

// dropObsoleteRecords stores changed machine types and deletes the records of machines and scale-out requests that are no
// longer needed, as many as the round has space for.
func (l *Leader) dropObsoleteRecords(d *Draft) {
	if l.typesChanged && d.ChangesLeft() > 0 {
		d.AddChange(wire.Operation{Put: store.MachineTypesKey, Value: store.MachineTypesRecord{Types: l.types}})
		l.typesChanged, d.storesTypes = false, true
	}
	for _, id := range sortedKeys(l.machinesToDrop) {
		if !l.ledger.HasMachine(id) || d.machines[id] || d.Add(store.MachineTombstone(id)) {
			d.dropped = append(d.dropped, id)
		}
	}
	for _, name := range l.scaler.Obsolete() {
		if !l.ledger.HasScaleOut(name) || d.Add(store.ScaleOutTombstone(name)) {
			d.dropped = append(d.dropped, name)
		}
	}
}

// machineRecord returns the record of a machine.
func machineRecord(m *fleet.Machine) store.MachineRecord {
	return store.MachineRecord{Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Incarnation: m.Incarnation, Tasks: m.ActiveAttempts()}
}

// machineEntry returns the ledger entry of a machine, and records in the round which tasks it names.
func (l *Leader) machineEntry(d *Draft, id string) store.Entry {
	r := machineRecord(l.fleet.Machine(id))
	d.ledgerTasks[id] = r.Tasks
	return store.MachineEntry(id, r)
}
