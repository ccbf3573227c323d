package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/stall"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Reconcile compares the placements with the jobs while a round waits for the state service, so that
// what is cancelled is stopped however long that takes.
func (h *Leader) Reconcile(now time.Time, snap store.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !snap.CurrentAt.Before(h.viewCurrentAt) {
		h.refresh(now, snap)
	}
}

// refresh applies what has happened up to a snapshot of the state.
func (h *Leader) refresh(now time.Time, snap store.Snapshot) {
	if !h.lastReconciled.IsZero() && now.Sub(h.lastReconciled) > reachability.PauseThreshold {
		h.monitor.NotePause(now)
	}
	h.liveJobs, h.lastReconciled = snap.LiveJobs, now
	h.quota.Observe(snap.QuotaGrants)
	h.noteLiveJobs(snap)
	h.applyEvents(now, h.fleet.ExpireLeases(now))
	h.reconcilePlacements(now)
	h.viewCurrentAt = snap.CurrentAt
}

// Decide returns the next round for a snapshot of the state, or nil when there is nothing to write.
// Stops take effect at once, since they need no fence.
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
	migrated, drops := h.migration.due(), h.releaseOwnership(d)
	if d.Empty() && !migrated && !drops && now.Sub(h.lastDecided) < h.cfg.Tuning.RoundWindow {
		return nil // what is only obsolete waits for a round that is written anyway
	}
	h.dropObsolete(d)
	h.writeStalePreemptions(d)
	cleared := h.clearedRevision(snap.Revision)
	if d.Empty() && !migrated && !h.clearedDue(now, cleared) {
		return nil
	}
	h.lastDecided, d.clearedRevision, d.migrated = now, cleared, migrated
	if !h.pack(now, d) {
		return nil
	}
	d.Txn.If = append(d.Txn.If, wire.Condition{Key: store.LeaderKey(h.lease.Shard), Version: h.lease.Version})
	d.Seal()
	return d
}

// pack divides the entries of a round among segments of the ledger. If they don't fit, the round is
// discarded, and a smaller one is decided instead: a launch whose machine's record is left out must
// never be sent, since the next leader would not know of it.
func (h *Leader) pack(now time.Time, d *Draft) bool {
	head := store.SegmentRecord{FencingToken: h.lease.FencingToken, Round: d.Number, DrainedThrough: d.clearedRevision}
	if d.migrated || h.migration.recorded {
		head.Migrated = h.assignment.Generation()
	}
	if left := d.Pack(h.ledger, head); left > 0 {
		h.sizes.TooLarge()
		if len(d.launches) > 0 {
			h.stalls.Blocked(now, stall.CauseTooLarge, d.launches[0].Task.Job)
		}
		h.log.Error("round too large", "number", d.Number, "left", left, "halvings", h.sizes.Halvings())
		h.discardDraft(d)
		return false
	}
	h.sizes.Fitted()
	return true
}

// plan has the scheduler plan, and turns its plan into the draft.
func (h *Leader) plan(now time.Time, d *Draft) {
	snapshot := h.clusterSnapshot(now)
	snapshot.LaunchBudget = h.cfg.Tuning.RoundTasks
	h.addPreemptions(snapshot)
	var startable *scheduler.Job
	if h.stalls.CheckDue(now) {
		startable = snapshot.FirstStartable()
	}
	plan := scheduler.Schedule(snapshot)
	withheld := h.launch(now, d, plan.Launches)
	h.noteStarts(now, d, &plan, startable, withheld)
	h.updateForecast(&plan, snapshot.Teams)
	h.noteFreeCapacity(now, &plan)
	if h.preemptions.Tiers().Configured() { // then nothing is stopped for capacity before the round is committed
		h.startPreemptions(now, d, plan.Reclaims)
		h.preemptions.SetStatuses(plan.Tiers)
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

// noteStarts tells the stall detector what a plan and its round start. Startable is a job that could be
// started where nothing was for a while; withheld is why launches that were planned are not in the round.
func (h *Leader) noteStarts(now time.Time, d *Draft, plan *scheduler.Plan, startable *scheduler.Job, withheld stall.Cause) {
	switch {
	case len(d.launches) > 0: // the state service has yet to commit them
	case len(plan.Launches) > 0:
		h.stalls.Blocked(now, withheld, plan.Launches[0].Job.ID)
	case startable != nil:
		h.stalls.Blocked(now, stall.CausePlan, startable.ID)
	case h.stalls.CheckDue(now):
		h.stalls.Idle(now)
	}
	h.logStall(now)
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K interface{ ~string | ~int }, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
