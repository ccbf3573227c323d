package scheduler

import (
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// machinePool indexes the machines by state and offer, including those that the plan would rent.
// Offers are numbered, so that data per offer can be kept in slices.
type machinePool struct {
	types     map[string]*wire.MachineType
	maxTasks  int // on one machine; 0 for no limit
	offers    []Offer
	usable    []*Machine
	stopping  []*Machine     // usable machines with stopping tasks
	booting   [][]*Machine   // by offer index, including added machines
	added     []*Machine     // machines that the plan would rent
	requested map[Offer]int  // number of added machines
	inZone    map[string]int // number of machines by zone, including added ones
}

func newMachinePool(types []wire.MachineType, maxTasks int) machinePool {
	p := machinePool{maxTasks: maxTasks, types: make(map[string]*wire.MachineType), requested: make(map[Offer]int), inZone: make(map[string]int)}
	for i := range types {
		p.types[types[i].Name] = &types[i]
	}
	return p
}

// insert adds an existing machine to the pool.
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

// add creates a machine that the plan would rent, and adds it to the pool.
func (p *machinePool) add(o Offer, queuePosition int) *Machine {
	m := &Machine{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Booting: true, Free: CapacityOf(p.types[o.Type], p.maxTasks)}
	m.offerIndex, m.queuePosition = p.offerIndex(o), queuePosition
	p.added = append(p.added, m)
	p.booting[m.offerIndex] = append(p.booting[m.offerIndex], m)
	p.requested[o]++
	p.inZone[m.Zone]++
	return m
}

// truncateAdded removes all added machines except the first n.
func (p *machinePool) truncateAdded(n int) {
	for _, m := range p.added[n:] {
		p.inZone[m.Zone]--
		p.requested[p.offers[m.offerIndex]]--
		p.booting[m.offerIndex] = p.booting[m.offerIndex][:len(p.booting[m.offerIndex])-1]
	}
	p.added = p.added[:n]
}

// offerIndex returns the index of an offer, and registers the offer if it is new.
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

// countTasks sums the resources of the machine's tasks, and returns the lowest priority rank of those
// that are not stopping.
func (m *Machine) countTasks() (lowestRank int) {
	lowestRank = priorityRanks
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
