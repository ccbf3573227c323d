// Package sched chooses what runs where: a pure function from a picture of the
// fleet to launches, stops, rentals and releases. It does no I/O, reads no
// clock, and goes through everything in a fixed order.
package sched

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Amount is what a task takes or a machine has.
type Amount struct{ CPUs, GPUs, MemoryGB float64 }

// Of is what one task of a job takes.
func Of(j *wire.Job) Amount { return Amount{j.CPUs, j.GPUs, j.MemoryGB} }

// Plus adds, n times.
func (a Amount) Plus(b Amount, n float64) Amount {
	return Amount{a.CPUs + n*b.CPUs, a.GPUs + n*b.GPUs, a.MemoryGB + n*b.MemoryGB}
}

// Fits reports whether b fits into a.
func (a Amount) Fits(b Amount) bool {
	const dust = 1e-6
	return b.CPUs <= a.CPUs+dust && b.GPUs <= a.GPUs+dust && b.MemoryGB <= a.MemoryGB+dust
}

// Slots is how many times b fits into a.
func (a Amount) Slots(b Amount) int {
	n := math.Inf(1)
	for _, p := range [][2]float64{{a.CPUs, b.CPUs}, {a.GPUs, b.GPUs}, {a.MemoryGB, b.MemoryGB}} {
		if p[1] > 0 {
			n = min(n, math.Floor(p[0]/p[1]+1e-6))
		}
	}
	return int(min(n, wire.MaxTasks))
}

// Task is a task on a machine.
type Task struct {
	Job      *Job
	Index    int
	Ran      time.Duration // since it was seen running
	Stopping bool
}

// Machine is a machine as the choice sees it.
type Machine struct {
	ID, Type, Zone string
	Spot           bool
	Usable         bool // may be launched on now
	Booting        bool
	Free           Amount
	Images         map[string]bool
	Tasks          []Task
	Idle           time.Duration // without any task, 0 while it has one
	taken          bool          // by the plan being made
}

// Job is an unfinished job.
type Job struct {
	*wire.Job
	Age     time.Duration
	Order   uint64
	Waiting []int // tasks that are nowhere and may be placed
	InZone  map[string]int
	Active  int
	Ending  bool            // a gang of which tasks are still to leave
	Avoid   map[string]bool // machines on which it failed

	guaranteed bool
	place      int           // in the order in which jobs get room
	slack      time.Duration // until it must start to meet the next aim
}

// Objective is an aim of the users for a class of jobs: that they start, or
// are finished, within a time.
type Objective struct {
	Kind, Class string
	Within      time.Duration
}

// The kinds of objectives.
const (
	StartWithin     = "wait"
	FinishWithin    = "finished"
	GuaranteeWithin = "guarantee"
)

// Team is what a team is guaranteed, may use at most, and uses. A limit of 0
// means none.
type Team struct {
	CPUs, GPUs, CPUsMax, GPUsMax float64
	UsedCPUs, UsedGPUs           float64
}

func (t *Team) allows(a Amount) bool {
	const dust = 1e-6
	return (t.CPUsMax == 0 || t.UsedCPUs+a.CPUs <= t.CPUsMax+dust) && (t.GPUsMax == 0 || t.UsedGPUs+a.GPUs <= t.GPUsMax+dust)
}

func (t *Team) use(a Amount) { t.UsedCPUs += a.CPUs; t.UsedGPUs += a.GPUs }

// Offer is a type of machine in a zone, ordinary or spot.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// Picture is all that the choice depends on.
type Picture struct {
	Machines []*Machine
	Jobs     []*Job
	Teams    map[string]*Team
	Types    []wire.MachineType
	Aims     []Objective
	Refused  map[Offer]bool // offers that the cloud refused a while ago
	Doubted  map[Offer]bool // offers that it refused when they were last asked for
	Idle     time.Duration  // after which an idle machine is returned
	Tasks    int            // that may be launched in this round
}

// Launch places a task. Launches of a gang come together.
type Launch struct {
	Job     *Job
	Index   int
	Machine string
}

// Stop ends a task to make room.
type Stop struct {
	Job     *Job
	Index   int
	Machine string
	Why     string
}

// Rent asks for machines.
type Rent struct {
	Offer
	Count int
}

// Plan is what to do.
type Plan struct {
	Launches []Launch
	Stops    []Stop
	Rents    []Rent
	Releases []string
}

