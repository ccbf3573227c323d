// Package sched chooses what runs where: a pure function from a picture of the
// fleet to launches, stops, rentals and releases. It does no I/O, reads no
// clock, and goes through everything in a fixed order.
package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/tier"
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
	Stopping bool          // or should end for a claim back
	Vain     int           // times that it was stopped before its image had come
	Stuck    bool          // it has not stopped in time: nothing is to wait for its room
}

// Images tells which images a machine holds or fetches.
type Images interface{ Holds(image string) bool }

// Machine is a machine as the choice sees it.
type Machine struct {
	ID, Type, Zone string
	Spot           bool
	Usable         bool // may be launched on now
	Booting        bool
	Free           Amount
	Images         Images // may be nil
	Fetches        []Fetch
	Tasks          []Task
	Idle           time.Duration // without any task, 0 while it has one
	Long           Amount        // what has been free for long, see Stood

	offer   int       // its offer's place in planner.offers
	place   int       // of the job for which it would be rented
	taken   bool      // by the plan being made
	planned []Fetch   // images that the plan brings here
	leaving Amount    // what tasks that are being stopped will leave
	load    [4]Amount // what the others take, by the rank of their jobs
	kept    *Job      // for which room is gathered here
	ends    []end     // of its tasks, once asked for
}

// empty reports whether a machine is without any task, planned ones included.
func (m *Machine) empty() bool { return len(m.Tasks) == 0 && !m.taken }

// holds reports whether a machine has an image, or will have by the plan.
func (m *Machine) holds(image string) bool {
	return m.Images != nil && m.Images.Holds(image) || fetches(m.planned, image)
}

// Job is an unfinished job.
type Job struct {
	*wire.Job
	Age     time.Duration
	Since   time.Time // of its submission
	Order   uint64
	Waiting []int // tasks that are nowhere and may be placed
	InZone  map[string]int
	Active  int
	Stood   time.Duration   // for how long no task of it was anywhere and some could have been
	Ending  bool            // a gang of which tasks are still to leave
	Avoid   map[string]bool // machines on which it failed
	Rule    *Rule           // of a service; may be nil

	Mine      int  // tasks of it that are of this part, where there are several
	Elsewhere int  // tasks that other parts have yet to finish
	Outside   int  // tasks for which another part has room that the job allows
	Hold      bool // a gang of which other parts have the rest: room is held, nothing is started
	Unsure    bool // a gang that may be running somewhere: nothing is started, what it had gathered stays

	guaranteed bool
	begun      int // tasks of Waiting that the plan has launched before the others' turn
	work       tier.Work
	tier       int
	level      int           // in the queue, where tiers are set
	rest       *Job          // of which this is what its tier is guaranteed
	place      int           // in the order in which jobs get room
	left       time.Duration // until it must start to meet the next aim
	slack      time.Duration // the same, less for rare classes
	elder      int           // its turn among those that gather room, 0 for none
	picks      []*Machine    // that are gathered for it
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
	ElseCPUs, ElseGPUs           float64 // what other parts use, as last told
	AllCPUs, AllGPUs             float64 // limits of all parts together, 0 for none; CPUsMax and GPUsMax are this part's
}

// most is how many tasks more the team could have here if this part were granted all that there is.
func (t *Team) most(need Amount) int {
	const dust = 1e-6
	n := float64(wire.MaxTasks)
	if t.AllCPUs > 0 && need.CPUs > 0 {
		n = min(n, (t.AllCPUs-t.UsedCPUs+dust)/need.CPUs)
	}
	if t.AllGPUs > 0 && need.GPUs > 0 {
		n = min(n, (t.AllGPUs-t.UsedGPUs+dust)/need.GPUs)
	}
	return int(max(0, n))
}

func (t *Team) allows(a Amount) bool {
	const dust = 1e-6
	return (t.CPUsMax == 0 || t.UsedCPUs+a.CPUs <= t.CPUsMax+dust) && (t.GPUsMax == 0 || t.UsedGPUs+a.GPUs <= t.GPUsMax+dust)
}

