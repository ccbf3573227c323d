package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// handoverAfter is how long tasks find no capacity here before they go to a shard that has some, so that what the next
// rounds free is used here. It is a variable for the model, in which time does not pass.
var handoverAfter = 500 * time.Millisecond

const (
	maxHandoversPerRound = 3  // jobs of which a round hands tasks over, so that the shards' statuses can follow
	maxRangesPerJob      = 24 // which bounds the size of a job's record
)

// handOverUnplaced hands tasks for which the last plan found no capacity over to shards that have some.
func (l *Leader) handOverUnplaced(now time.Time, d *Draft) {
	unplaced := l.forecast.unplaced
	l.forecast.unplaced = nil
	if !l.targets.Any() || !l.rebuiltReachable {
		return
	}
	handovers := 0
	for i := range unplaced {
		if handovers >= maxHandoversPerRound {
			return
		}
		u := &unplaced[i]
		live := l.liveJobs[u.Job.ID]
		if live == nil {
			continue // it has ended since
		}
		j := l.jobState(u.Job.ID)
		if j.waitingSince.IsZero() {
			j.waitingSince = now
		}
		waited := now.Sub(j.waitingSince)
		if waited >= handoverAfter && l.handOverJob(now, d, u, live, waited) {
			handovers++
			j.waitingSince = time.Time{}
		}
	}
}

// handOverJob hands tasks of a job over to one shard, or divides a gang over several.
func (l *Leader) handOverJob(now time.Time, d *Draft, u *scheduler.UnplacedJob, live *store.LiveJob, waited time.Duration) bool {
	target, n := l.targets.Choose(now, u, l.assignment.Ranges(live), l.types, waited)
	if target == "" || n <= 0 {
		return l.coAllocate(now, d, u, live, waited)
	}
	if !l.handOver(d, u.Job.ID, live, target, n) {
		return false
	}
	l.targets.Record(now, target, u.Job.Class, n)
	l.log.Info("tasks handed over to another shard", "job", u.Job.ID, "tasks", n, "to", target)
	return true
}

// freeElsewhere gives by class how many tasks another shard has capacity for. Until this shard knows what runs
// on its own machines it leaves nothing to others.
func (l *Leader) freeElsewhere(now time.Time) map[string]int {
	if !l.rebuiltReachable {
		return make(map[string]int)
	}
	return l.targets.FreeElsewhere(now)
}

// movableTasks gives how many tasks of a job another shard could take. A job in too many ranges already waits
// for capacity here.
func (l *Leader) movableTasks(live *store.LiveJob) int {
	if len(l.assignment.Ranges(live)) >= maxRangesPerJob-1 {
		return 0
	}
	return l.targets.MovableTasks(live.Record.Job, l.types)
}

// handOver hands up to n tasks of a job over to another shard: the last ones that provably run nowhere.
func (l *Leader) handOver(d *Draft, id string, live *store.LiveJob, target string, n int) bool {
	j, gang := l.jobState(id), live.Record.Job.Shape == wire.Gang
	inLedger := l.staleTasks(id)
	inactive := func(i int) bool {
		return !j.finished.Contains(i) && !inLedger[i] && l.fleet.ActivePlacement(wire.TaskID{Job: id, Index: i}) == nil
	}
	ranges := l.assignment.Ranges(live)
	next := handover.Move(ranges, live.Record.Tasks, l.lease.Shard, target, n, inactive)
	if len(next) > maxRangesPerJob || slices.Equal(next, ranges) || gang && len(next) != 1 {
		return false
	}
	if live.Record.Job.OneZone && slices.ContainsFunc(next, func(r store.ShardRange) bool { return r.Shard != target && !r.Done }) {
		return false // no shard knows in which zones another has tasks of it
	}
	if !l.rewriteRanges(d, id, live, next) {
		return false
	}
	l.unstored.Add(id, l.lastRound) // what is left here may all have finished
	return true
}

// staleTasks gives the tasks of a job that the ledger names and that are active nowhere. The records that name them
// are written anew.
func (l *Leader) staleTasks(job string) map[int]bool {
	return l.ledgerTasks.Stale(job, func(t wire.TaskID) bool { return l.fleet.ActivePlacement(t) != nil })
}

// releaseOwnership writes the records anew that name tasks which are to be handed over. It reports whether one is
// to be dropped, for which the round need not wait for other changes.
func (l *Leader) releaseOwnership(d *Draft) (drops bool) {
	for _, id := range l.ledgerTasks.StaleMachines() {
		switch m := l.fleet.Machine(id); {
		case m == nil:
			drops = drops || l.machinesToDrop[id]
		case !d.machines[id] && d.Add(l.machineEntry(d, id)):
			d.machines[id] = true
		}
	}
	return drops
}