// planner carries a plan in the making.
type planner struct {
	*Picture
	plan  Plan
	types map[string]*wire.MachineType
	kinds []kind
	fresh []*Machine // hypothetical machines that would be rented
}

// Choose makes the plan for a picture, whose machines and teams it changes.
func Choose(p *Picture) Plan {
	pl := &planner{Picture: p, types: make(map[string]*wire.MachineType)}
	for i := range p.Types {
		pl.types[p.Types[i].Name] = &p.Types[i]
	}
	pl.order()
	pl.value()
	for _, j := range p.Jobs {
		if len(j.Waiting) == 0 || j.Ending {
			continue
		}
		if j.Shape == wire.Gang {
			pl.gang(j)
		} else {
			pl.single(j)
		}
	}
	pl.rent()
	pl.release()
	return pl.plan
}

// order sorts the jobs: production first, then what a team is guaranteed, then
// priority, then the time that is left to meet the aims.
func (pl *planner) order() {
	slices.SortFunc(pl.Jobs, func(a, b *Job) int { return cmp.Compare(a.Order, b.Order) })
	sum := make(map[string]Amount)
	for _, j := range pl.Jobs {
		t := pl.Teams[j.Team]
		if t == nil {
			continue
		}
		sum[j.Team] = sum[j.Team].Plus(Of(j.Job), float64(len(j.Waiting)+j.Active))
		s := sum[j.Team]
		j.guaranteed = t.CPUs+t.GPUs > 0 && (t.CPUs == 0 || s.CPUs <= t.CPUs) && (t.GPUs == 0 || s.GPUs <= t.GPUs)
	}
	class := func(j *Job) int {
		switch {
		case j.Priority == wire.Production:
			return 0
		case j.guaranteed:
			return 1
		}
		return 2
	}
	// An aim counts by class, however many jobs the class has: the jobs of a
	// rare one weigh more.
	count, most := make(map[string]int), 1
	for _, j := range pl.Jobs {
		count[j.Class]++
		most = max(most, count[j.Class])
	}
	for _, j := range pl.Jobs {
		j.slack = pl.slackOf(j) * time.Duration(count[j.Class]) / time.Duration(most)
	}
	slices.SortStableFunc(pl.Jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(b.Priority.Rank(), a.Priority.Rank()), cmp.Compare(a.slack, b.slack), cmp.Compare(a.Order, b.Order))
	})
	for i, j := range pl.Jobs {
		j.place = i
	}
}

// slackOf tells how long a job can still wait without missing the next aim
// that it can meet. A job that has missed them all makes room for those that
// have not, but comes closer to the front the longer it waits.
func (pl *planner) slackOf(j *Job) time.Duration {
	const late = 45 * time.Second
	best, missed := time.Duration(math.MaxInt64), time.Duration(0)
	for _, o := range pl.Aims {
		need := pl.fetch(j) + 3*time.Second
		switch {
		case o.Kind == GuaranteeWithin && j.guaranteed, o.Kind == StartWithin && o.Class == j.Class:
		case o.Kind == FinishWithin && o.Class == j.Class:
			need += j.Estimate() * 11 / 10
		default:
			continue
		}
		if slack := o.Within - j.Age - need; slack >= 0 {
			best = min(best, slack)
		} else {
			missed = max(missed, -slack)
		}
	}
	if best == math.MaxInt64 {
		best = late - missed/4
		if missed == 0 {
			best -= j.Age / 4
		}
	}
	return best
}

// fetch is how long a machine takes to fetch a job's image, at the rate of the
// slowest type.
func (pl *planner) fetch(j *Job) time.Duration {
	var longest float64
	for _, t := range pl.Types {
		if t.FetchGBps > 0 {
			longest = max(longest, j.ImageGB/t.FetchGBps)
		}
	}
	return wire.Seconds(longest)
}

// kind is what the tasks of a class take on the average, with what one is
// worth: its share of the cheapest machine, by how many there are.
type kind struct {
	need  Amount
	tasks float64
	worth float64
}

