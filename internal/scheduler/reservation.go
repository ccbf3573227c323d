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
	reservationWaitDivisor = 4
	maxReservedShare       = 0.25
	maxReservingGangs      = 8
)

// earnsReservation reports whether a job has waited for so long that it must not be passed over
// any more.
func (pl *planner) earnsReservation(j *Job) bool {
	return pl.MaxGangWait > 0 && j.Age+pl.fetchTime(j) >= pl.MaxGangWait/reservationWaitDivisor
}

// assignReservationTurns marks the jobs that must not be passed over: those go first that have waited for the
// most, which counts for each of their tasks, since a larger one is passed over more often.
// Of a team whose limit leaves no room for its first gang, no other gathers: that would be
// in vain.
func (pl *planner) assignReservationTurns() {
	var waiting, arrays []*Job
	for _, j := range pl.Jobs {
		coAllocated := pl.Sharded && !j.OneZone && j.Zone == "" && j.RemoteTasks == 0 // from several parts, which tell what is free
		if j.Shape == wire.Gang && j.Priority != wire.Production && (len(j.Waiting) > 1 || j.RemoteTasks > 0 && len(j.Waiting) > 0) && j.Active == 0 && !j.Terminating && !coAllocated && pl.earnsReservation(j) {
			waiting = append(waiting, j)
		}
		if j.Shape == wire.Array && j.Priority != wire.Production && len(j.Waiting) > 1 && !j.Terminating && pl.earnsReservation(j) {
			arrays = append(arrays, j)
		}
	}
	if len(waiting)+len(arrays) == 0 {
		return
	}
	var most Resources
	for _, m := range pl.usable {
		if t := pl.types[m.Type]; t != nil {
			most = most.AddScaled(Resources{t.CPUs, t.GPUs, t.MemoryGB}, maxReservedShare)
		}
	}
	pl.prioritizeArrays(arrays, most, pl.selectReservingGangs(waiting, most))
}

// sortByWait orders jobs by how long they have waited, which counts for each of their tasks.
func sortByWait(jobs []*Job) {
	weight := func(j *Job) float64 { return j.Age.Seconds() * float64(j.Tasks) }
	slices.SortStableFunc(jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Order, b.Order))
	})
}

// prioritizeArrays has the largest arrays of each class that have waited for half the bound go
// behind the gangs that gather, and before all others: of what those leave, smaller work
// would take each bit before the last tasks of a large array. They take room as it comes,
// and hold none.
func (pl *planner) prioritizeArrays(waiting []*Job, most Resources, turn int) {
	sortByWait(waiting)
	first, large, sum := turn, make(map[string]int), Resources{}
	for _, j := range waiting {
		large[j.Class] = max(large[j.Class], j.Tasks)
	}
	for _, j := range waiting {
		if j.Age < pl.MaxGangWait/2 || j.Age >= pl.MaxGangWait || 2*j.Tasks < large[j.Class] {
			continue // or has missed the bound: smaller ones would starve for nothing
		}
		if sum = sum.AddScaled(ResourcesOf(j.Job), float64(len(j.Waiting))); turn > first && !most.Fits(sum) {
			return
		}
		turn++
		j.reservationTurn = turn
	}
}

// selectReservingGangs picks the gangs that gather, and gives the last one's turn.
func (pl *planner) selectReservingGangs(waiting []*Job, most Resources) (turn int) {
	sortByWait(waiting)
	// What has found no room for twice the bound may never find any, and must not keep others
	// from gathering for as long as it lives.
	slices.SortStableFunc(waiting, func(a, b *Job) int {
		return cmp.Compare(a.Age/(2*pl.MaxGangWait), b.Age/(2*pl.MaxGangWait))
	})
	var sum Resources
	teams := make(map[string]Resources)
	for _, j := range waiting {
		team, whole := pl.Teams[j.Team], Resources{}.AddScaled(ResourcesOf(j.Job), float64(len(j.Waiting)))
		switch used, stuck := teams[j.Team]; {
		case team == nil, stuck && used == (Resources{}):
			continue
		case !team.allows(used.AddScaled(whole, 1)):
			if teams[j.Team] = (Resources{}); !pl.worthReservingQuota(j, whole) {
				continue
			}
		case len(pl.reservingGangs) > 0 && !most.Fits(sum.AddScaled(whole, 1)), len(pl.reservingGangs) == maxReservingGangs:
			return turn
		default:
			teams[j.Team], sum = used.AddScaled(whole, 1), sum.AddScaled(whole, 1)
			pl.reservingGangs = append(pl.reservingGangs, j)
		}
		turn++
		j.reservationTurn = turn
	}
	return turn
}

