package simtest

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// singleFault is a fault that is injected 25 s into a simulation with jobs of every shape: a service
// in both zones, a gang with checkpoints, arrays, spot jobs, and jobs that are cancelled.
type singleFault struct {
	name   string
	inject func(w *singleFaultSimulation)
	// maxRestarts is how many of the tasks that run when the fault begins may be started again, the
	// effect of the fault that users notice. -1 means any number.
	maxRestarts int
	settings    func(*config.Config)
}

// singleFaultSimulation is the simulation of a single fault.
type singleFaultSimulation struct{ *simulation }

// leaderNumber returns the number of a leader, 0 if there is none.
func (s *singleFaultSimulation) leaderNumber() int {
	for _, name := range s.leaders() {
		return int(name[2] - '0')
	}
	return 0
}

// eachMachine calls a function for each running machine.
func (s *singleFaultSimulation) eachMachine(do func(m wire.ListedMachine, w simulator.Machine)) {
	s.cloud.EachRunning(do)
}

// dropMachineTraffic drops the traffic between a controller and all machines, including those that do not
// exist yet, for the duration d: in drops that to the controller, out that to the machines.
func (s *singleFaultSimulation) dropMachineTraffic(i int, d time.Duration, in, out bool) {
	for n := range 60 {
		host := fmt.Sprintf("10.1.0.%d", n+1)
		during(d, func(on bool) {
			if in {
				s.net.DropOneWay(host, s.ip(i), on)
			}
			if out {
				s.net.DropOneWay(s.ip(i), host, on)
			}
		})
	}
}

// partitionZone partitions a zone's machines, together with the first of the given controllers, from all
// other hosts for the duration d.
func (s *singleFaultSimulation) partitionZone(zone string, d time.Duration, controllers ...int) {
	var inside []string
	outside := []string{"10.2.0.1", "10.2.0.2", "10.3.0.1"}
	s.eachMachine(func(m wire.ListedMachine, _ simulator.Machine) {
		if m.Zone == zone {
			inside = append(inside, simulator.HostOf(m.Addr))
		} else {
			outside = append(outside, simulator.HostOf(m.Addr))
		}
	})
	for i := range 3 {
		if len(controllers) > 0 && controllers[0] == i {
			inside = append(inside, s.ip(i))
		} else {
			outside = append(outside, s.ip(i))
		}
	}
	during(d, func(on bool) {
		for _, a := range inside {
			for _, b := range outside {
				s.net.Partition(a, b, on)
			}
		}
	})
}

// eachOfFirstMachines calls a function for the first n running machines, or spot machines only if spot is set.
func (s *singleFaultSimulation) eachOfFirstMachines(n int, spot bool, do func(id string, w simulator.Machine)) {
	s.eachMachine(func(m wire.ListedMachine, w simulator.Machine) {
		if n > 0 && (!spot || m.Spot) {
			n--
			do(m.ID, w)
		}
	})
}

// pauseFirstMachines pauses the first n machines for the duration d.
func (s *singleFaultSimulation) pauseFirstMachines(n int, d time.Duration) {
	s.eachOfFirstMachines(n, false, func(_ string, w simulator.Machine) { w.(simulator.Pauser).Pause(d) })
}

// injectCloudFaults injects faults of the cloud for the duration d.
func (s *singleFaultSimulation) injectCloudFaults(d time.Duration, change func(f *simulator.CloudFaults)) {
	s.cloud.SetFaults(change)
	time.AfterFunc(d, func() { s.cloud.SetFaults(func(f *simulator.CloudFaults) { *f = simulator.CloudFaults{} }) })
}

// loseReplies drops the responses to a share of transactions for the duration d.
func (s *singleFaultSimulation) loseReplies(share float64, d time.Duration) {
	s.store.Configure(func(st *simulator.StateService) { st.LossShare = share })
	time.AfterFunc(d, func() { s.store.Configure(func(st *simulator.StateService) { st.LossShare = 0 }) })
}

// killAll kills all controllers, and restarts them after a delay.
func (s *singleFaultSimulation) killAll(restartAfter time.Duration) {
	for i := range 3 {
		s.kill(i, restartAfter)
	}
}