// value sets what the room on a machine is worth to the work at hand.
func (pl *planner) value() {
	byClass := make(map[string]*kind)
	for _, j := range pl.Jobs {
		k := byClass[j.Class]
		if k == nil {
			k = &kind{}
			byClass[j.Class] = k
		}
		n := float64(len(j.Waiting) + j.Active)
		k.need, k.tasks = k.need.Plus(Of(j.Job), n), k.tasks+n
	}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		k := byClass[class]
		if k.tasks == 0 {
			continue
		}
		k.need = Amount{}.Plus(k.need, 1/k.tasks)
		k.worth = math.Inf(1)
		for _, t := range pl.Types {
			if n := (Amount{t.CPUs, t.GPUs, t.MemoryGB}).Slots(k.need); n > 0 {
				k.worth = min(k.worth, t.Price/float64(n))
			}
		}
		if !math.IsInf(k.worth, 1) {
			pl.kinds = append(pl.kinds, *k)
		}
	}
}

// worth tells what room is worth to the work at hand. Counting each kind by
// itself shows what a task spoils: memory gone from beside idle GPUs, or a
// small machine that only small work can use.
func (pl *planner) worth(room Amount) float64 {
	sum := 0.0
	for _, k := range pl.kinds {
		sum += k.tasks * k.worth * float64(max(0, room.Slots(k.need)))
	}
	return sum
}

// spoils tells what placing a task takes from the worth of a machine's room.
func (pl *planner) spoils(m *Machine, need Amount) float64 {
	return pl.worth(m.Free) - pl.worth(m.Free.Plus(need, -1))
}

