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

// Where operators have set tiers, work within its tier's share goes before all that is
// beyond one, the first tier before everything. What is stopped is claimed back: a record
// of the round says for whom, and the room is kept for that.

// Claim is room on a machine that is being claimed back for tasks of a job.
type Claim struct {
	Job, Machine string
	Tasks        int
	Level        int // work ahead of it may take the room
}

// Claimed is room to claim back on a machine.
type Claimed struct {
	Claim
	Tier   string
	Within time.Duration
	Stops  []Stop
}

// tiering is what a plan goes by where tiers are set.
type tiering struct {
	held  []tier.Held
	use   *tier.Use
	holds []hold
	lent  []hold // of shares that are not lent to the tier at hand
	last  *Job
	spent float64 // by its team, before it

	counted int       // stops of the plan that gone counts
	gone    *tier.Use // by them
	zones   map[string]string
}

// hold keeps room from others.
type hold struct {
	Claim
	machine *Machine
	amount  Amount
	on      bool
}

func (h *hold) set(on bool) {
	if on != h.on {
		n := -1.0
		if h.on = on; !on {
			n = 1
		}
		h.machine.Free = h.machine.Free.Plus(h.amount, n)
		h.machine.taken = true
	}
}

// queue gives the jobs in the order in which they get room. Work of a tier that has a
// share left stands in it twice: for what the share has, and for the rest.
func (pl *planner) queue() []*Job {
	if !pl.Tiers.Given() {
		return pl.Jobs
	}
	pl.tally()
	var queue []*Job
	last := len(pl.Tiers.Tiers)
	for i := range pl.Tiers.Tiers {
		left := tier.Below(pl.tiers.held[i], pl.tiers.use, i, "") > 0
		for _, j := range pl.Jobs {
			if j.tier != i || i > 0 && (!left || len(j.Waiting) == 0 || j.GPUs == 0) {
				continue
			}
			if i > 0 {
				part := *j
				part.rest, j = j, &part
			}
			j.level = i
			queue = append(queue, j)
		}
	}
	for _, j := range pl.Jobs {
		if j.tier > 0 {
			j.level = last + j.tier
			queue = append(queue, j)
		}
	}
	for i, j := range queue {
		j.place = i
	}
	return queue
}

// tally counts the cards that there are, and those that tiers use. What is being stopped
// no longer counts.
func (pl *planner) tally() {
	t := &tiering{use: pl.Tiers.NewUse(), zones: make(map[string]string)}
	pl.tiers = t
	cards, free := make(map[string]float64), 0.0
	for _, m := range pl.Machines {
		if !m.Usable && len(m.Tasks) == 0 {
			continue
		}
		if typ := pl.types[m.Type]; typ != nil {
			cards[m.Zone] += typ.GPUs
		}
		if m.Usable {
			free += max(0, m.Free.GPUs)
		}
		for _, x := range m.Tasks {
			if !x.Stopping {
				t.use.Add(x.Job.tier, m.Zone, x.Job.GPUs)
			}
		}
	}
	t.held = pl.Tiers.Fit(cards)
	pl.plan.Tiers = make([]tier.Status, len(t.held))
	for i, h := range t.held {
		pl.plan.Tiers[i] = tier.Status{Cards: t.use.All[i], Share: h.All}
	}
	tier.Lent(pl.plan.Tiers, free)
	byID := make(map[string]*Machine, len(pl.usable))
	for _, m := range pl.usable {
		byID[m.ID], t.zones[m.ID] = m, m.Zone
	}
	jobs := make(map[string]*Job, len(pl.Jobs))
	for _, j := range pl.Jobs {
		jobs[j.ID] = j
		pl.plan.Tiers[j.tier].Waiting += len(j.Waiting)
	}
	for _, c := range pl.Claims {
		if m, j := byID[c.Machine], jobs[c.Job]; m != nil && j != nil {
			t.holds = append(t.holds, hold{Claim: c, machine: m, amount: Amount{}.Plus(Of(j.Job), float64(c.Tasks))})
		}
	}
}

// enter begins with a job, or with a first task of it: it sets what is kept from it, and
// how much of it its tier's share has room for.
func (pl *planner) enter(j *Job, whole bool) {
	t := pl.tiers
	if t == nil {
		return
	}
	pl.settle()
	for i := range t.holds {
		h := &t.holds[i]
		h.set(h.Job != j.ID && h.Level <= j.level)
		if whole && h.Job == j.ID && h.Level <= j.level {
			h.Level = math.MaxInt // from here on it takes its room itself
		}
	}
	if t.last == nil || t.last.tier != j.tier || t.last.level != j.level {
		pl.keepUnlent(j.tier)
	}
	if j.rest != nil {
		n := int((tier.Below(t.held[j.tier], t.use, j.tier, j.Zone) + 1e-6) / j.GPUs)
		if n = min(n, len(j.Waiting)); j.Shape == wire.Gang && n < len(j.Waiting) {
			n = 0
		}
		j.Waiting, j.rest.Waiting = j.Waiting[:n], j.Waiting[n:]
	}
	t.last, t.spent = j, 0
	if team := pl.Teams[j.Team]; team != nil {
		t.spent = team.UsedGPUs
	}
}

