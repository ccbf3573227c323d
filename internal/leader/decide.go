package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Reconcile compares the placements with the jobs while a round waits for the store, so that
// what is cancelled is stopped however long that takes.
func (h *Leader) Reconcile(now time.Time, snap store.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !snap.CurrentAt.Before(h.viewCurrentAt) {
		h.refresh(now, snap)
	}
}

func (h *Leader) refresh(now time.Time, snap store.Snapshot) {
	if !h.lastReconciled.IsZero() && now.Sub(h.lastReconciled) > pauseThreshold {
		h.lastPauseEnd = now
	}
	h.liveJobs, h.lastReconciled = snap.LiveJobs, now
	h.quota.Observe(snap.QuotaGrants)
	h.noteLiveJobs(snap)
	h.applyEvents(now, h.fleet.ExpireLeases(now))
	h.reconcilePlacements(now)
	h.viewCurrentAt = snap.CurrentAt
}

// Decide makes the next round of a snapshot, or nil when there is nothing to
// write. Stops take effect at once, since they need no fence.
func (h *Leader) Decide(now time.Time, snap store.Snapshot) *Draft {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refresh(now, snap)
	d := h.newDraft()
	d.decidedAt = now
	h.storeFinishedJobs(now, d)
	h.advanceSplitGangs(now, d)
	h.handOverUnplaced(now, d)
	h.assignRanges(d)
	h.dropPreviousLedgers(d, snap)
	d.OpenLedger(h.ledger, h.cfg.Store.TxnOps/2, h.cfg.Store.ValueBytes, &h.sizes)
	h.decideZones(now, d)
	h.decideZoneRecoveries(now, d)
	h.storeProgress(d)
	h.plan(now, d)
	h.writeMigrated(d)
	carried, disowns := h.migrationDue(), h.releaseOwnership(d)
	if d.Empty() && !carried && !disowns && now.Sub(h.lastDecided) < h.cfg.Tuning.RoundWindow {
		return nil // what is only to be tidied up can wait for company
	}
	h.dropObsolete(d)
	h.writeStalePreemptions(d)
	clear := h.clearedRevision(snap.Revision)
	if d.Empty() && !carried && !h.clearedDue(now, clear) {
		return nil
	}
	h.lastDecided, d.clearedRevision, d.migrated = now, clear, carried
	head := store.SegmentRecord{FencingToken: h.lease.FencingToken, Round: d.Number, DrainedThrough: clear}
	if carried || h.migration.recorded {
		head.Migrated = h.shardingNumber
	}
	if left := d.Pack(h.ledger, head); left > 0 {
		// A launch whose machine's record is left out must never be said: the next
		// holder would not know of it. A smaller round is decided instead.
		h.sizes.TooLarge()
		if len(d.launches) > 0 {
			h.stalls.blocked(now, StallTooLarge, d.launches[0].Task.Job)
		}
		h.log.Error("round too large", "number", d.Number, "left", left, "squeeze", h.sizes.Halvings())
		h.discardDraft(d)
		return nil
	}
	h.sizes.Fitted()
	d.Txn.If = append(d.Txn.If, wire.Condition{Key: store.LeaderKey(h.lease.Shard), Version: h.lease.Version})
	d.Seal()
	return d
}

// storeFinishedJobs writes that jobs are done, of which every task is.
func (h *Leader) storeFinishedJobs(now time.Time, d *Draft) {
	for _, id := range h.sortFirstTierFirst(h.unstored.OldestFirst()) {
		j, l := h.jobStates[id], h.liveJobs[id]
		if l == nil || j == nil {
			h.unstored.Remove(id)
			continue
		}
		tasks, all := j.finished.Difference(j.storedFinished), h.allFinished(l, j)
		if len(tasks) == 0 && (!all || h.sharding.IsSingle()) {
			h.unstored.Remove(id)
			continue
		}
		if !all || len(tasks) > 0 && h.unassigned(l) && !h.sharding.IsSingle() { // which must be in the ledger first
			continue
		}
		if r := d.Update(l); r != nil { // or the next round has room
			if h.finishRanges(r, id, l, now) {
				d.done = append(d.done, id)
			}
			d.finished[id] = tasks
		}
	}
}

