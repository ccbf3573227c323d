package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// SpreadRule is the operator-defined rule for spreading the services of a class over zones.
type SpreadRule struct {
	Even    bool     // replica counts of any two zones differ by at most one, capacity permitting
	Survive float64  // fraction of the replicas that must survive the loss of any one zone
	Zones   []string // the permitted zones; empty permits all
}

func (r *SpreadRule) permitsZone(zone string) bool {
	return len(r.Zones) == 0 || slices.Contains(r.Zones, zone)
}

// maxPerZone returns how many replicas of a service may be in one zone so that enough survive the loss
// of that zone. It is at least one.
func (r *SpreadRule) maxPerZone(tasks int) int {
	return max(1, int(math.Floor(float64(tasks)*(1-r.Survive)+epsilon)))
}

// imbalance rates a number of replicas in one zone: first by the replicas beyond what the survival rule
// permits, then by evenness. Lower is better.
type imbalance struct{ excess, replicas int }

func (i imbalance) compare(other imbalance) int {
	return cmp.Or(cmp.Compare(i.excess, other.excess), cmp.Compare(i.replicas, other.replicas))
}

// imbalance rates having a number of replicas of a job in one zone.
func (r *SpreadRule) imbalance(j *Job, replicas int) (i imbalance) {
	if r.Survive > 0 {
		i.excess = max(0, replicas-r.maxPerZone(j.Tasks))
	}
	if r.Even {
		i.replicas = replicas
	}
	return i
}

// bestFitForSpread picks the machine for a replica of a service with a spread rule. It picks the zone with
// capacity that has the fewest replicas, and in that zone a machine that has the image, or else the
// emptiest machine.
func (s *search) bestFitForSpread() *Machine {
	best := make(map[string]candidate) // by zone
	for _, c := range s.withImage {
		if b, known := best[c.Zone]; zoneAllowed(s.job, s.tasksByZone, c.Zone) && (!known || betterCandidate(s.job, c, b)) {
			best[c.Zone] = c
		}
	}
	for _, m := range s.withoutImage {
		b, known := best[m.Zone]
		if known && b.hasImage(s.job.Image) || !zoneAllowed(s.job, s.tasksByZone, m.Zone) {
			continue
		}
		if !known || emptierMachine(s.job, m, b.Machine) {
			best[m.Zone] = candidate{Machine: m}
		}
	}
	return s.bestSpread(best)
}

// bestSpread picks the machine that leaves the service most balanced from one candidate per zone.
func (s *search) bestSpread(byZone map[string]candidate) *Machine {
	bestZone := ""
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		if bestZone == "" || s.spreadsBetter(byZone[zone].Machine, byZone[bestZone].Machine) {
			bestZone = zone
		}
	}
	return byZone[bestZone].Machine
}

// spreadsBetter reports whether a replica on a leaves its service more balanced than one on b. If both
// are equal, a machine that has the image is better.
func (s *search) spreadsBetter(a, b *Machine) bool {
	after := func(m *Machine) imbalance { return s.job.SpreadRule.imbalance(s.job, s.tasksByZone[m.Zone]+1) }
	fetches := func(m *Machine) int {
		if m.hasImage(s.job.Image) {
			return 0
		}
		return 1
	}
	return cmp.Or(after(a).compare(after(b)), cmp.Compare(fetches(a), fetches(b))) < 0
}

// replica is a task of a service that runs on a machine.
type replica struct {
	machine *Machine
	index   int // in machine.Tasks
}

// runningReplicas lists the running replicas of each service with a spread rule.
func (pl *planner) runningReplicas() map[*Job][]replica {
	running := make(map[*Job][]replica)
	for _, m := range pl.Machines {
		for i, t := range m.Tasks {
			if t.Job.SpreadRule != nil && t.RunTime > 0 && !t.Stopping && m.Usable {
				running[t.Job] = append(running[t.Job], replica{m, i})
			}
		}
	}
	return running
}

// rebalanceServices moves replicas of services that violate their spread rules: a replica is stopped
// and started in another zone. A replica can't run twice, so it is down during the move. Therefore at
// most one replica of a service and at most MaxMoves in total are down at once, and none is moved while
// production jobs wait.
func (pl *planner) rebalanceServices() {
	services := pl.servicesWithSpreadRule()
	if len(services) == 0 || pl.Sharded {
		return
	}
	running := pl.runningReplicas()
	moves := pl.MaxMoves - countDegraded(services, running)
	for _, j := range services {
		if len(running[j]) < j.Tasks || j.Shape != wire.Service {
			continue
		}
		from, to := pl.findMove(j, running[j])
		if to == nil {
			continue
		}
		pl.plan.SpreadViolated = true
		if pl.productionWaits || moves <= 0 {
			return
		}
		moves--
		pl.planMove(j, from, to)
	}
}

// servicesWithSpreadRule lists the jobs that have a spread rule.
func (pl *planner) servicesWithSpreadRule() (services []*Job) {
	for _, j := range pl.Jobs {
		if j.SpreadRule != nil {
			services = append(services, j)
		}
	}
	return services
}

// countDegraded counts the services that already have a replica down.
func countDegraded(services []*Job, running map[*Job][]replica) (degraded int) {
	for _, j := range services {
		if len(running[j]) < j.Tasks {
			degraded++
		}
	}
	return degraded
}

// findMove finds a replica of a service to move and the machine to move it to. The machine is nil if no
// move would make the service more balanced.
func (pl *planner) findMove(j *Job, running []replica) (from replica, to *Machine) {
	s := pl.newSearch(j, j.TasksByZone, "")
	s.scan()
	to = s.bestFitForSpread()
	if to == nil {
		return replica{}, nil
	}
	from = running[0]
	for _, r := range running {
		if j.TasksByZone[r.machine.Zone] > j.TasksByZone[from.machine.Zone] {
			from = r
		}
	}
	before := j.SpreadRule.imbalance(j, j.TasksByZone[from.machine.Zone])
	after := j.SpreadRule.imbalance(j, j.TasksByZone[to.Zone]+1)
	if before.compare(after) <= 0 {
		return replica{}, nil
	}
	return from, to
}

// planMove adds a stop of a replica to the plan, and reserves capacity for it on another machine.
func (pl *planner) planMove(j *Job, from replica, to *Machine) {
	t := &from.machine.Tasks[from.index]
	t.Stopping = true
	pl.plan.Stops = append(pl.plan.Stops, Stop{Job: j, TaskIndex: t.Index, Machine: from.machine.ID, Reason: "its service is spread to " + to.Zone})
	pl.occupy(j, to)
}
