package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

// applyEvents deals with what reports and proofs have shown.
func (h *Leader) applyEvents(now time.Time, events []fleet.Event) {
	for _, e := range events {
		p := e.Placement
		if e.Gone {
			h.log.Info("task gone", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine)
		} else if p.State == fleet.Ended && !p.EndHandled {
			h.taskEnded(now, p)
		} else if p.State == fleet.Running {
			h.log.Debug("task running", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "after", now.Sub(p.PlacedAt))
		}
		// What a report shows for the first time, of a job that is known to be over, is
		// stopped by the answer to that report, which may be the last one for long.
		if m := h.fleet.Machine(p.Machine); m != nil && !e.Gone && p.Active() && p.Stop == nil && h.liveJobs[p.Task.Job] == nil {
			h.reconcileEnded(now, m, p)
		}
	}
	if len(events) > 0 || !h.rebuilt {
		h.Wake()
	}
}

func (h *Leader) taskEnded(now time.Time, p *fleet.Placement) {
	j, m := h.jobState(p.Task.Job), h.fleet.Machine(p.Machine)
	h.log.Debug("task ended", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "cause", p.Cause, "saved", p.Saved)
	if p.Cause == wire.CauseDone {
		clear(m.JobFailures)
		h.markFinished(p.Task, j)
		return
	}
	p.EndHandled = true
	switch p.Cause {
	case wire.CauseError:
		// Evidence about the machine and about the job: other jobs failing
		// here condemn the machine, this job failing elsewhere makes it wait.
		h.log.Info("task failed", "task", p.Task, "machine", p.Machine)
		m.JobFailures[p.Task.Job]++
		j.failedMachines[p.Machine] = true
		j.failures++
		if len(m.JobFailures) >= 2 && m.DrainReason == "" {
			m.DrainReason = "different jobs fail on it"
			h.log.Warn("machine condemned", "machine", m.ID, "why", m.DrainReason)
		}
		if n := len(j.failedMachines); n >= 3 {
			j.notBefore = now.Add(min(maxJobBackoff, time.Second<<min(n, 7)))
		}
	case wire.CauseAlone:
		j.timedOutAttempt = p.Attempt
	case wire.CauseNoRoom, wire.CauseBusy, wire.CauseUnknown:
		h.log.Info("launch refused", "task", p.Task, "machine", p.Machine, "cause", p.Cause)
		j.notBefore = now.Add(time.Second)
	}
}

// maxJobBackoff bounds how long a job that fails again and again waits for its next try: it must not be
// left waiting beside machines on which it may do.
const maxJobBackoff = 45 * time.Second

// markFinished marks a task as done; the tasks of a gang complete together.
func (h *Leader) markFinished(t wire.TaskID, j *jobState) {
	j.finished.Add(t.Index)
	l := h.liveJobs[t.Job]
	gang := l != nil && l.Record.Job.Shape == wire.Gang
	h.withdrawLaterAttempt(t, gang)
	if gang {
		for i := range l.Record.Tasks {
			j.finished.Add(i)
			h.withdrawLaterAttempt(wire.TaskID{Job: t.Job, Index: i}, true)
		}
	}
	h.unstored.Add(t.Job, h.lastRound)
}
