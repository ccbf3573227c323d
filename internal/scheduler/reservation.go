package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// A gang needs much room at once, and in a full fleet smaller work takes each bit as it
// comes free. So a gang that has waited for long gathers: it goes before all others of its
// standing, picks the zone in which it has the least to wait for, and holds there what is
// free and the machines that will soonest be. Nothing is remembered from round to round,
// nor from holder to holder: what was gathered is free, and so is the least to wait for.

// Those that have waited for a part of the bound gather, and hold a part of the fleet
// together at the most, but always one.
const (
	patience    = 4
	gatherShare = 0.25
	gatherMost  = 8
)

// waitedLong reports whether a job has waited for so long that it must not be passed over
// any more.
func (pl *planner) waitedLong(j *Job) bool {
	return pl.BeginWithin > 0 && j.Age+pl.fetch(j) >= pl.BeginWithin/patience
}

// elders marks the jobs that must not be passed over: those go first that have waited for the
// most, which counts for each of their tasks, since a larger one is passed over more often.
// Of a team whose limit leaves no room for its first gang, no other gathers: that would be
// in vain.
func (pl *planner) elders() {
	var waiting, arrays []*Job
	for _, j := range pl.Jobs {
		coAllocated := pl.Parts && !j.OneZone && j.Zone == "" && j.Elsewhere == 0 // from several parts, which tell what is free
		if j.Shape == wire.Gang && j.Priority != wire.Production && (len(j.Waiting) > 1 || j.Elsewhere > 0 && len(j.Waiting) > 0) && j.Active == 0 && !j.Ending && !coAllocated && pl.waitedLong(j) {
			waiting = append(waiting, j)
		}
		if j.Shape == wire.Array && j.Priority != wire.Production && len(j.Waiting) > 1 && !j.Ending && pl.waitedLong(j) {
			arrays = append(arrays, j)
		}
	}
	if len(waiting)+len(arrays) == 0 {
		return
	}
	var most Amount
	for _, m := range pl.usable {
		if t := pl.types[m.Type]; t != nil {
			most = most.Plus(Amount{t.CPUs, t.GPUs, t.MemoryGB}, gatherShare)
		}
	}
	pl.elderArrays(arrays, most, pl.elderGangs(waiting, most))
}

// byWait orders jobs by how long they have waited, which counts for each of their tasks.
func byWait(jobs []*Job) {
	weight := func(j *Job) float64 { return j.Age.Seconds() * float64(j.Tasks) }
	slices.SortStableFunc(jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Order, b.Order))
	})
}

// elderArrays has the largest arrays of each class that have waited for half the bound go
// behind the gangs that gather, and before all others: of what those leave, smaller work
// would take each bit before the last tasks of a large array. They take room as it comes,
// and hold none.
func (pl *planner) elderArrays(waiting []*Job, most Amount, turn int) {
	byWait(waiting)
	first, large, sum := turn, make(map[string]int), Amount{}
	for _, j := range waiting {
		large[j.Class] = max(large[j.Class], j.Tasks)
	}
	for _, j := range waiting {
		if j.Age < pl.BeginWithin/2 || j.Age >= pl.BeginWithin || 2*j.Tasks < large[j.Class] {
			continue // or has missed the bound: smaller ones would starve for nothing
		}
		if sum = sum.Plus(Of(j.Job), float64(len(j.Waiting))); turn > first && !most.Fits(sum) {
			return
		}
		turn++
		j.elder = turn
	}
}