// allowed reports whether a job's tasks may ever be on such a machine.
func (pl *planner) allowed(j *Job, typ, zone string, spot bool) bool {
	return (len(j.Types) == 0 || slices.Contains(j.Types, typ)) && (j.Zone == "" || j.Zone == zone) && (j.Spot || !spot)
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

// single places the tasks of an array or a service one by one.
func (pl *planner) single(j *Job) {
	team, need := pl.Teams[j.Team], Of(j.Job)
	waiting := j.Waiting
	for len(waiting) > 0 && pl.Tasks > 0 {
		if team == nil || !team.allows(need) {
			return
		}
		m := pl.companion(j, need, j.InZone)
		if m == nil {
			break
		}
		if !m.Images[j.Image] {
			if soon := pl.nearImage(j, need); soon != nil {
				pl.occupy(j, soon)
				j.InZone[soon.Zone]++
				team.use(need)
				waiting = waiting[1:]
				continue
			}
		}
		pl.launch(j, waiting[0], m)
		team.use(need)
		waiting = waiting[1:]
	}
	for range waiting {
		if !team.allows(need) {
			return
		}
		zone, found := pl.await(j, need, j.InZone)
		if !found {
			return
		}
		team.use(need)
		j.InZone[zone]++
	}
}

// longFetch is a fetch that takes longer than lesser work takes to end.
const longFetch = 6 * time.Second

// nearImage makes room for a production task where its image is, rather than
// have it wait for a long fetch beside others; nil means that there is none.
// Its replicas would be away for that fetch, which is longer still when
// several images come to one machine at once.
func (pl *planner) nearImage(j *Job, need Amount) *Machine {
	if j.Priority != wire.Production || pl.fetch(j) < longFetch {
		return nil
	}
	ok := func(m *Machine) bool {
		return m.Images[j.Image] && !j.Avoid[m.ID] && pl.allowed(j, m.Type, m.Zone, m.Spot) && zoneOpen(j, j.InZone, m.Zone)
	}
	if m := pl.stoppingRoom(need, ok); m != nil {
		return m
	}
	return pl.preempt(j, need, ok)
}

// stoppingRoom finds a machine that has room once what is stopping is gone.
func (pl *planner) stoppingRoom(need Amount, ok func(*Machine) bool) *Machine {
	for _, m := range pl.Machines {
		if m.Usable && ok(m) && m.Free.Plus(stopping(m), 1).Fits(need) {
			return m
		}
	}
	return nil
}

func (pl *planner) launch(j *Job, index int, m *Machine) {
	pl.plan.Launches = append(pl.plan.Launches, Launch{j, index, m.ID})
	pl.Tasks--
	pl.occupy(j, m)
	j.InZone[m.Zone]++
}

func (pl *planner) occupy(j *Job, m *Machine) {
	m.Free = m.Free.Plus(Of(j.Job), -1)
	m.taken = true
	if m.Images == nil {
		m.Images = make(map[string]bool)
	}
	m.Images[j.Image] = true
}

// companion picks the machine for a task: one that holds the image or fetches
// it, else the roomiest of a zone. Among holders the one is taken whose room is
// spoilt least, and among zones the one whose roomiest machine is the fullest.
func (pl *planner) companion(j *Job, need Amount, in map[string]int) *Machine {
	var holder *Machine
	var least float64
	roomiest := make(map[string]*Machine)
	for _, m := range pl.Machines {
		if !m.Usable || j.Avoid[m.ID] || !m.Free.Fits(need) || !pl.allowed(j, m.Type, m.Zone, m.Spot) || !zoneOpen(j, in, m.Zone) {
			continue
		}
		if m.Images[j.Image] {
			if c := pl.spoils(m, need); holder == nil || better(j, m, holder, c, least) {
				holder, least = m, c
			}
		}
		if r := roomiest[m.Zone]; r == nil || fuller(j, r, m) {
			roomiest[m.Zone] = m
		}
	}
	if holder != nil {
		return holder
	}
	var best *Machine
	for _, zone := range slices.Sorted(maps.Keys(roomiest)) {
		m := roomiest[zone]
		if best == nil || in[zone] < in[best.Zone] && j.Spread || in[zone] == in[best.Zone] && fuller(j, m, best) {
			best = m
		}
	}
	return best
}

// better reports whether a, which would spoil room worth ca, is to be taken
// rather than b.
func better(j *Job, a, b *Machine, ca, cb float64) bool {
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	if math.Abs(ca-cb) > 1e-6*(ca+cb) {
		return ca < cb
	}
	return fuller(j, a, b)
}

// fuller reports whether a is the better of two machines for keeping others
// free: cheap ones first where the job may, then the one with less room.
func fuller(j *Job, a, b *Machine) bool {
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	return cmp.Or(cmp.Compare(a.Free.GPUs, b.Free.GPUs), cmp.Compare(a.Free.CPUs, b.Free.CPUs), cmp.Compare(a.ID, b.ID)) < 0
}

// gang places all waiting tasks of a gang, or none.
func (pl *planner) gang(j *Job) {
	team, need := pl.Teams[j.Team], Of(j.Job)
	whole := Amount{}.Plus(need, float64(len(j.Waiting)))
	if team == nil || !team.allows(whole) || j.Active > 0 {
		return
	}
	if pl.Tasks >= len(j.Waiting) {
		if picks := pl.together(j, need, pl.companion); picks != nil {
			for i, m := range picks {
				pl.plan.Launches = append(pl.plan.Launches, Launch{j, j.Waiting[i], m.ID})
				j.InZone[m.Zone]++
			}
			pl.Tasks -= len(picks)
			team.use(whole)
			return
		}
	}
	// Not now: hold room for it on what stops, boots or is to be rented.
	if pl.together(j, need, pl.next) != nil {
		team.use(whole)
	}
}

// together finds machines for all waiting tasks of a gang and occupies them,
// or leaves everything as it was.
func (pl *planner) together(j *Job, need Amount, pick func(*Job, Amount, map[string]int) *Machine) []*Machine {
	zones := []string{j.Zone}
	if j.Zone == "" && j.OneZone && len(j.Waiting) > 1 {
		zones = pl.zones()
	}
	for _, zone := range zones {
		in := maps.Clone(j.InZone)
		saved, fresh, stops := pl.save(), len(pl.fresh), len(pl.plan.Stops)
		was := j.Zone
		j.Zone = zone
		var picks []*Machine
		for range j.Waiting {
			m := pick(j, need, in)
			if m == nil {
				break
			}
			pl.occupy(j, m)
			in[m.Zone]++
			picks = append(picks, m)
		}
		j.Zone = was
		if len(picks) == len(j.Waiting) {
			return picks
		}
		pl.restore(saved)
		pl.fresh, pl.plan.Stops = pl.fresh[:fresh], pl.plan.Stops[:stops]
	}
	return nil
}

func (pl *planner) zones() []string {
	set := make(map[string]bool)
	for _, t := range pl.Types {
		for _, z := range t.Zones {
			set[z] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// save and restore keep the room of all machines around a try.
func (pl *planner) save() []Machine {
	var out []Machine
	for _, m := range append(slices.Clone(pl.Machines), pl.fresh...) {
		c := *m
		c.Images, c.Tasks = maps.Clone(m.Images), slices.Clone(m.Tasks)
		out = append(out, c)
	}
	return out
}

func (pl *planner) restore(saved []Machine) {
	for i, m := range append(slices.Clone(pl.Machines), pl.fresh...) {
		if i < len(saved) {
			*m = saved[i]
		}
	}
}

// await reserves room for a task that can't be placed now.
func (pl *planner) await(j *Job, need Amount, in map[string]int) (zone string, found bool) {
	m := pl.next(j, need, in)
	if m == nil {
		return "", false
	}
	pl.occupy(j, m)
	return m.Zone, true
}

// next finds where room will be soonest: where tasks are stopping already,
// where lesser work can be stopped, on a machine that boots, or on a new one.
func (pl *planner) next(j *Job, need Amount, in map[string]int) *Machine {
	ok := func(m *Machine) bool {
		return !j.Avoid[m.ID] && pl.allowed(j, m.Type, m.Zone, m.Spot) && zoneOpen(j, in, m.Zone)
	}
	if m := pl.stoppingRoom(need, ok); m != nil {
		return m
	}
	if m := pl.preempt(j, need, ok); m != nil {
		return m
	}
	for _, m := range slices.Concat(pl.Machines, pl.fresh) {
		if m.Booting && ok(m) && m.Free.Fits(need) {
			return m
		}
	}
	m := pl.newMachine(j, need, in)
	if j.Shape != wire.Gang || m != nil && !pl.Doubted[Offer{m.Type, m.Zone, m.Spot}] {
		return m
	}
	// Nothing can be rented, or most likely not: hold room here as well.
	if held := pl.reserve(need, ok); held != nil {
		return held
	}
	return m
}

// reserve holds the machine that will soonest have room for a task of a gang,
// as its other tasks end; small tasks would take every gap before it.
func (pl *planner) reserve(need Amount, ok func(*Machine) bool) *Machine {
	var best *Machine
	soonest := time.Duration(math.MaxInt64)
	for _, m := range pl.Machines {
		if !m.Usable || !ok(m) {
			continue
		}
		if t := pl.roomIn(need, m); t < soonest {
			best, soonest = m, t
		}
	}
	return best
}

// roomIn tells after how long a machine should have room, as far as the
// estimates of its tasks can tell.
func (pl *planner) roomIn(need Amount, m *Machine) time.Duration {
	left := func(t Task) time.Duration {
		switch {
		case t.Stopping:
			return 0
		case t.Job.Shape == wire.Service:
			return math.MaxInt64
		}
		return max(t.Job.Estimate()-t.Ran, 5*time.Second)
	}
	tasks := slices.Clone(m.Tasks)
	slices.SortStableFunc(tasks, func(a, b Task) int { return cmp.Compare(left(a), left(b)) })
	room, after := m.Free, time.Duration(0)
	for _, t := range tasks {
		if room.Fits(need) {
			break
		}
		room, after = room.Plus(Of(t.Job.Job), 1), left(t)
	}
	if !room.Fits(need) {
		return math.MaxInt64
	}
	return after
}

// stopping is the room that tasks which are being stopped will leave.
func stopping(m *Machine) Amount {
	var sum Amount
	for _, t := range m.Tasks {
		if t.Stopping {
			sum = sum.Plus(Of(t.Job.Job), 1)
		}
	}
	return sum
}

// mayPreempt reports whether the protocol lets a job stop another's task:
// lesser priority, or work beyond a team's own guarantee for one within it.
// What would get the room again before the job does is left alone, or the two
// would chase each other for ever.
func (pl *planner) mayPreempt(j, victim *Job) bool {
	if victim.place < j.place {
		return false
	}
	if victim.Priority.Rank() < j.Priority.Rank() {
		return true
	}
	t := pl.Teams[victim.Team]
	return j.guaranteed && victim.Team != j.Team && victim.Shape != wire.Service && t != nil &&
		(t.GPUs > 0 && t.UsedGPUs-victim.GPUs >= t.GPUs || t.GPUs == 0 && t.CPUs == 0)
}

// preempt stops the work that loses least on one machine, so that a task fits.
func (pl *planner) preempt(j *Job, need Amount, ok func(*Machine) bool) *Machine {
	var best *Machine
	var victims []int
	cost := math.Inf(1)
	for _, m := range pl.Machines {
		if !m.Usable || !ok(m) {
			continue
		}
		v, c := pl.victims(j, need, m)
		if !m.Images[j.Image] { // the room stands empty while the image comes
			c += pl.fetch(j).Seconds() * (need.GPUs + need.CPUs/16)
		}
		if v != nil && c < cost {
			best, victims, cost = m, v, c
		}
	}
	if best == nil {
		return nil
	}
	for _, i := range victims {
		t := &best.Tasks[i]
		t.Stopping = true
		pl.plan.Stops = append(pl.plan.Stops, Stop{t.Job, t.Index, best.ID, "room for " + j.ID})
	}
	return best
}

func (pl *planner) victims(j *Job, need Amount, m *Machine) (picked []int, cost float64) {
	room := m.Free.Plus(stopping(m), 1)
	order := make([]int, 0, len(m.Tasks))
	for i, t := range m.Tasks {
		if !t.Stopping && pl.mayPreempt(j, t.Job) {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(loss(m.Tasks[a]), loss(m.Tasks[b])) })
	for _, i := range order {
		if room.Fits(need) {
			break
		}
		room = room.Plus(Of(m.Tasks[i].Job.Job), 1)
		picked = append(picked, i)
		cost += loss(m.Tasks[i])
	}
	if !room.Fits(need) {
		return nil, 0
	}
	return picked, cost
}

// loss is what stopping a task wastes, in seconds of GPUs and CPUs.
func loss(t Task) float64 {
	lost := t.Ran.Seconds()
	if t.Job.CheckpointS > 0 {
		lost = min(lost, t.Job.SaveS)
	}
	return (lost + 5) * (t.Job.GPUs + t.Job.CPUs/16) * float64(max(1, t.Job.Active))
}

// newMachine adds a hypothetical machine: the cheapest offer for the task,
// counting the price of the share that the job can fill.
func (pl *planner) newMachine(j *Job, need Amount, in map[string]int) *Machine {
	var best *Machine
	price := math.Inf(1)
	count := make(map[string]int)
	for _, m := range slices.Concat(pl.Machines, pl.fresh) {
		count[m.Zone]++
	}
	for i := range pl.Types {
		t := &pl.Types[i]
		size := Amount{t.CPUs, t.GPUs, t.MemoryGB}
		slots := min(size.Slots(need), len(j.Waiting))
		if slots == 0 {
			continue
		}
		for _, spot := range []bool{true, false} {
			for _, zone := range t.Zones {
				if pl.Refused[Offer{t.Name, zone, spot}] || !pl.allowed(j, t.Name, zone, spot) || !zoneOpen(j, in, zone) {
					continue
				}
				p := t.Price
				if spot {
					p = t.SpotPrice
				}
				// The share of the machine that the job leaves empty is mostly
				// of use to others: count half of it.
				full := float64(size.Slots(need))
				p = p/full + 0.5*(p/float64(slots)-p/full)
				p *= 1 + 0.01*float64(count[zone]) // spread over zones
				if p < price {
					price = p
					best = &Machine{Type: t.Name, Zone: zone, Spot: spot, Booting: true, Free: size}
				}
			}
		}
	}
	if best != nil {
		pl.fresh = append(pl.fresh, best)
	}
	return best
}

func (pl *planner) rent() {
	counts := make(map[Offer]int)
	var order []Offer
	for _, m := range pl.fresh {
		o := Offer{m.Type, m.Zone, m.Spot}
		if counts[o] == 0 {
			order = append(order, o)
		}
		counts[o]++
	}
	for _, o := range order {
		pl.plan.Rents = append(pl.plan.Rents, Rent{o, counts[o]})
	}
}

// release returns machines that have been idle for long, but keeps room for
// the next service that comes.
func (pl *planner) release() {
	for _, m := range pl.Machines {
		if !m.taken && m.Usable && len(m.Tasks) == 0 && m.Idle > pl.Idle && pl.spare(m) {
			m.Usable = false
			pl.plan.Releases = append(pl.plan.Releases, m.ID)
		}
	}
}

// spare reports whether every class of services still finds room for one more
// task when a machine is gone.
func (pl *planner) spare(without *Machine) bool {
	asked := make(map[string]bool)
	for _, j := range pl.Jobs {
		if j.Shape != wire.Service || asked[j.Class] {
			continue
		}
		asked[j.Class] = true
		if !slices.ContainsFunc(pl.Machines, func(m *Machine) bool {
			return m != without && m.Usable && pl.allowed(j, m.Type, m.Zone, m.Spot) && m.Free.Fits(Of(j.Job))
		}) {
			return false
		}
	}
	return true
}
