package scheduler

import (
	"maps"
	"math"
	"slices"
)

// reserveMachines picks the machines of all reservations before anything is placed, so that what
// is placed before the gangs takes other capacity where there is any.
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

// selectReservation picks the slots with the least to wait for, all in one zone where the gang
// must be. What could surely be rented sooner is left out.
func (pl *planner) selectReservation(j *Job) []*Machine {
	slots := pl.slotsByZone(j)
	var best []slot
	least := math.Inf(1)
	for _, zone := range slices.Sorted(maps.Keys(slots)) {
		boot := pl.bootTimeIn(j, zone).Seconds()
		picks, wait := pickLeastWait(j, slots[zone], boot)
		missing := len(j.Waiting) - len(picks)
		if missing > 0 && boot == 0 {
			continue // they can't be rented
		}
		wait += boot * float64(missing)
		if wait < least {
			best, least = picks, wait
		}
	}
	machines := make([]*Machine, len(best))
	for i, s := range best {
		machines[i] = s.Machine
	}
	return machines
}

// holdReservation occupies what is reserved for a gang that finds no capacity yet, and has the
// rest rented where that can be; on failure it leaves everything as it was.
func (pl *planner) holdReservation(j *Job) []*Machine {
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
	picks := slices.Clone(j.reservedMachines)
	if len(picks) == len(j.Waiting) {
		return picks
	}
	s := pl.newSearch(j, maps.Clone(j.InZone), zone)
	s.noPreempt = true
	for _, m := range picks {
		s.tasksByZone[m.Zone]++
	}
	for len(picks) < len(j.Waiting) {
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
