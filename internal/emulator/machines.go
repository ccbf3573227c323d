package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// maxMachines bounds the machines of a cluster.
const maxMachines = 20_000

// createCloud creates the cloud, whose machines are emulated workers or started by Options.Machine.
func (cluster *Cluster) createCloud() {
	c := cluster.Config
	cluster.fixture = newTaskFixture(cluster)
	cluster.fixture.SetQuietSince(cluster.startedAt)
	runtime := simulator.NewTaskRuntime(cluster.fixture, c.Workers.GangWait, c.Workers.GangPeer)
	names := map[string]string{}
	cluster.replayer = &simulator.HeartbeatReplayer{Dial: Dial, MaxDelay: 3 * c.Workers.Lease, Rand: rand.New(rand.NewPCG(c.Seed, 9))}
	for i := range c.Controllers {
		names[cluster.controllerEndpoint(i).name] = cluster.Public(i)
		cluster.replayer.Controllers = append(cluster.replayer.Controllers, cluster.Public(i))
	}
	cluster.cloud = &simulator.Cloud{Types: c.Types, CapacityByOffer: c.CapacityByOffer, RPS: c.Cloud.RPS, ListLag: c.Cloud.ListLag, Rand: rand.New(rand.NewPCG(c.Seed, 3)),
		AddrOf: cluster.machineAddr,
		Start: func(id, addr, typ, zone string, spot bool) simulator.Machine {
			if cluster.opt.Machine != nil {
				if m := cluster.opt.Machine(id, addr, typ, zone, spot); m != nil {
					return m
				}
			}
			me := endpoint{id, "machines", zone}
			return simulator.NewWorker(simulator.WorkerConfig{ID: id, Addr: addr, Type: typ, Zone: zone, Spot: spot, Spec: c.machineType(typ), Net: host{cluster.links, me, cluster.endpointAt},
				TakeDown: func() { cluster.freePort(addr) }, Controllers: names, Runtime: runtime, Lease: c.Workers.Lease, HeartbeatInterval: c.Workers.HeartbeatInterval, SharedFetchRate: c.SharedFetchRate, Replayer: cluster.replayer})
		}}
}

func (c *Config) machineType(typ string) wire.MachineType {
	for _, t := range c.Types {
		if t.Name == typ {
			return t
		}
	}
	return wire.MachineType{}
}

// machineAddr reserves the first free port for a machine.
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
	return cluster.addr(cluster.ports.machines) // it will never come up
}

// freePort releases the port of a machine.
func (cluster *Cluster) freePort(addr string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	var p int
	if _, err := fmt.Sscanf(addr, "127.0.0.1:%d", &p); err == nil {
		time.AfterFunc(time.Second, func() { // its listener is closed by then
			cluster.mu.Lock()
			defer cluster.mu.Unlock()
			delete(cluster.usedPorts, p)
		})
	}
}

// selectMachines selects machines of a fault's zone, or spot machines only.
func (cluster *Cluster) selectMachines(f *Fault, spot bool) (ids []string) {
	cluster.cloud.EachRunning(func(m wire.ListedMachine, _ simulator.Machine) {
		if (f.Zone == "" || m.Zone == f.Zone) && (!spot || m.Spot) {
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
	picked := map[string]bool{}
	for _, id := range cluster.selectMachines(f, false) {
		picked[id] = true
	}
	cluster.cloud.EachRunning(func(m wire.ListedMachine, machine simulator.Machine) {
		if picked[m.ID] {
			do(machine)
		}
	})
}

// applyUntilLifted applies a fault to the machines that it selects and returns the function that ends
// it.
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
