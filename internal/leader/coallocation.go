package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// A gang that no part can take whole is co-allocated: the part that has it, which leads, deals its
// tasks out to several. Each holds room for its own and says so; once all do, the leader
// writes the attempt that all of them start. Whatever goes wrong, it is called off: each
// part stops what it has and gives it back once that is proven gone.

// coAllocationTime bounds how long parts hold room for a gang, and startTime how long one takes to
// start its tasks once all have room.
const (
	coAllocationTime = 90 * time.Second
	startTime        = 10 * time.Second
)

// coAllocation is what a holder remembers of a gang that is co-allocated.
type coAllocation struct {
	order   uint64 // what the record says, as it was first seen here
	since   time.Time
	started uint64 // the attempt that was started here, or will not be
	ready   bool   // there is room for the tasks of this part
}

// see takes in what the record says.
func (m *coAllocation) see(now time.Time, order uint64) {
	if m.order != order {
		*m = coAllocation{order: order, since: now, started: m.started}
	}
}

// starts reports whether the tasks of this part may be started with the attempt of the record.
func (m *coAllocation) starts() bool {
	return m.order >= store.CoAllocationFirst && m.started != m.order
}

// inPieces lists the gangs of which this part has some tasks and others have the rest.
func (h *Holder) inPieces(do func(id string, l *store.LiveJob, j *history, shares []store.Share, lead string)) {
	pieces := make(map[string][]store.Share)
	for id, l := range h.live { // mostly none
		if l.Record.Job.Shape != wire.Gang {
			continue
		}
		shares := h.sharesOf(l)
		if _, parts := reshard.Whose(shares); parts > 1 && h.hasOf(shares) && !gangDone(l, shares) {
			pieces[id] = shares
		}
	}
	for _, id := range sortedKeys(pieces) {
		lead, _ := reshard.Whose(pieces[id])
		do(id, h.live[id], h.history(id), pieces[id], lead)
	}
}

func (h *Holder) hasOf(shares []store.Share) bool {
	return slices.ContainsFunc(shares, func(s store.Share) bool { return s.Part == h.held.Part && !s.Done })
}

// attend goes on with the gangs that are in pieces.
func (h *Holder) attend(now time.Time, d *Draft) {
	if h.group.Whole() || !h.resumed {
		return
	}
	h.inPieces(func(id string, l *store.LiveJob, j *history, shares []store.Share, lead string) {
		j.allocation.see(now, l.Record.CoAllocation)
		late := now.Sub(j.allocation.since)
		switch order := l.Record.CoAllocation; {
		case order == store.CoAllocationHold:
			if lead == h.held.Part {
				h.lead(now, d, id, l, shares, late)
			}
			return
		case j.allocation.starts():
			if late < startTime {
				return
			}
			j.allocation.started = order // there is no room here any more
			h.log.Info("a gang is not started here in time", "job", id, "attempt", order)
		}
		if h.anywhere(l) {
			return
		}
		if lead != h.held.Part {
			h.gather(d, id, l, shares, lead)
		} else if l.Record.CoAllocation >= store.CoAllocationFirst {
			h.order(d, id, l, store.CoAllocationOff)
		}
	})
}

// lead has a gang start once all parts that have tasks of it have room for them, and calls
// it off when that takes too long.
func (h *Holder) lead(now time.Time, d *Draft, id string, l *store.LiveJob, shares []store.Share, late time.Duration) {
	for _, s := range shares {
		ready := h.history(id).allocation.ready
		if s.Part != h.held.Part {
			ready = slices.Contains(h.others[s.Part].Ready, id)
		}
		if !s.Done && !ready {
			if late > coAllocationTime {
				h.order(d, id, l, store.CoAllocationOff)
			}
			return
		}
	}
	h.sequence++
	if attempt := h.held.Term<<24 | h.sequence; h.order(d, id, l, attempt) {
		h.log.Info("a gang is started in several parts", "job", id, "attempt", attempt)
	}
}

// order writes what the parts that have tasks of a gang are to do.
func (h *Holder) order(d *Draft, id string, l *store.LiveJob, order uint64) bool {
	if _, ends := d.finished[id]; ends {
		return false
	}
	r := d.rewrite(l)
	if r == nil {
		return false
	}
	if order == store.CoAllocationOff {
		h.log.Info("a gang is called off", "job", id)
	}
	h.live[id] = &store.LiveJob{Record: r.CoAllocate(id, order), Home: l.Home, Since: l.Since}
	return true
}

