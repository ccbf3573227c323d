package sched

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
			pl.keepLimit(j.Team, need) // its next task goes before smaller ones that stand behind it
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

// gang places all waiting tasks of a gang, or none.
func (pl *planner) gang(j *Job) {
	team := pl.Teams[j.Team]
	whole := Amount{}.Plus(Of(j.Job), float64(len(j.Waiting)))
	if team == nil || j.Active > 0 {
		return
	}
	if !team.allows(whole) {
		if pl.want(j, len(j.Waiting)); j.elder > 0 {
			pl.keepLimit(j.Team, whole) // what is left is not for smaller work that stands behind it
		}
		return
	}
	if j.Unsure {
		for _, m := range j.picks {
			pl.occupy(j, m)
		}
		return
	}
	if pl.Tasks >= len(j.Waiting) {
		if picks := pl.together(j, true); picks != nil {
			if team.use(whole); j.Hold {
				pl.plan.Ready = append(pl.plan.Ready, j.ID)
				return
			}
			for i, m := range picks {
				pl.plan.Launches = append(pl.plan.Launches, Launch{j, j.Waiting[i], m.ID})
				j.InZone[m.Zone]++
			}
			pl.Tasks -= len(picks)
			return
		}
	}
	// Not now: hold room for it on what stops, boots or is to be rented.
	if pl.Tasks >= len(j.Waiting) && pl.outside(j, len(j.Waiting)) {
		team.use(whole)
		pl.short(j, len(j.Waiting), 0)
		return
	}
	var picks []*Machine
	if len(j.picks) > 0 {
		picks = pl.holdGathered(j)
	} else {
		picks = pl.together(j, false)
	}
	if picks != nil {
		team.use(whole)
	}
	switch n := len(j.Waiting); {
	case pl.Tasks < n:
	case picks == nil:
		pl.short(j, 0, n)
	case slices.ContainsFunc(picks, func(m *Machine) bool { return !m.Usable }):
		pl.short(j, n, 0)
	}
}

// together finds machines for all waiting tasks of a gang and occupies them,
// or leaves everything as it was. now asks for room that is there; else the zone
// is taken in which the least must be rented. The cheapest zone is another one
// from round to round, and machines would be rented for the gang in each.
func (pl *planner) together(j *Job, now bool) []*Machine {
	zones := pl.zonesOf(j)
	if now && j.Spot { // cheap machines of any zone before others of the first
		for _, zone := range zones {
			if picks, _ := pl.try(j, zone, true, true); picks != nil {
				return picks
			}
		}
	}
	best, least := "", math.Inf(1)
	for _, zone := range zones {
		at := pl.mark()
		picks, price := pl.try(j, zone, now, false)
		if picks != nil && (price == 0 || len(zones) == 1) {
			return picks
		}
		if picks != nil && price < least {
			best, least = zone, price
		}
		pl.restore(at)
	}
	if math.IsInf(least, 1) {
		return nil
	}
	picks, _ := pl.try(j, best, now, false)
	return picks
}

// try finds machines for all waiting tasks of a gang in one zone, and tells what
// those to be rented for it cost; on failure it leaves everything as it was.
func (pl *planner) try(j *Job, zone string, now, spotOnly bool) (picks []*Machine, price float64) {
	at := pl.mark()
	if !now && len(j.Waiting) > 1 {
		if picks := pl.soonest(j, zone); picks != nil {
			return picks, 0
		}
	}
	s := pl.search(j, maps.Clone(j.InZone), zone)
	pick := s.next
	// What waits for a boot anyway has nothing stopped meanwhile: the room would go to
	// lesser work again, which would be stopped again, round after round.
	s.noPreempt = len(j.Waiting) > 1
	if now {
		pick, s.spotOnly = s.companion, spotOnly
		if s.scan(); s.slots(len(j.Waiting)) < len(j.Waiting) {
			return nil, 0
		}
	}
	for range j.Waiting {
		m := pick()
		if m == nil {
			pl.restore(at)
			return nil, 0
		}
		s.take(m)
		picks = append(picks, m)
	}
	for _, m := range pl.fresh[at.fresh:] {
		price += pl.price(pl.types[m.Type], m.Spot, m.Zone)
	}
	return picks, price
}

// soonest finds machines for all waiting tasks of a gang among those that are up, of which
// lesser work is stopped where need be, and holds what is free already until that is gone;
// on failure it leaves everything as it was.
func (pl *planner) soonest(j *Job, zone string) (picks []*Machine) {
	at := pl.mark()
	s := pl.search(j, maps.Clone(j.InZone), zone)
	for range j.Waiting {
		m := s.companion()
		if m == nil {
			m = s.pacedRoom()
		}
		if m == nil {
			m = pl.stoppingRoom(s.need, s.ok)
		}
		if m == nil {
			m = pl.preempt(j, s.need, s.ok)
		}
		if m == nil {
			pl.restore(at)
			return nil
		}
		s.take(m)
		picks = append(picks, m)
	}
	return picks
}

// mark is a state of the plan to come back to.
type mark struct{ undone, fresh, leaving, stops int }

func (pl *planner) mark() mark {
	return mark{len(pl.undone), len(pl.fresh), len(pl.leaving), len(pl.plan.Stops)}
}

