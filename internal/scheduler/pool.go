package scheduler

import (
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// machinePool holds the machines by what they are good for, those included that the plan would
// rent. Offers are numbered, so that what is known of each is kept in slices.
type machinePool struct {
	types     map[string]*wire.MachineType
	offers    []Offer
	usable    []*Machine
	stopping  []*Machine     // usable ones on which tasks are being stopped
	booting   [][]*Machine   // by offer, added ones included
	added     []*Machine     // that the plan would rent
	requested map[Offer]int  // how many were added
	inZone    map[string]int // how many there are, added ones included
}

func newMachinePool(types []wire.MachineType) machinePool {
	p := machinePool{types: make(map[string]*wire.MachineType), requested: make(map[Offer]int), inZone: make(map[string]int)}
	for i := range types {
		p.types[types[i].Name] = &types[i]
	}
	return p
}

// insert takes in a machine that is there.
func (p *machinePool) insert(m *Machine) {
	m.offerIndex = p.offerIndex(Offer{m.Type, m.Zone, m.Spot})
	p.inZone[m.Zone]++
	switch {
	case m.Usable:
		p.usable = append(p.usable, m)
		if m.stopping != (Resources{}) {
			p.stopping = append(p.stopping, m)
		}
	case m.Booting:
		p.booting[m.offerIndex] = append(p.booting[m.offerIndex], m)
	}
}

// add takes in a machine that the plan would rent.
func (p *machinePool) add(o Offer, queuePosition int) *Machine {
	m := &Machine{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Booting: true, Free: capacityOf(p.types[o.Type])}
	m.offerIndex, m.queuePosition = p.offerIndex(o), queuePosition
	p.added = append(p.added, m)
	p.booting[m.offerIndex] = append(p.booting[m.offerIndex], m)
	p.requested[o]++
	p.inZone[m.Zone]++
	return m
}

// keepAdded takes back all added machines but the first n.
func (p *machinePool) keepAdded(n int) {
	for _, m := range p.added[n:] {
		p.inZone[m.Zone]--
		p.requested[p.offers[m.offerIndex]]--
		p.booting[m.offerIndex] = p.booting[m.offerIndex][:len(p.booting[m.offerIndex])-1]
	}
	p.added = p.added[:n]
}

// offerIndex returns the number of an offer, a new one where it has none yet.
func (p *machinePool) offerIndex(o Offer) int {
	i := slices.Index(p.offers, o)
	if i < 0 {
		i = len(p.offers)
		p.offers, p.booting = append(p.offers, o), append(p.booting, nil)
	}
	return i
}

// typeOf returns the type of a machine, or nil if the cloud no longer offers it.
func (p *machinePool) typeOf(m *Machine) *wire.MachineType { return p.types[m.Type] }

// countTasks sums what the machine's tasks use, and gives the least rank of those that are not
// being stopped yet.
func (m *Machine) countTasks() (lowestRank int) {
	lowestRank = ranks
	for _, t := range m.Tasks {
		rank := t.Job.Priority.Rank()
		switch {
		case !t.Stopping:
			m.loadByRank[rank] = m.loadByRank[rank].AddScaled(ResourcesOf(t.Job.Job), 1)
			lowestRank = min(lowestRank, rank)
		case !t.StopOverdue:
			m.stopping = m.stopping.AddScaled(ResourcesOf(t.Job.Job), 1)
		}
	}
	return lowestRank
}
