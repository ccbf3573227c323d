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
func (h *Leader) handOverUnplaced(now time.Time, d *Draft) {
	unplaced := h.forecast.unplaced
	h.forecast.unplaced = nil
	if !h.targets.Any() || !h.rebuiltReachable {
		return
	}
	handovers := 0
	for i := range unplaced {
		if handovers >= maxHandoversPerRound {
			return
		}
		u := &unplaced[i]
		l := h.liveJobs[u.Job.ID]
		if l == nil {
			continue // it has ended since
		}
		j := h.jobState(u.Job.ID)
		if j.waitingSince.IsZero() {
			j.waitingSince = now
		}
		waited := now.Sub(j.waitingSince)
		if waited >= handoverAfter && h.handOverJob(now, d, u, l, waited) {
			handovers++
			j.waitingSince = time.Time{}
		}
	}
}

// handOverJob hands tasks of a job over to one shard, or divides a gang over several.
func (h *Leader) handOverJob(now time.Time, d *Draft, u *scheduler.UnplacedJob, l *store.LiveJob, waited time.Duration) bool {
	target, n := h.targets.Choose(now, u, h.assignment.Ranges(l), h.types, waited)
	if target == "" || n <= 0 {
		return h.coAllocate(now, d, u, l, waited)
	}
	if !h.handOver(d, u.Job.ID, l, target, n) {
		return false
	}
	h.targets.Record(now, target, u.Job.Class, n)
	h.log.Info("tasks handed over to another shard", "job", u.Job.ID, "tasks", n, "to", target)
	return true
}

// freeElsewhere gives by class how many tasks another shard has capacity for. Until this shard knows what runs
// on its own machines it leaves nothing to others.
func (h *Leader) freeElsewhere(now time.Time) map[string]int {
	if !h.rebuiltReachable {
		return make(map[string]int)
	}
	return h.targets.FreeElsewhere(now)
}

// movableTasks gives how many tasks of a job another shard could take. A job in too many ranges already waits
// for capacity here.
func (h *Leader) movableTasks(l *store.LiveJob) int {
	if len(h.assignment.Ranges(l)) >= maxRangesPerJob-1 {
		return 0
	}
	return h.targets.MovableTasks(l.Record.Job, h.types)
}

// handOver hands up to n tasks of a job over to another shard: the last ones that provably run nowhere.
func (h *Leader) handOver(d *Draft, id string, l *store.LiveJob, target string, n int) bool {
	j, gang := h.jobState(id), l.Record.Job.Shape == wire.Gang
	inLedger := h.staleTasks(id)
	inactive := func(i int) bool {
		return !j.finished.Contains(i) && !inLedger[i] && h.fleet.ActivePlacement(wire.TaskID{Job: id, Index: i}) == nil
	}
	ranges := h.assignment.Ranges(l)
	next := handover.Move(ranges, l.Record.Tasks, h.lease.Shard, target, n, inactive)
	if len(next) > maxRangesPerJob || slices.Equal(next, ranges) || gang && len(next) != 1 {
		return false
	}
	if l.Record.Job.OneZone && slices.ContainsFunc(next, func(s store.ShardRange) bool { return s.Shard != target && !s.Done }) {
		return false // no shard knows in which zones another has tasks of it
	}
	if !h.rewriteRanges(d, id, l, next) {
		return false
	}
	h.unstored.Add(id, h.lastRound) // what is left here may all have finished
	return true
}

// staleTasks gives the tasks of a job that the ledger names and that are active nowhere. The records that name them
// are written anew.
func (h *Leader) staleTasks(job string) map[int]bool {
	return h.ledgerTasks.Stale(job, func(t wire.TaskID) bool { return h.fleet.ActivePlacement(t) != nil })
}

// releaseOwnership writes the records anew that name tasks which are to be handed over. It reports whether one is
// to be dropped, for which the round need not wait for other changes.
func (h *Leader) releaseOwnership(d *Draft) (drops bool) {
	for _, id := range h.ledgerTasks.StaleMachines() {
		switch m := h.fleet.Machine(id); {
		case m == nil:
			drops = drops || h.machinesToDrop[id]
		case !d.machines[id] && d.Add(h.machineEntry(d, id)):
			d.machines[id] = true
		}
	}
	return drops
}
