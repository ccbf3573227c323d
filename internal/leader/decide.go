package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Tend compares the placements with the jobs while a round waits for the store, so that
// what is cancelled is stopped however long that takes.
func (h *Holder) Tend(now time.Time, snap store.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !snap.Fresh.Before(h.knows) {
		h.tend(now, snap)
	}
}

func (h *Holder) tend(now time.Time, snap store.Snapshot) {
	if !h.tended.IsZero() && now.Sub(h.tended) > stillTime {
		h.awake = now
	}
	h.live, h.tended = snap.Live, now
	h.grants.see(snap.Grants)
	h.seeLive(snap)
	h.take(now, h.fleet.Expire(now))
	h.reconcile(now)
	h.knows = snap.Fresh
}

// Decide makes the next round of a snapshot, or nil when there is nothing to
// write. Stops take effect at once, since they need no fence.
func (h *Holder) Decide(now time.Time, snap store.Snapshot) *Draft {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tend(now, snap)
	d := h.newDraft()
	d.at = now
	h.storeEnds(now, d)
	h.attend(now, d)
	h.giveShares(now, d)
	h.deal(d)
	h.forget(d, snap)
	for _, r := range d.homes {
		d.Txn.Then = append(d.Txn.Then, r.Change())
	}
	h.openLedger(d)
	h.judgeZones(now, d)
	h.judgeReturns(now, d)
	h.storeProgress(d)
	h.plan(now, d)
	h.carryOver(d)
	carried, disowns := h.carryDue(), h.disown(d)
	if len(d.Txn.Then) == 0 && len(d.entries) == 0 && !carried && !disowns && now.Sub(h.wrote) < h.cfg.Tuning.RoundWindow {
		return nil // what is only to be tidied up can wait for company
	}
	h.tidy(d)
	h.tidyClaims(d)
	clear := h.clear(snap.Revision)
	if len(d.Txn.Then) == 0 && len(d.entries) == 0 && !carried && !h.clearDue(now, clear) {
		return nil
	}
	h.wrote, d.clear, d.carried = now, clear, carried
	head := store.SlotRecord{Term: h.held.Term, Round: d.Number, Clear: clear}
	if carried || h.carry.said {
		head.Carried = h.number
	}
	d.packed, d.entries = h.ledger.Pack(head, d.entries, d.slots, d.ops > 0)
	if len(d.entries) > 0 {
		// A launch whose machine's record is left out must never be said: the next
		// holder would not know of it. A smaller round is decided instead.
		h.squeeze = min(h.squeeze+1, 12)
		if len(d.launches) > 0 {
			h.stalls.blocked(now, StallTooLarge, d.launches[0].Task.Job)
		}
		h.log.Error("round too large", "number", d.Number, "left", len(d.entries), "squeeze", h.squeeze)
		h.discard(d)
		return nil
	}
	h.squeeze = max(0, h.squeeze-1)
	d.Txn.If = append(d.Txn.If, wire.Condition{Key: store.PartKey(h.held.Part), Version: h.held.Version})
	d.Txn.If = append(d.Txn.If, d.packed.If...)
	d.Txn.Then = append(d.Txn.Then, d.packed.Then...)
	return d
}

// storeEnds writes that jobs are done, of which every task is.
func (h *Holder) storeEnds(now time.Time, d *Draft) {
	for _, id := range h.topFirst(h.unstored.oldestFirst()) {
		j, l := h.jobs[id], h.live[id]
		if l == nil || j == nil {
			h.unstored.remove(id)
			continue
		}
		tasks, all := j.finished.Beyond(j.stored), h.allFinished(l, j)
		if len(tasks) == 0 && (!all || h.group.Whole()) {
			h.unstored.remove(id)
			continue
		}
		if !all || len(tasks) > 0 && h.undealt(l) && !h.group.Whole() { // which must be in the ledger first
			continue
		}
		if r := d.rewrite(l); r != nil { // or the next round has room
			if h.endShares(r, id, l, now) {
				d.done = append(d.done, id)
			}
			d.finished[id] = tasks
		}
	}
}

