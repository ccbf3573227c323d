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

// Resources is what a task takes or a machine has.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// ResourcesOf is what one task of a job takes.
func ResourcesOf(j *wire.Job) Resources { return Resources{j.CPUs, j.GPUs, j.MemoryGB} }

// AddScaled adds, n times.
func (a Resources) AddScaled(b Resources, n float64) Resources {
	return Resources{a.CPUs + n*b.CPUs, a.GPUs + n*b.GPUs, a.MemoryGB + n*b.MemoryGB}
}

// Fits reports whether b fits into a.
func (a Resources) Fits(b Resources) bool {
	const dust = 1e-6
	return b.CPUs <= a.CPUs+dust && b.GPUs <= a.GPUs+dust && b.MemoryGB <= a.MemoryGB+dust
}

// Slots is how many times b fits into a.
func (a Resources) Slots(b Resources) int {
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
	Job            *Job
	Index          int
	RunTime        time.Duration // since it was seen running
	Stopping       bool          // or should end for a claim back
	FailedAttempts int           // times that it was stopped before its image had come
	StopOverdue    bool          // it has not stopped in time: nothing is to wait for its room
}

// Images tells which images a machine holds or fetches.
type Images interface{ HasImage(image string) bool }

// Machine is a machine as the choice sees it.
type Machine struct {
	ID, Type, Zone string
	Spot           bool
	Usable         bool // may be launched on now
	Booting        bool
	Free           Resources
	Images         Images // may be nil
	Fetches        []Fetch
	Tasks          []Task
	IdleFor        time.Duration // without any task, 0 while it has one
	IdleCapacity   Resources     // what has been free for long, see Stood

	offerIndex     int          // its offer's place in planner.offers
	queuePosition  int          // of the job for which it would be rented
	usedByPlan     bool         // by the plan being made
	plannedFetches []Fetch      // images that the plan brings here
	stopping       Resources    // what tasks that are being stopped will leave
	loadByRank     [4]Resources // what the others take, by the rank of their jobs
	reservedFor    *Job         // for which room is gathered here
	taskEnds       []taskEnd    // of its tasks, once asked for
}

// empty reports whether a machine is without any task, planned ones included.
func (m *Machine) empty() bool { return len(m.Tasks) == 0 && !m.usedByPlan }

// hasImage reports whether a machine has an image, or will have by the plan.
func (m *Machine) hasImage(image string) bool {
	return m.Images != nil && m.Images.HasImage(image) || containsFetch(m.plannedFetches, image)
}

// Job is an unfinished job.
type Job struct {
	*wire.Job
	Age           time.Duration
	SubmittedAt   time.Time // of its submission
	Order         uint64
	Waiting       []int // tasks that are nowhere and may be placed
	InZone        map[string]int
	Active        int
	StarvedFor    time.Duration   // for how long no task of it was anywhere and some could have been
	Terminating   bool            // a gang of which tasks are still to leave
	AvoidMachines map[string]bool // machines on which it failed
	SpreadRule    *SpreadRule     // of a service; may be nil

	LocalTasks     int  // tasks of it that are of this part, where there are several
	RemoteTasks    int  // tasks that other parts have yet to finish
	RemoteCapacity int  // tasks for which another part has room that the job allows
	ReserveOnly    bool // a gang of which other parts have the rest: room is held, nothing is started
	MaybeRunning   bool // a gang that may be running somewhere: nothing is started, what it had gathered stays

	guaranteed       bool
	launchedEarly    int // tasks of Waiting that the plan has launched before the others' turn
	work             tier.Workload
	tier             int
	queueLevel       int           // in the queue, where tiers are set
	remainder        *Job          // of which this is what its tier is guaranteed
	queuePosition    int           // in the order in which jobs get room
	timeLeft         time.Duration // until it must start to meet the next aim
	weightedSlack    time.Duration // the same, less for rare classes
	reservationTurn  int           // its turn among those that gather room, 0 for none
	reservedMachines []*Machine    // that are gathered for it
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
	GuaranteedCPUs, GuaranteedGPUs, LimitCPUs, LimitGPUs float64
	UsedCPUs, UsedGPUs                                   float64
	RemoteUsedCPUs, RemoteUsedGPUs                       float64 // what other parts use, as last told
	GlobalLimitCPUs, GlobalLimitGPUs                     float64 // limits of all parts together, 0 for none; CPUsMax and GPUsMax are this part's
}

