package scheduler

import (
	"maps"
	"math"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// valuation estimates the worth of free capacity to the current jobs. It counts each class separately,
// so that the loss caused by placing a task shows: for example, memory taken from a machine with idle
// GPUs, which then can't be used, or a small machine that only small tasks can use.
type valuation []classProfile

// classProfile describes a class of jobs: the average need of its tasks, their number, and the worth of
// one task, which is the price of its share of the cheapest machine.
type classProfile struct {
	representative *Job // first job of the class; determines which machine types the class may use
	averageNeed    Resources
	tasks          float64
	worth          float64
}

// newValuation profiles all classes of jobs whose tasks fit on some machine type.
func newValuation(jobs []*Job, types []wire.MachineType) (v valuation) {
	byClass := make(map[string]*classProfile)
	for _, j := range jobs {
		profile := byClass[j.Class]
		if profile == nil {
			profile = &classProfile{representative: j}
			byClass[j.Class] = profile
		}
		tasks := float64(len(j.Waiting) + j.ActiveTasks)
		profile.averageNeed = profile.averageNeed.AddScaled(ResourcesOf(j.Job), tasks)
		profile.tasks += tasks
	}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		profile := byClass[class]
		if profile.tasks == 0 {
			continue
		}
		profile.averageNeed = profile.averageNeed.Scaled(1 / profile.tasks)
		profile.worth = cheapestOnDemandSharePrice(profile.averageNeed, types)
		if !math.IsInf(profile.worth, 1) {
			v = append(v, *profile)
		}
	}
	return v
}

// cheapestOnDemandSharePrice returns the lowest price of a task's share of an on-demand machine; it is
// infinite if the task fits on no type.
func cheapestOnDemandSharePrice(need Resources, types []wire.MachineType) float64 {
	cheapest := math.Inf(1)
	for i := range types {
		if slots := capacityOf(&types[i]).Slots(need); slots > 0 {
			cheapest = min(cheapest, types[i].Price/float64(slots))
		}
	}
	return cheapest
}

// worthOf returns the worth of a machine's free capacity.
func (v valuation) worthOf(free Resources) float64 {
	sum := 0.0
	for _, profile := range v {
		sum += profile.tasks * profile.worth * float64(max(0, free.Slots(profile.averageNeed)))
	}
	return sum
}

// lossFromPlacing returns by how much placing a task reduces the worth of a machine's free capacity.
func (v valuation) lossFromPlacing(m *Machine, need Resources) float64 {
	return v.worthOf(m.Free) - v.worthOf(m.Free.AddScaled(need, -1))
}

// opportunityCostShare is the fraction of another class's loss that counts. How many machines of a type
// the cloud has is not known until it runs out, and then it is too late, since services never leave the
// machines that they start on.
const opportunityCostShare = 0.5

// opportunityCost returns the largest loss of any other class of jobs if one machine of type t were
// missing and the class had to use its next cheapest type.
func (v valuation) opportunityCost(j *Job, t *wire.MachineType, spot bool, types []wire.MachineType) float64 {
	highest := 0.0
	for i := range v {
		profile := &v[i]
		if profile.representative.Class == j.Class || spot != profile.representative.Spot {
			continue
		}
		own, other := profile.sharePrices(t, types)
		if own < other && !math.IsInf(other, 1) {
			slots := float64(capacityOf(t).Slots(profile.averageNeed))
			highest = max(highest, opportunityCostShare*(other-own)*slots)
		}
	}
	return highest
}

// sharePrices returns the price of a task's share of a machine of type t, and of the cheapest other type
// that the class may use. A price is infinite if the class may not use such a type.
func (p *classProfile) sharePrices(t *wire.MachineType, types []wire.MachineType) (own, other float64) {
	own, other = math.Inf(1), math.Inf(1)
	for i := range types {
		machineType := &types[i]
		if len(p.representative.Types) > 0 && !slices.Contains(p.representative.Types, machineType.Name) {
			continue
		}
		share := priceOf(machineType, p.representative.Spot) / float64(capacityOf(machineType).Slots(p.averageNeed))
		if machineType.Name == t.Name {
			own = share
		} else {
			other = min(other, share)
		}
	}
	return own, other
}
