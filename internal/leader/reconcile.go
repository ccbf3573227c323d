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
func (h *Leader) reconcilePlacements(now time.Time) {
	for _, m := range h.fleet.Machines() {
		if !h.acceptsLaunches(now, m) {
			h.withdrawPlanned(m)
		}
		for _, p := range m.Placements() {
			h.reconcilePlacement(now, m, p)
		}
	}
	h.stopBrokenGangs(now)
	h.stopAborted(now)
	h.forgetEndedJobs(now)
}

// acceptsLaunches reports whether what is planned on a machine may still be launched there.
func (h *Leader) acceptsLaunches(now time.Time, m *fleet.Machine) bool {
	leaving := m.DrainReason != "" || !m.TerminationTime.IsZero() || m.Releasing
	return !leaving && now.Sub(m.LastHeartbeat) <= h.timeouts.launchWithin && h.fleet.ReceivesCommands(now, m)
}

// withdrawPlanned withdraws all that is planned on a machine and was not sent.
func (h *Leader) withdrawPlanned(m *fleet.Machine) {
	for _, p := range m.Placements() {
		h.fleet.Withdraw(p)
	}
}

// reconcilePlacement brings one placement in line with its job.
func (h *Leader) reconcilePlacement(now time.Time, m *fleet.Machine, p *fleet.Placement) {
	live := h.liveJobs[p.Task.Job]
	if live == nil {
		h.reconcileEnded(now, m, p)
		return
	}
	if p.Stop != nil && h.fleet.Withdraw(p) {
		return // it was told to stop while its launch was on its way, which did not arrive
	}
	j := h.jobState(p.Task.Job)
	if !p.EndHandled && p.State == fleet.Ended && j.storedFinished.Contains(p.Task.Index) {
		p.EndHandled = true
	}
	terminating := !m.TerminationTime.IsZero()
	if terminating && p.Active() && p.Stop == nil && live.Record.Job.CheckpointS > 0 {
		h.stopTask(now, p, live.Record.Job, "the machine is being taken")
	}
}

// reconcileEnded stops a placement of a job that is done or cancelled.
func (h *Leader) reconcileEnded(now time.Time, m *fleet.Machine, p *fleet.Placement) {
	if h.fleet.Withdraw(p) {
		return
	}
	j := h.jobState(p.Task.Job)
	h.noteJobEnded(now, p.Task.Job, j)
	if p.State == fleet.Ended {
		p.EndHandled = true
		return
	}
	if p.Stop == nil || !p.Stop.JobFinished {
		p.Stop = &fleet.StopOrder{Reason: "job is over", Since: now, JobFinished: true, RenewUntil: j.endedAt.Add(h.cfg.Workers.MaxCancelStaleness())}
		h.log.Debug("stopping", "task", p.Task, "machine", p.Machine, "reason", "job is over")
	}
	// A machine that can't be reached, or to which a launch may still be on its way, is released
	// before the task must be gone. While the cloud does not confirm that, the launch is kept from
	// being executed by a lease that no answer renews (Fleet.MustLapse).
	switch age := now.Sub(j.endedAt); {
	case p.CallPending() && age > h.cfg.Workers.MaxCancelStaleness()/2:
		h.releaseMachine(m, "the launch of a cancelled task may still be on its way there")
	case age > h.cfg.Workers.Cancel-cancelMargin && now.Sub(m.LastHeartbeat) > h.timeouts.directLaunchWithin:
		h.releaseMachine(m, "it may run a task of a cancelled job, and is silent")
	}
}

// forgetEndedJobs records which jobs are over, and forgets those that have been for long.
func (h *Leader) forgetEndedJobs(now time.Time) {
	for id, j := range h.jobStates {
		if h.liveJobs[id] != nil {
			continue
		}
		h.noteJobEnded(now, id, j)
		if now.Sub(j.endedAt) > jobStateRetention {
			delete(h.jobStates, id)
		}
	}
}

// noteJobEnded records when a job was done or cancelled, and forgets what only live jobs need.
func (h *Leader) noteJobEnded(now time.Time, id string, j *jobState) {
	if !j.endedAt.IsZero() {
		return
	}
	j.endedAt = now
	rec, ok := h.jobIndex.Job(id)
	if at := time.UnixMilli(rec.Ended); ok && rec.Ended > 0 && at.Before(now) {
		j.endedAt = at // its user was told then, by whichever controller
	}
	h.ledger.DiscardJob(id, rec.Tasks)
	h.unstored.Remove(id)
	h.assignment.Forget(id)
}