// worthReservingQuota reports whether a team's limit will leave room for so much of a job that has
// waited for long, so that smaller work of the team is to wait for it: not beside services,
// which stay, and not where more urgent work has taken it for twice the bound.
func (pl *planner) worthReservingQuota(j *Job, a Resources) bool {
	if !pl.earnsReservation(j) || j.Age >= 2*pl.MaxGangWait {
		return false
	}
	t := *pl.Teams[j.Team]
	t.UsedCPUs, t.UsedGPUs = 0, 0
	pl.countServiceUsage()
	return t.allows(pl.serviceUsage[j.Team].AddScaled(a, 1))
}

// countServiceUsage sums what services take, by team.
func (pl *planner) countServiceUsage() {
	if pl.serviceUsage != nil {
		return
	}
	pl.serviceUsage = make(map[string]Resources)
	for _, other := range pl.Jobs {
		if other.Shape == wire.Service {
			pl.serviceUsage[other.Team] = pl.serviceUsage[other.Team].AddScaled(ResourcesOf(other.Job), float64(other.Active+len(other.Waiting)))
		}
	}
}

// reserveMachines picks the machines that are gathered before anything is placed, so that what goes
// before the gangs takes other room where there is any.
func (pl *planner) reserveMachines() {
	at := pl.savepoint()
	for _, j := range pl.reservingGangs {
		j.reservedMachines = pl.selectReservation(j)
		for _, m := range j.reservedMachines {
			if m.reservedFor == nil {
				m.reservedFor = j
			}
			pl.occupy(j, m)
		}
	}
	pl.rollback(at)
}

// reservedForOther reports whether a machine is gathered for another job.
func (m *Machine) reservedForOther(j *Job) bool {
	return m.reservedFor != nil && m.reservedFor != j && m.reservedFor != j.remainder
}

// slot is room for one task on a machine, with what there is to wait for: the seconds until
// it is free, less where a part of it is free already.
type slot struct {
	*Machine
	wait float64
}

// slotList collects slots, of which only so many are asked for in the end.
type slotList struct {
	list   []slot
	wanted int
	cutoff float64 // as far as there are enough better ones
}

func (s *slotList) add(next slot, all bool) {
	if next.wait >= s.cutoff {
		return
	}
	if s.list = append(s.list, next); all || len(s.list) < 4*s.wanted+64 {
		return
	}
	s.sort()
	s.list = s.list[:s.wanted]
	s.cutoff = s.list[s.wanted-1].wait
}

func (s *slotList) sort() {
	slices.SortStableFunc(s.list, func(a, b slot) int { return cmp.Compare(a.wait, b.wait) })
}