// elderGangs picks the gangs that gather, and gives the last one's turn.
func (pl *planner) elderGangs(waiting []*Job, most Amount) (turn int) {
	byWait(waiting)
	// What has found no room for twice the bound may never find any, and must not keep others
	// from gathering for as long as it lives.
	slices.SortStableFunc(waiting, func(a, b *Job) int {
		return cmp.Compare(a.Age/(2*pl.BeginWithin), b.Age/(2*pl.BeginWithin))
	})
	var sum Amount
	teams := make(map[string]Amount)
	for _, j := range waiting {
		team, whole := pl.Teams[j.Team], Amount{}.Plus(Of(j.Job), float64(len(j.Waiting)))
		switch used, stuck := teams[j.Team]; {
		case team == nil, stuck && used == (Amount{}):
			continue
		case !team.allows(used.Plus(whole, 1)):
			if teams[j.Team] = (Amount{}); !pl.worthWaiting(j, whole) {
				continue
			}
		case len(pl.gathering) > 0 && !most.Fits(sum.Plus(whole, 1)), len(pl.gathering) == gatherMost:
			return turn
		default:
			teams[j.Team], sum = used.Plus(whole, 1), sum.Plus(whole, 1)
			pl.gathering = append(pl.gathering, j)
		}
		turn++
		j.elder = turn
	}
	return turn
}

// worthWaiting reports whether a team's limit will leave room for so much of a job that has
// waited for long, so that smaller work of the team is to wait for it: not beside services,
// which stay, and not where more urgent work has taken it for twice the bound.
func (pl *planner) worthWaiting(j *Job, a Amount) bool {
	if !pl.waitedLong(j) || j.Age >= 2*pl.BeginWithin {
		return false
	}
	t := *pl.Teams[j.Team]
	t.UsedCPUs, t.UsedGPUs = 0, 0
	pl.countStays()
	return t.allows(pl.stays[j.Team].Plus(a, 1))
}

// countStays sums what services take, by team.
func (pl *planner) countStays() {
	if pl.stays != nil {
		return
	}
	pl.stays = make(map[string]Amount)
	for _, other := range pl.Jobs {
		if other.Shape == wire.Service {
			pl.stays[other.Team] = pl.stays[other.Team].Plus(Of(other.Job), float64(other.Active+len(other.Waiting)))
		}
	}
}

// keep picks the machines that are gathered before anything is placed, so that what goes
// before the gangs takes other room where there is any.
func (pl *planner) keep() {
	at := pl.mark()
	for _, j := range pl.gathering {
		j.picks = pl.gather(j)
		for _, m := range j.picks {
			if m.kept == nil {
				m.kept = j
			}
			pl.occupy(j, m)
		}
	}
	pl.restore(at)
}

// keptFrom reports whether a machine is gathered for another job.
func (m *Machine) keptFrom(j *Job) bool { return m.kept != nil && m.kept != j && m.kept != j.rest }

// slot is room for one task on a machine, with what there is to wait for: the seconds until
// it is free, less where a part of it is free already.
type slot struct {
	*Machine
	wait float64
}

// nearest collects slots, of which only so many are asked for in the end.
type nearest struct {
	list  []slot
	most  int
	worst float64 // as far as there are enough better ones
}

func (s *nearest) add(next slot, all bool) {
	if next.wait >= s.worst {
		return
	}
	if s.list = append(s.list, next); all || len(s.list) < 4*s.most+64 {
		return
	}
	s.sort()
	s.list = s.list[:s.most]
	s.worst = s.list[s.most-1].wait
}

func (s *nearest) sort() {
	slices.SortStableFunc(s.list, func(a, b slot) int { return cmp.Compare(a.wait, b.wait) })
}

// gather picks the slots with the least to wait for, all in one zone where the gang must be.
// What could surely be rented sooner is left out.
func (pl *planner) gather(j *Job) []*Machine {
	zones, need := make(map[string]*nearest), Of(j.Job)
	add := func(m *Machine, wait float64) {
		zone := j.Zone
		if j.OneZone {
			zone = m.Zone
		}
		if zones[zone] == nil {
			zones[zone] = &nearest{most: len(j.Waiting), worst: math.Inf(1)}
		}
		zones[zone].add(slot{m, wait}, j.Spread)
	}
	may := make([]bool, len(pl.offers))
	for i, o := range pl.offers {
		may[i] = allowed(j, o)
		t := pl.types[o.Type]
		if t == nil || !may[i] {
			continue
		}
		for _, m := range pl.booting[i] {
			if m.ID == "" && pl.Doubted[o] {
				continue // what is asked for there will hardly come
			}
			for range min(m.Free.Slots(need), len(j.Waiting)) {
				add(m, t.BootS)
			}
		}
	}
	for _, m := range pl.usable {
		if may[m.offer] && !j.Avoid[m.ID] {
			pl.slots(need, len(j.Waiting), m, add)
		}
	}
	var best []slot
	least := math.Inf(1)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		boot := pl.bootIn(j, zone).Seconds()
		picks, sum := leastWait(j, zones[zone], boot)
		if lacks := len(j.Waiting) - len(picks); lacks > 0 && boot == 0 {
			continue
		} else if sum += boot * float64(lacks); sum < least {
			best, least = picks, sum
		}
	}
	out := make([]*Machine, len(best))
	for i, s := range best {
		out[i] = s.Machine
	}
	return out
}

