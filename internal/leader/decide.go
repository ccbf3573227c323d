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

// Reconcile compares the placements with the jobs while a round waits for the state service, so that tasks of
// cancelled jobs are stopped however long the round takes.
func (l *Leader) Reconcile(now time.Time, snap store.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !snap.CurrentAt.Before(l.viewCurrentAt) {
		l.refresh(now, snap)
	}
}

// refresh applies a snapshot of the state and the lease expiries up to now, and reconciles the placements.
func (l *Leader) refresh(now time.Time, snap store.Snapshot) {
	if !l.lastReconciledAt.IsZero() && now.Sub(l.lastReconciledAt) > reachability.PauseThreshold {
		l.monitor.RecordPause(now)
	}
	l.liveJobs, l.lastReconciledAt = snap.LiveJobs, now
	l.quota.Observe(snap.QuotaGrants)
	l.recordLiveRevisions(snap)
	l.applyEvents(now, l.fleet.ExpireLeases(now))
	l.reconcilePlacements(now)
	l.viewCurrentAt = snap.CurrentAt
}

// Decide returns the next round for a snapshot of the state, or nil if there is nothing to write. Stops take
// effect immediately, because they need no fencing.
func (l *Leader) Decide(now time.Time, snap store.Snapshot) *Draft {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now, snap)
	if l.resignBeforeAttemptsRunOut(); l.resignReason != "" {
		return nil
	}
	d := l.newDraft()
	d.decidedAt = now
	l.storeFinishedJobs(now, d)
	l.advanceSplitGangs(now, d)
	l.handOverUnplaced(now, d)
	l.assignRanges(d)
	l.dropPreviousLedgers(d, snap)
	d.OpenLedger(l.ledger, l.cfg.Store.TxnOps/2, l.cfg.Store.ValueBytes, &l.sizeBackoff)
	l.decideZones(now, d)
	l.decideZoneRecoveries(now, d)
	l.storeProgress(d)
	l.plan(now, d)
	l.writeMigrated(d)
	migrated, drops := l.migration.due(), l.rewriteStaleRecords(d)
	if d.Empty() && !migrated && !drops && now.Sub(l.lastDecidedAt) < l.cfg.Tuning.RoundWindow {
		return nil // dropping obsolete records alone does not justify a round
	}
	l.dropObsoleteRecords(d)
	l.writeStalePreemptions(d)
	drained := l.drainedRevision(snap.Revision)
	if d.Empty() && !migrated && !l.drainedRoundDue(now, drained) {
		return nil
	}
	l.lastDecidedAt, d.drainedRevision, d.migrated = now, drained, migrated
	if !l.pack(now, d) {
		return nil
	}
	d.Txn.If = append(d.Txn.If, wire.Condition{Key: store.LeaderKey(l.lease.Shard), Version: l.lease.Version})
	d.Seal()
	return d
}

// pack divides the entries of a round among segments of the ledger. If they don't fit, it discards the round,
// and a smaller one is decided next: a launch must never be sent if its machine's record is left out, because
// the next leader would not know of it.
func (l *Leader) pack(now time.Time, d *Draft) bool {
	head := store.SegmentRecord{FencingToken: l.lease.FencingToken, Round: d.Number, DrainedThrough: d.drainedRevision}
	if d.migrated || l.migration.recorded {
		head.Migrated = l.assignment.Generation()
	}
	if left := d.Pack(l.ledger, head); left > 0 {
		l.sizeBackoff.TooLarge()
		if len(d.launches) > 0 {
			l.stalls.Blocked(now, stall.CauseTooLarge, d.launches[0].Task.Job)
		}
		l.log.Error("round too large", "number", d.Number, "left", left, "halvings", l.sizeBackoff.Halvings())
		l.discardDraft(d)
		return false
	}
	l.sizeBackoff.Fitted()
	return true
}

// plan runs the scheduler and applies its plan to the draft.
func (l *Leader) plan(now time.Time, d *Draft) {
	snapshot := l.clusterSnapshot(now)
	snapshot.LaunchBudget = l.cfg.Tuning.MaxRoundLaunches
	l.addPreemptionsToSnapshot(snapshot)
	var startable *scheduler.Job
	if l.stalls.CheckDue(now) {
		startable = snapshot.FirstStartable()
	}
	plan := scheduler.Schedule(snapshot)
	withheld := l.launch(now, d, plan.Launches)
	l.reportStarts(now, d, &plan, startable, withheld)
	l.updateForecast(&plan, snapshot.Teams)
	l.noteFreeCapacity(now, &plan)
	if l.preemptions.Tiers().Configured() { // then preempted tasks are stopped only after the round is committed
		l.startPreemptions(now, d, plan.Reclaims)
		l.preemptions.SetStatuses(plan.Tiers)
	}
	for _, s := range plan.Stops {
		if p := l.fleet.ActivePlacement(wire.TaskID{Job: s.Job.ID, Index: s.TaskIndex}); p != nil {
			l.stopTask(now, p, s.Job.Job, s.Reason)
		}
	}
	l.addScaleOutRequests(now, d, l.withZoneProbes(now, snapshot, &plan))
	for _, id := range plan.ScaleIns {
		l.releaseMachine(l.fleet.Machine(id), "idle")
	}
	l.releaseUnusableMachines(now)
}

// reportStarts tells the stall detector whether a plan and its round start anything. startable is a job that
// could be started although nothing has been started for a while; withheld is why planned launches are not
// in the round.
func (l *Leader) reportStarts(now time.Time, d *Draft, plan *scheduler.Plan, startable *scheduler.Job, withheld stall.Cause) {
	switch {
	case len(d.launches) > 0: // the state service still has to commit them
	case len(plan.Launches) > 0:
		l.stalls.Blocked(now, withheld, plan.Launches[0].Job.ID)
	case startable != nil:
		l.stalls.Blocked(now, stall.CausePlan, startable.ID)
	case l.stalls.CheckDue(now):
		l.stalls.Idle(now)
	}
	l.logStall(now)
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K interface{ ~string | ~int }, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
