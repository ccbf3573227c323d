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

// Cloud is a stand-in of the cloud: it starts workers after their boot time.
type Cloud struct {
	Types    []wire.MachineType
	Capacity int                // of machines, in each zone
	Rooms    map[Offer]int      // of each type, zone and kind instead, if it is set
	RPS      float64            // with bursts of two seconds' worth; 0 stands for none
	Lag      time.Duration      // of lists
	Boot     time.Duration      // 0 stands for what each type says
	Subnet   string             // of the machines, 10.1.0. if it is empty
	Addr     func(n int) string // gives the address of the n-th machine instead, if it is set
	Rand     *rand.Rand
	Start    func(id, addr, typ, zone string, spot bool) Machine
	Faults   CloudFaults

	mu       sync.Mutex
	next     int
	machines map[string]*rented
	answers  map[string][]string
	rps      *rate.Limiter
	spent    float64 // price times hours, of machines that are gone
}

// Offer is what can be rented.
type Offer struct {
	Type, Zone string
	Spot       bool
}

// CloudFaults is what goes wrong in a cloud.
type CloudFaults struct {
	Trouble   bool          // every call is answered 503
	BootTimes float64       // times the boot time; 0 stands for 1
	NeverUp   float64       // share of the machines that never come up
	Fewer     float64       // share of the capacity that is not to be had
	Late      time.Duration // by which rentals are carried out late, without an answer
}

// Machine is what runs on a rented machine.
type Machine interface {
	// Kill ends the machine with all that is on it.
	Kill()
}

type rented struct {
	wire.ListedMachine
	worker  Machine
	since   time.Time
	deleted time.Time
	dead    time.Time // when it stopped on its own
	price   float64   // an hour
}

// Serve answers the protocol of the cloud.
func (c *Cloud) Serve() transport.ServeConn {
	c.mu.Lock()
	if c.machines == nil {
		c.machines, c.answers = map[string]*rented{}, map[string][]string{}
	}
	c.mu.Unlock()
	return handler(func(method, path string, q map[string]string, body []byte) (int, any) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.RPS > 0 {
			if c.rps == nil {
				c.rps = rate.NewLimiter(rate.Limit(c.RPS), max(1, int(2*c.RPS)))
			}
			if !c.rps.AllowN(time.Now(), 1) {
				return 429, nil
			}
		}
		if c.Faults.Trouble {
			return 503, wire.Failure{Error: "trouble"}
		}
		switch {
		case path == wire.PathTypes:
			return 200, map[string]any{"frames": c.Types}
		case path == wire.PathRelease:
			var names wire.MachineNames
			if err := wire.Decode(body, &names); err != nil || len(names.Machines) > wire.MaxRelease {
				return 400, wire.Failure{Error: "hives: at most 100 names"}
			}
			for _, id := range names.Machines {
				c.remove(id)
			}
			return 200, map[string]any{}
		case method == "POST":
			var r wire.Rental
			if err := wire.Decode(body, &r); err != nil || r.Ask == "" || r.Count < 1 || r.Count > wire.MaxRent || c.typeOf(r.Type) == nil {
				return 400, wire.Failure{Error: "ask, frame, or how_many (1 to 50)"}
			}
			if late := c.Faults.Late; late > 0 {
				time.AfterFunc(late, func() {
					c.mu.Lock()
					defer c.mu.Unlock()
					c.rent(r)
				})
				return 0, nil
			}
			return c.rent(r)
		}
		limit, _ := strconv.Atoi(q["limit"])
		return 200, c.list(q["from"], limit)
	})
}

func (c *Cloud) typeOf(name string) *wire.MachineType {
	for i := range c.Types {
		if c.Types[i].Name == name {
			return &c.Types[i]
		}
	}
	return nil
}

// room tells how many more machines of an offer there are.
func (c *Cloud) room(o Offer) int {
	all := c.Capacity
	if c.Rooms != nil {
		all = c.Rooms[o]
	}
	left := int(float64(all) * (1 - c.Faults.Fewer))
	for _, m := range c.machines {
		if m.deleted.IsZero() && m.Zone == o.Zone && (c.Rooms == nil || m.Type == o.Type && m.Spot == o.Spot) {
			left--
		}
	}
	return left
}

func (c *Cloud) rent(r wire.Rental) (int, any) {
	if names, again := c.answers[r.Ask]; again {
		return 200, wire.MachineNames{Machines: names}
	}
	names := []string{}
	for left := c.room(Offer{r.Type, r.Zone, r.Spot}); len(names) < r.Count && left > 0; left-- {
		names = append(names, c.start(r))
	}
	if len(names) == 0 {
		return 503, wire.Failure{Error: "no capacity"}
	}
	c.answers[r.Ask] = names
	return 200, wire.MachineNames{Machines: names}
}

