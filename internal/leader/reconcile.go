package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
)

// Reconciliation compares the placements with the live jobs: what is over is stopped or withdrawn, and an
// end that is stored needs nothing more.

const (
	// jobStateRetention is how long a job that is over is remembered.
	jobStateRetention = 10 * time.Minute
	// cancelMargin is how long before a cancelled task must be gone its machine is given up, if it
	// does not answer: the cloud needs some time.
	cancelMargin = 15 * time.Second
)

// reconcilePlacements brings the placements in line with the live jobs.
func (l *Leader) reconcilePlacements(now time.Time) {
	for _, m := range l.fleet.Machines() {
		if !l.acceptsLaunches(now, m) {
			l.withdrawPlanned(m)
		}
		for _, p := range m.Placements() {
			l.reconcilePlacement(now, m, p)
		}
	}
	l.stopBrokenGangs(now)
	l.stopAborted(now)
	l.forgetEndedJobs(now)
}

// acceptsLaunches reports whether what is planned on a machine may still be launched there.
func (l *Leader) acceptsLaunches(now time.Time, m *fleet.Machine) bool {
	leaving := m.DrainReason != "" || !m.TerminationTime.IsZero() || m.Releasing
	return !leaving && now.Sub(m.LastHeartbeat) <= l.timeouts.launchWithin && l.fleet.ReceivesCommands(now, m)
}

// withdrawPlanned withdraws all that is planned on a machine and was not sent.
func (l *Leader) withdrawPlanned(m *fleet.Machine) {
	for _, p := range m.Placements() {
		l.fleet.Withdraw(p)
	}
}

// withdrawEnded withdraws what is planned on a machine of jobs that are over by what is known now. All
// placements are compared with the view once in a while only (reconcileInterval), and nothing may be
// launched after a confirmed cancellation.
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

// reconcilePlacement brings one placement in line with its job.
func (l *Leader) reconcilePlacement(now time.Time, m *fleet.Machine, p *fleet.Placement) {
	live := l.liveJobs[p.Task.Job]
	if live == nil {
		l.reconcileEnded(now, m, p)
		return
	}
	if p.Stop != nil && l.fleet.Withdraw(p) {
		return // it was told to stop while its launch was on its way, which did not arrive
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

// reconcileEnded stops a placement of a job that is done or cancelled.
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
	// A machine that can't be reached, or to which a launch may still be on its way, is released
	// before the task must be gone. While the cloud does not confirm that, the launch is kept from
	// being executed by a lease that no answer renews (Fleet.MustLapse).
	switch age := now.Sub(j.endedAt); {
	case p.CallPending() && age > l.cfg.Workers.MaxCancelStaleness()/2:
		l.releaseMachine(m, "the launch of a cancelled task may still be on its way there")
	case age > l.cfg.Workers.Cancel-cancelMargin && now.Sub(m.LastHeartbeat) > l.timeouts.directLaunchWithin:
		l.releaseMachine(m, "it may run a task of a cancelled job, and is unreachable")
	}
}

// forgetEndedJobs records which jobs are over, and forgets those that have been for long.
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

// noteJobEnded records when a job was done or cancelled, and forgets what only live jobs need.
func (l *Leader) noteJobEnded(now time.Time, id string, j *jobState) {
	if !j.endedAt.IsZero() {
		return
	}
	j.endedAt = now
	rec, ok := l.jobIndex.Job(id)
	if at := time.UnixMilli(rec.Ended); ok && rec.Ended > 0 && at.Before(now) {
		j.endedAt = at // its user was told then, by whichever controller
	}
	l.ledger.DiscardJob(id, rec.Tasks)
	l.unstored.Remove(id)
	l.assignment.Forget(id)
}
