package simulator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// instance is a rented machine.
type instance struct {
	wire.ListedMachine
	worker      Machine
	rentedAt    time.Time
	deletedAt   time.Time
	crashedAt   time.Time // zero unless the machine crashed
	hourlyPrice float64
}

// freeCapacity returns how many more machines of an offer are available.
func (c *Cloud) freeCapacity(o Offer) int {
	capacity := c.Capacity
	if c.CapacityByOffer != nil {
		capacity = c.CapacityByOffer[o]
	}
	free := int(float64(capacity) * (1 - c.Faults.MissingCapacityShare))
	for _, m := range c.machines {
		if m.deletedAt.IsZero() && m.Zone == o.Zone && (c.CapacityByOffer == nil || m.Type == o.Type && m.Spot == o.Spot) {
			free--
		}
	}
	return free
}

// rentMachines rents up to as many machines as requested. It is idempotent: a request that is repeated
// with the same request ID gets the same answer.
func (c *Cloud) rentMachines(r wire.ScaleOutRequest) (int, any) {
	if names, repeated := c.rentedByRequest[r.RequestID]; repeated {
		return 200, wire.MachineIDs{Machines: names}
	}
	names := []string{}
	for left := c.freeCapacity(Offer{r.Type, r.Zone, r.Spot}); len(names) < r.Count && left > 0; left-- {
		names = append(names, c.startMachine(r))
	}
	if len(names) == 0 {
		return 503, wire.Failure{Error: "no capacity"}
	}
	c.rentedByRequest[r.RequestID] = names
	return 200, wire.MachineIDs{Machines: names}
}

// startMachine rents one machine and returns its ID. The machine starts after its boot time, or never
// for the share NeverBootShare.
func (c *Cloud) startMachine(r wire.ScaleOutRequest) string {
	c.rentedCount++
	id, ip := fmt.Sprintf("n-%06d", c.rentedCount), fmt.Sprintf("%s%d", cmp.Or(c.Subnet, "10.1.0."), c.rentedCount)
	addr := Address(ip, 9000)
	if c.AddrOf != nil {
		addr = c.AddrOf(c.rentedCount)
	}
	t := c.machineType(r.Type)
	m := &instance{ListedMachine: wire.ListedMachine{ID: id, Addr: addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Stage: wire.MachineStarting}, rentedAt: time.Now(), hourlyPrice: t.Price}
	if r.Spot {
		m.hourlyPrice = t.SpotPrice
	}
	c.machines[id] = m
	boot := time.Duration(float64(cmp.Or(c.BootTime, wire.Seconds(t.BootS))) * cmp.Or(c.Faults.BootFactor, 1))
	if c.Faults.NeverBootShare > 0 && c.Rand.Float64() < c.Faults.NeverBootShare {
		return id
	}
	time.AfterFunc(boot, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.deletedAt.IsZero() {
			m.Stage = wire.MachineRunning
			m.worker = c.Start(id, m.Addr, m.Type, m.Zone, m.Spot)
		}
	})
	return id
}

// remove deletes a machine and terminates the process that runs on it.
func (c *Cloud) remove(id string) {
	if m := c.machines[id]; m != nil && m.deletedAt.IsZero() {
		m.deletedAt = time.Now()
		c.deletedCost += m.cost(m.deletedAt)
		if m.worker != nil {
			m.worker.Kill()
		}
	}
}

// cost returns what a machine has cost until a point in time, or until its crash. At least one minute
// is charged.
func (m *instance) cost(until time.Time) float64 {
	if !m.crashedAt.IsZero() {
		until = m.crashedAt
	}
	return m.hourlyPrice * max(until.Sub(m.rentedAt), time.Minute).Hours()
}

// Cost returns what all machines have cost so far, and how many are rented at present.
func (c *Cloud) Cost() (cost float64, machines int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cost = c.deletedCost
	for _, m := range c.machines {
		if m.deletedAt.IsZero() {
			cost += m.cost(time.Now())
			machines++
		}
	}
	return cost, machines
}

// EachRunning calls do for each running machine, in the order of their IDs and without holding the
// lock.
func (c *Cloud) EachRunning(do func(m wire.ListedMachine, w Machine)) {
	c.mu.Lock()
	machines := c.running()
	c.mu.Unlock()
	for _, m := range machines {
		do(m.ListedMachine, m.worker)
	}
}

// ZoneOf returns the zone of the machine at an address, or "" if there is none.
func (c *Cloud) ZoneOf(addr string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.Addr == addr {
			return m.Zone
		}
	}
	return ""
}

// AddrOfNth returns the address of the n-th running machine, or "" if none is running; n wraps around.
func (c *Cloud) AddrOfNth(n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if up := c.running(); len(up) > 0 {
		return up[n%len(up)].ListedMachine.Addr
	}
	return ""
}

// IDOfNth returns the ID of the n-th running machine, or "" if none is running; n wraps around.
func (c *Cloud) IDOfNth(n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if up := c.running(); len(up) > 0 {
		return up[n%len(up)].ListedMachine.ID
	}
	return ""
}

// CountRunning returns the number of running machines.
func (c *Cloud) CountRunning() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running())
}

// running returns the running machines in the order of their IDs. The caller holds the lock.
func (c *Cloud) running() []*instance {
	var out []*instance
	for _, id := range slices.Sorted(maps.Keys(c.machines)) {
		if m := c.machines[id]; m.worker != nil && m.deletedAt.IsZero() && m.crashedAt.IsZero() {
			out = append(out, m)
		}
	}
	return out
}
