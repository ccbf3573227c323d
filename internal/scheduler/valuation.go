package scheduler

import (
	"maps"
	"math"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// valuation measures what capacity is worth to the work at hand. Counting each class by itself
// shows what placing a task spoils: memory gone from beside idle GPUs, or a small machine that
// only small work can use.
type valuation []classProfile

// classProfile is what the tasks of a class need on average, how many there are, and what one is
// worth: its share of the cheapest machine.
type classProfile struct {
	representative *Job // one of the class, for what it may use
	averageNeed    Resources
	tasks          float64
	worth          float64
}

// newValuation profiles all classes of jobs that fit some type of machine.
func newValuation(jobs []*Job, types []wire.MachineType) (v valuation) {
	byClass := make(map[string]*classProfile)
	for _, j := range jobs {
		k := byClass[j.Class]
		if k == nil {
			k = &classProfile{representative: j}
			byClass[j.Class] = k
		}
		n := float64(len(j.Waiting) + j.Active)
		k.averageNeed = k.averageNeed.AddScaled(ResourcesOf(j.Job), n)
		k.tasks += n
	}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		k := byClass[class]
		if k.tasks == 0 {
			continue
		}
		k.averageNeed = k.averageNeed.Scaled(1 / k.tasks)
		k.worth = cheapestOnDemandSharePrice(k.averageNeed, types)
		if !math.IsInf(k.worth, 1) {
			v = append(v, *k)
		}
	}
	return v
}

// cheapestOnDemandSharePrice returns the least price of a task's share of an on-demand machine.
func cheapestOnDemandSharePrice(need Resources, types []wire.MachineType) float64 {
	least := math.Inf(1)
	for i := range types {
		if n := capacityOf(&types[i]).Slots(need); n > 0 {
			least = min(least, types[i].Price/float64(n))
		}
	}
	return least
}

// of returns what free capacity of a machine is worth.
func (v valuation) worthOf(free Resources) float64 {
	sum := 0.0
	for _, k := range v {
		sum += k.tasks * k.worth * float64(max(0, free.Slots(k.averageNeed)))
	}
	return sum
}

// lost returns what placing a task takes from the worth of a machine's free capacity.
func (v valuation) lost(m *Machine, need Resources) float64 {
	return v.worthOf(m.Free) - v.worthOf(m.Free.AddScaled(need, -1))
}

// opportunityCostShare is the part of another class's loss that counts: how much the cloud has of
// a type is not known before it has run out, and then it is too late, since services never leave
// the machines that they begin on.
const opportunityCostShare = 0.5

// opportunityCost returns what another class of jobs would lose, at most, by having to take the
// next best type if there were one machine less of type t.
func (v valuation) opportunityCost(j *Job, t *wire.MachineType, spot bool, types []wire.MachineType) float64 {
	most := 0.0
	for i := range v {
		k := &v[i]
		if k.representative.Class == j.Class || spot != k.representative.Spot {
			continue
		}
		own, other := k.sharePrices(t, types)
		if own < other && !math.IsInf(other, 1) {
			slots := float64(capacityOf(t).Slots(k.averageNeed))
			most = max(most, opportunityCostShare*(other-own)*slots)
		}
	}
	return most
}

// sharePrices returns the price of a task's share of a machine of type t, and of the cheapest other
// type that the class may use; infinite where it may use none.
func (k *classProfile) sharePrices(t *wire.MachineType, types []wire.MachineType) (own, other float64) {
	own, other = math.Inf(1), math.Inf(1)
	for i := range types {
		u := &types[i]
		if len(k.representative.Types) > 0 && !slices.Contains(k.representative.Types, u.Name) {
			continue
		}
		share := priceOf(u, k.representative.Spot) / float64(capacityOf(u).Slots(k.averageNeed))
		if u.Name == t.Name {
			own = share
		} else {
			other = min(other, share)
		}
	}
	return own, other
}
