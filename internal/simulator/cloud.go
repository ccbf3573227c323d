package simulator

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// Cloud imitates the cloud provider: it starts machines after their boot time, and lists and
// deletes them.
type Cloud struct {
	Types           []wire.MachineType
	Capacity        int                // machines in each zone
	CapacityByOffer map[Offer]int      // if set, replaces Capacity
	RPS             float64            // with bursts of two seconds' worth; 0 for no limit
	ListLag         time.Duration      // by which lists may be out of date
	BootTime        time.Duration      // 0 for the boot time of the machine type
	Subnet          string             // of the machines; 10.1.0. if it is empty
	AddrOf          func(n int) string // if set, returns the address of the n-th machine
	Rand            *rand.Rand
	Start           func(id, addr, typ, zone string, spot bool) Machine
	Faults          CloudFaults

	mu                sync.Mutex
	next              int
	machines          map[string]*instance
	idempotentAnswers map[string][]string
	rps               *rate.Limiter
	pastCost          float64 // of the machines that were deleted
}

// Offer is a kind of machine that can be rented.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// CloudFaults are the faults of a cloud.
type CloudFaults struct {
	Unavailable          bool          // every call is answered 503
	BootFactor           float64       // multiple of the boot time; 0 stands for 1
	NeverBootShare       float64       // share of machines that never come up
	MissingCapacityShare float64       // share of the capacity that is not available
	RentDelay            time.Duration // machines are rented this much later, without an answer
}

// Machine is what runs on a rented machine.
type Machine interface {
	// Kill ends the machine with everything on it.
	Kill()
}

// What a machine may support beside Kill. Worker supports all of it.
type (
	// NoticeReceiver is told that the cloud takes the machine back after a while.
	NoticeReceiver interface{ Notice(in time.Duration) }
	// Pauser can make no progress for a while.
	Pauser interface{ Pause(d time.Duration) }
	// Rebooter can restart; a forgetful machine loses its fencing token.
	Rebooter interface {
		Reboot(back time.Duration, forgetful bool)
	}
	// InboundDropper can lose everything that is sent to it.
	InboundDropper interface{ DropInbound(deaf bool) }
	// OutboundBlocker can be kept from opening connections.
	OutboundBlocker interface{ BlockOutbound(mute bool) }
	// StateReporter tells its free capacity; ok is false while nothing can be started there.
	StateReporter interface {
		State() (p MachineState, ok bool)
	}
)

// instance is a rented machine.
type instance struct {
	wire.ListedMachine
	worker      Machine
	rentedAt    time.Time
	deletedAt   time.Time
	crashedAt   time.Time // when it stopped on its own
	hourlyPrice float64
}

// Serve implements the protocol of the cloud.
func (c *Cloud) Serve() transport.ServeConn {
	c.mu.Lock()
	if c.machines == nil {
		c.machines, c.idempotentAnswers = map[string]*instance{}, map[string][]string{}
	}
	c.mu.Unlock()
	return serveHTTP(func(method, path string, q map[string]string, body []byte) (int, any) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.allowRequest() {
			return 429, nil
		}
		if c.Faults.Unavailable {
			return 503, wire.Failure{Error: "trouble"}
		}
		switch {
		case path == wire.PathTypes:
			return 200, map[string]any{"frames": c.Types}
		case path == wire.PathRelease:
			return c.serveRelease(body)
		case method == "POST":
			return c.serveRent(body)
		}
		limit, _ := strconv.Atoi(q["limit"])
		return 200, c.list(q["from"], limit)
	})
}

// allowRequest applies the limit on requests. The lock is held.
func (c *Cloud) allowRequest() bool {
	if c.RPS <= 0 {
		return true
	}
	if c.rps == nil {
		c.rps = rate.NewLimiter(rate.Limit(c.RPS), max(1, int(2*c.RPS)))
	}
	return c.rps.AllowN(time.Now(), 1)
}

// serveRelease answers the request to delete machines. The lock is held.
func (c *Cloud) serveRelease(body []byte) (int, any) {
	var names wire.MachineNames
	if err := wire.Decode(body, &names); err != nil || len(names.Machines) > wire.MaxRelease {
		return 400, wire.Failure{Error: "hives: at most 100 names"}
	}
	for _, id := range names.Machines {
		c.remove(id)
	}
	return 200, map[string]any{}
}

// serveRent answers the request to rent machines. The lock is held.
func (c *Cloud) serveRent(body []byte) (int, any) {
	var r wire.ScaleOutRequest
	if err := wire.Decode(body, &r); err != nil || r.RequestID == "" || r.Count < 1 || r.Count > wire.MaxScaleOut || c.typeOf(r.Type) == nil {
		return 400, wire.Failure{Error: "ask, frame, or how_many (1 to 50)"}
	}
	if late := c.Faults.RentDelay; late > 0 {
		time.AfterFunc(late, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.rentMachines(r)
		})
		return 0, nil
	}
	return c.rentMachines(r)
}

// typeOf returns a machine type by name, or nil.
func (c *Cloud) typeOf(name string) *wire.MachineType {
	for i := range c.Types {
		if c.Types[i].Name == name {
			return &c.Types[i]
		}
	}
	return nil
}

// freeCapacity returns how many more machines of an offer are available.
func (c *Cloud) freeCapacity(o Offer) int {
	all := c.Capacity
	if c.CapacityByOffer != nil {
		all = c.CapacityByOffer[o]
	}
	left := int(float64(all) * (1 - c.Faults.MissingCapacityShare))
	for _, m := range c.machines {
		if m.deletedAt.IsZero() && m.Zone == o.Zone && (c.CapacityByOffer == nil || m.Type == o.Type && m.Spot == o.Spot) {
			left--
		}
	}
	return left
}