// maxMoreTasks is how many tasks more the team could have here if this part were granted all that there is.
func (t *Team) maxMoreTasks(need Resources) int {
	const dust = 1e-6
	n := float64(wire.MaxTasks)
	if t.GlobalLimitCPUs > 0 && need.CPUs > 0 {
		n = min(n, (t.GlobalLimitCPUs-t.UsedCPUs+dust)/need.CPUs)
	}
	if t.GlobalLimitGPUs > 0 && need.GPUs > 0 {
		n = min(n, (t.GlobalLimitGPUs-t.UsedGPUs+dust)/need.GPUs)
	}
	return int(max(0, n))
}

func (t *Team) allows(a Resources) bool {
	const dust = 1e-6
	return (t.LimitCPUs == 0 || t.UsedCPUs+a.CPUs <= t.LimitCPUs+dust) && (t.LimitGPUs == 0 || t.UsedGPUs+a.GPUs <= t.LimitGPUs+dust)
}

// WithinLimit reports whether a team uses no more than it may, with all that was planned.
func (t *Team) WithinLimit() bool { return t.allows(Resources{}) }

func (t *Team) consume(a Resources) { t.UsedCPUs += a.CPUs; t.UsedGPUs += a.GPUs }

// remaining tells after how long a task should end, as far as its estimate can tell.
func (t Task) remaining() time.Duration {
	switch {
	case t.Stopping:
		return 0
	case t.Job.Shape == wire.Service:
		return math.MaxInt64
	}
	return max(t.Job.Estimate()-t.RunTime, 5*time.Second)
}

// Offer is a type of machine in a zone, ordinary or spot.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// Snapshot is all that the choice depends on.
type Snapshot struct {
	Machines     []*Machine
	Jobs         []*Job
	Teams        map[string]*Team
	Types        []wire.MachineType
	Objectives   []Objective
	Unavailable  map[Offer]bool // offers that the cloud refused a while ago
	Doubtful     map[Offer]bool // offers that it refused when they were last asked for
	RequestLimit map[Offer]int  // machines that can be asked for now, of offers in doubt: more are better asked elsewhere
	IdleTimeout  time.Duration  // after which an idle machine is returned
	LaunchBudget int            // that may be launched in this round

	MaxMoves       int            // replicas that may be away at once for spreading
	MaxGangWait    time.Duration  // how long even the largest gang should wait at the most, 0 for any time
	Sharded        bool           // the fleet is in several parts, of which this is one
	RemoteCapacity map[string]int // room that other parts have now, by class
	Tiers          *tier.Set      // nil stands for the order without settings
	Reclaims       []Reclaim      // room that is being claimed back
}

// Launch places a task. Launches of a gang come together.
type Launch struct {
	Job       *Job
	TaskIndex int
	Machine   string
}

// Stop ends a task to make room.
type Stop struct {
	Job             *Job
	TaskIndex       int
	Machine         string
	Reason          string
	Beneficiary     *Job // that gets the room, nil where nobody does
	AwaitCompletion bool // it should end by itself in time
}

// ScaleOut asks for machines.
type ScaleOut struct {
	Offer
	Count         int
	QueuePosition int // in the order of jobs, of the most urgent one that it is for
}

// Plan is what to do.
type Plan struct {
	Launches  []Launch
	Stops     []Stop
	ScaleOuts []ScaleOut
	ScaleIns  []string
	Reclaims  []PlannedReclaim // what is stopped where tiers are set
	Tiers     []tier.Status

	// Where the fleet is in several parts: what the others should know.
	Unplaced     []UnplacedJob
	FreeCapacity map[string]FreeCapacity // by class
	QuotaDemands map[string]QuotaDemand  // by team
	ServiceUsage map[string]Resources    // what services take, by team
	ReadyGangs   []string                // gangs to hold for which there is room

	SpreadViolated bool // services are to be moved

	Backlogged    bool      // work found no room now
	SpareCapacity Resources // that is left once all that waits has its own
}

// planner carries a plan in the making. A fleet has thousands of machines, and
// most jobs fit few of them: what a job could use is looked up once and kept in
// a search, and a try that fails is undone by what it changed.
type planner struct {
	*Snapshot
	plan             Plan
	types            map[string]*wire.MachineType
	classes          []classProfile
	offers           []Offer
	usable           []*Machine
	booting          [][]*Machine // by offer, also the hypothetical ones
	stoppingMachines []*Machine   // of which tasks are being stopped
	newMachines      []*Machine   // hypothetical machines that would be rented
	machinesInZone   map[string]int
	requested        map[Offer]int // hypothetical machines, by offer
	lowestRank       int           // the least rank of a running job
	undoLog          []undoEntry
	searchBudget     int            // machines that may still be looked at closely
	serviceClasses   []*Job         // one of each class, once asked for
	headroomByClass  map[string]int // tasks for which room is held on machines that are there, by class
	turnover         turnover

	reservingGangs  []*Job               // gangs, in their turn
	serviceUsage    map[string]Resources // what services take, by team, once asked for
	productionWaits bool                 // production waits
	tiering         *tiering             // nil where none are set
}

