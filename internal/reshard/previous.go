package reshard

import (
	"hash/fnv"
	"maps"
	"slices"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Previous is what the ledgers of earlier shardings say. They are never written again, so that every leader of every
// shard, whenever it is elected, says the same of which shard a task belongs to.
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

// placement is where a task was placed last, according to the ledgers.
type placement struct {
	shard   string
	attempt uint64
}

// NewPrevious reads the ledgers of earlier shardings.
func NewPrevious(sharding *fleet.Sharding, l store.ShardLedgers) *Previous {
	recalled := store.RecoverSegments(l.Previous)
	p := &Previous{
		Machines: recalled.Machines, ScaleOuts: recalled.ScaleOuts, FinishedTasks: recalled.FinishedTasks,
		Zones: recalled.Zones, ZoneRecoveries: recalled.ZoneRecoveries,
		sharding: sharding, generation: l.Generation, lastPlaced: make(map[string]map[int]placement),
	}
	for _, m := range recalled.Machines {
		shard := sharding.ShardOf(m.Zone, m.Type)
		for name, attempt := range m.Tasks {
			id, err := wire.ParseTaskID(name)
			if err != nil {
				continue
			}
			if p.lastPlaced[id.Job] == nil {
				p.lastPlaced[id.Job] = make(map[int]placement)
			}
			// An attempt is made only once all before it are proven to run nowhere.
			if attempt >= p.lastPlaced[id.Job][id.Index].attempt {
				p.lastPlaced[id.Job][id.Index] = placement{shard, attempt}
			}
		}
	}
	return p
}

// Ranges says which shard answers for each task of a job whose record is of an earlier sharding: the shard of the
// machine that the task may be on; for a task that is on none, a shard that follows from the job alone, since a job that is
// submitted late is not in the ledgers, and these are dropped some day. A gang that is on machines of several
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

// latestShard gives the shard of a job that must be in one zone: that of its latest attempt. No shard knows where another's
// tasks are; when that attempt was made, all tasks in other zones had been proven to be gone.
func latestShard(placed map[int]placement, order []int, shard string) string {
	last := uint64(0)
	for _, i := range order {
		if placed[i].attempt > last {
			last, shard = placed[i].attempt, placed[i].shard
		}
	}
	return shard
}

// defaultShard gives the shard of tasks that are on no machine, by the job alone.
func (p *Previous) defaultShard(id string, rec *store.JobRecord) string {
	if rec.Job != nil && rec.Job.Zone != "" && p.sharding.KeepsZonesWhole() {
		return p.sharding.ShardOf(rec.Job.Zone, "")
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	shards := p.sharding.Shards()
	return shards[int(sum.Sum32()%uint32(len(shards)))]
}

// markDone marks the ranges that shards of this sharding have finished, and keeps what was marked before.
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

// markRange marks the tasks from one up to and without another as done, and splits ranges where needed.
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

// rangeBuilder joins tasks that follow each other in one shard into ranges.
type rangeBuilder struct {
	out      []store.ShardRange
	next     int // the first task that has no shard yet
	finished *store.TaskSet
	fallback string // the shard of tasks that are on no machine
}

// fillTo assigns the tasks up to a given one, which are on no machine: those that have finished to the shard of the task
// before them, others to the fallback.
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

// add assigns the tasks up to a given one to a shard.
func (r *rangeBuilder) add(to int, shard string) {
	if n := len(r.out); n > 0 && r.out[n-1].Shard == shard {
		r.out[n-1].To = to
	} else {
		r.out = append(r.out, store.ShardRange{From: r.next, To: to, Shard: shard})
	}
	r.next = to
}

// LeadShard gives the number of shards that answer for tasks that are not done, and the first of them, which leads: it
// co-allocates a gang that is split over several.
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
