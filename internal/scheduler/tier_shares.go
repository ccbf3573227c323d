package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// tiering is the planner's state where operators have set tiers. Work within its tier's share goes
// before all work that exceeds a share, and the first tier goes before everything else.
type tiering struct {
	shares       []tier.Guarantee   // by tier
	usage        *tier.Usage        // GPU usage, including what the plan has placed
	reclaims     []withheldCapacity // capacity that is being reclaimed for a job
	unlentShares []withheldCapacity // free capacity of shares that are not lent to the current job's tier

	currentJob     *Job    // the job being placed
	teamGPUsBefore float64 // GPU usage of the job's team before the job was placed

	stopped       *tier.Usage       // GPUs that the plan's stops free, see plannedStops
	countedStops  int               // number of stops included in stopped
	zoneByMachine map[string]string // zones of the usable machines, by machine ID
}

// withheldCapacity is capacity of a machine that is withheld from some jobs.
type withheldCapacity struct {
	Reclaim
	machine *Machine
	amount  Resources
	active  bool // the capacity is withheld now
}

// setActive withholds the capacity from the machine's free resources, or restores it.
func (w *withheldCapacity) setActive(active bool) {
	if active == w.active {
		return
	}
	w.active = active
	n := 1.0
	if active {
		n = -1
	}
	w.machine.Free = w.machine.Free.AddScaled(w.amount, n)
	w.machine.usedByPlan = true
}

// buildQueue returns the jobs in the order in which they are placed. A job of a tier with an unused part
// of its share appears twice: for the tasks that fit into the share, and for the remaining tasks.
func (pl *planner) buildQueue() []*Job {
	if !pl.Tiers.Configured() {
		return pl.Jobs
	}
	pl.countTierUse()
	var queue []*Job
	for i := range pl.Tiers.Tiers {
		queue = append(queue, pl.jobsWithinShare(i)...)
	}
	for _, j := range pl.Jobs {
		if j.tier > 0 {
			j.queueLevel = len(pl.Tiers.Tiers) + j.tier
			queue = append(queue, j)
		}
	}
	for i, j := range queue {
		j.queuePosition = i
	}
	return queue
}

// jobsWithinShare lists the jobs of a tier as far as they fit into its share. All work of the first tier
// counts as within its share.
func (pl *planner) jobsWithinShare(i int) (jobs []*Job) {
	if i > 0 && tier.UnusedGuarantee(pl.tiering.shares[i], pl.tiering.usage, i, "") <= 0 {
		return nil
	}
	for _, j := range pl.Jobs {
		if j.tier != i || i > 0 && (len(j.Waiting) == 0 || j.GPUs == 0) {
			continue
		}
		if i > 0 {
			part := *j
			part.originalJob = j
			j = &part
		}
		j.queueLevel = i
		jobs = append(jobs, j)
	}
	return jobs
}

// countTierUse counts the GPUs of the fleet and the GPUs that each tier uses. Stopping tasks do not
// count as usage.
func (pl *planner) countTierUse() {
	t := &tiering{usage: pl.Tiers.NewUsage(), zoneByMachine: make(map[string]string)}
	pl.tiering = t
	gpusByZone, free := make(map[string]float64), 0.0
	for _, m := range pl.Machines {
		if !m.Usable && len(m.Tasks) == 0 {
			continue
		}
		if typ := pl.pool.typeOf(m); typ != nil {
			gpusByZone[m.Zone] += typ.GPUs
		}
		if m.Usable {
			free += max(0, m.Free.GPUs)
			t.zoneByMachine[m.ID] = m.Zone
		}
		for _, task := range m.Tasks {
			if !task.Stopping {
				t.usage.Add(task.Job.tier, m.Zone, task.Job.GPUs)
			}
		}
	}
	t.shares = pl.Tiers.Guarantees(gpusByZone)
	pl.reportTiers(free)
	pl.loadReclaims()
}

// reportTiers reports for each tier its usage, how much of its share is lent to others, and the number
// of waiting tasks.
func (pl *planner) reportTiers(freeGPUs float64) {
	t := pl.tiering
	pl.plan.Tiers = make([]tier.Status, len(t.shares))
	for i, share := range t.shares {
		pl.plan.Tiers[i] = tier.Status{Cards: t.usage.Total[i], Share: share.Total}
	}
	tier.FillLent(pl.plan.Tiers, freeGPUs)
	for _, j := range pl.Jobs {
		pl.plan.Tiers[j.tier].Waiting += len(j.Waiting)
	}
}