// slots lists room for so many tasks on a machine as its tasks end, as far as their estimates can
// tell. What is free already of a slot counts more than when the rest will be: else it would
// be given up again for one that seems a little sooner.
func (pl *planner) slots(need Amount, most int, m *Machine, add func(*Machine, float64)) {
	room := m.Free
	n := min(max(0, room.Slots(need)), most)
	for range n {
		add(m, 0)
	}
	missing := room.Plus(need, -float64(n)).missing(need)
	for _, e := range pl.endsOf(m) {
		room = room.Plus(e.takes, 1)
		for ; n < min(room.Slots(need), most); n++ {
			add(m, e.after.Seconds()*missing*missing)
			missing = 1
		}
	}
}

// missing is the part of an amount that is not there, of whatever it lacks most.
func (a Amount) missing(need Amount) float64 {
	most := 0.0
	for _, p := range [][2]float64{{a.CPUs, need.CPUs}, {a.GPUs, need.GPUs}, {a.MemoryGB, need.MemoryGB}} {
		if p[1] > 0 {
			most = max(most, 1-p[0]/p[1])
		}
	}
	return min(most, 1)
}

// end is a task that will leave its room.
type end struct {
	takes Amount
	after time.Duration
}

// endsOf lists the tasks of a machine that should end, the next first.
func (pl *planner) endsOf(m *Machine) []end {
	if m.ends == nil {
		m.ends = make([]end, 0, len(m.Tasks))
		for _, t := range m.Tasks {
			if t.Stopping || t.Job.Shape != wire.Service {
				m.ends = append(m.ends, end{Of(t.Job.Job), t.left()})
			}
		}
		slices.SortStableFunc(m.ends, func(a, b end) int { return cmp.Compare(a.after, b.after) })
	}
	return m.ends
}

// leastWait picks slots for a gang, the soonest first, but for those that take longer than a
// boot where one can be had.
func leastWait(j *Job, from *nearest, boot float64) (picks []slot, sum float64) {
	from.sort()
	in := maps.Clone(j.InZone)
	for _, s := range from.list {
		if len(picks) == len(j.Waiting) || boot > 0 && s.wait > boot {
			break
		}
		if zoneOpen(j, in, s.Zone) {
			in[s.Zone]++
			picks = append(picks, s)
			sum += s.wait
		}
	}
	return picks, sum
}

// holdGathered holds what is gathered for a gang that finds no room yet, and has the rest
// rented where that can be.
func (pl *planner) holdGathered(j *Job) (picks []*Machine) {
	for _, zone := range pl.zonesOf(j) {
		if picks := pl.soonest(j, zone); picks != nil {
			return picks
		}
	}
	at, zone := pl.mark(), j.Zone
	for _, m := range j.picks {
		pl.occupy(j, m)
		if j.OneZone {
			zone = m.Zone
		}
	}
	if picks = slices.Clone(j.picks); len(picks) == len(j.Waiting) {
		return picks
	}
	s := pl.search(j, maps.Clone(j.InZone), zone)
	for _, m := range picks {
		s.in[m.Zone]++
	}
	for s.noPreempt = true; len(picks) < len(j.Waiting); {
		m := s.next()
		if m == nil {
			pl.restore(at)
			return nil
		}
		s.take(m)
		picks = append(picks, m)
	}
	return picks
}