// storeProgress writes the blocks of jobs in which tasks have finished, as far as
// the round has room.
func (h *Leader) storeProgress(d *Draft) {
	for _, id := range h.sortFirstTierFirst(h.unstored.OldestFirst()) {
		j, l := h.jobStates[id], h.liveJobs[id]
		if d.finished[id] != nil || h.allFinished(l, j) && (h.sharding.IsSingle() || !h.unassigned(l)) {
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

// dropObsolete drops what is of no more use, as far as the round has room.
func (h *Leader) dropObsolete(d *Draft) {
	if h.typesChanged && d.ChangesLeft() > 0 {
		d.AddChange(wire.Operation{Put: store.MachineTypesKey, Value: store.MachineTypesRecord{Types: h.types}})
		h.typesChanged, d.storesTypes = false, true
	}
	for _, id := range sortedKeys(h.machinesToDrop) {
		if !h.ledger.HasMachine(id) || d.machines[id] || d.Add(store.DropMachine(id)) {
			d.dropped = append(d.dropped, id)
		}
	}
	for _, name := range sortedKeys(h.requestsToDrop) {
		if !h.ledger.HasScaleOut(name) || d.Add(store.DropScaleOut(name)) {
			d.dropped = append(d.dropped, name)
		}
	}
}

// machineRecord is what the store keeps of a machine. What was seen ended there is not named, be its
// launch loose: until a clear at a later term a copy does nothing, and then it is refused.
func machineRecord(m *fleet.Machine) store.MachineRecord {
	tasks := m.PossibleAttempts()
	for _, p := range m.Placements() {
		if name := p.Task.String(); !p.Active() && tasks[name] == p.Attempt {
			delete(tasks, name)
		}
	}
	return store.MachineRecord{Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Incarnation: m.Incarnation, Tasks: tasks}
}

// machineEntry gives the entry of a machine for a round.
func (h *Leader) machineEntry(d *Draft, id string) store.Entry {
	r := machineRecord(h.fleet.Machine(id))
	d.ledgerTasks[id] = r.Tasks
	return store.MachineEntry(id, r)
}

// plan lets sched choose and turns its plan into the draft.
func (h *Leader) plan(now time.Time, d *Draft) {
	snapshot := h.clusterSnapshot(now)
	snapshot.LaunchBudget = h.cfg.Tuning.RoundTasks
	h.addPreemptions(snapshot)
	var startable *scheduler.Job
	if h.stalls.checkDue(now) {
		startable = snapshot.FirstStartable()
	}
	plan := scheduler.Schedule(snapshot)
	withheld := h.launch(now, d, plan.Launches)
	h.noteStarts(now, d, &plan, startable, withheld)
	h.updateForecast(&plan, snapshot.Teams)
	h.noteFreeCapacity(now, &plan)
	if h.preemptions.tierSet.Configured() { // and nothing is stopped for room before the round is taken
		h.startPreemptions(now, d, plan.Reclaims)
		h.noteTierStatuses(&plan)
	}
	for _, s := range plan.Stops {
		if p := h.fleet.ActivePlacement(wire.TaskID{Job: s.Job.ID, Index: s.TaskIndex}); p != nil {
			h.stopTask(now, p, s.Job.Job, s.Reason)
		}
	}
	h.requestScaleOut(now, d, h.withZoneProbes(now, snapshot, &plan))
	for _, id := range plan.ScaleIns {
		h.releaseMachine(h.fleet.Machine(id), "idle")
	}
	h.releaseUnusable(now)
}

// noteStarts takes in what a plan and its round start. Startable is a job that could be started
// where nothing was for a while, kept is why launches that were planned are not in the round.
func (h *Leader) noteStarts(now time.Time, d *Draft, plan *scheduler.Plan, startable *scheduler.Job, withheld StallCause) {
	switch {
	case len(d.launches) > 0: // the state service has yet to take them
	case len(plan.Launches) > 0:
		h.stalls.blocked(now, withheld, plan.Launches[0].Job.ID)
	case startable != nil:
		h.stalls.blocked(now, StallPlan, startable.ID)
	case h.stalls.checkDue(now):
		h.stalls.idle(now)
	}
	h.logStall(now)
}

func (h *Leader) machineType(name string) wire.MachineType {
	for _, t := range h.types {
		if t.Name == name {
			return t
		}
	}
	return wire.MachineType{}
}

// teamUsage sums what the teams' tasks use or may use.
func (h *Leader) teamUsage() map[string]scheduler.Resources {
	out := make(map[string]scheduler.Resources)
	for _, m := range h.fleet.Machines() {
		for _, p := range m.Placements() {
			if t, ok := h.taskDemand(p.Task.Job); ok && p.Active() {
				u := out[t.Team]
				out[t.Team] = scheduler.Resources{CPUs: u.CPUs + t.CPUs, GPUs: u.GPUs + t.GPUs}
			}
		}
	}
	return out
}

// taskDemand tells what a task of a job takes, even when the job is over.
func (h *Leader) taskDemand(job string) (store.TaskDemand, bool) {
	if l := h.liveJobs[job]; l != nil {
		return l.Record.TaskDemand()
	}
	rec, _ := h.jobIndex.Job(job)
	return rec.TaskDemand()
}

func sortedKeys[K interface{ ~string | ~int }, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// failedOn reports whether a conflict names a key.
func failedOn(failed []string, key string) bool {
	return slices.Contains(failed, key)
}