// Within reports whether a team uses no more than it may, with all that was planned.
func (t *Team) Within() bool { return t.allows(Amount{}) }

func (t *Team) use(a Amount) { t.UsedCPUs += a.CPUs; t.UsedGPUs += a.GPUs }

// left tells after how long a task should end, as far as its estimate can tell.
func (t Task) left() time.Duration {
	switch {
	case t.Stopping:
		return 0
	case t.Job.Shape == wire.Service:
		return math.MaxInt64
	}
	return max(t.Job.Estimate()-t.Ran, 5*time.Second)
}

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
	Most     map[Offer]int  // machines that can be asked for now, of offers in doubt: more are better asked elsewhere
	Idle     time.Duration  // after which an idle machine is returned
	Tasks    int            // that may be launched in this round

	Moves       int            // replicas that may be away at once for spreading
	BeginWithin time.Duration  // how long even the largest gang should wait at the most, 0 for any time
	Parts       bool           // the fleet is in several parts, of which this is one
	Outside     map[string]int // room that other parts have now, by class
	Tiers       *tier.Set      // nil stands for the order without settings
	Claims      []Claim        // room that is being claimed back
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
	For     *Job // that gets the room, nil where nobody does
	Await   bool // it should end by itself in time
}

// Rent asks for machines.
type Rent struct {
	Offer
	Count int
	Place int // in the order of jobs, of the most urgent one that it is for
}

// Plan is what to do.
type Plan struct {
	Launches []Launch
	Stops    []Stop
	Rents    []Rent
	Releases []string
	Claims   []Claimed // what is stopped where tiers are set
	Tiers    []tier.Status

	// Where the fleet is in several parts: what the others should know.
	Short []Short
	Rooms map[string]Room   // by class
	Wants map[string]Want   // by team
	Stays map[string]Amount // what services take, by team
	Ready []string          // gangs to hold for which there is room

	Uneven bool // services are to be moved

	Waits bool   // work found no room now
	Spare Amount // that is left once all that waits has its own
}

// planner carries a plan in the making. A fleet has thousands of machines, and
// most jobs fit few of them: what a job could use is looked up once and kept in
// a search, and a try that fails is undone by what it changed.
type planner struct {
	*Picture
	plan     Plan
	types    map[string]*wire.MachineType
	kinds    []kind
	offers   []Offer
	usable   []*Machine
	booting  [][]*Machine // by offer, also the hypothetical ones
	leaving  []*Machine   // of which tasks are being stopped
	fresh    []*Machine   // hypothetical machines that would be rented
	inZone   map[string]int
	asked    map[Offer]int // hypothetical machines, by offer
	weakest  int           // the least rank of a running job
	undone   []undo
	effort   int            // machines that may still be looked at closely
	services []*Job         // one of each class, once asked for
	heldFor  map[string]int // tasks for which room is held on machines that are there, by class
	turns    turnover

	gathering []*Job            // gangs, in their turn
	stays     map[string]Amount // what services take, by team, once asked for
	top       bool              // production waits
	tiers     *tiering          // nil where none are set
}

// effort bounds how many machines a plan looks at closely, to stop lesser work
// or to hold room that is to come: enough for any fleet in a quiet minute. What
// comes later in the order is looked at in the next round.
const effort = 100_000

// Choose makes the plan for a picture, whose machines and teams it changes.
func Choose(p *Picture) Plan {
	pl := &planner{Picture: p, types: make(map[string]*wire.MachineType), inZone: make(map[string]int), weakest: math.MaxInt, effort: effort}
	for i := range p.Types {
		pl.types[p.Types[i].Name] = &p.Types[i]
	}
	teams := make(map[string]Team, len(p.Teams)) // as they are, without what the plan holds
	for name, t := range p.Teams {
		teams[name] = *t
	}
	pl.index()
	pl.order()
	pl.value()
	pl.countTurnover()
	pl.keep()
	queue := pl.queue()
	pl.firsts()
	held := false
	for _, j := range queue {
		if pl.enter(j, true); len(j.Waiting) == 0 || j.Ending || j.Unsure && j.elder == 0 {
			continue
		}
		pl.undone = pl.undone[:0]
		if !held && j.Priority != wire.Production && (j.elder == 0 || j.Shape == wire.Array) && !pl.hasty(j) {
			pl.headroom()
			held = true
		}
		if j.Shape == wire.Gang {
			pl.gang(j)
		} else {
			pl.single(j)
		}
	}
	if !held {
		pl.headroom()
	}
	pl.letIn(teams)
	pl.rent()
	pl.release()
	pl.rooms()
	pl.claimBack()
	pl.moves()
	pl.spareRoom()
	return pl.plan
}

