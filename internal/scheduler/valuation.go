package scheduler

import (
	"maps"
	"math"
	"slices"
)

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