// storeProgress writes the blocks of jobs in which tasks have finished, as far as
// the round has room.
func (h *Holder) storeProgress(d *Draft) {
	for _, id := range h.topFirst(h.unstored.oldestFirst()) {
		j, l := h.jobs[id], h.live[id]
		if d.finished[id] != nil || h.allFinished(l, j) && (h.group.Whole() || !h.undealt(l)) {
			continue
		}
		last, fits := -1, false
		var stored []int
		for _, i := range j.finished.Beyond(j.stored) {
			if b := i / store.BlockTasks; b != last {
				last, fits = b, d.add(store.ProgressEntry(id, b, j.finished))
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

// tidy drops what is of no more use, as far as the round has room.
func (h *Holder) tidy(d *Draft) {
	if h.newTypes && d.ops > 0 {
		d.ops--
		d.Txn.Then = append(d.Txn.Then, wire.Change{Put: store.TypesKey, Value: store.TypesRecord{Types: h.types}})
		h.newTypes, d.types = false, true
	}
	for _, id := range sortedKeys(h.dropMachines) {
		if !h.ledger.Has(id) || d.machines[id] || d.add(store.DropMachine(id)) {
			d.dropped = append(d.dropped, id)
		}
	}
	for _, name := range sortedKeys(h.dropAsks) {
		if !h.ledger.HasAsk(name) || d.add(store.DropAsk(name)) {
			d.dropped = append(d.dropped, name)
		}
	}
}

// record is what the store keeps of a machine. What was seen ended there is not named, be its
// launch loose: until a clear at a later term a copy does nothing, and then it is refused.
func record(m *fleet.Machine) store.MachineRecord {
	tasks := m.May()
	for _, p := range m.Placements() {
		if name := p.Task.String(); !p.Active() && tasks[name] == p.Attempt {
			delete(tasks, name)
		}
	}
	return store.MachineRecord{Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Session: m.Session, Tasks: tasks}
}

// machineEntry gives the entry of a machine for a round.
func (h *Holder) machineEntry(d *Draft, id string) store.Entry {
	r := record(h.fleet.Machine(id))
	d.names[id] = r.Tasks
	return store.MachineEntry(id, r)
}

// plan lets sched choose and turns its plan into the draft.
func (h *Holder) plan(now time.Time, d *Draft) {
	pic := h.picture(now)
	pic.Tasks = h.cfg.Tuning.RoundTasks
	h.pictureClaims(pic)
	var startable *scheduler.Job
	if h.stalls.looks(now) {
		startable = pic.Startable()
	}
	plan := scheduler.Choose(pic)
	kept := h.launch(now, d, plan.Launches)
	h.watchStarts(now, d, &plan, startable, kept)
	h.foresee(now, &plan, pic.Teams)
	h.leave(now, &plan)
	if h.claims.set.Given() { // and nothing is stopped for room before the round is taken
		h.claimBack(now, d, plan.Claims)
		h.noteTiers(&plan)
	}
	for _, s := range plan.Stops {
		if p := h.fleet.Active(wire.TaskID{Job: s.Job.ID, Index: s.Index}); p != nil {
			h.stop(now, p, s.Job.Job, s.Why)
		}
	}
	h.askFor(now, d, h.withProbes(now, pic, &plan))
	for _, id := range plan.Releases {
		h.giveUp(h.fleet.Machine(id), "idle")
	}
	h.releaseOthers(now)
}

// watchStarts takes in what a plan and its round start. Startable is a job that could be started
// where nothing was for a while, kept is why launches that were planned are not in the round.
func (h *Holder) watchStarts(now time.Time, d *Draft, plan *scheduler.Plan, startable *scheduler.Job, kept StallCause) {
	switch {
	case len(d.launches) > 0: // the state service has yet to take them
	case len(plan.Launches) > 0:
		h.stalls.blocked(now, kept, plan.Launches[0].Job.ID)
	case startable != nil:
		h.stalls.blocked(now, StallPlan, startable.ID)
	case h.stalls.looks(now):
		h.stalls.idle(now)
	}
	h.logStall(now)
}

func (h *Holder) typeOf(name string) wire.MachineType {
	for _, t := range h.types {
		if t.Name == name {
			return t
		}
	}
	return wire.MachineType{}
}

// used sums what the teams' tasks use or may use.
func (h *Holder) used() map[string][2]float64 {
	out := make(map[string][2]float64)
	for _, m := range h.fleet.Machines() {
		for _, p := range m.Placements() {
			if t, ok := h.takes(p.Task.Job); ok && p.Active() {
				u := out[t.Team]
				out[t.Team] = [2]float64{u[0] + t.CPUs, u[1] + t.GPUs}
			}
		}
	}
	return out
}

// takes tells what a task of a job takes, even when the job is over.
func (h *Holder) takes(job string) (store.Takes, bool) {
	if l := h.live[job]; l != nil {
		return l.Record.TaskTakes()
	}
	rec, _ := h.known.Job(job)
	return rec.TaskTakes()
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
