package store

import (
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Home is a key that holds jobs: a batch, or a single job in the form of version
// 1. Its version orders launch, cancel and done of all of them. A home is never
// changed; another takes its place.
type Home struct {
	Key     string
	Version uint64
	Since   uint64 // the first revision that held it
	Jobs    []Member
	single  bool
}

// Member is a job of a home.
type Member struct {
	ID     string
	Record JobRecord
}

// members lists the jobs of a batch in order.
func members(jobs map[string]JobRecord) []Member {
	out := make([]Member, 0, len(jobs))
	for _, id := range slices.Sorted(maps.Keys(jobs)) {
		out = append(out, Member{id, jobs[id]})
	}
	return out
}

// job gives the record of a job that the home holds.
func (h *Home) job(id string) *JobRecord {
	for i := range h.Jobs {
		if h.Jobs[i].ID == id {
			return &h.Jobs[i].Record
		}
	}
	return &JobRecord{}
}

// Bytes bounds what the home's value takes in the state service.
func (h *Home) Bytes() int {
	n := 100
	for i := range h.Jobs {
		n += len(h.Jobs[i].ID) + RecordBytes(&h.Jobs[i].Record)
	}
	return n
}

// Rewrite is the next value of a home, in which some of its jobs have ended.
type Rewrite struct {
	home *Home
	jobs []Member
}

// Rewrite begins the next value of a home.
func (h *Home) Rewrite() *Rewrite { return &Rewrite{h, slices.Clone(h.Jobs)} }

// Of reports whether it is the home, as it is there, that is written again.
func (r *Rewrite) Of(h *Home) bool { return r.home == h }

// End marks a job as done or cancelled.
func (r *Rewrite) End(id string, stage wire.Stage, now time.Time) JobRecord {
	return r.change(id, func(rec *JobRecord) { *rec = rec.End(stage, now) })
}

// Reshare gives a job other shares, of the grouping of a number.
func (r *Rewrite) Reshare(id string, shares []Share, number uint64) JobRecord {
	return r.change(id, func(rec *JobRecord) { rec.Shares, rec.Grouping, rec.DoneIn, rec.CoAllocation = shares, number, nil, 0 })
}

// CoAllocate says what the parts that have tasks of a gang are to do.
func (r *Rewrite) CoAllocate(id string, order uint64) JobRecord {
	return r.change(id, func(rec *JobRecord) { rec.CoAllocation = order })
}

// DoneIn notes that the part of a ledger has finished all that it has of a job.
func (r *Rewrite) DoneIn(id, ledger string) JobRecord {
	return r.change(id, func(rec *JobRecord) { rec.DoneIn = append(slices.Clone(rec.DoneIn), ledger) })
}

func (r *Rewrite) change(id string, change func(*JobRecord)) JobRecord {
	for i := range r.jobs {
		if m := &r.jobs[i]; m.ID == id {
			change(&m.Record)
			return m.Record
		}
	}
	return JobRecord{}
}

// Grown bounds what the new value would take with other shares of a job. Little is left of
// what was set aside for each job when it came.
func (r *Rewrite) Grown(id string, shares []Share, number uint64) int {
	n := 100
	for _, m := range r.jobs {
		if m.ID == id {
			m.Record.Shares, m.Record.Grouping = shares, number
		}
		n += len(m.ID) + RecordBytes(&m.Record) - spareBytes
	}
	return n
}

// Change is the put of the new value; the condition on the home's version goes
// with it.
func (r *Rewrite) Change() wire.Change {
	if r.home.single {
		return wire.Change{Put: r.home.Key, Value: r.jobs[0].Record}
	}
	rec := BatchRecord{Jobs: make(map[string]JobRecord, len(r.jobs)), Since: r.home.Since}
	for _, m := range r.jobs {
		rec.Jobs[m.ID] = m.Record
	}
	return wire.Change{Put: r.home.Key, Value: rec}
}

// If is the condition that nobody has written the home since it was read.
func (r *Rewrite) If() wire.Condition {
	return wire.Condition{Key: r.home.Key, Version: r.home.Version}
}

// Taken gives the home as it is once the change was taken at a revision.
func (r *Rewrite) Taken(revision uint64) *Home {
	return &Home{r.home.Key, revision, r.home.Since, r.jobs, r.home.single}
}
