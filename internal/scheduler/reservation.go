package scheduler

import (
	"maps"
	"math"
	"slices"
)

// reserveMachines picks the machines that are gathered before anything is placed, so that what goes
// before the gangs takes other room where there is any.
func (pl *planner) reserveMachines() {
	at := pl.savepoint()
	for _, j := range pl.reservingGangs {
		j.reservedMachines = pl.selectReservation(j)
		for _, m := range j.reservedMachines {
			if m.reservedFor == nil {
				m.reservedFor = j
			}
			pl.occupy(j, m)
		}
	}
	pl.rollback(at)
}

// selectReservation picks the slots with the least to wait for, all in one zone where the gang must be.
// What could surely be rented sooner is left out.
func (pl *planner) selectReservation(j *Job) []*Machine {
	zones, need := make(map[string]*slotList), ResourcesOf(j.Job)
	add := func(m *Machine, wait float64) {
		zone := j.Zone
		if j.OneZone {
			zone = m.Zone
		}
		if zones[zone] == nil {
			zones[zone] = &slotList{wanted: len(j.Waiting), cutoff: math.Inf(1)}
		}
		zones[zone].add(slot{m, wait}, j.Spread)
	}
	may := make([]bool, len(pl.offers))
	for i, o := range pl.offers {
		may[i] = allowsOffer(j, o)
		t := pl.types[o.Type]
		if t == nil || !may[i] {
			continue
		}
		for _, m := range pl.booting[i] {
			if m.ID == "" && pl.Doubtful[o] {
				continue // what is asked for there will hardly come
			}
			for range min(m.Free.Slots(need), len(j.Waiting)) {
				add(m, t.BootS)
			}
		}
	}
	for _, m := range pl.usable {
		if may[m.offerIndex] && !j.AvoidMachines[m.ID] {
			pl.futureSlots(need, len(j.Waiting), m, add)
		}
	}
	var best []slot
	least := math.Inf(1)
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		boot := pl.bootTimeIn(j, zone).Seconds()
		picks, sum := pickLeastWait(j, zones[zone], boot)
		if lacks := len(j.Waiting) - len(picks); lacks > 0 && boot == 0 {
			continue
		} else if sum += boot * float64(lacks); sum < least {
			best, least = picks, sum
		}
	}
	out := make([]*Machine, len(best))
	for i, s := range best {
		out[i] = s.Machine
	}
	return out
}

// holdReservation holds what is gathered for a gang that finds no room yet, and has the rest
// rented where that can be.
func (pl *planner) holdReservation(j *Job) (picks []*Machine) {
	for _, zone := range pl.candidateZones(j) {
		if picks := pl.placeOnRunning(j, zone); picks != nil {
			return picks
		}
	}
	at, zone := pl.savepoint(), j.Zone
	for _, m := range j.reservedMachines {
		pl.occupy(j, m)
		if j.OneZone {
			zone = m.Zone
		}
	}
	if picks = slices.Clone(j.reservedMachines); len(picks) == len(j.Waiting) {
		return picks
	}
	s := pl.newSearch(j, maps.Clone(j.InZone), zone)
	for _, m := range picks {
		s.tasksByZone[m.Zone]++
	}
	for s.noPreempt = true; len(picks) < len(j.Waiting); {
		m := s.soonestMachine()
		if m == nil {
			pl.rollback(at)
			return nil
		}
		s.place(m)
		picks = append(picks, m)
	}
	return picks
}
