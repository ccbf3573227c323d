package leader

import (
	"slices"
	"strings"
	"time"

	"amberdeal.example/amberdeal/internal/quota"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Where the fleet is in several parts, each task of a job is of one part at a time, by the
// job's record. A holder launches only tasks of its own part, in rounds that are
// conditional on that record, and gives tasks away only once it has proof that they
// are nowhere: so no two holders ever launch the same task.

// ownRanges gives the runs of a job's tasks that this part answers for and that have
// not all finished, and how many tasks other parts have yet to finish.
func (h *Leader) ownRanges(l *store.LiveJob) (mine []store.ShardRange, elsewhere int) {
	if h.sharding.IsSingle() {
		return []store.ShardRange{{From: 0, To: l.Record.Tasks, Shard: h.lease.Shard}}, 0
	}
	for _, s := range h.allRanges(l) {
		switch {
		case s.Done, !s.Within(l.Record.Tasks):
		case s.Shard == h.lease.Shard:
			mine = append(mine, s)
		default:
			elsewhere += s.To - s.From
		}
	}
	return mine, elsewhere
}

// allRanges gives all shares of a job. Where its record is of an earlier grouping, they follow
// from the ledgers of that. What was left to a part that is none is of the first.
func (h *Leader) allRanges(l *store.LiveJob) []store.ShardRange {
	if h.unassigned(l) {
		return h.inferredRanges(l)
	}
	first := h.sharding.Shards()[0]
	if len(l.Record.Ranges) == 0 {
		return []store.ShardRange{{From: 0, To: l.Record.Tasks, Shard: first}}
	}
	out := l.Record.Ranges
	for i, s := range out {
		if !slices.Contains(h.sharding.Shards(), s.Shard) {
			if &out[0] == &l.Record.Ranges[0] {
				out = slices.Clone(out)
			}
			out[i].Shard = first
		}
	}
	return out
}

func countTasks(ranges []store.ShardRange) (n int) {
	for _, s := range ranges {
		n += s.To - s.From
	}
	return n
}

// allFinished reports whether every task of a job that is this part's has finished.
func (h *Leader) allFinished(l *store.LiveJob, j *jobState) bool {
	if h.sharding.IsSingle() {
		return j.finished.Count() >= l.Record.Tasks
	}
	own, _ := h.ownRanges(l)
	for _, s := range own {
		for i := s.From; i < s.To; i++ {
			if !j.finished.Contains(i) {
				return false
			}
		}
	}
	return len(own) > 0
}

// finishRanges marks what this part has of a job as finished. The last part to do so marks
// the job as done: all others must say so in the very record that is written.
func (h *Leader) finishRanges(r *store.BatchUpdate, id string, l *store.LiveJob, now time.Time) (done bool) {
	if h.sharding.IsSingle() {
		r.EndJob(id, wire.Done, now)
		return true
	}
	ranges, last := slices.Clone(h.allRanges(l)), true
	for i := range ranges {
		if ranges[i].Shard == h.lease.Shard {
			ranges[i].Done = true
		}
		last = last && ranges[i].Done
	}
	switch {
	case last:
		r.EndJob(id, wire.Done, now)
	case h.unassigned(l): // a job in too many runs to be written as shares says it like this
		h.liveJobs[id] = &store.LiveJob{Record: r.MarkFinishedIn(id, store.LedgerName(h.lease.Shard, h.shardingNumber)), Batch: l.Batch, SinceRevision: l.SinceRevision}
	default:
		h.updateRanges(r, id, l, ranges)
	}
	return last
}

// updateRanges writes other shares of a job, and goes by them from here on.
func (h *Leader) updateRanges(r *store.BatchUpdate, id string, l *store.LiveJob, ranges []store.ShardRange) {
	h.liveJobs[id] = &store.LiveJob{Record: r.AssignRanges(id, ranges, h.shardingNumber), Batch: l.Batch, SinceRevision: l.SinceRevision}
}

// recentHandovers counts the tasks that were given to a part since it was last heard.
type recentHandovers struct {
	at    time.Time
	tasks map[string]int // by class
}

// forecast is what the last plan leaves to other shards.
type forecast struct {
	unplaced     []scheduler.UnplacedJob
	freeCapacity map[string]scheduler.FreeCapacity // by class
	readyGangs   []string                          // gangs over several shards for whose tasks here there is capacity
}

// updateForecast takes in what a plan leaves.
func (h *Leader) updateForecast(plan *scheduler.Plan, teams map[string]*scheduler.Team) {
	h.forecast = forecast{plan.Unplaced, plan.FreeCapacity, plan.ReadyGangs}
	projected := make(map[string]scheduler.Resources, len(teams))
	for name, t := range teams {
		// A team beyond its limit has capacity reserved that there is not, for a job that has waited for long.
		if t.WithinLimit() {
			projected[name] = scheduler.Resources{CPUs: t.UsedCPUs, GPUs: t.UsedGPUs}
		}
	}
	h.quota.SetForecast(quota.Forecast{Demands: plan.QuotaDemands, Services: plan.ServiceUsage, Projected: projected})
	for _, j := range h.jobStates {
		j.coAllocation.ready = false
	}
	for _, id := range plan.ReadyGangs {
		h.jobState(id).coAllocation.ready = true
	}
}

// handoverAfter is how long tasks find no room before they go to a part that has some, so that
// what the next rounds bring is not given away. (It is a variable for the model, where
// time stands still.)
var handoverAfter = 500 * time.Millisecond

// Few jobs go at a time.
const (
	handoverToScaleOutAfter = 4 * time.Second
	maxHandoversPerRound    = 3               // jobs of a round
	maxRangesPerJob         = 24              // of a job
	handoverVisibleAfter    = 2 * time.Second // after which a part's room shows what it was given
)

// handOverUnplaced gives tasks that the last plan found no room for to parts that have some.
func (h *Leader) handOverUnplaced(now time.Time, d *Draft) {
	unplaced := h.forecast.unplaced
	h.forecast.unplaced = nil
	handovers := 0
	for _, s := range unplaced {
		if handovers >= maxHandoversPerRound || len(h.peerShards) == 0 || !h.rebuiltReachable {
			return
		}
		l := h.liveJobs[s.Job.ID]
		if l == nil {
			continue // over meanwhile
		}
		j := h.jobState(s.Job.ID)
		if j.waitingSince.IsZero() {
			j.waitingSince = now
		}
		waited := now.Sub(j.waitingSince)
		target, n := h.handoverTarget(now, &s, waited)
		if target == "" || n <= 0 {
			if waited >= handoverAfter && h.coAllocate(now, d, &s, l, waited) {
				handovers++
				j.waitingSince = time.Time{}
			}
			continue
		}
		if h.handOver(d, s.Job.ID, l, target, n) {
			handovers++
			j.waitingSince = time.Time{}
			h.recordHandover(now, target, s.Job.Class, n)
			h.log.Info("tasks given to another part", "job", s.Job.ID, "tasks", n, "to", target)
		}
	}
}

// handoverTarget picks the part that has the most room for tasks that have none here, and how many
// it should get.
func (h *Leader) handoverTarget(now time.Time, s *scheduler.UnplacedJob, waited time.Duration) (target string, n int) {
	if waited < handoverAfter {
		return "", 0
	}
	whole := s.Job.Shape == wire.Gang || s.Job.OneZone
	if whole && (s.Job.Active > 0 || len(s.Job.Waiting) != s.Job.LocalTasks || s.Job.RemoteTasks > 0) {
		return "", 0
	}
	wanted := s.Coming + s.Unserved
	best := 0
	for _, shard := range sortedKeys(h.peerShards) {
		o := h.peerShards[shard]
		capacity, known := o.Rooms[s.Job.Class]
		if !known || !h.sharding.MayHost(shard, s.Job.Job, h.types) {
			continue
		}
		free := capacity.Now - h.recentlyHandedTo(now, shard, s.Job.Class)
		if free <= 0 && s.Unserved > 0 && waited >= handoverToScaleOutAfter {
			switch { // nothing is on its way here, nor could be rented
			case s.Job.Priority == wire.Production && capacity.Below > 0:
				free = min(capacity.Below, s.Unserved) - h.recentlyHandedTo(now, shard, s.Job.Class)
			case capacity.Rent:
				free = min(max(4, len(s.Job.Waiting)), s.Unserved) - h.recentlyHandedTo(now, shard, s.Job.Class)
			}
		}
		take := min(free, wanted, h.spreadCapacity(s.Job, shard))
		if whole && take < s.Job.LocalTasks {
			continue
		}
		if take > best {
			target, best = shard, take
		}
	}
	return target, best
}

// freeElsewhere tells what room other parts have now, by class, in one part together.
func (h *Leader) freeElsewhere(now time.Time) map[string]int {
	out := make(map[string]int)
	if !h.rebuiltReachable {
		return out
	}
	for shard, o := range h.peerShards {
		for class, capacity := range o.Rooms {
			out[class] = max(out[class], capacity.Now-h.recentlyHandedTo(now, shard, class))
		}
	}
	return out
}

// movableTasks tells how many tasks of a job a part could take that may have machines for it. One
// that may only be here, or in too many runs already, waits for room here.
func (h *Leader) movableTasks(l *store.LiveJob) (most int) {
	if len(h.allRanges(l)) >= maxRangesPerJob-1 {
		return 0
	}
	for shard, o := range h.peerShards {
		if n := o.Rooms[l.Record.Job.Class].Now; n > most && h.sharding.MayHost(shard, l.Record.Job, h.types) {
			most = n
		}
	}
	return most
}

// spreadCapacity bounds the tasks of a job that a part may get, by the half of its tasks that
// may be in one zone.
func (h *Leader) spreadCapacity(j *scheduler.Job, shard string) int {
	if !j.Spread {
		return j.Tasks
	}
	if !h.sharding.KeepsZonesWhole() {
		return 0
	}
	most := (j.Tasks + 1) / 2 * max(1, len(h.sharding.ZonesOf(shard)))
	if l := h.liveJobs[j.ID]; l != nil {
		for _, s := range h.allRanges(l) {
			if s.Shard == shard {
				most -= s.To - s.From
			}
		}
	}
	return most
}

func (h *Leader) recentlyHandedTo(now time.Time, shard, class string) int {
	g := h.recentHandovers[shard]
	if now.Sub(g.at) > handoverVisibleAfter {
		return 0
	}
	return g.tasks[class]
}

func (h *Leader) recordHandover(now time.Time, shard, class string, n int) {
	g := h.recentHandovers[shard]
	if g.tasks == nil || now.Sub(g.at) > handoverVisibleAfter {
		g = recentHandovers{tasks: map[string]int{}}
	}
	g.at = now
	g.tasks[class] += n
	h.recentHandovers[shard] = g
}

// handOver hands so many tasks of a job to a part, of the last that are nowhere.
func (h *Leader) handOver(d *Draft, id string, l *store.LiveJob, target string, n int) bool {
	j, gang := h.jobState(id), l.Record.Job.Shape == wire.Gang
	inLedger := h.staleTasks(id)
	nowhere := func(i int) bool {
		return !j.finished.Contains(i) && !inLedger[i] && h.fleet.ActivePlacement(wire.TaskID{Job: id, Index: i}) == nil
	}
	ranges := h.allRanges(l)
	var next []store.ShardRange
	for k := len(ranges) - 1; k >= 0; k-- {
		s := ranges[k]
		if s.Shard != h.lease.Shard || s.Done || !s.Within(l.Record.Tasks) {
			next = append(next, s)
			continue
		}
		// From its end on, runs that go and runs that stay.
		for end := s.To; end > s.From; {
			begin, moves := end-1, n > 0 && nowhere(end-1)
			for begin > s.From && (n > 0 && nowhere(begin-1)) == moves && (!moves || end-begin < n) {
				begin--
			}
			run := store.ShardRange{From: begin, To: end, Shard: s.Shard}
			if moves {
				run.Shard = target
				n -= end - begin
			}
			next = append(next, run)
			end = begin
		}
	}
	slices.Reverse(next)
	next = mergeAdjacent(next)
	if len(next) > maxRangesPerJob || slices.Equal(next, ranges) || gang && len(next) != 1 {
		return false
	}
	if l.Record.Job.OneZone && slices.ContainsFunc(next, func(s store.ShardRange) bool { return s.Shard != target && !s.Done }) {
		return false // no part knows in which zones another has tasks of it
	}
	if !h.rewriteRanges(d, id, l, next) {
		return false
	}
	h.unstored.Add(id, h.lastRound) // what is left here may all have finished
	return true
}

// rewriteRanges puts other shares of a job into a round, if there is room for them in the
// round and in the job's home.
func (h *Leader) rewriteRanges(d *Draft, id string, l *store.LiveJob, ranges []store.ShardRange) bool {
	if _, ends := d.finished[id]; ends {
		return false // what this round says of its end goes first
	}
	for i := range h.staleTasks(id) {
		if shardOfTask(ranges, i) != h.lease.Shard {
			return false // it goes once the ledger names it no more
		}
	}
	r := d.Pending(l)
	if r == nil {
		r = l.Batch.Update()
	}
	if r.BytesWithRanges(id, ranges, h.shardingNumber) > h.cfg.Store.ValueBytes {
		return false
	}
	if r = d.Update(l); r == nil {
		return false
	}
	h.updateRanges(r, id, l, ranges)
	return true
}

// ledgerTasks is what the own ledger names: the tasks that it says may be on each machine.
//
// Where a task is that the ledgers of several parts name is told by the attempt when the state
// is divided anew, and the claim of the part that had a task first may have the later term.
// So a ledger must not name a task any more that is given to another part.
type ledgerTasks struct {
	byMachine  map[string]map[string]uint64 // by machine; nil where there is one part
	machinesOf map[string]map[string]bool   // the machines of which it names tasks of a job
	stale      map[string]bool              // machines of which it names a task that is to be given away
}

// update takes in what the ledger names on a machine from now on.
func (n *ledgerTasks) update(machine string, tasks map[string]uint64) {
	if delete(n.stale, machine); n.byMachine == nil {
		return
	}
	for name := range n.byMachine[machine] {
		job, _, _ := strings.Cut(name, "/")
		if delete(n.machinesOf[job], machine); len(n.machinesOf[job]) == 0 {
			delete(n.machinesOf, job)
		}
	}
	delete(n.byMachine, machine)
	for name := range tasks {
		job, _, _ := strings.Cut(name, "/")
		if n.machinesOf[job] == nil {
			n.machinesOf[job] = make(map[string]bool)
		}
		n.machinesOf[job][machine] = true
		n.byMachine[machine] = tasks
	}
}

// staleTasks tells which tasks of a job the ledger names that are nowhere. The records that name
// them are written anew.
func (h *Leader) staleTasks(job string) map[int]bool {
	var out map[int]bool
	for machine := range h.ledgerTasks.machinesOf[job] {
		for name := range h.ledgerTasks.byMachine[machine] {
			if !strings.HasPrefix(name, job+"/") {
				continue
			}
			if t, err := wire.ParseTaskID(name); err == nil && h.fleet.ActivePlacement(t) == nil {
				if out == nil {
					out = make(map[int]bool)
				}
				if h.ledgerTasks.stale == nil {
					h.ledgerTasks.stale = make(map[string]bool)
				}
				out[t.Index], h.ledgerTasks.stale[machine] = true, true
			}
		}
	}
	return out
}

// releaseOwnership writes the records anew that name tasks which are to be given away. It reports
// whether one is to be dropped, for which the round need not wait for company.
func (h *Leader) releaseOwnership(d *Draft) (drops bool) {
	for _, id := range sortedKeys(h.ledgerTasks.stale) {
		switch m := h.fleet.Machine(id); {
		case m == nil:
			drops = drops || h.machinesToDrop[id]
		case !d.machines[id] && d.Add(h.machineEntry(d, id)):
			d.machines[id] = true
		}
	}
	return drops
}

// shardOfTask tells whose a task is.
func shardOfTask(ranges []store.ShardRange, index int) string {
	for _, s := range ranges {
		if s.From <= index && index < s.To {
			return s.Shard
		}
	}
	return ""
}

// mergeAdjacent puts runs together that follow each other in one part.
func mergeAdjacent(ranges []store.ShardRange) []store.ShardRange {
	out := ranges[:0:0]
	for _, s := range ranges {
		if n := len(out); n > 0 && out[n-1].Shard == s.Shard && out[n-1].Done == s.Done && out[n-1].To == s.From {
			out[n-1].To = s.To
		} else {
			out = append(out, s)
		}
	}
	return out
}

// noteLiveJobs notes which jobs of this part are live at a snapshot.
func (h *Leader) noteLiveJobs(snap store.Snapshot) {
	if h.sharding.IsSingle() {
		return
	}
	for id, j := range h.jobStates {
		if snap.LiveJobs[id] != nil {
			j.liveRevision = max(j.liveRevision, snap.Revision)
		}
	}
}

// clearedRevision tells up to which revision no task is in this part of any job that had ended by
// then. Whoever folds the jobs of all parts rests on it.
func (h *Leader) clearedRevision(revision uint64) uint64 {
	if h.sharding.IsSingle() || !h.rebuiltReachable {
		return 0
	}
	for _, m := range h.fleet.Machines() {
		for _, p := range m.Placements() {
			if h.liveJobs[p.Task.Job] == nil && !p.IsTombstone() {
				revision = min(revision, h.jobState(p.Task.Job).liveRevision)
			}
		}
	}
	return revision
}

// clearedInterval is how often a round is written only to say up to when this part is clear.
const clearedInterval = 5 * time.Second

func (h *Leader) clearedDue(now time.Time, cleared uint64) bool {
	return cleared > h.clearedWritten && now.Sub(h.lastDecided) >= clearedInterval && h.jobIndex.Uncompacted()
}