// maxSearchBudget bounds how many machines a plan looks at closely, to stop lesser work
// or to hold room that is to come: enough for any fleet in a quiet minute. What
// comes later in the order is looked at in the next round.
const maxSearchBudget = 100_000

// Schedule makes the plan for a picture, whose machines and teams it changes.
func Schedule(p *Snapshot) Plan {
	pl := &planner{Snapshot: p, types: make(map[string]*wire.MachineType), machinesInZone: make(map[string]int), lowestRank: math.MaxInt, searchBudget: maxSearchBudget}
	for i := range p.Types {
		pl.types[p.Types[i].Name] = &p.Types[i]
	}
	teams := make(map[string]Team, len(p.Teams)) // as they are, without what the plan holds
	for name, t := range p.Teams {
		teams[name] = *t
	}
	pl.indexMachines()
	pl.sortJobs()
	pl.profileClasses()
	pl.countTurnover()
	pl.reserveMachines()
	queue := pl.buildQueue()
	pl.launchFirstReplicas()
	held := false
	for _, j := range queue {
		if pl.beginJob(j, true); len(j.Waiting) == 0 || j.Terminating || j.MaybeRunning && j.reservationTurn == 0 {
			continue
		}
		pl.undoLog = pl.undoLog[:0]
		if !held && j.Priority != wire.Production && (j.reservationTurn == 0 || j.Shape == wire.Array) && !pl.needsHeadroom(j) {
			pl.reserveHeadroom()
			held = true
		}
		if j.Shape == wire.Gang {
			pl.placeGang(j)
		} else {
			pl.placeTasks(j)
		}
	}
	if !held {
		pl.reserveHeadroom()
	}
	pl.admitStarved(teams)
	pl.planScaleOut()
	pl.planScaleIn()
	pl.reportFreeCapacity()
	pl.planReclaims()
	pl.rebalanceServices()
	pl.sumSpareCapacity()
	return pl.plan
}

// indexMachines sorts the machines by what they are good for.
func (pl *planner) indexMachines() {
	for _, m := range pl.Machines {
		m.offerIndex = pl.offerIndex(Offer{m.Type, m.Zone, m.Spot})
		pl.machinesInZone[m.Zone]++
		for _, t := range m.Tasks {
			if t.Stopping && t.StopOverdue {
				continue
			}
			if t.Stopping {
				m.stopping = m.stopping.AddScaled(ResourcesOf(t.Job.Job), 1)
			} else {
				rank := t.Job.Priority.Rank()
				pl.lowestRank = min(pl.lowestRank, rank)
				m.loadByRank[rank] = m.loadByRank[rank].AddScaled(ResourcesOf(t.Job.Job), 1)
			}
		}
		switch {
		case m.Usable:
			pl.usable = append(pl.usable, m)
			if m.stopping != (Resources{}) {
				pl.stoppingMachines = append(pl.stoppingMachines, m)
			}
		case m.Booting:
			pl.booting[m.offerIndex] = append(pl.booting[m.offerIndex], m)
		}
	}
}

func (pl *planner) offerIndex(o Offer) int {
	i := slices.Index(pl.offers, o)
	if i < 0 {
		i = len(pl.offers)
		pl.offers, pl.booting = append(pl.offers, o), append(pl.booting, nil)
	}
	return i
}