// index sorts the machines by what they are good for.
func (pl *planner) index() {
	for _, m := range pl.Machines {
		m.offer = pl.offerOf(Offer{m.Type, m.Zone, m.Spot})
		pl.inZone[m.Zone]++
		for _, t := range m.Tasks {
			if t.Stopping && t.Stuck {
				continue
			}
			if t.Stopping {
				m.leaving = m.leaving.Plus(Of(t.Job.Job), 1)
			} else {
				rank := t.Job.Priority.Rank()
				pl.weakest = min(pl.weakest, rank)
				m.load[rank] = m.load[rank].Plus(Of(t.Job.Job), 1)
			}
		}
		switch {
		case m.Usable:
			pl.usable = append(pl.usable, m)
			if m.leaving != (Amount{}) {
				pl.leaving = append(pl.leaving, m)
			}
		case m.Booting:
			pl.booting[m.offer] = append(pl.booting[m.offer], m)
		}
	}
}

func (pl *planner) offerOf(o Offer) int {
	i := slices.Index(pl.offers, o)
	if i < 0 {
		i = len(pl.offers)
		pl.offers, pl.booting = append(pl.offers, o), append(pl.booting, nil)
	}
	return i
}

// order sorts the jobs by their tiers, which are without settings: production first,
// then what a team is guaranteed, then by priority. Within a tier it goes by priority, then
// the gangs that gather room go, then by the time that is left to meet the aims.
func (pl *planner) order() {
	slices.SortFunc(pl.Jobs, func(a, b *Job) int { return cmp.Compare(a.Order, b.Order) })
	sum := make(map[string]Amount)
	for _, j := range pl.Jobs {
		t := pl.Teams[j.Team]
		if t == nil {
			continue
		}
		sum[j.Team] = sum[j.Team].Plus(Of(j.Job), float64(len(j.Waiting)+j.Active+j.Elsewhere))
		s := sum[j.Team]
		j.guaranteed = t.CPUs+t.GPUs > 0 && (t.CPUs == 0 || s.CPUs <= t.CPUs) && (t.GPUs == 0 || s.GPUs <= t.GPUs)
	}
	if pl.Tiers == nil {
		pl.Tiers = tier.Default()
	}
	// An aim counts by class, however many jobs the class has: the jobs of a
	// rare one weigh more.
	count, most := make(map[string]int), 1
	for _, j := range pl.Jobs {
		count[j.Class]++
		pl.top = pl.top || j.Priority == wire.Production && len(j.Waiting) > 0
		most = max(most, count[j.Class])
	}
	pl.elders()
	for _, j := range pl.Jobs {
		j.work = tier.Work{Priority: j.Priority, Class: j.Class, Team: j.Team, Service: j.Shape == wire.Service, Guaranteed: j.guaranteed}
		j.tier = pl.Tiers.Of(j.work)
		j.left = pl.slackOf(j)
		j.slack = j.left * time.Duration(count[j.Class]) / time.Duration(most)
	}
	turn := func(j *Job) int { return cmp.Or(j.elder, math.MaxInt) }
	slices.SortStableFunc(pl.Jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.Priority.Rank(), a.Priority.Rank()), cmp.Compare(turn(a), turn(b)),
			pl.further(a, b), cmp.Compare(a.slack, b.slack), cmp.Compare(a.Order, b.Order))
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
	job   *Job // one of the class, for what it may use
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
			k = &kind{job: j}
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