// loadReclaims looks up the machines and the capacity of the reclaims in progress.
func (pl *planner) loadReclaims() {
	machines := make(map[string]*Machine, len(pl.pool.usable))
	for _, m := range pl.pool.usable {
		machines[m.ID] = m
	}
	jobs := make(map[string]*Job, len(pl.Jobs))
	for _, j := range pl.Jobs {
		jobs[j.ID] = j
	}
	for _, r := range pl.Reclaims {
		if m, j := machines[r.Machine], jobs[r.Job]; m != nil && j != nil {
			amount := ResourcesOf(j.Job).Scaled(float64(r.Tasks))
			pl.tiering.reclaims = append(pl.tiering.reclaims, withheldCapacity{Reclaim: r, machine: m, amount: amount})
		}
	}
}

// beginJob prepares for placing a job, or only its first task if whole is false. It sets which capacity
// is withheld from the job, and limits the job to the tasks that fit into its tier's share.
func (pl *planner) beginJob(j *Job, whole bool) {
	t := pl.tiering
	if t == nil {
		return
	}
	pl.chargeCurrentJob()
	for i := range t.reclaims {
		r := &t.reclaims[i]
		r.setActive(r.Job != j.ID && r.Level <= j.queueLevel)
		if whole && r.Job == j.ID && r.Level <= j.queueLevel {
			r.Level = math.MaxInt // from here on the job takes the capacity itself
		}
	}
	if t.currentJob == nil || t.currentJob.tier != j.tier || t.currentJob.queueLevel != j.queueLevel {
		pl.withholdUnlentShares(j.tier)
	}
	if j.originalJob != nil {
		n := t.countWithinShare(j)
		j.Waiting, j.originalJob.Waiting = j.Waiting[:n], j.Waiting[n:]
	}
	t.currentJob, t.teamGPUsBefore = j, 0
	if team := pl.Teams[j.Team]; team != nil {
		t.teamGPUsBefore = team.UsedGPUs
	}
}

// countWithinShare returns how many waiting tasks of a job fit into its tier's share; all or none for
// a gang.
func (t *tiering) countWithinShare(j *Job) int {
	unused := tier.UnusedGuarantee(t.shares[j.tier], t.usage, j.tier, j.Zone)
	n := min(int((unused+epsilon)/j.GPUs), len(j.Waiting))
	if j.Shape == wire.Gang && n < len(j.Waiting) {
		return 0
	}
	return n
}

// chargeCurrentJob adds the GPUs that the current job has been given to its tier's usage. They are the
// increase in its team's usage.
func (pl *planner) chargeCurrentJob() {
	t := pl.tiering
	if t.currentJob == nil {
		return
	}
	if team := pl.Teams[t.currentJob.Team]; team != nil {
		t.usage.Total[t.currentJob.tier] += team.UsedGPUs - t.teamGPUsBefore
		t.teamGPUsBefore = team.UsedGPUs
	}
}

// withholdUnlentShares withholds the unused shares of the tiers that don't lend to the given tier.
func (pl *planner) withholdUnlentShares(to int) {
	t := pl.tiering
	for i := range t.unlentShares {
		t.unlentShares[i].setActive(false)
	}
	t.unlentShares = t.unlentShares[:0]
	for i := range pl.Tiers.Tiers {
		if i == to || pl.Tiers.Lends(i, to) {
			continue
		}
		sum := 0.0
		for _, zone := range slices.Sorted(maps.Keys(t.shares[i].Zones)) {
			n := max(0, t.shares[i].Zones[zone]-t.usage.Zones[i][zone])
			pl.withholdGPUs(n, zone)
			sum += n
		}
		pl.withholdGPUs(tier.UnusedGuarantee(t.shares[i], t.usage, i, "")-sum, "")
	}
}

// withholdGPUs withholds n free GPUs on the emptiest machines of a zone, or of any zone if zone is empty.
func (pl *planner) withholdGPUs(n float64, zone string) {
	if n <= 0 {
		return
	}
	unfit := func(m *Machine) bool { return m.Free.GPUs < 1 || zone != "" && m.Zone != zone }
	free := slices.DeleteFunc(slices.Clone(pl.pool.usable), unfit)
	slices.SortStableFunc(free, func(a, b *Machine) int { return cmp.Compare(b.Free.GPUs, a.Free.GPUs) })
	for _, m := range free {
		gpus := min(n, m.Free.GPUs)
		w := withheldCapacity{machine: m, amount: m.Free.Scaled(gpus / m.Free.GPUs)}
		w.setActive(true)
		pl.tiering.unlentShares = append(pl.tiering.unlentShares, w)
		n -= gpus
		if n <= 0 {
			return
		}
	}
}
