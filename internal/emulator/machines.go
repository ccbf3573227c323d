package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// maxMachines is the maximum number of machines of a cluster.
const maxMachines = 20_000

// createCloud creates the cloud. Its machines are started by Options.Machine or are emulated workers.
func (cluster *Cluster) createCloud() {
	c := cluster.Config
	cluster.fixture = newTaskFixture(cluster)
	cluster.lateCommands.rng = rand.New(rand.NewPCG(c.Seed, 11))
	cluster.fixture.SetFaultFreeSince(cluster.startedAt)
	runtime := simulator.NewTaskRuntime(cluster.fixture, c.Workers.GangStartTimeout, c.Workers.GangPeerTimeout)
	addrByController := map[string]string{}
	cluster.replayer = &simulator.HeartbeatReplayer{Dial: Dial, MaxDelay: 3 * c.Workers.Lease, Rand: rand.New(rand.NewPCG(c.Seed, 9))}
	for i := range c.Controllers {
		addrByController[cluster.controllerEndpoint(i).name] = cluster.PublicAddr(i)
		cluster.replayer.Controllers = append(cluster.replayer.Controllers, cluster.PublicAddr(i))
	}
	cluster.cloud = &simulator.Cloud{Types: c.Types, CapacityByOffer: c.CapacityByOffer, RPS: c.Cloud.RPS, ListLag: c.Cloud.ListLag, Rand: rand.New(rand.NewPCG(c.Seed, 3)),
		AddrOf: cluster.machineAddr,
		Start: func(id, addr, typ, zone string, spot bool) simulator.Machine {
			if cluster.opt.Machine != nil {
				if m := cluster.opt.Machine(id, addr, typ, zone, spot); m != nil {
					return m
				}
			}
			local := endpoint{id, "machines", zone}
			return simulator.NewWorker(simulator.WorkerConfig{ID: id, Addr: addr, Type: typ, Zone: zone, Spot: spot, Spec: c.machineType(typ), Net: host{cluster.links, local, cluster.endpointAt},
				TakeDown: func() { cluster.freePort(addr) }, Controllers: addrByController, Runtime: runtime, Lease: c.Workers.Lease, HeartbeatInterval: c.Workers.HeartbeatInterval, SharedFetchRate: c.SharedFetchRate, Replayer: cluster.replayer, CallDelay: cluster.lateCommands.delay})
		}}
}

// machineType returns the machine type with a name, or the zero value.
func (c *Config) machineType(typ string) wire.MachineType {
	for _, t := range c.Types {
		if t.Name == typ {
			return t
		}
	}
	return wire.MachineType{}
}

// machineAddr reserves the first free port and returns its address. The worker frees it when it stops.
func (cluster *Cluster) machineAddr(int) string {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	first := cluster.opt.Port + cluster.ports.machines
	for p := first; p <= min(65535, first+maxMachines); p++ {
		if !cluster.usedPorts[p] {
			cluster.usedPorts[p] = true
			return fmt.Sprintf("127.0.0.1:%d", p)
		}
	}
	return cluster.addr(cluster.ports.machines) // all ports are in use: the machine will fail to listen and never come up
}

// freePort releases the port of a machine after a second, when its listener is closed.
func (cluster *Cluster) freePort(addr string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	var p int
	if _, err := fmt.Sscanf(addr, "127.0.0.1:%d", &p); err == nil {
		time.AfterFunc(time.Second, func() {
			cluster.mu.Lock()
			defer cluster.mu.Unlock()
			delete(cluster.usedPorts, p)
		})
	}
}

// selectMachines selects running machines at random, as many as a fault's count or share sets, else all of them. It
// considers only machines in the fault's zone, if one is set, and only spot machines if spotOnly is set.
func (cluster *Cluster) selectMachines(f *Fault, spotOnly bool) (ids []string) {
	cluster.cloud.EachRunning(func(m wire.ListedMachine, _ simulator.Machine) {
		if (f.Zone == "" || m.Zone == f.Zone) && (!spotOnly || m.Spot) {
			ids = append(ids, m.ID)
		}
	})
	cluster.mu.Lock()
	cluster.rng.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
	cluster.mu.Unlock()
	n := len(ids)
	switch {
	case f.Count > 0:
		n = min(n, f.Count)
	case f.Share > 0:
		n = min(n, int(f.Share*float64(n)+0.5))
	}
	ids = ids[:n]
	slices.Sort(ids)
	return ids
}

// forEachMachine calls a function for each machine that a fault selects.
func (cluster *Cluster) forEachMachine(f *Fault, do func(simulator.Machine)) {
	selected := map[string]bool{}
	for _, id := range cluster.selectMachines(f, false) {
		selected[id] = true
	}
	cluster.cloud.EachRunning(func(m wire.ListedMachine, machine simulator.Machine) {
		if selected[m.ID] {
			do(machine)
		}
	})
}

// applyUntilLifted switches a fault on for each machine that it selects, and returns the function that switches it off
// for these machines.
func (cluster *Cluster) applyUntilLifted(f *Fault, do func(m simulator.Machine, on bool)) (lift func()) {
	var all []simulator.Machine
	cluster.forEachMachine(f, func(m simulator.Machine) {
		do(m, true)
		all = append(all, m)
	})
	return func() {
		for _, m := range all {
			do(m, false)
		}
	}
}