// singleFaults lists all single faults. The table in docs/emulator.md has a row for each.
var singleFaults = []singleFault{
	{name: "nothing goes wrong", inject: func(*singleFaultSimulation) {}},
	{name: "the state service is out for 12 s", inject: func(s *singleFaultSimulation) { during(12*time.Second, s.store.SetOutage) }},
	{name: "the state service is out for longer than a worker's lease", inject: func(s *singleFaultSimulation) { during(40*time.Second, s.store.SetOutage) }, maxRestarts: -1},
	{name: "the state service answers after a second", inject: func(s *singleFaultSimulation) {
		s.store.Configure(func(st *simulator.StateService) { st.ResponseDelay = func() time.Duration { return time.Second } })
		time.AfterFunc(40*time.Second, func() { s.store.Configure(func(st *simulator.StateService) { st.ResponseDelay = nil }) })
	}},
	{name: "a tenth of all transactions get no answer", inject: func(s *singleFaultSimulation) { s.loseReplies(0.1, time.Minute) }},
	{name: "half of all transactions get no answer", inject: func(s *singleFaultSimulation) { s.loseReplies(0.5, 30*time.Second) }},
	{name: "the state service forgets all changes again and again", inject: func(s *singleFaultSimulation) {
		go func() {
			for range 20 {
				time.Sleep(time.Second)
				s.store.DropHistory()
			}
		}()
	}},
	{name: "the leader does not reach the state service", inject: func(s *singleFaultSimulation) {
		i := s.leaderNumber()
		during(25*time.Second, func(on bool) { s.net.Partition(s.ip(i), "10.2.0.1", on) })
	}},
	{name: "the state service's answers to the leader are lost", inject: func(s *singleFaultSimulation) {
		i := s.leaderNumber()
		during(25*time.Second, func(on bool) { s.net.DropOneWay("10.2.0.1", s.ip(i), on) })
	}},
	{name: "no controller but one reaches the state service", inject: func(s *singleFaultSimulation) {
		for i := range 2 {
			during(25*time.Second, func(on bool) { s.net.Partition(s.ip(i), "10.2.0.1", on) })
		}
	}},
	{name: "the leader is killed", inject: func(s *singleFaultSimulation) { s.kill(s.leaderNumber(), 3*time.Second) }},
	{name: "the leader is killed again and again", inject: func(s *singleFaultSimulation) {
		for range 4 {
			s.kill(s.leaderNumber(), 2*time.Second)
			time.Sleep(12 * time.Second)
		}
	}},
	{name: "every controller is restarted, one after the other", inject: func(s *singleFaultSimulation) {
		for i := range 3 {
			s.kill(i, 3*time.Second)
			time.Sleep(8 * time.Second)
		}
	}},
	{name: "all controllers are killed at once", inject: func(s *singleFaultSimulation) { s.killAll(3 * time.Second) }},
	{name: "all controllers are down for longer than a worker's lease", inject: func(s *singleFaultSimulation) { s.killAll(35 * time.Second) }, maxRestarts: -1},
	{name: "all controllers are killed while the state service is out", inject: func(s *singleFaultSimulation) {
		during(15*time.Second, s.store.SetOutage)
		time.Sleep(5 * time.Second)
		s.killAll(3 * time.Second)
	}, maxRestarts: -1},
	{name: "the state service is back with all leases at full time", inject: func(s *singleFaultSimulation) {
		s.kill(s.leaderNumber(), 30*time.Second)
		during(8*time.Second, s.store.SetOutage)
	}, maxRestarts: -1},
	{name: "the leader is paused for 6 s", inject: func(s *singleFaultSimulation) { s.net.Pause(s.ip(s.leaderNumber()), 6*time.Second) }},
	{name: "the leader is paused for longer than every lease", inject: func(s *singleFaultSimulation) { s.net.Pause(s.ip(s.leaderNumber()), 50*time.Second) }, maxRestarts: -1},
	{name: "all controllers are paused for 10 s", inject: func(s *singleFaultSimulation) {
		for i := range 3 {
			s.net.Pause(s.ip(i), 10*time.Second)
		}
	}, maxRestarts: -1},
	{name: "the leader is slow at each step", inject: func(s *singleFaultSimulation) {
		i, rng := s.leaderNumber(), rand.New(rand.NewPCG(1, 9))
		during(30*time.Second, func(on bool) {
			s.net.SetStepDelay(s.ip(i), map[bool]func() time.Duration{true: func() time.Duration { return time.Duration(s.draw(rng, 400)) * time.Millisecond }}[on])
		})
	}, maxRestarts: -1},
	{name: "the leader does not hear the machines", inject: func(s *singleFaultSimulation) { s.dropMachineTraffic(s.leaderNumber(), 40*time.Second, true, false) }},
	{name: "the machines do not hear the leader", inject: func(s *singleFaultSimulation) { s.dropMachineTraffic(s.leaderNumber(), 40*time.Second, false, true) }},
	{name: "the leader is cut off from the machines", inject: func(s *singleFaultSimulation) { s.dropMachineTraffic(s.leaderNumber(), 40*time.Second, true, true) }},
	{name: "controllers do not hear each other", inject: func(s *singleFaultSimulation) {
		for i := range 3 {
			during(40*time.Second, func(on bool) { s.net.Partition(s.ip(i), s.ip((i+1)%3), on) })
		}
	}},
	{name: "the leader is heard by no peer", inject: func(s *singleFaultSimulation) {
		i := s.leaderNumber()
		for k := range 3 {
			during(40*time.Second, func(on bool) { s.net.DropOneWay(s.ip(i), s.ip(k), on) })
		}
	}},
	{name: "no machine finds a socket", inject: func(s *singleFaultSimulation) {
		for i := range 3 {
			during(12*time.Second, func(on bool) { s.net.RefuseInbound(s.ip(i), on) })
		}
	}},
	{name: "a machine dies", inject: func(s *singleFaultSimulation) {
		s.eachOfFirstMachines(1, false, func(id string, _ simulator.Machine) { s.cloud.Crash(id) })
	}, maxRestarts: -1},
	{name: "half of the machines die", inject: func(s *singleFaultSimulation) {
		s.eachOfFirstMachines(s.cloud.CountRunning()/2, false, func(id string, _ simulator.Machine) { s.cloud.Crash(id) })
	}, maxRestarts: -1},
	{name: "a machine hangs for most of its lease and goes on", inject: func(s *singleFaultSimulation) { s.pauseFirstMachines(1, 15*time.Second) }, maxRestarts: -1},
	{name: "a machine hangs for longer than its lease and goes on", inject: func(s *singleFaultSimulation) { s.pauseFirstMachines(1, 30*time.Second) }, maxRestarts: -1},
	{name: "most machines hang for a while", inject: func(s *singleFaultSimulation) { s.pauseFirstMachines(4, 10*time.Second) }, maxRestarts: -1},
	{name: "a room is cut off for 2 s", inject: func(s *singleFaultSimulation) { s.partitionZone("a", 2*time.Second) }},
	{name: "a room is cut off for a minute", inject: func(s *singleFaultSimulation) { s.partitionZone("a", time.Minute) }, maxRestarts: -1},
	{name: "a room is cut off with the leader in it", inject: func(s *singleFaultSimulation) { s.partitionZone("b", 40*time.Second, s.leaderNumber()) }, maxRestarts: -1},
	{name: "a wave of spot machines is taken without notice", inject: func(s *singleFaultSimulation) {
		s.eachOfFirstMachines(99, true, func(id string, _ simulator.Machine) { s.cloud.Preempt(id, 0) })
	}, maxRestarts: -1},
	{name: "a wave of spot machines is taken with notice", inject: func(s *singleFaultSimulation) {
		s.eachOfFirstMachines(99, true, func(id string, _ simulator.Machine) { s.cloud.Preempt(id, 10*time.Second) })
	}, maxRestarts: -1},
	{name: "a room fails while spot machines are taken and jobs are compacted", inject: func(s *singleFaultSimulation) {
		s.partitionZone("b", 30*time.Second)
		s.eachOfFirstMachines(99, true, func(id string, _ simulator.Machine) { s.cloud.Preempt(id, 0) })
		s.kill(s.leaderNumber(), 3*time.Second)
	}, maxRestarts: -1},
	{name: "the cloud answers nobody", inject: func(s *singleFaultSimulation) {
		s.injectCloudFaults(40*time.Second, func(f *simulator.CloudFaults) { f.Unavailable = true })
	}},
	{name: "the cloud has no machine to give", inject: func(s *singleFaultSimulation) {
		s.injectCloudFaults(40*time.Second, func(f *simulator.CloudFaults) { f.MissingCapacityShare = 1 })
	}},
	{name: "machines take ten times as long to boot", inject: func(s *singleFaultSimulation) {
		s.injectCloudFaults(time.Minute, func(f *simulator.CloudFaults) { f.BootFactor = 10 })
	}},
	{name: "half of the machines never come up", inject: func(s *singleFaultSimulation) {
		s.injectCloudFaults(time.Minute, func(f *simulator.CloudFaults) { f.NeverBootShare = 0.5 })
	}},
	{name: "rentals are carried out late and without an answer", inject: func(s *singleFaultSimulation) {
		s.injectCloudFaults(20*time.Second, func(f *simulator.CloudFaults) { f.RentDelay = 8 * time.Second })
	}},
	{name: "the leader of one of two shards is killed", settings: shardByZone, inject: func(s *singleFaultSimulation) { s.kill(s.leaderNumber(), 3*time.Second) }},
	{name: "all controllers are killed, two shards", settings: shardByZone, inject: func(s *singleFaultSimulation) { s.killAll(3 * time.Second) }},
	{name: "a room of its own shard is cut off", settings: shardByZone, inject: func(s *singleFaultSimulation) { s.partitionZone("a", time.Minute) }, maxRestarts: -1},
}