// settle counts what the job before has got, by what its team spends.
func (pl *planner) settle() {
	t := pl.tiers
	if t.last != nil {
		if team := pl.Teams[t.last.Team]; team != nil {
			t.use.All[t.last.tier] += team.UsedGPUs - t.spent
			t.spent = team.UsedGPUs
		}
	}
}

// keepUnlent holds what tiers have free of their shares and don't lend to another one.
func (pl *planner) keepUnlent(to int) {
	t := pl.tiers
	for i := range t.lent {
		t.lent[i].set(false)
	}
	t.lent = t.lent[:0]
	for i := range pl.Tiers.Tiers {
		if i == to || pl.Tiers.Lends(i, to) {
			continue
		}
		sum := 0.0
		for _, zone := range slices.Sorted(maps.Keys(t.held[i].Zones)) {
			n := max(0, t.held[i].Zones[zone]-t.use.Zones[i][zone])
			pl.keepCards(n, zone)
			sum += n
		}
		pl.keepCards(tier.Below(t.held[i], t.use, i, "")-sum, "")
	}
}

// keepCards holds so many cards of a zone that are free, on the emptiest machines.
func (pl *planner) keepCards(n float64, zone string) {
	if n <= 0 {
		return
	}
	free := slices.DeleteFunc(slices.Clone(pl.usable), func(m *Machine) bool { return m.Free.GPUs < 1 || zone != "" && m.Zone != zone })
	slices.SortStableFunc(free, func(a, b *Machine) int { return cmp.Compare(b.Free.GPUs, a.Free.GPUs) })
	for _, m := range free {
		k := min(n, m.Free.GPUs)
		h := hold{machine: m, amount: Amount{}.Plus(m.Free, k/m.Free.GPUs)}
		h.set(true)
		pl.tiers.lent = append(pl.tiers.lent, h)
		if n -= k; n <= 0 {
			return
		}
	}
}

// endsSoon reports whether a task ends by itself before a claim for a job is due.
func (pl *planner) endsSoon(j *Job, t Task) bool {
	if pl.tiers == nil || t.Job.Shape != wire.Array || t.Ran == 0 {
		return false
	}
	return tier.Soon(t.Job.Estimate()-t.Ran, wire.Seconds(t.Job.SaveS), pl.Tiers.Tiers[j.tier].Within)
}

// lent reports whether a task may be stopped for a job beside others on its machine: what
// its tier is guaranteed is left to it.
func (pl *planner) lent(j *Job, m *Machine, picked []int, i int) bool {
	victim := m.Tasks[i].Job
	if pl.tiers == nil || victim.tier == j.tier {
		return true
	}
	all, here := pl.cards(victim), victim.GPUs
	for _, k := range picked {
		if o := m.Tasks[k].Job; o.tier == victim.tier {
			all, here = all+pl.cards(o), here+o.GPUs
		}
	}
	gone := pl.gone()
	all, here = all+gone.All[victim.tier], here+gone.Zones[victim.tier][m.Zone]
	return tier.Spares(pl.tiers.held[victim.tier], pl.tiers.use, victim.tier, m.Zone, all, here)
}

// gone counts what the plan stops. It is asked for before each stop, so that a try that was
// undone shows by their number.
func (pl *planner) gone() *tier.Use {
	t := pl.tiers
	if t.gone == nil || t.counted != len(pl.plan.Stops) {
		t.gone, t.counted = pl.Tiers.NewUse(), len(pl.plan.Stops)
		for _, s := range pl.plan.Stops {
			t.gone.Add(s.Job.tier, t.zones[s.Machine], s.Job.GPUs)
			t.gone.All[s.Job.tier] += pl.cards(s.Job) - s.Job.GPUs
		}
	}
	return t.gone
}

// cards is how many go with a task of a job: a gang is stopped as a whole.
func (pl *planner) cards(j *Job) float64 {
	if j.Shape == wire.Gang {
		return j.GPUs * float64(max(1, j.Active))
	}
	return j.GPUs
}

// claimBack gathers what the plan stops by whom it is for and where: it is stopped once the
// round is taken.
func (pl *planner) claimBack() {
	if pl.tiers == nil {
		return
	}
	for _, s := range pl.plan.Stops {
		i := slices.IndexFunc(pl.plan.Claims, func(c Claimed) bool { return c.Job == s.For.ID && c.Machine == s.Machine })
		if i < 0 {
			t := &pl.Tiers.Tiers[s.For.tier]
			i = len(pl.plan.Claims)
			pl.plan.Claims = append(pl.plan.Claims, Claimed{Claim: Claim{Job: s.For.ID, Machine: s.Machine, Level: s.For.level}, Tier: t.Name, Within: t.Within})
		}
		pl.plan.Claims[i].Stops = append(pl.plan.Claims[i].Stops, s)
	}
	for i := range pl.plan.Claims {
		c := &pl.plan.Claims[i]
		var room Amount
		for _, s := range c.Stops {
			room = room.Plus(Of(s.Job.Job), 1)
		}
		f := c.Stops[0].For
		c.Tasks = max(1, min(room.Slots(Of(f.Job)), len(f.Waiting)))
	}
	pl.plan.Stops = nil
}