// sortJobs sorts the jobs by their tiers, which are without settings: production first,
// then what a team is guaranteed, then by priority. Within a tier it goes by priority, then
// the gangs that gather room go, then by the time that is left to meet the aims.
func (pl *planner) sortJobs() {
	slices.SortFunc(pl.Jobs, func(a, b *Job) int { return cmp.Compare(a.Order, b.Order) })
	sum := make(map[string]Resources)
	for _, j := range pl.Jobs {
		t := pl.Teams[j.Team]
		if t == nil {
			continue
		}
		sum[j.Team] = sum[j.Team].AddScaled(ResourcesOf(j.Job), float64(len(j.Waiting)+j.Active+j.RemoteTasks))
		s := sum[j.Team]
		j.guaranteed = t.GuaranteedCPUs+t.GuaranteedGPUs > 0 && (t.GuaranteedCPUs == 0 || s.CPUs <= t.GuaranteedCPUs) && (t.GuaranteedGPUs == 0 || s.GPUs <= t.GuaranteedGPUs)
	}
	if pl.Tiers == nil {
		pl.Tiers = tier.Default()
	}
	// An aim counts by class, however many jobs the class has: the jobs of a
	// rare one weigh more.
	count, most := make(map[string]int), 1
	for _, j := range pl.Jobs {
		count[j.Class]++
		pl.productionWaits = pl.productionWaits || j.Priority == wire.Production && len(j.Waiting) > 0
		most = max(most, count[j.Class])
	}
	pl.assignReservationTurns()
	for _, j := range pl.Jobs {
		j.work = tier.Workload{Priority: j.Priority, Class: j.Class, Team: j.Team, Service: j.Shape == wire.Service, Guaranteed: j.guaranteed}
		j.tier = pl.Tiers.IndexOf(j.work)
		j.timeLeft = pl.slackOf(j)
		j.weightedSlack = j.timeLeft * time.Duration(count[j.Class]) / time.Duration(most)
	}
	turn := func(j *Job) int { return cmp.Or(j.reservationTurn, math.MaxInt) }
	slices.SortStableFunc(pl.Jobs, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.Priority.Rank(), a.Priority.Rank()), cmp.Compare(turn(a), turn(b)),
			pl.compareProduction(a, b), cmp.Compare(a.weightedSlack, b.weightedSlack), cmp.Compare(a.Order, b.Order))
	})
	for i, j := range pl.Jobs {
		j.queuePosition = i
	}
}

// slackOf tells how long a job can still wait without missing the next aim
// that it can meet. A job that has missed them all makes room for those that
// have not, but comes closer to the front the longer it waits.
func (pl *planner) slackOf(j *Job) time.Duration {
	const late = 45 * time.Second
	best, missed := time.Duration(math.MaxInt64), time.Duration(0)
	for _, o := range pl.Objectives {
		need := pl.fetchTime(j) + 3*time.Second
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

// fetchTime is how long a machine takes to fetch a job's image, at the rate of the
// slowest type.
func (pl *planner) fetchTime(j *Job) time.Duration {
	var longest float64
	for _, t := range pl.Types {
		if t.FetchGBps > 0 {
			longest = max(longest, j.ImageGB/t.FetchGBps)
		}
	}
	return wire.Seconds(longest)
}

// classProfile is what the tasks of a class take on the average, with what one is
// worth: its share of the cheapest machine, by how many there are.
type classProfile struct {
	job   *Job // one of the class, for what it may use
	need  Resources
	tasks float64
	worth float64
}

// profileClasses sets what the room on a machine is worth to the work at hand.
func (pl *planner) profileClasses() {
	byClass := make(map[string]*classProfile)
	for _, j := range pl.Jobs {
		k := byClass[j.Class]
		if k == nil {
			k = &classProfile{job: j}
			byClass[j.Class] = k
		}
		n := float64(len(j.Waiting) + j.Active)
		k.need, k.tasks = k.need.AddScaled(ResourcesOf(j.Job), n), k.tasks+n
	}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		k := byClass[class]
		if k.tasks == 0 {
			continue
		}
		k.need = Resources{}.AddScaled(k.need, 1/k.tasks)
		k.worth = math.Inf(1)
		for _, t := range pl.Types {
			if n := (Resources{t.CPUs, t.GPUs, t.MemoryGB}).Slots(k.need); n > 0 {
				k.worth = min(k.worth, t.Price/float64(n))
			}
		}
		if !math.IsInf(k.worth, 1) {
			pl.classes = append(pl.classes, *k)
		}
	}
}

// capacityValue tells what room is worth to the work at hand. Counting each kind by
// itself shows what a task spoils: memory gone from beside idle GPUs, or a
// small machine that only small work can use.
func (pl *planner) capacityValue(room Resources) float64 {
	sum := 0.0
	for _, k := range pl.classes {
		sum += k.tasks * k.worth * float64(max(0, room.Slots(k.need)))
	}
	return sum
}

// valueLost tells what placing a task takes from the worth of a machine's room.
func (pl *planner) valueLost(m *Machine, need Resources) float64 {
	return pl.capacityValue(m.Free) - pl.capacityValue(m.Free.AddScaled(need, -1))
}