// shardByZone sets the sharding to one shard per zone.
func shardByZone(c *config.Config) { c.Tuning.Shards.By = "zone" }

// TestSingleFaults injects each fault in a simulation of its own. No rule may be violated, every job
// has to end, and running tasks have to continue where they can.
func TestSingleFaults(t *testing.T) {
	for i := range singleFaults {
		injected := &singleFaults[i]
		t.Run(injected.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { injected.run(t, uint64(i)) })
		})
	}
}

// run runs the simulation with the fault.
func (x *singleFault) run(t *testing.T, seed uint64) {
	s := &singleFaultSimulation{newSimulation(t, 100+seed, 0, x.settings)}
	s.startService("wk-1", 2*time.Minute)
	job := func(j *wire.Job, run, cancel time.Duration) {
		j.Class, j.Team, j.CPUs, j.GPUs, j.MemoryGB, j.Image, j.ImageGB, j.EstimateS = "c", "blue", 2, 1, 8, "img", 1, run.Seconds()
		s.startUser(j, run, cancel)
	}
	job(&wire.Job{ID: "wk-2", Shape: wire.Gang, Priority: wire.High, Tasks: 3, OneZone: true, CheckpointS: 5, SaveS: 1}, 100*time.Second, 0)
	job(&wire.Job{ID: "wk-3", Shape: wire.Array, Priority: wire.Normal, Tasks: 3, Spot: true, CheckpointS: 5, SaveS: 1}, 80*time.Second, 0)
	time.Sleep(25 * time.Second)
	before := s.checker.Started
	x.inject(s)
	for i := range 6 {
		job(&wire.Job{ID: wire.JobIDPrefix + string('4'+rune(i)), Shape: wire.Array, Priority: wire.Normal, Tasks: 1 + i%2}, 4*time.Second, time.Duration(i%3/2)*3*time.Second)
		time.Sleep(2 * time.Second)
	}
	s.finish(15 * time.Minute)
	s.checkResults()
	if restarts := s.checker.Started - before - 9; x.maxRestarts >= 0 && restarts > x.maxRestarts {
		t.Errorf("%d tasks were restarted, which is more than the fault allows", restarts)
	}
}

// TestSingleFaultsAreDocumented checks that the table in docs/emulator.md lists every fault.
func TestSingleFaultsAreDocumented(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "docs/emulator.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range singleFaults {
		if !strings.Contains(string(text), "| "+x.name+" |") {
			t.Errorf("the table in docs/emulator.md does not list %q", x.name)
		}
	}
}
