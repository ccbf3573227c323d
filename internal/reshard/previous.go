package reshard

import (
	"hash/fnv"
	"maps"
	"slices"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Past is what the ledgers of earlier groupings say. They are never written again, so that
// every holder of every part, whenever it begins, says the same of whose a task is.
type Past struct {
	Machines map[string]store.MachineRecord
	Asks     map[string]store.AskRecord
	Finished map[string]*store.Bits
	Zones    map[string]store.ZoneRecord
	Returns  map[string]store.ReturnRecord

	group  *fleet.Grouping
	number uint64
	placed map[string]map[int]place // by job and task
}

// place is where a task was last, as far as the ledgers say.
type place struct {
	part    string
	attempt uint64
}

// NewPast reads the ledgers of earlier groupings.
func NewPast(group *fleet.Grouping, l store.PartLedgers) *Past {
	left := store.Recall(l.Before)
	p := &Past{Machines: left.Machines, Asks: left.Asks, Finished: left.Finished, Zones: left.Zones, Returns: left.Returns, group: group, number: l.Number, placed: make(map[string]map[int]place)}
	for _, m := range left.Machines {
		part := group.PartOf(m.Zone, m.Type)
		for name, attempt := range m.Tasks {
			id, err := wire.ParseTaskID(name)
			if err != nil {
				continue
			}
			if p.placed[id.Job] == nil {
				p.placed[id.Job] = make(map[int]place)
			}
			// An attempt was made only once all before it were proven to be nowhere.
			if attempt >= p.placed[id.Job][id.Index].attempt {
				p.placed[id.Job][id.Index] = place{part, attempt}
			}
		}
	}
	return p
}

// Shares says which part answers for each task of a job whose record says that of an
// earlier grouping: the part of the machine that it may be on; for a task that is on none,
// a part that follows from the job alone, since a job that comes late is not in
// the ledgers, and these are gone some day. A gang that is on machines of several
// parts is theirs together until it has ended or is whole again.
func (p *Past) Shares(id string, rec *store.JobRecord) []store.Share {
	placed := p.placed[id]
	rest := p.home(id, rec)
	order := slices.Sorted(maps.Keys(placed))
	together := rec.Job != nil && (rec.Job.Shape == wire.Gang || rec.Job.OneZone)
	if together && len(order) > 0 {
		rest = placed[order[0]].part
	}
	if rec.Job != nil && rec.Job.OneZone {
		// No part knows where another's tasks are. Where the last attempt of any was made, all
		// that was in other zones had been proven to be gone.
		last := uint64(0)
		for _, i := range order {
			if placed[i].attempt > last {
				last, rest = placed[i].attempt, placed[i].part
			}
		}
		return p.done([]store.Share{{From: 0, To: rec.Tasks, Part: rest}}, rec)
	}
	r := &runs{finished: p.Finished[id], rest: rest}
	for _, i := range order {
		if i < rec.Tasks {
			r.until(i)
			r.add(i+1, placed[i].part)
		}
	}
	r.until(rec.Tasks)
	return p.done(r.out, rec)
}

// home gives the part of what is nowhere, by the job alone.
func (p *Past) home(id string, rec *store.JobRecord) string {
	if rec.Job != nil && rec.Job.Zone != "" && p.group.Zoned() {
		return p.group.PartOf(rec.Job.Zone, "")
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	parts := p.group.Parts()
	return parts[int(sum.Sum32()%uint32(len(parts)))]
}

// done marks what parts of this grouping have finished, and keeps what was marked before.
func (p *Past) done(shares []store.Share, rec *store.JobRecord) []store.Share {
	for i, s := range shares {
		shares[i].Done = slices.Contains(rec.DoneIn, store.LedgerOf(s.Part, p.number))
	}
	for _, d := range rec.Shares {
		if d.Done && d.Within(rec.Tasks) {
			shares = overlay(shares, d.From, d.To)
		}
	}
	return shares
}

// overlay marks the tasks from a first up to and without a last as done.
func overlay(shares []store.Share, from, to int) (out []store.Share) {
	for _, s := range shares {
		a, b := min(max(s.From, from), s.To), max(min(s.To, to), s.From)
		if a >= b {
			out = append(out, s)
			continue
		}
		for _, piece := range []store.Share{{From: s.From, To: a, Part: s.Part, Done: s.Done}, {From: a, To: b, Part: s.Part, Done: true}, {From: b, To: s.To, Part: s.Part, Done: s.Done}} {
			if piece.From < piece.To {
				out = append(out, piece)
			}
		}
	}
	return out
}

// runs puts tasks together that follow each other in one part.
type runs struct {
	out      []store.Share
	at       int
	finished *store.Bits
	rest     string // the part of what is nowhere
}

// until gives what is nowhere up to a task: what has finished, to whoever has what is before.
func (r *runs) until(to int) {
	for from := r.at; from < to; from = r.at {
		end := from + 1
		done := r.finished != nil && r.finished.Has(from)
		for end < to && (r.finished != nil && r.finished.Has(end)) == done {
			end++
		}
		part := r.rest
		if n := len(r.out); done && n > 0 {
			part = r.out[n-1].Part
		}
		r.add(end, part)
	}
}

func (r *runs) add(to int, part string) {
	if n := len(r.out); n > 0 && r.out[n-1].Part == part {
		r.out[n-1].To = to
	} else {
		r.out = append(r.out, store.Share{From: r.at, To: to, Part: part})
	}
	r.at = to
}

// Whose tells how many parts answer for what of the shares is not done, and the first of them,
// which leads: it gathers a gang that is whole nowhere.
func Whose(shares []store.Share) (lead string, parts int) {
	var seen []string
	for _, s := range shares {
		if !s.Done && !slices.Contains(seen, s.Part) {
			seen = append(seen, s.Part)
		}
	}
	if len(seen) > 0 {
		lead = seen[0]
	}
	return lead, len(seen)
}