// start rents a machine, which comes up after its boot time, or never.
func (c *Cloud) start(r wire.Rental) string {
	c.next++
	id, ip := fmt.Sprintf("n-%06d", c.next), fmt.Sprintf("%s%d", cmp.Or(c.Subnet, "10.1.0."), c.next)
	addr := Address(ip, 9000)
	if c.Addr != nil {
		addr = c.Addr(c.next)
	}
	t := c.typeOf(r.Type)
	m := &rented{ListedMachine: wire.ListedMachine{ID: id, Addr: addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Stage: wire.MachineStarting}, since: time.Now(), price: t.Price}
	if r.Spot {
		m.price = t.SpotPrice
	}
	c.machines[id] = m
	boot := time.Duration(float64(cmp.Or(c.Boot, wire.Seconds(t.BootS))) * cmp.Or(c.Faults.BootTimes, 1))
	if c.Faults.NeverUp > 0 && c.Rand.Float64() < c.Faults.NeverUp {
		return id
	}
	time.AfterFunc(boot, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.deleted.IsZero() {
			m.Stage = wire.MachineRunning
			m.worker = c.Start(id, m.Addr, m.Type, m.Zone, m.Spot)
		}
	})
	return id
}

func (c *Cloud) remove(id string) {
	if m := c.machines[id]; m != nil && m.deleted.IsZero() {
		m.deleted = time.Now()
		c.spent += m.cost(m.deleted)
		if m.worker != nil {
			m.worker.Kill()
		}
	}
}

// cost is what a machine has cost by some time: it is charged for a minute at least.
func (m *rented) cost(by time.Time) float64 {
	if !m.dead.IsZero() {
		by = m.dead
	}
	return m.price * max(by.Sub(m.since), time.Minute).Hours()
}

// Spent tells what all machines have cost so far, and how many are rented.
func (c *Cloud) Spent() (cost float64, machines int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cost = c.spent
	for _, m := range c.machines {
		if m.deleted.IsZero() {
			cost += m.cost(time.Now())
			machines++
		}
	}
	return cost, machines
}

// Fail changes what goes wrong.
func (c *Cloud) Fail(change func(*CloudFaults)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.Faults)
}

// deadTime is how long a machine that has died is listed as running.
const deadTime = 30 * time.Second

// Each gives the machines that are up, in order, with what they are.
func (c *Cloud) Each(do func(m wire.ListedMachine, w Machine)) {
	c.mu.Lock()
	all := c.up()
	c.mu.Unlock()
	for _, m := range all {
		do(m.ListedMachine, m.worker)
	}
}

// Die ends a machine on its own: it stays listed.
func (c *Cloud) Die(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[id]
	if m == nil || m.worker == nil || !m.deleted.IsZero() || !m.dead.IsZero() {
		return
	}
	m.dead = time.Now()
	m.worker.Kill()
	time.AfterFunc(deadTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.Stage = wire.MachineFailed
	})
}

// TakeBack has a spot machine go after a notice, or at once.
func (c *Cloud) TakeBack(id string, notice time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[id]
	if m == nil {
		return
	}
	if w, ok := m.worker.(interface{ Notice(time.Duration) }); ok && notice > 0 {
		w.Notice(notice)
	}
	time.AfterFunc(notice, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.remove(id)
	})
}

// Take removes the n-th machine that is up, as when a spot machine is taken.
func (c *Cloud) Take(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.up(); len(w) > 0 {
		c.remove(w[n%len(w)].ID)
	}
}

// ZoneOf tells the zone of the machine at an address.
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

// Up gives the address of the n-th machine that is up.
func (c *Cloud) Up(n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.up(); len(w) > 0 {
		return w[n%len(w)].ListedMachine.Addr
	}
	return ""
}

// Count tells how many machines are up.
func (c *Cloud) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.up())
}

func (c *Cloud) up() []*rented {
	var out []*rented
	for _, id := range slices.Sorted(maps.Keys(c.machines)) {
		if m := c.machines[id]; m.worker != nil && m.deleted.IsZero() && m.dead.IsZero() {
			out = append(out, m)
		}
	}
	return out
}

// list shows a moment between twice the lag and now, a different one each time, from a
// machine on.
func (c *Cloud) list(after string, limit int) wire.MachineList {
	at := time.Now().Add(-time.Duration(c.Rand.Int64N(int64(2*c.Lag) + 1)))
	out := wire.MachineList{Machines: []wire.ListedMachine{}}
	for _, id := range slices.Sorted(maps.Keys(c.machines)) {
		m := c.machines[id]
		if id <= after || !m.since.Before(at) || !m.deleted.IsZero() && !m.deleted.After(at) {
			continue
		}
		if len(out.Machines) == min(cmp.Or(max(limit, 0), wire.MaxListPage), wire.MaxListPage) {
			out.More = true
			break
		}
		l := m.ListedMachine
		l.AgeS = at.Sub(m.since).Seconds()
		out.Machines = append(out.Machines, l)
	}
	return out
}

// Stop ends all workers.
func (c *Cloud) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.machines {
		c.remove(id)
	}
}
