package reshard

import (
	"hash/fnv"
	"maps"
	"slices"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Previous is what the ledgers of earlier groupings say. They are never written again, so that
// every holder of every part, whenever it begins, says the same of whose a task is.
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

// placement is where a task was last, as far as the ledgers say.
type placement struct {
	shard   string
	attempt uint64
}

// NewPrevious reads the ledgers of earlier groupings.
func NewPrevious(sharding *fleet.Sharding, l store.ShardLedgers) *Previous {
	recalled := store.RecoverSegments(l.Previous)
	p := &Previous{Machines: recalled.Machines, ScaleOuts: recalled.ScaleOuts, FinishedTasks: recalled.FinishedTasks, Zones: recalled.Zones, ZoneRecoveries: recalled.ZoneRecoveries, sharding: sharding, generation: l.Generation, lastPlaced: make(map[string]map[int]placement)}
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
			// An attempt was made only once all before it were proven to be nowhere.
			if attempt >= p.lastPlaced[id.Job][id.Index].attempt {
				p.lastPlaced[id.Job][id.Index] = placement{shard, attempt}
			}
		}
	}
	return p
}

// Ranges says which part answers for each task of a job whose record says that of an
// earlier grouping: the part of the machine that it may be on; for a task that is on none,
// a part that follows from the job alone, since a job that comes late is not in
// the ledgers, and these are gone some day. A gang that is on machines of several
// parts is theirs together until it has ended or is whole again.
func (p *Previous) Ranges(id string, rec *store.JobRecord) []store.ShardRange {
	placed := p.lastPlaced[id]
	rest := p.defaultShard(id, rec)
	order := slices.Sorted(maps.Keys(placed))
	together := rec.Job != nil && (rec.Job.Shape == wire.Gang || rec.Job.OneZone)
	if together && len(order) > 0 {
		rest = placed[order[0]].shard
	}
	if rec.Job != nil && rec.Job.OneZone {
		// No part knows where another's tasks are. Where the last attempt of any was made, all
		// that was in other zones had been proven to be gone.
		last := uint64(0)
		for _, i := range order {
			if placed[i].attempt > last {
				last, rest = placed[i].attempt, placed[i].shard
			}
		}
		return p.markDone([]store.ShardRange{{From: 0, To: rec.Tasks, Shard: rest}}, rec)
	}
	r := &rangeBuilder{finished: p.FinishedTasks[id], fallback: rest}
	for _, i := range order {
		if i < rec.Tasks {
			r.fillTo(i)
			r.add(i+1, placed[i].shard)
		}
	}
	r.fillTo(rec.Tasks)
	return p.markDone(r.out, rec)
}

// defaultShard gives the part of what is nowhere, by the job alone.
func (p *Previous) defaultShard(id string, rec *store.JobRecord) string {
	if rec.Job != nil && rec.Job.Zone != "" && p.sharding.KeepsZonesWhole() {
		return p.sharding.ShardOf(rec.Job.Zone, "")
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	shards := p.sharding.Shards()
	return shards[int(sum.Sum32()%uint32(len(shards)))]
}

// markDone marks what parts of this grouping have finished, and keeps what was marked before.
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

// markRange marks the tasks from a first up to and without a last as done.
func markRange(ranges []store.ShardRange, from, to int) (out []store.ShardRange) {
	for _, s := range ranges {
		a, b := min(max(s.From, from), s.To), max(min(s.To, to), s.From)
		if a >= b {
			out = append(out, s)
			continue
		}
		for _, piece := range []store.ShardRange{{From: s.From, To: a, Shard: s.Shard, Done: s.Done}, {From: a, To: b, Shard: s.Shard, Done: true}, {From: b, To: s.To, Shard: s.Shard, Done: s.Done}} {
			if piece.From < piece.To {
				out = append(out, piece)
			}
		}
	}
	return out
}

// rangeBuilder puts tasks together that follow each other in one part.
type rangeBuilder struct {
	out      []store.ShardRange
	next     int
	finished *store.TaskSet
	fallback string // the part of what is nowhere
}

// fillTo gives what is nowhere up to a task: what has finished, to whoever has what is before.
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

func (r *rangeBuilder) add(to int, shard string) {
	if n := len(r.out); n > 0 && r.out[n-1].Shard == shard {
		r.out[n-1].To = to
	} else {
		r.out = append(r.out, store.ShardRange{From: r.next, To: to, Shard: shard})
	}
	r.next = to
}

// LeadShard tells how many parts answer for what of the shares is not done, and the first of them,
// which leads: it gathers a gang that is whole nowhere.
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
