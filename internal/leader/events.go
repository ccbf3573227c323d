package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

// applyEvents handles changes of placements that heartbeats and lease expiries have revealed.
func (l *Leader) applyEvents(now time.Time, events []fleet.Event) {
	for _, e := range events {
		p := e.Placement
		if e.Unlaunched {
			l.log.Warn("attempt listed that was not launched", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "cause", p.Cause)
		}
		if e.Gone {
			l.log.Info("task gone", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine)
		} else if p.State == fleet.Ended && !p.EndHandled {
			l.handleTaskEnd(now, p)
		} else if p.State == fleet.Running {
			l.log.Debug("task running", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "after", now.Sub(p.PlacedAt))
		}
		// If a heartbeat reveals a task of an ended job, the response to that same heartbeat stops it,
		// because the next heartbeat may be a long time away.
		if m := l.fleet.Machine(p.Machine); m != nil && !e.Gone && p.Active() && p.Stop == nil && l.liveJobs[p.Task.Job] == nil {
			l.reconcileEnded(now, m, p)
		}
	}
	if len(events) > 0 || !l.rebuilt {
		l.Wake()
	}
}

// refusedLaunchDelay is how long a job waits after a machine has refused to launch it: about the time until
// a heartbeat shows what else is on the machine.
const refusedLaunchDelay = time.Second

// handleTaskEnd handles the end of a task that has not been handled yet.
func (l *Leader) handleTaskEnd(now time.Time, p *fleet.Placement) {
	j, m := l.jobState(p.Task.Job), l.fleet.Machine(p.Machine)
	l.log.Debug("task ended", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "cause", p.Cause, "saved", p.Saved)
	if p.Cause == wire.CauseDone {
		clear(m.JobFailures)
		j.lastSuccess = now
		l.markFinished(p.Task, j)
		return
	}
	p.EndHandled = true
	switch p.Cause {
	case wire.CauseError:
		// The failure may be due to the machine or to the job: a machine on which different jobs fail is
		// cordoned, and a job that fails on several machines is delayed.
		l.log.Info("task failed", "task", p.Task, "machine", p.Machine)
		if l.liveJobs[p.Task.Job] != nil {
			m.JobFailures[p.Task.Job] = now
		}
		j.recordFailure(now, p.Machine)
		l.reviewCordon(now, m)
	case wire.CauseGangTimeout:
		j.timedOutAttempt = p.Attempt
	case wire.CauseNoCapacity, wire.CauseBusy, wire.CauseUnknown:
		l.log.Info("launch refused", "task", p.Task, "machine", p.Machine, "cause", p.Cause)
		j.notBefore = now.Add(refusedLaunchDelay)
	}
}

// markFinished marks a task as finished; for a gang, it marks all tasks, because they finish together.
func (l *Leader) markFinished(t wire.TaskID, j *jobState) {
	j.finished.Add(t.Index)
	live := l.liveJobs[t.Job]
	gang := live != nil && live.Record.Job.Shape == wire.Gang
	l.withdrawLaterAttempt(t, gang)
	if gang {
		for i := range live.Record.Tasks {
			j.finished.Add(i)
			l.withdrawLaterAttempt(wire.TaskID{Job: t.Job, Index: i}, true)
		}
	}
	l.unstoredCompletions.Add(t.Job, l.lastRound)
}
