package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Where the tasks of a job find room: now, or soonest.

// undo is what a try has changed of a machine.
type undo struct {
	machine       *Machine
	free, leaving Amount
	load          [4]Amount
	taken         bool
	planned       int
	task          int // that was marked as stopping, or -1
}

// note remembers a machine as it is before a change.
func (pl *planner) note(m *Machine, task int) {
	pl.undone = append(pl.undone, undo{m, m.Free, m.leaving, m.load, m.taken, len(m.planned), task})
}

// allowed reports whether a job's tasks may ever be on such a machine.
func allowed(j *Job, o Offer) bool {
	return (len(j.Types) == 0 || slices.Contains(j.Types, o.Type)) && (j.Zone == "" || j.Zone == o.Zone) && (j.Spot || !o.Spot) && (j.Rule == nil || j.Rule.permits(o.Zone))
}

// zoneOpen reports whether one more task of a job may be in a zone, given
// where its tasks are, old attempts included.
func zoneOpen(j *Job, in map[string]int, zone string) bool {
	if j.OneZone {
		for z, n := range in {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.Spread || in[zone] < (j.Tasks+1)/2
}

// search looks for machines for the tasks of one job, or for one try of it in
// one zone. Room only shrinks meanwhile, so that what did not fit is not looked
// at again.
type search struct {
	pl      *planner
	j       *Job
	need    Amount
	in      map[string]int // tasks by zone
	zone    string         // the only one, or empty
	limit   float64        // price of a task's share of a new machine, 0 for none
	allowed []bool         // by offer

	spotOnly bool
	scanned  bool
	holders  []candidate // with the image and room
	others   []*Machine  // with room
	paced    []*Machine  // with room, where an image comes that this one's would slow down

	costs     []float64 // by offer
	cheap     []int     // offers, the cheapest first
	boot      []int     // by offer, the booting machines that did not fit
	noPreempt bool
	later     bool // next has found room that comes free, on no machine in particular
}

// candidate is a machine with what placing a task there spoils.
type candidate struct {
	*Machine
	spoils float64
	cost   float64 // of a task's share, by the offer
}

func (pl *planner) search(j *Job, in map[string]int, zone string) *search {
	s := &search{pl: pl, j: j, need: Of(j.Job), in: in, zone: zone, allowed: make([]bool, len(pl.offers))}
	for i, o := range pl.offers {
		s.allowed[i] = allowed(j, o) && (zone == "" || zone == o.Zone)
	}
	return s
}

// permits reports whether the job may use an offer.
func (s *search) permits(offer int) bool {
	if offer < len(s.allowed) {
		return s.allowed[offer]
	}
	o := s.pl.offers[offer] // new since the search began
	return allowed(s.j, o) && (s.zone == "" || s.zone == o.Zone)
}

// ok reports whether one more task may be on a machine, room aside.
func (s *search) ok(m *Machine) bool {
	return s.permits(m.offer) && !s.j.Avoid[m.ID] && zoneOpen(s.j, s.in, m.Zone)
}

func (s *search) scan() {
	s.scanned = true
	s.price()
	for _, m := range s.pl.usable {
		if !s.allowed[m.offer] || s.spotOnly && !m.Spot || !m.Free.Fits(s.need) || s.j.Avoid[m.ID] {
			continue
		}
		if m.holds(s.j.Image) {
			s.holders = append(s.holders, candidate{m, s.pl.spoils(m, s.need), s.costs[m.offer]})
		} else if m.paces(s.j) {
			s.paced = append(s.paced, m)
		} else {
			s.others = append(s.others, m)
		}
	}
}

// slots counts how many tasks have room now, up to a number.
func (s *search) slots(most int) int {
	n := 0
	for _, c := range s.holders {
		n += c.Free.Slots(s.need)
	}
	for _, m := range s.others {
		if n >= most {
			break
		}
		n += m.Free.Slots(s.need)
	}
	return n
}

// companion picks the machine for a task: one that holds the image or fetches
// it, else the roomiest of a zone. Among holders the one is taken whose room is
// spoilt least, and among zones the one whose roomiest machine is the fullest.
func (s *search) companion() *Machine {
	if !s.scanned {
		s.scan()
	}
	if s.j.Rule != nil {
		return s.evenly()
	}
	best := -1
	for i, c := range s.holders {
		if zoneOpen(s.j, s.in, c.Zone) && (best < 0 || better(s.j, c, s.holders[best])) {
			best = i
		}
	}
	if best >= 0 {
		return s.holders[best].Machine
	}
	roomiest := make(map[string]*Machine)
	for _, m := range s.others {
		if r := roomiest[m.Zone]; r == nil || roomier(s.j, m, r) {
			roomiest[m.Zone] = m
		}
	}
	var pick *Machine
	for _, zone := range slices.Sorted(maps.Keys(roomiest)) {
		m := roomiest[zone]
		if zoneOpen(s.j, s.in, zone) && (pick == nil || pick.keptFrom(s.j) && !m.keptFrom(s.j) || s.in[zone] < s.in[pick.Zone] && s.j.Spread || s.in[zone] == s.in[pick.Zone] && fuller(s.j, m, pick)) {
			pick = m
		}
	}
	return pick
}

// take occupies a machine for a task.
func (s *search) take(m *Machine) {
	s.pl.occupy(s.j, m)
	if s.j.Shape == wire.Array {
		after := s.j.Estimate()
		if t := s.pl.types[m.Type]; t != nil && !m.Usable {
			after += wire.Seconds(t.BootS)
		}
		s.pl.turn(m.offer, after, s.need, turnShare)
	}
	s.in[m.Zone]++
	if !s.scanned {
		return
	}
	i := slices.IndexFunc(s.holders, func(c candidate) bool { return c.Machine == m })
	if i < 0 {
		if k := slices.Index(s.others, m); k >= 0 {
			s.others = slices.Delete(s.others, k, k+1)
			i, s.holders = len(s.holders), append(s.holders, candidate{Machine: m, cost: s.costs[m.offer]})
		}
	}
	switch {
	case i < 0:
	case m.Free.Fits(s.need):
		s.holders[i].spoils = s.pl.spoils(m, s.need)
	default:
		s.holders = slices.Delete(s.holders, i, i+1)
	}
}

// single places the tasks of an array or a service one by one.
func (pl *planner) single(j *Job) {
	team, need := pl.Teams[j.Team], Of(j.Job)
	if team == nil {
		return
	}
	s := pl.search(j, j.InZone, "")
	waiting := s.now(j.Waiting[j.begun:])
	if len(waiting) > 0 && !team.allows(need) {
		if pl.want(j, len(waiting)); pl.worthWaiting(j, need) {
			team.use(need) // its next task goes before smaller ones that stand behind it
		}
		return
	}
	coming, none, launching := 0, 0, pl.Tasks > 0
	for k := range waiting {
		if !team.allows(need) {
			pl.want(j, len(waiting)-k)
			break
		}
		if pl.outside(j, 1) { // it goes there, rather than have more rented here
			team.use(need)
			coming++
			continue
		}
		m := s.next()
		if m == nil && !s.later {
			none = len(waiting) - k
			break
		}
		if m == nil || !m.Usable {
			coming++
		}
		if m != nil {
			s.take(m)
		}
		team.use(need)
	}
	if launching {
		pl.short(j, coming, none)
	}
}

// now launches tasks where there is room now, in order, and gives back the rest.
func (s *search) now(waiting []int) []int {
	pl, j, far := s.pl, s.j, false
	for team := pl.Teams[j.Team]; len(waiting) > 0 && pl.Tasks > 0 && team.allows(s.need); waiting = waiting[1:] {
		m := s.companion()
		if m == nil {
			break
		}
		if !far && !m.holds(j.Image) {
			if soon := s.nearImage(); soon != nil {
				s.take(soon)
				team.use(s.need)
				continue
			}
			far = true
		}
		pl.plan.Launches = append(pl.plan.Launches, Launch{j, waiting[0], m.ID})
		pl.Tasks--
		s.take(m)
		team.use(s.need)
	}
	return waiting
}

// longFetch is a fetch that takes longer than lesser work takes to end.
const longFetch = 6 * time.Second

// nearImage makes room for a production task where its image is, rather than
// have it wait for a long fetch beside others; nil means that there is none.
// Its replicas would be away for that fetch, which is longer still when
// several images come to one machine at once.
func (s *search) nearImage() *Machine {
	if s.j.Priority != wire.Production || s.pl.fetch(s.j) < longFetch || s.j.Rule != nil {
		return nil
	}
	near := func(m *Machine) bool { return m.holds(s.j.Image) && s.ok(m) }
	if m := s.pl.stoppingRoom(s.need, near); m != nil {
		return m
	}
	return s.pl.preempt(s.j, s.need, near)
}

// stoppingRoom finds a machine that has room once what is stopping is gone.
func (pl *planner) stoppingRoom(need Amount, ok func(*Machine) bool) *Machine {
	for _, m := range pl.leaving {
		if m.Free.Plus(m.leaving, 1).Fits(need) && ok(m) {
			return m
		}
	}
	return nil
}

func (pl *planner) occupy(j *Job, m *Machine) {
	pl.note(m, -1)
	m.Free = m.Free.Plus(Of(j.Job), -1)
	m.taken = true
	if !m.holds(j.Image) {
		m.planned = append(m.planned, Fetch{j.Image, j.Priority == wire.Production})
	}
}

// better reports whether a is to be taken rather than b.
func better(j *Job, a, b candidate) bool {
	if ka, kb := a.keptFrom(j), b.keptFrom(j); ka != kb {
		return kb
	}
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	if ea, eb := a.empty(), b.empty(); ea != eb {
		return eb // an empty machine may be returned
	}
	if ca, cb := a.comes(j.Image), b.comes(j.Image); j.Priority == wire.Production && ca != cb {
		return cb
	}
	if math.Abs(a.cost-b.cost) > 1e-6*(a.cost+b.cost) {
		return a.cost < b.cost // so that the dear ones fall empty first
	}
	if math.Abs(a.spoils-b.spoils) > 1e-6*(a.spoils+b.spoils) {
		return a.spoils < b.spoils
	}
	return fuller(j, a.Machine, b.Machine)
}

// fuller reports whether a is the better of two machines for keeping others
// free: cheap ones first where the job may, then the one with less room.
func fuller(j *Job, a, b *Machine) bool {
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	return cmp.Or(cmp.Compare(a.Free.GPUs, b.Free.GPUs), cmp.Compare(a.Free.CPUs, b.Free.CPUs), cmp.Compare(a.ID, b.ID)) < 0
}

// roomier reports whether a is the better of two machines for a task that must
// fetch its image: cheap ones first here too, then the one with more room.
func roomier(j *Job, a, b *Machine) bool {
	if ka, kb := a.keptFrom(j), b.keptFrom(j); ka != kb {
		return kb
	}
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	if ca, cb := a.calm(), b.calm(); j.Priority == wire.Production && ca != cb {
		return ca
	}
	return fuller(j, b, a)
}
