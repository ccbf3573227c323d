package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// handoverAfter is how long tasks must wait without capacity here before they are handed over to a shard that has some,
// so that capacity which the next rounds free here is used first. It is a variable because time does not pass in the
// model tests, which set it.
var handoverAfter = 500 * time.Millisecond

const (
	maxHandoversPerRound = 3  // jobs per round, so that the shards' statuses can keep up
	maxRangesPerJob      = 24 // bounds the size of a job's record
)

// handOverUnplaced hands tasks for which the last plan found no capacity over to shards that have some.
func (l *Leader) handOverUnplaced(now time.Time, d *Draft) {
	unplaced := l.forecast.unplaced
	l.forecast.unplaced = nil
	if !l.targets.HasPeers() || !l.rebuiltReachable {
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
			continue // the job has ended in the meantime
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

// handOverJob hands tasks of a job over to one shard, or divides a gang among several. It reports whether it did.
func (l *Leader) handOverJob(now time.Time, d *Draft, u *scheduler.UnplacedJob, live *store.LiveJob, waited time.Duration) bool {
	target, n := l.targets.Choose(now, u, l.assignment.Ranges(live), l.types, waited)
	if target == "" || n <= 0 {
		return l.coAllocate(now, d, u, live, waited)
	}
	if !l.handOver(d, u.Job.ID, live, target, n) {
		return false
	}
	l.targets.RecordHandover(now, target, u.Job.Class, n)
	l.log.Info("tasks handed over to another shard", "job", u.Job.ID, "tasks", n, "to", target)
	return true
}

// freeElsewhere returns how many tasks of each job class another shard has capacity for. It returns none until this
// shard knows what runs on its own machines, because it hands nothing over before that.
func (l *Leader) freeElsewhere(now time.Time) map[string]int {
	if !l.rebuiltReachable {
		return make(map[string]int)
	}
	return l.targets.FreeElsewhere(now)
}

// movableTasks returns how many tasks of a job another shard could take. It returns 0 for a job that is already divided
// into too many ranges: such a job waits for capacity here.
func (l *Leader) movableTasks(live *store.LiveJob) int {
	if len(l.assignment.Ranges(live)) >= maxRangesPerJob-1 {
		return 0
	}
	return l.targets.FreeElsewhereForJob(live.Record.Job, l.types)
}

// handOver hands up to n tasks of a job over to another shard: the last ones that are proven not to run anywhere.
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
		return false // a shard does not know in which zones other shards run tasks of the job
	}
	if !l.rewriteRanges(d, id, live, next) {
		return false
	}
	l.unstoredCompletions.Add(id, l.lastRound) // all tasks that remain here may have finished
	return true
}

// staleTasks returns the tasks of a job that the ledger names but that are not active. The records that name them are
// rewritten (see rewriteStaleRecords).
func (l *Leader) staleTasks(job string) map[int]bool {
	return l.ledgerTasks.Stale(job, func(t wire.TaskID) bool { return l.fleet.ActivePlacement(t) != nil })
}

// rewriteStaleRecords rewrites the machine records that name tasks which are to be handed over. It reports whether the
// record of a removed machine must be deleted, which justifies a round without other changes.
func (l *Leader) rewriteStaleRecords(d *Draft) (drops bool) {
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
