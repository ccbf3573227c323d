package scheduler

import (
	"math"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// What is rented, and what is returned.

// price is what a machine costs, somewhat more in zones that have many, so that
// the fleet spreads.
func (pl *planner) price(t *wire.MachineType, spot bool, zone string) float64 {
	p := t.Price
	if spot {
		p = t.SpotPrice
	}
	total := len(pl.Machines) + len(pl.fresh)
	return p * (1 + 0.3*float64(pl.inZone[zone])/float64(max(30, total)))
}

// cost is what a task's share of a machine costs, with what others lose who
// need that type more.
func (pl *planner) cost(j *Job, t *wire.MachineType, spot bool) float64 {
	full := float64((Amount{t.CPUs, t.GPUs, t.MemoryGB}).Slots(Of(j.Job)))
	if full == 0 {
		return math.Inf(1)
	}
	p := t.Price
	if spot {
		p = t.SpotPrice
	}
	return (p + pl.regret(j, t, spot)) / full
}

// scarce is the part of another class's loss that counts: how much there is of
// a type is not known before it has run out, and then it is too late, since
// services never leave the machines that they begin on.
const scarce = 0.5

// regret is what another class of jobs would lose, at the most, if there were
// one machine less of a type, by having to take the next best.
func (pl *planner) regret(j *Job, t *wire.MachineType, spot bool) float64 {
	most := 0.0
	for _, k := range pl.kinds {
		if k.job.Class == j.Class || spot && !k.job.Spot {
			continue
		}
		own, other := math.Inf(1), math.Inf(1)
		for i := range pl.Types {
			u := &pl.Types[i]
			if len(k.job.Types) > 0 && !slices.Contains(k.job.Types, u.Name) {
				continue
			}
			full := float64((Amount{u.CPUs, u.GPUs, u.MemoryGB}).Slots(k.need))
			p := u.Price / full
			if k.job.Spot {
				p = u.SpotPrice / full
			}
			if u.Name == t.Name {
				own = p
			} else {
				other = min(other, p)
			}
		}
		if k.job.Spot == spot && own < other && !math.IsInf(other, 1) {
			slots := float64((Amount{t.CPUs, t.GPUs, t.MemoryGB}).Slots(k.need))
			most = max(most, scarce*(other-own)*slots)
		}
	}
	return most
}

// offer picks the cheapest offer for a task, counting the price of the share
// that the job can fill; its cost is infinite when there is none. One of which no
// more can be asked for now is left to those who find no other.
func (s *search) offer() (best Offer, cost float64) {
	pl, j := s.pl, s.j
	price, cost, spent := math.Inf(1), math.Inf(1), true
	for i := range pl.Types {
		t := &pl.Types[i]
		full := float64((Amount{t.CPUs, t.GPUs, t.MemoryGB}).Slots(s.need))
		slots := min(full, float64(len(j.Waiting)))
		if slots == 0 {
			continue
		}
		for _, spot := range []bool{true, false} {
			share := pl.cost(j, t, spot)
			for _, zone := range t.Zones {
				o := Offer{t.Name, zone, spot}
				if pl.Refused[o] || !allowed(j, o) || s.zone != "" && s.zone != zone || !zoneOpen(j, s.in, zone) {
					continue
				}
				// The share of the machine that the job leaves empty is mostly
				// of use to others: count half of it.
				p := share * pl.price(t, spot, zone) / pl.price(t, spot, "")
				p += 0.5 * p * (full/slots - 1)
				most, limited := pl.Most[o]
				over := limited && pl.asked[o] >= most
				if (p < price && over == spent || spent && !over) && (s.limit == 0 || p <= s.limit) {
					best, price, cost, spent = o, p, share, over
				}
			}
		}
	}
	return best, cost
}

// rentFor adds a machine that would be rented for a job.
func (pl *planner) rentFor(j *Job, o Offer) *Machine {
	m := pl.hypothetical(o)
	m.place = j.place
	return m
}

// hypothetical adds a machine that would be rented, for what is yet to come.
func (pl *planner) hypothetical(o Offer) *Machine {
	t := pl.types[o.Type]
	m := &Machine{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Booting: true, Free: Amount{t.CPUs, t.GPUs, t.MemoryGB}, offer: pl.offerOf(o), place: len(pl.Jobs)}
	if pl.asked == nil {
		pl.asked = make(map[Offer]int)
	}
	pl.asked[o]++
	pl.fresh = append(pl.fresh, m)
	pl.booting[m.offer] = append(pl.booting[m.offer], m)
	pl.inZone[m.Zone]++
	return m
}

func (pl *planner) rent() {
	at := make(map[Offer]int)
	for _, m := range pl.fresh {
		o := Offer{m.Type, m.Zone, m.Spot}
		i, known := at[o]
		if !known {
			i, at[o] = len(pl.plan.Rents), len(pl.plan.Rents)
			pl.plan.Rents = append(pl.plan.Rents, Rent{Offer: o, Place: m.place})
		}
		r := &pl.plan.Rents[i]
		r.Count, r.Place = r.Count+1, min(r.Place, m.place)
	}
}

// release returns machines that have been idle for long, but keeps room for
// the next service that comes.
func (pl *planner) release() {
	for _, m := range pl.Machines {
		if !m.taken && m.Usable && len(m.Tasks) == 0 && m.Idle > pl.Idle && pl.spare(m) {
			m.Usable = false
			pl.plan.Releases = append(pl.plan.Releases, m.ID)
		}
	}
}

// spare reports whether every class of services still finds room for one more
// task when a machine is gone.
func (pl *planner) spare(without *Machine) bool {
	if pl.services == nil {
		asked := make(map[string]bool)
		pl.services = []*Job{}
		for _, j := range pl.Jobs {
			if j.Shape == wire.Service && !asked[j.Class] {
				asked[j.Class] = true
				pl.services = append(pl.services, j)
			}
		}
	}
	for _, j := range pl.services {
		if !slices.ContainsFunc(pl.usable, func(m *Machine) bool {
			return m != without && m.Usable && m.Free.Fits(Of(j.Job)) && allowed(j, pl.offers[m.offer])
		}) {
			return false
		}
	}
	return true
}
