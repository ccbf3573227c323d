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
func (w *Cluster) createCloud() {
	c := w.Config
	w.fixture = newTaskFixture(w)
	w.fixture.SetQuietSince(w.startedAt)
	runtime := simulator.NewTaskRuntime(w.fixture, c.Workers.GangWait, c.Workers.GangPeer)
	names := map[string]string{}
	w.replayer = &simulator.HeartbeatReplayer{Dial: Dial, MaxDelay: 3 * c.Workers.Lease, Rand: rand.New(rand.NewPCG(c.Seed, 9))}
	for i := range c.Controllers {
		names[w.controllerEndpoint(i).name] = w.Public(i)
		w.replayer.Controllers = append(w.replayer.Controllers, w.Public(i))
	}
	w.cloud = &simulator.Cloud{Types: c.Types, CapacityByOffer: c.CapacityByOffer, RPS: c.Cloud.RPS, ListLag: c.Cloud.ListLag, Rand: rand.New(rand.NewPCG(c.Seed, 3)),
		AddrOf: w.machineAddr,
		Start: func(id, addr, typ, zone string, spot bool) simulator.Machine {
			if w.opt.Machine != nil {
				if m := w.opt.Machine(id, addr, typ, zone, spot); m != nil {
					return m
				}
			}
			me := endpoint{id, "machines", zone}
			return simulator.NewWorker(simulator.WorkerConfig{ID: id, Addr: addr, Type: typ, Zone: zone, Spot: spot, Spec: c.machineType(typ), Net: host{w.links, me, w.endpointAt},
				TakeDown: func() { w.freePort(addr) }, Controllers: names, Runtime: runtime, Lease: c.Workers.Lease, HeartbeatInterval: c.Workers.HeartbeatInterval, SharedFetchRate: c.SharedFetchRate, Replayer: w.replayer})
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
func (w *Cluster) machineAddr(int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.opt.Port + w.ports.machines
	for p := first; p <= min(65535, first+maxMachines); p++ {
		if !w.usedPorts[p] {
			w.usedPorts[p] = true
			return fmt.Sprintf("127.0.0.1:%d", p)
		}
	}
	return w.addr(w.ports.machines) // it will never come up
}

// freePort releases the port of a machine.
func (w *Cluster) freePort(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var p int
	if _, err := fmt.Sscanf(addr, "127.0.0.1:%d", &p); err == nil {
		time.AfterFunc(time.Second, func() { // its listener is closed by then
			w.mu.Lock()
			defer w.mu.Unlock()
			delete(w.usedPorts, p)
		})
	}
}

// selectMachines selects machines of a fault's zone, or spot machines only.
func (w *Cluster) selectMachines(f *Fault, spot bool) (ids []string) {
	w.cloud.EachRunning(func(m wire.ListedMachine, _ simulator.Machine) {
		if (f.Zone == "" || m.Zone == f.Zone) && (!spot || m.Spot) {
			ids = append(ids, m.ID)
		}
	})
	w.mu.Lock()
	w.rng.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
	w.mu.Unlock()
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
func (w *Cluster) forEachMachine(f *Fault, do func(simulator.Machine)) {
	picked := map[string]bool{}
	for _, id := range w.selectMachines(f, false) {
		picked[id] = true
	}
	w.cloud.EachRunning(func(m wire.ListedMachine, machine simulator.Machine) {
		if picked[m.ID] {
			do(machine)
		}
	})
}

// applyUntilLifted applies a fault to the machines that it selects and returns the function that ends
// it.
func (w *Cluster) applyUntilLifted(f *Fault, do func(m simulator.Machine, on bool)) (lift func()) {
	var all []simulator.Machine
	w.forEachMachine(f, func(m simulator.Machine) {
		do(m, true)
		all = append(all, m)
	})
	return func() {
		for _, m := range all {
			do(m, false)
		}
	}
}
