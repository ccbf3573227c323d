package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// What a plan says to the holders of other parts.

// Room is how many more tasks of a class a part could take: on machines that have room
// now, on those beside lesser work, and whether machines for it can be rented.
type Room struct {
	Now, Below int
	Rent       bool
}

// Want is what a team's grant holds back: work that would be launched if it were larger.
type Want struct {
	CPUs, GPUs float64
	Rank       int       // of the most urgent of it
	Since      time.Time // when the oldest of that was submitted
	Least      Amount    // that any of it takes: a task, or a gang
}

// Compare orders wants, the one that goes first before others. An age would not do: what another
// part has told was so a while ago, and of two that are as old each would take its own for the older.
func (w Want) Compare(other Want) int {
	return cmp.Or(cmp.Compare(other.Rank, w.Rank), w.Since.Compare(other.Since))
}

// Short is a job of which tasks found no room: some wait for what is on its way, for
// others nothing is.
type Short struct {
	Job          *Job
	Coming, None int
}

// want notes tasks that a team's grant holds back. Of those for which the limit of all parts together
// has no room beside what is used here nothing is asked for: a part that kept a rest of the limit
// for them would keep it from smaller work in others for nothing. They wait all the same.
func (pl *planner) want(j *Job, tasks int) {
	if !pl.Parts || tasks <= 0 {
		return
	}
	fit := min(tasks, pl.Teams[j.Team].most(Of(j.Job)))
	least := Of(j.Job)
	if j.Shape == wire.Gang {
		if least = (Amount{}).Plus(least, float64(tasks)); fit < tasks {
			fit = 0
		}
	}
	if pl.plan.Wants == nil {
		pl.plan.Wants = make(map[string]Want)
	}
	w, known := pl.plan.Wants[j.Team]
	w.CPUs += j.CPUs * float64(fit)
	w.GPUs += j.GPUs * float64(fit)
	if w.Least.Fits(least) || !known {
		w.Least = least
	}
	if rank := j.Priority.Rank(); !known || rank > w.Rank || rank == w.Rank && j.Since.Before(w.Since) {
		w.Rank, w.Since = rank, j.Since
	}
	pl.plan.Wants[j.Team] = w
}

// Asks reports whether a want asks for anything now.
func (w Want) Asks() bool { return w.CPUs > 0 || w.GPUs > 0 }

// Worth reports whether what is wanted will fit into a limit once all has ended but what stays, so
// that work of other parts is to wait for it: it has waited for long, as in one part.
func (w Want) Worth(waited, beginWithin time.Duration, limit Team, stays Amount) bool {
	return beginWithin > 0 && waited >= beginWithin/patience && waited < 2*beginWithin && limit.allows(stays.Plus(w.Least, 1))
}

// short notes tasks that found no room now.
func (pl *planner) short(j *Job, coming, none int) {
	pl.plan.Waits = pl.plan.Waits || coming+none > 0
	if pl.Parts && coming+none > 0 {
		pl.plan.Short = append(pl.plan.Short, Short{j, coming, none})
	}
}

// outside takes room for so many tasks of a job that another part has, if any has.
func (pl *planner) outside(j *Job, tasks int) bool {
	if j.Spread || j.OneZone && j.Shape != wire.Gang || min(j.Outside, pl.Outside[j.Class]) < tasks {
		return false
	}
	pl.Outside[j.Class] -= tasks
	return true
}

// rooms tells for each class how many more of its tasks would find room once all that is
// planned has its own.
func (pl *planner) rooms() {
	if !pl.Parts {
		return
	}
	pl.countStays()
	pl.plan.Stays = pl.stays
	newest := make(map[string]*Job)
	for _, j := range pl.Jobs {
		// One that is bound to a zone says nothing of the room that others of its class find.
		if n := newest[j.Class]; n == nil || n.Zone != "" && j.Zone == "" || (n.Zone == "") == (j.Zone == "") && j.Order > n.Order {
			newest[j.Class] = j
		}
	}
	pl.plan.Rooms = make(map[string]Room, len(newest))
	for _, class := range slices.Sorted(maps.Keys(newest)) {
		pl.plan.Rooms[class] = pl.room(newest[class])
	}
}

func (pl *planner) room(j *Job) Room {
	need, rank := Of(j.Job), j.Priority.Rank()
	now, below := make(map[string]int), 0
	for _, m := range pl.usable {
		if !allowed(j, pl.offers[m.offer]) || !m.Usable {
			continue
		}
		slots := max(0, m.Free.Slots(need))
		now[m.Zone] += slots
		room := m.Free.Plus(m.leaving, 1)
		for _, l := range m.load[:rank] {
			room = room.Plus(l, 1)
		}
		below += max(0, room.Slots(need)-slots)
	}
	r := Room{Below: below, Now: pl.heldFor[j.Class]}
	for _, n := range now {
		if j.OneZone {
			r.Now = max(r.Now, n)
		} else {
			r.Now += n
		}
	}
	for _, t := range pl.Types {
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := Offer{t.Name, zone, spot}
				// One in doubt that is not left alone any more counts: nobody else would ever ask it, and a
				// gang that needs room there would wait for ever.
				r.Rent = r.Rent || allowed(j, o) && !pl.Refused[o] && (Amount{t.CPUs, t.GPUs, t.MemoryGB}).Fits(need)
			}
		}
	}
	return r
}
