package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// tiering is what a plan goes by where tiers are set.
type tiering struct {
	shares         []tier.Guarantee
	use            *tier.Usage
	reclaims       []withheldCapacity
	unlent         []withheldCapacity // of shares that are not lent to the tier at hand
	current        *Job
	teamGPUsBefore float64 // by its team, before it

	countedStops  int         // stops of the plan that gone counts
	stopped       *tier.Usage // by them
	zoneByMachine map[string]string
}

// withheldCapacity keeps room from others.
type withheldCapacity struct {
	Reclaim
	machine *Machine
	amount  Resources
	active  bool
}

func (h *withheldCapacity) setActive(on bool) {
	if on != h.active {
		n := -1.0
		if h.active = on; !on {
			n = 1
		}
		h.machine.Free = h.machine.Free.AddScaled(h.amount, n)
		h.machine.usedByPlan = true
	}
}

// buildQueue gives the jobs in the order in which they get room. Work of a tier that has a
// share left stands in it twice: for what the share has, and for the rest.
func (pl *planner) buildQueue() []*Job {
	if !pl.Tiers.Configured() {
		return pl.Jobs
	}
	pl.countTierUse()
	var queue []*Job
	last := len(pl.Tiers.Tiers)
	for i := range pl.Tiers.Tiers {
		left := tier.Unused(pl.tiering.shares[i], pl.tiering.use, i, "") > 0
		for _, j := range pl.Jobs {
			if j.tier != i || i > 0 && (!left || len(j.Waiting) == 0 || j.GPUs == 0) {
				continue
			}
			if i > 0 {
				part := *j
				part.remainder, j = j, &part
			}
			j.queueLevel = i
			queue = append(queue, j)
		}
	}
	for _, j := range pl.Jobs {
		if j.tier > 0 {
			j.queueLevel = last + j.tier
			queue = append(queue, j)
		}
	}
	for i, j := range queue {
		j.queuePosition = i
	}
	return queue
}

// countTierUse counts the cards that there are, and those that tiers use. What is being stopped
// no longer counts.
func (pl *planner) countTierUse() {
	t := &tiering{use: pl.Tiers.NewUsage(), zoneByMachine: make(map[string]string)}
	pl.tiering = t
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
	t.shares = pl.Tiers.Guarantees(cards)
	pl.plan.Tiers = make([]tier.Status, len(t.shares))
	for i, h := range t.shares {
		pl.plan.Tiers[i] = tier.Status{Cards: t.use.Total[i], Share: h.Total}
	}
	tier.FillLent(pl.plan.Tiers, free)
	byID := make(map[string]*Machine, len(pl.usable))
	for _, m := range pl.usable {
		byID[m.ID], t.zoneByMachine[m.ID] = m, m.Zone
	}
	jobs := make(map[string]*Job, len(pl.Jobs))
	for _, j := range pl.Jobs {
		jobs[j.ID] = j
		pl.plan.Tiers[j.tier].Waiting += len(j.Waiting)
	}
	for _, c := range pl.Reclaims {
		if m, j := byID[c.Machine], jobs[c.Job]; m != nil && j != nil {
			t.reclaims = append(t.reclaims, withheldCapacity{Reclaim: c, machine: m, amount: Resources{}.AddScaled(ResourcesOf(j.Job), float64(c.Tasks))})
		}
	}
}

// beginJob begins with a job, or with a first task of it: it sets what is kept from it, and
// how much of it its tier's share has room for.
func (pl *planner) beginJob(j *Job, whole bool) {
	t := pl.tiering
	if t == nil {
		return
	}
	pl.chargeTier()
	for i := range t.reclaims {
		h := &t.reclaims[i]
		h.setActive(h.Job != j.ID && h.Level <= j.queueLevel)
		if whole && h.Job == j.ID && h.Level <= j.queueLevel {
			h.Level = math.MaxInt // from here on it takes its room itself
		}
	}
	if t.current == nil || t.current.tier != j.tier || t.current.queueLevel != j.queueLevel {
		pl.withholdUnlentShares(j.tier)
	}
	if j.remainder != nil {
		n := int((tier.Unused(t.shares[j.tier], t.use, j.tier, j.Zone) + 1e-6) / j.GPUs)
		if n = min(n, len(j.Waiting)); j.Shape == wire.Gang && n < len(j.Waiting) {
			n = 0
		}
		j.Waiting, j.remainder.Waiting = j.Waiting[:n], j.Waiting[n:]
	}
	t.current, t.teamGPUsBefore = j, 0
	if team := pl.Teams[j.Team]; team != nil {
		t.teamGPUsBefore = team.UsedGPUs
	}
}

// chargeTier counts what the job before has got, by what its team spends.
func (pl *planner) chargeTier() {
	t := pl.tiering
	if t.current != nil {
		if team := pl.Teams[t.current.Team]; team != nil {
			t.use.Total[t.current.tier] += team.UsedGPUs - t.teamGPUsBefore
			t.teamGPUsBefore = team.UsedGPUs
		}
	}
}

// withholdUnlentShares holds what tiers have free of their shares and don't lend to another one.
func (pl *planner) withholdUnlentShares(to int) {
	t := pl.tiering
	for i := range t.unlent {
		t.unlent[i].setActive(false)
	}
	t.unlent = t.unlent[:0]
	for i := range pl.Tiers.Tiers {
		if i == to || pl.Tiers.Lends(i, to) {
			continue
		}
		sum := 0.0
		for _, zone := range slices.Sorted(maps.Keys(t.shares[i].Zones)) {
			n := max(0, t.shares[i].Zones[zone]-t.use.Zones[i][zone])
			pl.withholdGPUs(n, zone)
			sum += n
		}
		pl.withholdGPUs(tier.Unused(t.shares[i], t.use, i, "")-sum, "")
	}
}

// withholdGPUs holds so many cards of a zone that are free, on the emptiest machines.
func (pl *planner) withholdGPUs(n float64, zone string) {
	if n <= 0 {
		return
	}
	free := slices.DeleteFunc(slices.Clone(pl.usable), func(m *Machine) bool { return m.Free.GPUs < 1 || zone != "" && m.Zone != zone })
	slices.SortStableFunc(free, func(a, b *Machine) int { return cmp.Compare(b.Free.GPUs, a.Free.GPUs) })
	for _, m := range free {
		k := min(n, m.Free.GPUs)
		h := withheldCapacity{machine: m, amount: Resources{}.AddScaled(m.Free, k/m.Free.GPUs)}
		h.setActive(true)
		pl.tiering.unlent = append(pl.tiering.unlent, h)
		if n -= k; n <= 0 {
			return
		}
	}
}
