package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// The tasks of a gang run together or not at all.

// maxFetchWait bounds how long a broken gang's task may keep fetching an image that may be all the gang lacks.
const maxFetchWait = 3 * time.Minute

// stopBrokenGangs stops the remaining tasks of each gang that has lost a task: a new attempt can start only after
// all tasks of the old one are gone.
func (l *Leader) stopBrokenGangs(now time.Time) {
	for id, live := range l.liveJobs {
		if live.Record.Job.Shape != wire.Gang || live.Record.Tasks < 2 {
			continue
		}
		l.markGangFinishedElsewhere(id, live)
		if left := l.activePlacements(id, live.Record.Tasks); l.gangBroken(id, live, left) {
			l.stopBrokenGang(now, left)
		}
	}
}

// markGangFinishedElsewhere marks a gang as finished here if another shard has recorded its completion.
func (l *Leader) markGangFinishedElsewhere(id string, live *store.LiveJob) {
	if l.sharding.IsSingle() {
		return
	}
	j := l.jobState(id)
	if !j.finished.Contains(0) && gangCompleted(live, l.assignment.Ranges(live)) {
		l.markFinished(wire.TaskID{Job: id}, j)
	}
}

// gangBroken reports whether only some of this shard's tasks of an unfinished gang are active.
func (l *Leader) gangBroken(id string, live *store.LiveJob, active []*fleet.Placement) bool {
	if len(active) == 0 || len(active) == l.gangTasksHere(live) {
		return false
	}
	return !l.jobState(id).finished.Contains(0)
}

// stopBrokenGang stops the remaining tasks of a broken gang.
func (l *Leader) stopBrokenGang(now time.Time, left []*fleet.Placement) {
	for _, p := range left {
		if p.Stop == nil && !l.keepsFetching(now, p) && !l.fleet.Withdraw(p) {
			l.orderStop(p, fleet.StopOrder{Reason: "gang is broken", Since: now})
		}
	}
}

// keepsFetching reports whether a task of a gang is not stopped while it fetches its image. The other tasks have
// timed out waiting for it: if its fetch were stopped as well, the next attempt would time out, too.
func (l *Leader) keepsFetching(now time.Time, p *fleet.Placement) bool {
	return p.Reported && p.State == fleet.Fetching && l.jobState(p.Task.Job).timedOutAttempt == p.Attempt && now.Sub(p.PlacedAt) < maxFetchWait
}

// gangTasksHere returns how many tasks of a gang this shard owns: all of them unless the gang is split among shards.
func (l *Leader) gangTasksHere(live *store.LiveJob) int {
	mine, elsewhere := l.unfinishedOwnRanges(live)
	if elsewhere == 0 && len(mine) == 0 {
		return live.Record.Tasks
	}
	return handover.CountTasks(mine)
}