// gather gives what this part has of a gang to the part that leads it, once nothing of it is
// left here: a gang can only be started whole.
func (h *Holder) gather(d *Draft, id string, l *store.LiveJob, shares []store.Share, lead string) {
	next := slices.Clone(shares)
	for i := range next {
		if next[i].Part == h.held.Part {
			next[i].Part = lead
		}
	}
	if next = joined(next); !h.rewriteShares(d, id, l, next) {
		return
	}
	h.log.Info("what was left of a gang given to the part that leads it", "job", id, "to", lead)
	if _, parts := reshard.Whose(next); parts > 1 && l.Record.CoAllocation != 0 {
		h.order(d, id, h.live[id], store.CoAllocationOff) // the others need not wait for these
	}
}

// coAllocate deals a gang out to parts that together have room for it, or may rent some; no
// more than its zones may hold to each.
func (h *Holder) coAllocate(now time.Time, d *Draft, s *scheduler.Short, l *store.LiveJob, waited time.Duration) bool {
	if s.Job.Shape != wire.Gang || s.Job.OneZone || s.Job.Zone != "" || s.Job.Active > 0 || s.Job.Elsewhere > 0 || len(s.Job.Waiting) != s.Job.Tasks {
		return false
	}
	left := s.Job.Tasks
	var shares []store.Share
	for _, lot := range h.lots(now, s.Job, waited >= rentAfter) {
		if n := min(left, lot.n); n > 0 {
			shares = append(shares, store.Share{From: s.Job.Tasks - left, To: s.Job.Tasks - left + n, Part: lot.part})
			left -= n
		}
	}
	if left > 0 || len(shares) < 2 || !h.rewriteShares(d, s.Job.ID, l, shares) {
		return false
	}
	h.log.Info("a gang is co-allocated over several parts", "job", s.Job.ID, "shares", shares)
	return h.order(d, s.Job.ID, h.live[s.Job.ID], store.CoAllocationHold)
}

// lot is what a part may take of a gang.
type lot struct {
	part string
	n    int
}

// lots lists what each part may take of a gang, this one first and then the largest.
func (h *Holder) lots(now time.Time, j *scheduler.Job, rent bool) (out []lot) {
	of := func(part string, room scheduler.Room, given int) lot {
		n := room.Now - given
		if rent && room.Rent {
			n = j.Tasks
		}
		return lot{part, min(n, h.mayHold(j, part))}
	}
	for _, part := range sortedKeys(h.others) {
		if room, known := h.others[part].Rooms[j.Class]; known && h.group.Suits(part, j.Job, h.types) {
			out = append(out, of(part, room, h.givenTo(now, part, j.Class)))
		}
	}
	slices.SortStableFunc(out, func(a, b lot) int { return b.n - a.n })
	if h.group.Suits(h.held.Part, j.Job, h.types) {
		out = slices.Insert(out, 0, of(h.held.Part, h.outlook.rooms[j.Class], 0))
	}
	return out
}

// mayHold bounds the tasks of a gang that a part may have, by the half of them that may be
// in one zone. Where parts are by type, none knows all that is in a zone.
func (h *Holder) mayHold(j *scheduler.Job, part string) int {
	switch {
	case !j.Spread:
		return j.Tasks
	case !h.group.Zoned():
		return 0
	}
	return (j.Tasks + 1) / 2 * max(1, len(h.group.Zones(part)))
}

// calledOff stops what this part has of gangs that are called off.
func (h *Holder) calledOff(now time.Time) {
	if h.group.Whole() {
		return
	}
	h.inPieces(func(id string, l *store.LiveJob, _ *history, _ []store.Share, _ string) {
		if l.Record.CoAllocation != store.CoAllocationOff {
			return
		}
		for i := range l.Record.Tasks {
			if p := h.fleet.Active(wire.TaskID{Job: id, Index: i}); p != nil && p.Stop == nil {
				h.stop(now, p, l.Record.Job, "the gang is called off")
			}
		}
	})
}

// placed says what is to be done with the tasks of a gang that other parts have tasks of
// too: they are placed while it is held or started here, and else left alone.
func (h *Holder) placed(now time.Time, j *scheduler.Job, hist *history, order uint64) (place bool) {
	if hist == nil {
		return false
	}
	hist.allocation.see(now, order)
	j.Hold = order == store.CoAllocationHold
	return j.Hold || hist.allocation.starts()
}
