package shard

import (
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Router says which parts the tasks of new jobs go to, by what the parts have last said
// of themselves and by what it has sent there since.
type Router struct {
	Group *fleet.Grouping
	// Statuses gives what the parts have last said.
	Statuses func() map[string]leader.PartStatus

	mu   sync.Mutex
	sent map[string]sent
}

// sent counts the tasks that were sent to a part and that its status may not show yet.
type sent struct {
	at    time.Time
	tasks map[string]int // by class
}

// sentAge is after how long a part's status shows what was sent to it: the write, a
// round, and a beat.
const sentAge = 2500 * time.Millisecond

// lot is a part as a place for a job.
type lot struct {
	part     string
	room     scheduler.Room
	free     int
	machines int
	backlog  int
	zones    int
}

// Route gives the shares of a new job.
func (r *Router) Route(now time.Time, j *wire.Job, types []wire.MachineType) []store.Share {
	if r.Group.Whole() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	lots := r.lots(now, j, types)
	var shares []store.Share
	if j.Spread && j.Shape != wire.Gang && r.Group.Zoned() && len(lots) > 1 && j.Tasks > 1 {
		shares = deal(j, lots)
	} else {
		shares = whole(j, lots)
	}
	for _, s := range shares {
		r.note(now, s.Part, j.Class, s.To-s.From)
	}
	return shares
}

// lots lists the parts that may have machines which a job allows, the best first.
func (r *Router) lots(now time.Time, j *wire.Job, types []wire.MachineType) []lot {
	statuses := r.Statuses()
	var out []lot
	for _, part := range r.Group.Parts() {
		if !r.Group.Suits(part, j, types) {
			continue
		}
		s := statuses[part]
		l := lot{part: part, room: s.Rooms[j.Class], machines: s.Machines, backlog: s.Backlog, zones: max(1, len(r.Group.Zones(part)))}
		if _, known := s.Rooms[j.Class]; !known {
			l.room.Rent = true // nothing of the class has come yet, or the part is being rebuilt
		}
		l.free = l.room.Now
		if g := r.sent[part]; now.Sub(g.at) < sentAge {
			l.free -= g.tasks[j.Class]
		}
		out = append(out, l)
	}
	if len(out) == 0 { // it can never run, or the types have changed since
		out = []lot{{part: r.Group.Parts()[0], zones: 1}}
	}
	return sortedBy(out, func(l lot) float64 { return l.score(j) })
}

// score says how good a place is for a job: where all of it has room, the more the better;
// then where machines can be rented, the fewer there are the better; then where the least
// waits.
func (l lot) score(j *wire.Job) float64 {
	tie := key(j.ID, l.part) / 1000
	switch {
	case l.free >= j.Tasks:
		return 1e6 + float64(l.free) + tie
	case l.room.Rent:
		return 1e3 - float64(l.machines)/100 - 100*float64(l.backlog)/float64(l.machines+10) + tie
	}
	return -100*float64(l.backlog)/float64(l.machines+10) + float64(l.free)/1e3 + tie
}

// splitOver is the number of tasks from which on an array goes to several parts.
const splitOver = 64

// whole gives a job to the best part: a gang too that must be spread over zones, which that
// part then co-allocates from several. A large array that has no room in one is dealt
// out by what room there is, and the rest by the size of the parts.
func whole(j *wire.Job, lots []lot) []store.Share {
	if j.Shape != wire.Array || j.OneZone || j.Spread || j.Tasks < splitOver || lots[0].free >= j.Tasks || len(lots) == 1 {
		return []store.Share{{From: 0, To: j.Tasks, Part: lots[0].part}}
	}
	lots = lots[:min(len(lots), spreadMost)]
	sum := 0.0
	for _, l := range lots {
		sum += float64(max(1, l.machines))
	}
	var out []store.Share
	from := 0
	for i, l := range lots {
		n := share(float64(max(1, l.machines))/sum, j.Tasks)
		if n = min(n, j.Tasks-from); i == len(lots)-1 {
			n = j.Tasks - from
		}
		if n > 0 {
			out = append(out, store.Share{From: from, To: from + n, Part: l.part})
			from += n
		}
	}
	return out
}

// deal gives the tasks of a job that must be spread to several parts, to none more than
// its zones may hold.
func deal(j *wire.Job, lots []lot) []store.Share {
	parts := min(len(lots), spreadMost, max(2, j.Tasks/3))
	most := (j.Tasks + 1) / 2
	var out []store.Share
	from := 0
	for i, l := range lots[:parts] {
		left := parts - i
		n := min((j.Tasks-from+left-1)/left, most*l.zones)
		if n > 0 {
			out = append(out, store.Share{From: from, To: from + n, Part: l.part})
			from += n
		}
	}
	if from < j.Tasks {
		out[len(out)-1].To = j.Tasks
	}
	return out
}

func (r *Router) note(now time.Time, part, class string, n int) {
	if r.sent == nil {
		r.sent = make(map[string]sent)
	}
	g := r.sent[part]
	if g.tasks == nil || now.Sub(g.at) > sentAge {
		g = sent{tasks: make(map[string]int)}
	}
	g.at = now
	g.tasks[class] += n
	r.sent[part] = g
}
