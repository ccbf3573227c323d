package reshard

import (
	"hash/fnv"
	"maps"
	"slices"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Previous is the content of the ledgers of earlier shardings. They are never written again, so that the leaders of all
// shards, whenever they are elected, agree on which shard owns a task.
type Previous struct {
	Machines       map[string]store.MachineRecord
	ScaleOuts      map[string]store.ScaleOutRecord
	FinishedTasks  map[string]*store.TaskSet
	Zones          map[string]store.ZoneRecord
	ZoneRecoveries map[string]store.ZoneRecoveryRecord

	sharding   *fleet.Sharding
	generation uint64
	lastPlaced map[string]map[int]placement // by job and task
}

// placement is the last placement of a task, according to the ledgers.
type placement struct {
	shard   string
	attempt uint64
}

// NewPrevious decodes the ledgers of earlier shardings. sharding is the present one.
func NewPrevious(sharding *fleet.Sharding, l store.ShardLedgers) *Previous {
	recovered := store.RecoverSegments(l.Previous)
	p := &Previous{
		Machines: recovered.Machines, ScaleOuts: recovered.ScaleOuts, FinishedTasks: recovered.FinishedTasks,
		Zones: recovered.Zones, ZoneRecoveries: recovered.ZoneRecoveries,
		sharding: sharding, generation: l.Generation, lastPlaced: make(map[string]map[int]placement),
	}
	for _, m := range recovered.Machines {
		shard := sharding.ShardOf(m.Zone, m.Type)
		for name, attempt := range m.Tasks {
			id, err := wire.ParseTaskID(name)
			if err != nil {
				continue
			}
			if p.lastPlaced[id.Job] == nil {
				p.lastPlaced[id.Job] = make(map[int]placement)
			}
			// A task gets a new attempt only once all its earlier ones are proven to run nowhere.
			if attempt >= p.lastPlaced[id.Job][id.Index].attempt {
				p.lastPlaced[id.Job][id.Index] = placement{shard, attempt}
			}
		}
	}
	return p
}

// Ranges returns the task ranges of a job whose record is of an earlier sharding. A task belongs to the shard of the
// machine that it may be on. A task that is on no machine belongs to a shard that depends on the job alone, because
// the ledgers don't contain jobs that were submitted late, and are dropped eventually. A gang on machines of several
// shards belongs to all of them until it has ended or is in one shard again.
func (p *Previous) Ranges(id string, rec *store.JobRecord) []store.ShardRange {
	placed := p.lastPlaced[id]
	order := slices.Sorted(maps.Keys(placed))
	fallback := p.defaultShard(id, rec)
	together := rec.Job != nil && (rec.Job.Shape == wire.Gang || rec.Job.OneZone)
	if together && len(order) > 0 {
		fallback = placed[order[0]].shard
	}
	if rec.Job != nil && rec.Job.OneZone {
		shard := latestShard(placed, order, fallback)
		return p.markDone([]store.ShardRange{{From: 0, To: rec.Tasks, Shard: shard}}, rec)
	}
	r := &rangeBuilder{finished: p.FinishedTasks[id], fallback: fallback}
	for _, i := range order {
		if i < rec.Tasks {
			r.fillTo(i)
			r.add(i+1, placed[i].shard)
		}
	}
	r.fillTo(rec.Tasks)
	return p.markDone(r.out, rec)
}

// latestShard returns the shard of the latest attempt of a job that must be in one zone, or the given shard if there
// is no attempt. The whole job belongs to that shard, because no shard knows where the tasks of another one are. When
// that attempt was made, all tasks in other zones were proven to be gone.
func latestShard(placed map[int]placement, order []int, shard string) string {
	last := uint64(0)
	for _, i := range order {
		if placed[i].attempt > last {
			last, shard = placed[i].attempt, placed[i].shard
		}
	}
	return shard
}

// defaultShard returns the shard of tasks that are on no machine. It depends on the job alone.
func (p *Previous) defaultShard(id string, rec *store.JobRecord) string {
	if rec.Job != nil && rec.Job.Zone != "" && p.sharding.KeepsZonesWhole() {
		return p.sharding.ShardOf(rec.Job.Zone, "")
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	shards := p.sharding.Shards()
	return shards[int(sum.Sum32()%uint32(len(shards)))]
}

// markDone marks the ranges that shards of this sharding have finished, and those that the record already marks as
// done.
func (p *Previous) markDone(ranges []store.ShardRange, rec *store.JobRecord) []store.ShardRange {
	for i, s := range ranges {
		ranges[i].Done = slices.Contains(rec.FinishedIn, store.LedgerName(s.Shard, p.generation))
	}
	for _, d := range rec.Ranges {
		if d.Done && d.Within(rec.Tasks) {
			ranges = markRange(ranges, d.From, d.To)
		}
	}
	return ranges
}

// markRange marks the tasks in [from, to) as done, and splits ranges where needed.
func markRange(ranges []store.ShardRange, from, to int) (out []store.ShardRange) {
	for _, s := range ranges {
		a, b := min(max(s.From, from), s.To), max(min(s.To, to), s.From)
		if a >= b {
			out = append(out, s)
			continue
		}
		before := store.ShardRange{From: s.From, To: a, Shard: s.Shard, Done: s.Done}
		marked := store.ShardRange{From: a, To: b, Shard: s.Shard, Done: true}
		after := store.ShardRange{From: b, To: s.To, Shard: s.Shard, Done: s.Done}
		for _, piece := range []store.ShardRange{before, marked, after} {
			if piece.From < piece.To {
				out = append(out, piece)
			}
		}
	}
	return out
}

// rangeBuilder joins consecutive tasks of the same shard into ranges.
type rangeBuilder struct {
	out      []store.ShardRange
	next     int // the first task that has no shard yet
	finished *store.TaskSet
	fallback string // the shard of tasks that are on no machine
}

// fillTo assigns the tasks before to, which are on no machine: finished ones to the shard of the task before them,
// others to the fallback shard.
func (r *rangeBuilder) fillTo(to int) {
	for from := r.next; from < to; from = r.next {
		end := from + 1
		done := r.finished != nil && r.finished.Contains(from)
		for end < to && (r.finished != nil && r.finished.Contains(end)) == done {
			end++
		}
		shard := r.fallback
		if n := len(r.out); done && n > 0 {
			shard = r.out[n-1].Shard
		}
		r.add(end, shard)
	}
}

// add assigns the tasks before to that have no shard yet to the given shard.
func (r *rangeBuilder) add(to int, shard string) {
	if n := len(r.out); n > 0 && r.out[n-1].Shard == shard {
		r.out[n-1].To = to
	} else {
		r.out = append(r.out, store.ShardRange{From: r.next, To: to, Shard: shard})
	}
	r.next = to
}

// LeadShard returns the lead shard of a job, and the number of shards that own tasks which are not done. The lead is
// the first of these shards: it co-allocates a gang that is split between several.
func LeadShard(ranges []store.ShardRange) (lead string, shards int) {
	var seen []string
	for _, s := range ranges {
		if !s.Done && !slices.Contains(seen, s.Shard) {
			seen = append(seen, s.Shard)
		}
	}
	if len(seen) > 0 {
		lead = seen[0]
	}
	return lead, len(seen)
}
