package scheduler

import (
	"maps"
	"math"
	"slices"
)

// reserveMachines picks the machines of all reservations before any job is placed, so that jobs that are placed before
// the gangs use other capacity if there is any.
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

// selectReservation picks the machines whose slots have the least total wait for a gang, all in one zone if the gang
// requires it. Slots that take longer than a machine that can surely be rented are left out.
func (pl *planner) selectReservation(j *Job) []*Machine {
	slots := pl.slotsByZone(j)
	var best []slot
	least := math.Inf(1)
	for _, zone := range slices.Sorted(maps.Keys(slots)) {
		bootSeconds := pl.bootTimeIn(j, zone).Seconds()
		picks, wait := pickLeastWait(j, slots[zone], bootSeconds)
		missing := len(j.Waiting) - len(picks)
		if missing > 0 && bootSeconds == 0 {
			continue // the missing machines cannot be rented
		}
		wait += bootSeconds * float64(missing)
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

// holdReservation finds capacity for a gang with a reservation that can't be launched yet: on running machines if
// preempting other work is enough, else on the reserved machines, with the rest found by soonestMachine, which may rent
// machines. On failure it changes nothing.
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
	s := pl.newSearch(j, maps.Clone(j.TasksByZone), zone)
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