// restore takes back all changes after a mark.
func (pl *planner) restore(to mark) {
	for i := len(pl.undone) - 1; i >= to.undone; i-- {
		u := pl.undone[i]
		m := u.machine
		m.Free, m.leaving, m.load, m.taken, m.planned = u.free, u.leaving, u.load, u.taken, m.planned[:u.planned]
		if u.task >= 0 {
			m.Tasks[u.task].Stopping = false
		}
	}
	for _, m := range pl.fresh[to.fresh:] {
		pl.inZone[m.Zone]--
		pl.asked[pl.offers[m.offer]]--
		pl.booting[m.offer] = pl.booting[m.offer][:len(pl.booting[m.offer])-1]
	}
	pl.undone, pl.fresh = pl.undone[:to.undone], pl.fresh[:to.fresh]
	pl.leaving, pl.plan.Stops = pl.leaving[:to.leaving], pl.plan.Stops[:to.stops]
}

// zonesOf lists the zones of which a gang must be in one.
func (pl *planner) zonesOf(j *Job) []string {
	if j.Zone == "" && j.OneZone && len(j.Waiting) > 1 {
		return pl.zones(j)
	}
	return []string{j.Zone}
}

// zones lists all zones, the cheapest for a job first: the first that has room
// for a gang gets it, and its machines are then kept for that.
func (pl *planner) zones(j *Job) []string {
	price := make(map[string]float64)
	for i := range pl.Types {
		t := &pl.Types[i]
		for _, z := range t.Zones {
			if _, known := price[z]; !known {
				price[z] = math.Inf(1)
			}
			for _, spot := range []bool{false, true} {
				if o := (Offer{t.Name, z, spot}); allowed(j, o) && !pl.Refused[o] {
					price[z] = min(price[z], pl.price(t, spot, z)/float64((Amount{t.CPUs, t.GPUs, t.MemoryGB}).Slots(Of(j.Job))))
				}
			}
		}
	}
	return slices.SortedFunc(maps.Keys(price), func(a, b string) int {
		return cmp.Or(cmp.Compare(price[a], price[b]), cmp.Compare(a, b))
	})
}

// next finds where room will be soonest: where tasks are stopping already,
// where lesser work can be stopped, on a machine that boots, or on a new one.
func (s *search) next() *Machine {
	pl := s.pl
	if m := s.pacedRoom(); m != nil {
		return m
	}
	if m := pl.stoppingRoom(s.need, s.ok); m != nil {
		return m
	}
	if !s.noPreempt {
		if m := pl.preempt(s.j, s.need, s.ok); m != nil {
			return m
		}
		s.noPreempt = true
	}
	// A machine that boots was rented for work of its price: what another one
	// is cheaper for leaves it alone, or more would be rented for that work.
	offer, cost := s.offer()
	if m := s.bootingRoom(cost); m != nil {
		return m
	}
	if s.later = s.soon(); s.later {
		return nil
	}
	if math.IsInf(cost, 1) {
		if m := s.bootingRoom(cost); m != nil || s.j.Shape != wire.Gang {
			return m
		}
		return pl.reserve(s.need, s.ok)
	}
	if s.j.Shape == wire.Gang && pl.Doubted[offer] { // most likely there is none: hold room here as well
		if held := pl.reserve(s.need, s.ok); held != nil {
			return held
		}
	}
	return pl.rentFor(s.j, offer)
}

// bootingRoom finds room on a machine that boots, the cheapest first, up to
// what a task's share costs on one that would be rented.
func (s *search) bootingRoom(most float64) *Machine {
	s.price()
	for _, o := range s.cheap {
		if s.costs[o] > most*1.001 {
			return nil
		}
		list := s.pl.booting[o]
		for i := s.boot[o]; i < len(list); i++ {
			switch m := list[i]; {
			case m.Free.Fits(s.need) && s.ok(m):
				return m
			case i == s.boot[o]:
				s.boot[o]++
			}
		}
	}
	return nil
}

// price reckons what a task costs on each offer that has come up since it was
// last called.
func (s *search) price() {
	for o := len(s.costs); o < len(s.pl.offers); o++ {
		cost := math.Inf(1)
		if t := s.pl.types[s.pl.offers[o].Type]; t != nil && s.permits(o) {
			cost = s.pl.cost(s.j, t, s.pl.offers[o].Spot)
		}
		s.costs, s.boot = append(s.costs, cost), append(s.boot, 0)
		if s.permits(o) {
			at, _ := slices.BinarySearchFunc(s.cheap, cost, func(i int, c float64) int { return cmp.Or(cmp.Compare(s.costs[i], c), -1) })
			s.cheap = slices.Insert(s.cheap, at, o)
		}
	}
}

// reserve holds the machine that will soonest have room for a task of a gang,
// as its other tasks end; small tasks would take every gap before it.
func (pl *planner) reserve(need Amount, ok func(*Machine) bool) *Machine {
	var best *Machine
	soonest := time.Duration(math.MaxInt64)
	for _, m := range pl.usable {
		if pl.effort <= 0 {
			break
		}
		if !ok(m) {
			continue
		}
		pl.effort--
		if t := pl.roomIn(need, m); t < soonest {
			best, soonest = m, t
		}
	}
	return best
}

// roomIn tells after how long a machine should have room, as far as the
// estimates of its tasks can tell.
func (pl *planner) roomIn(need Amount, m *Machine) time.Duration {
	tasks := slices.Clone(m.Tasks)
	slices.SortStableFunc(tasks, func(a, b Task) int { return cmp.Compare(a.left(), b.left()) })
	room, after := m.Free, time.Duration(0)
	for _, t := range tasks {
		if room.Fits(need) {
			break
		}
		room, after = room.Plus(Of(t.Job.Job), 1), t.left()
	}
	if !room.Fits(need) {
		return math.MaxInt64
	}
	return after
}
