package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

// Reconciliation compares the placements with the live jobs. Placements of jobs that have ended are stopped or
// withdrawn, and placements whose end is stored need no further work.

const (
	// jobStateRetention is how long the state of a job is kept after the job has ended.
	jobStateRetention = 10 * time.Minute
	// cancelReleaseMargin is how long before the deadline of a cancellation an unresponsive machine is released: the
	// cloud takes some time to terminate it.
	cancelReleaseMargin = 15 * time.Second
)

// reconcilePlacements reconciles all placements with the live jobs.
func (l *Leader) reconcilePlacements(now time.Time) {
	for _, m := range l.fleet.Machines() {
		l.reviewCordon(now, m)
		if !l.acceptsLaunches(now, m) {
			l.withdrawPlanned(m)
		}
		for _, p := range m.Placements() {
			l.reconcilePlacement(now, m, p)
		}
	}
	l.stopBrokenGangs(now)
	l.stopAbortedCoAllocations(now)
	l.forgetEndedJobs(now)
}

// acceptsLaunches reports whether planned placements on a machine may still be launched there.
func (l *Leader) acceptsLaunches(now time.Time, m *fleet.Machine) bool {
	leaving := m.Cordoned || !m.TerminationTime.IsZero() || m.Releasing
	return !leaving && now.Sub(m.LastHeartbeat) <= l.timeouts.launchWithin && l.fleet.ReceivesCommands(now, m)
}

// withdrawPlanned withdraws the planned placements of a machine whose launches have not been sent.
func (l *Leader) withdrawPlanned(m *fleet.Machine) {
	for _, p := range m.Placements() {
		l.fleet.Withdraw(p)
	}
}

// withdrawEnded withdraws the planned placements on a machine whose jobs have ended according to the current job index.
// All placements are reconciled only every reconcileInterval, but nothing may be launched after a cancellation has
// been confirmed.
func (l *Leader) withdrawEnded(now time.Time, m *fleet.Machine) {
	for _, p := range m.Placements() {
		if p.State != fleet.Planned || !p.Committed {
			continue
		}
		if rec, known := l.jobIndex.Job(p.Task.Job); known && rec.Stage.Final() {
			l.reconcileEnded(now, m, p)
		}
	}
}

// reconcilePlacement reconciles one placement with its job.
func (l *Leader) reconcilePlacement(now time.Time, m *fleet.Machine, p *fleet.Placement) {
	live := l.liveJobs[p.Task.Job]
	if live == nil {
		l.reconcileEnded(now, m, p)
		return
	}
	if p.Stop != nil && l.fleet.Withdraw(p) {
		return // it was ordered to stop while its launch was in flight, and the launch did not arrive
	}
	j := l.jobState(p.Task.Job)
	if !p.EndHandled && p.State == fleet.Ended && j.storedFinished.Contains(p.Task.Index) {
		p.EndHandled = true
	}
	terminating := !m.TerminationTime.IsZero()
	if terminating && p.Active() && p.Stop == nil && live.Record.Job.CheckpointS > 0 {
		l.stopTask(now, p, live.Record.Job, "the cloud is terminating the machine")
	}
}

// reconcileEnded withdraws or stops a placement of a job that is done or cancelled.
func (l *Leader) reconcileEnded(now time.Time, m *fleet.Machine, p *fleet.Placement) {
	if l.fleet.Withdraw(p) {
		return
	}
	j := l.jobState(p.Task.Job)
	l.noteJobEnded(now, p.Task.Job, j)
	if p.State == fleet.Ended {
		p.EndHandled = true
		return
	}
	if p.Stop == nil || !p.Stop.JobFinished {
		l.orderStop(p, fleet.StopOrder{Reason: "job is over", Since: now, JobFinished: true, RenewUntil: j.endedAt.Add(l.cfg.Workers.MaxCancelStaleness())})
	}
	// A machine that can't be reached, or to which a launch may still be in flight, is released before the deadline of
	// the cancellation. Until the cloud confirms the release, no answer renews the lease of the worker, and without
	// a lease it does not execute the launch (Fleet.MustLetLeaseExpire).
	switch age := now.Sub(j.endedAt); {
	case p.CallPending() && age > l.cfg.Workers.MaxCancelStaleness()/2:
		l.releaseMachine(m, "the launch of a cancelled task may still be on its way there")
	case age > l.cfg.Workers.CancelTimeout-cancelReleaseMargin && now.Sub(m.LastHeartbeat) > l.timeouts.directLaunchWithin:
		l.releaseMachine(m, "it may run a task of a cancelled job, and is unreachable")
	}
}

// forgetEndedJobs records which jobs have ended, and deletes their states after jobStateRetention.
func (l *Leader) forgetEndedJobs(now time.Time) {
	for id, j := range l.jobStates {
		if l.liveJobs[id] != nil {
			continue
		}
		l.noteJobEnded(now, id, j)
		if now.Sub(j.endedAt) > jobStateRetention {
			delete(l.jobStates, id)
		}
	}
}

// noteJobEnded records when a job was done or cancelled, and drops what is kept for live jobs only.
func (l *Leader) noteJobEnded(now time.Time, id string, j *jobState) {
	if !j.endedAt.IsZero() {
		return
	}
	j.endedAt = now
	rec, ok := l.jobIndex.Job(id)
	if at := time.UnixMilli(rec.Ended); ok && rec.Ended > 0 && at.Before(now) {
		j.endedAt = at // when a controller confirmed the end to the user
	}
	if rec.Stage == wire.Cancelled {
		l.discardFailures(id)
	}
	l.ledger.DiscardJob(id, rec.Tasks)
	l.unstoredCompletions.Remove(id)
	l.assignment.Forget(id)
}