// selectReservation picks the slots with the least to wait for, all in one zone where the gang must be.
// What could surely be rented sooner is left out.
func (pl *planner) selectReservation(j *Job) []*Machine {
	zones, need := make(map[string]*slotList), ResourcesOf(j.Job)
	add := func(m *Machine, wait float64) {
		zone := j.Zone
		if j.OneZone {
			zone = m.Zone
		}
		if zones[zone] == nil {
			zones[zone] = &slotList{wanted: len(j.Waiting), cutoff: math.Inf(1)}
		}
		zones[zone].add(slot{m, wait}, j.Spread)
	}
	may := make([]bool, len(pl.offers))
	for i, o := range pl.offers {
		may[i] = allowsOffer(j, o)
		t := pl.types[o.Type]
		if t == nil || !may[i] {
			continue
		}
		for _, m := range pl.booting[i] {
			if m.ID == "" && pl.Doubtful[o] {
				continue // what is asked for there will hardly come
			}
			for range min(m.Free.Slots(need), len(j.Waiting)) {
				add(m, t.BootS)
			}
		}
	}
	for _, m := range pl.usable {
		if may[m.offerIndex] && !j.AvoidMachines[m.ID] {
			pl.futureSlots(need, len(j.Waiting), m, add)
		}
	}
	var best []slot
	least := math.Inf(1)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		boot := pl.bootTimeIn(j, zone).Seconds()
		picks, sum := pickLeastWait(j, zones[zone], boot)
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

// futureSlots lists room for so many tasks on a machine as its tasks end, as far as their estimates can
// tell. What is free already of a slot counts more than when the rest will be: else it would
// be given up again for one that seems a little sooner.
func (pl *planner) futureSlots(need Resources, most int, m *Machine, add func(*Machine, float64)) {
	room := m.Free
	n := min(max(0, room.Slots(need)), most)
	for range n {
		add(m, 0)
	}
	missing := room.AddScaled(need, -float64(n)).shortfall(need)
	for _, e := range pl.taskEndsOf(m) {
		room = room.AddScaled(e.frees, 1)
		for ; n < min(room.Slots(need), most); n++ {
			add(m, e.after.Seconds()*missing*missing)
			missing = 1
		}
	}
}

// shortfall is the part of an amount that is not there, of whatever it lacks most.
func (a Resources) shortfall(need Resources) float64 {
	most := 0.0
	for _, p := range [][2]float64{{a.CPUs, need.CPUs}, {a.GPUs, need.GPUs}, {a.MemoryGB, need.MemoryGB}} {
		if p[1] > 0 {
			most = max(most, 1-p[0]/p[1])
		}
	}
	return min(most, 1)
}

// taskEnd is a task that will leave its room.
type taskEnd struct {
	frees Resources
	after time.Duration
}

// taskEndsOf lists the tasks of a machine that should end, the next first.
func (pl *planner) taskEndsOf(m *Machine) []taskEnd {
	if m.taskEnds == nil {
		m.taskEnds = make([]taskEnd, 0, len(m.Tasks))
		for _, t := range m.Tasks {
			if t.Stopping || t.Job.Shape != wire.Service {
				m.taskEnds = append(m.taskEnds, taskEnd{ResourcesOf(t.Job.Job), t.remaining()})
			}
		}
		slices.SortStableFunc(m.taskEnds, func(a, b taskEnd) int { return cmp.Compare(a.after, b.after) })
	}
	return m.taskEnds
}

// pickLeastWait picks slots for a gang, the soonest first, but for those that take longer than a
// boot where one can be had.
func pickLeastWait(j *Job, from *slotList, boot float64) (picks []slot, sum float64) {
	from.sort()
	in := maps.Clone(j.InZone)
	for _, s := range from.list {
		if len(picks) == len(j.Waiting) || boot > 0 && s.wait > boot {
			break
		}
		if zoneAllowed(j, in, s.Zone) {
			in[s.Zone]++
			picks = append(picks, s)
			sum += s.wait
		}
	}
	return picks, sum
}

// holdReservation holds what is gathered for a gang that finds no room yet, and has the rest
// rented where that can be.
func (pl *planner) holdReservation(j *Job) (picks []*Machine) {
	for _, zone := range pl.candidateZones(j) {
		if picks := pl.placeOnRunning(j, zone); picks != nil {
			return picks
		}
	}
	at, zone := pl.savepoint(), j.Zone
	for _, m := range j.reservedMachines {
		pl.occupy(j, m)
		if j.OneZone {
			zone = m.Zone
		}
	}
	if picks = slices.Clone(j.reservedMachines); len(picks) == len(j.Waiting) {
		return picks
	}
	s := pl.newSearch(j, maps.Clone(j.InZone), zone)
	for _, m := range picks {
		s.tasksByZone[m.Zone]++
	}
	for s.noPreempt = true; len(picks) < len(j.Waiting); {
		m := s.soonestMachine()
		if m == nil {
			pl.rollback(at)
			return nil
		}
		s.place(m)
		picks = append(picks, m)
	}
	return picks
}