// rentMachines handles a request to rent machines; a repeated request gets the same answer.
func (c *Cloud) rentMachines(r wire.ScaleOutRequest) (int, any) {
	if names, again := c.idempotentAnswers[r.RequestID]; again {
		return 200, wire.MachineNames{Machines: names}
	}
	names := []string{}
	for left := c.freeCapacity(Offer{r.Type, r.Zone, r.Spot}); len(names) < r.Count && left > 0; left-- {
		names = append(names, c.startMachine(r))
	}
	if len(names) == 0 {
		return 503, wire.Failure{Error: "no capacity"}
	}
	c.idempotentAnswers[r.RequestID] = names
	return 200, wire.MachineNames{Machines: names}
}

// startMachine rents one machine, which comes up after its boot time, or never.
func (c *Cloud) startMachine(r wire.ScaleOutRequest) string {
	c.next++
	id, ip := fmt.Sprintf("n-%06d", c.next), fmt.Sprintf("%s%d", cmp.Or(c.Subnet, "10.1.0."), c.next)
	addr := Address(ip, 9000)
	if c.AddrOf != nil {
		addr = c.AddrOf(c.next)
	}
	t := c.typeOf(r.Type)
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

// remove deletes a machine and ends what runs on it.
func (c *Cloud) remove(id string) {
	if m := c.machines[id]; m != nil && m.deletedAt.IsZero() {
		m.deletedAt = time.Now()
		c.pastCost += m.cost(m.deletedAt)
		if m.worker != nil {
			m.worker.Kill()
		}
	}
}

// cost returns what a machine has cost by a point in time; at least a minute is charged.
func (m *instance) cost(by time.Time) float64 {
	if !m.crashedAt.IsZero() {
		by = m.crashedAt
	}
	return m.hourlyPrice * max(by.Sub(m.rentedAt), time.Minute).Hours()
}

// Cost returns what all machines have cost so far, and how many are rented.
func (c *Cloud) Cost() (cost float64, machines int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cost = c.pastCost
	for _, m := range c.machines {
		if m.deletedAt.IsZero() {
			cost += m.cost(time.Now())
			machines++
		}
	}
	return cost, machines
}

// SetFaults changes the injected faults.
func (c *Cloud) SetFaults(change func(*CloudFaults)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.Faults)
}

// crashedListingTime is how long a crashed machine is still listed as running.
const crashedListingTime = 30 * time.Second

// EachRunning calls a function for each machine that is up, in order of their ids.
func (c *Cloud) EachRunning(do func(m wire.ListedMachine, w Machine)) {
	c.mu.Lock()
	all := c.running()
	c.mu.Unlock()
	for _, m := range all {
		do(m.ListedMachine, m.worker)
	}
}

// Crash ends a machine on its own; it remains listed.
func (c *Cloud) Crash(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[id]
	if m == nil || m.worker == nil || !m.deletedAt.IsZero() || !m.crashedAt.IsZero() {
		return
	}
	m.crashedAt = time.Now()
	m.worker.Kill()
	time.AfterFunc(crashedListingTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.Stage = wire.MachineFailed
	})
}

// Preempt takes a spot machine back, after a notice or at once.
func (c *Cloud) Preempt(id string, notice time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[id]
	if m == nil {
		return
	}
	if w, ok := m.worker.(NoticeReceiver); ok && notice > 0 {
		w.Notice(notice)
	}
	time.AfterFunc(notice, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.remove(id)
	})
}

// RemoveNth takes the n-th running machine back without a notice.
func (c *Cloud) RemoveNth(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.running(); len(w) > 0 {
		c.remove(w[n%len(w)].ID)
	}
}

// ZoneOf returns the zone of the machine at an address.
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

// AddrOfNth returns the address of the n-th running machine.
func (c *Cloud) AddrOfNth(n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.running(); len(w) > 0 {
		return w[n%len(w)].ListedMachine.Addr
	}
	return ""
}

// CountRunning returns how many machines are up.
func (c *Cloud) CountRunning() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running())
}

// running returns the machines that are up. The lock is held.
func (c *Cloud) running() []*instance {
	var out []*instance
	for _, id := range slices.Sorted(maps.Keys(c.machines)) {
		if m := c.machines[id]; m.worker != nil && m.deletedAt.IsZero() && m.crashedAt.IsZero() {
			out = append(out, m)
		}
	}
	return out
}

// list returns a page of machines as they were at some time within twice the list lag, a different
// one on each call.
func (c *Cloud) list(after string, limit int) wire.MachineList {
	at := time.Now().Add(-time.Duration(c.Rand.Int64N(int64(2*c.ListLag) + 1)))
	out := wire.MachineList{Machines: []wire.ListedMachine{}}
	for _, id := range slices.Sorted(maps.Keys(c.machines)) {
		m := c.machines[id]
		if id <= after || !m.rentedAt.Before(at) || !m.deletedAt.IsZero() && !m.deletedAt.After(at) {
			continue
		}
		if len(out.Machines) == min(cmp.Or(max(limit, 0), wire.MaxListPage), wire.MaxListPage) {
			out.More = true
			break
		}
		l := m.ListedMachine
		l.AgeS = at.Sub(m.rentedAt).Seconds()
		out.Machines = append(out.Machines, l)
	}
	return out
}

// Stop ends all machines.
func (c *Cloud) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.machines {
		c.remove(id)
	}
}
