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

// scenario is a fault that is staged 25 s into a day of jobs of every shape: a service over both
// zones, a gang that saves, arrays, spot work, and some that are cancelled.
type scenario struct {
	name  string
	stage func(w *scene)
	// again bounds how many tasks may be started again that ran when the fault came, -1 for any
	// number: what people notice of it.
	again int
	set   func(*config.Config)
}

// scene is the world of a scenario.
type scene struct{ *world }

func (s *scene) holder() int {
	for _, name := range s.holders() {
		return int(name[2] - '0')
	}
	return 0
}

func (s *scene) each(do func(m wire.ListedMachine, w simulator.Machine)) { s.cloud.Each(do) }

// cutMachines severs a controller from all machines, also those that are yet to come, one
// way if that is meant.
func (s *scene) cutMachines(i int, d time.Duration, in, out bool) {
	for n := range 60 {
		host := fmt.Sprintf("10.1.0.%d", n+1)
		lasting(d, func(on bool) {
			if in {
				s.net.Lose(host, s.ip(i), on)
			}
			if out {
				s.net.Lose(s.ip(i), host, on)
			}
		})
	}
}

// room cuts a zone's machines off from everything, and the controllers that are named with them.
func (s *scene) room(zone string, d time.Duration, controllers ...int) {
	var inside []string
	outside := []string{"10.2.0.1", "10.2.0.2", "10.3.0.1"}
	s.each(func(m wire.ListedMachine, _ simulator.Machine) {
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
	lasting(d, func(on bool) {
		for _, a := range inside {
			for _, b := range outside {
				s.net.Cut(a, b, on)
			}
		}
	})
}

// machine does something to the first machines that are up.
func (s *scene) machines(n int, spot bool, do func(id string, w simulator.Machine)) {
	s.each(func(m wire.ListedMachine, w simulator.Machine) {
		if n > 0 && (!spot || m.Spot) {
			n--
			do(m.ID, w)
		}
	})
}

func (s *scene) hang(n int, d time.Duration) {
	s.machines(n, false, func(_ string, w simulator.Machine) { w.(interface{ Hang(time.Duration) }).Hang(d) })
}

func (s *scene) fail(d time.Duration, change func(f *simulator.CloudFaults)) {
	s.cloud.Fail(change)
	time.AfterFunc(d, func() { s.cloud.Fail(func(f *simulator.CloudFaults) { *f = simulator.CloudFaults{} }) })
}

func (s *scene) lose(share float64, d time.Duration) {
	s.store.Stage(func(st *simulator.Store) { st.Lossy = share })
	time.AfterFunc(d, func() { s.store.Stage(func(st *simulator.Store) { st.Lossy = 0 }) })
}

func (s *scene) killAll(back time.Duration) {
	for i := range 3 {
		s.kill(i, back)
	}
}

var scenarioList = []scenario{
	{name: "nothing goes wrong", stage: func(*scene) {}},
	{name: "the state service is out for 12 s", stage: func(s *scene) { lasting(12*time.Second, s.store.Outage) }},
	{name: "the state service is out for longer than a worker's lease", stage: func(s *scene) { lasting(40*time.Second, s.store.Outage) }, again: -1},
	{name: "the state service answers after a second", stage: func(s *scene) {
		s.store.Stage(func(st *simulator.Store) { st.Delay = func() time.Duration { return time.Second } })
		time.AfterFunc(40*time.Second, func() { s.store.Stage(func(st *simulator.Store) { st.Delay = nil }) })
	}},
	{name: "a tenth of all transactions get no answer", stage: func(s *scene) { s.lose(0.1, time.Minute) }},
	{name: "half of all transactions get no answer", stage: func(s *scene) { s.lose(0.5, 30*time.Second) }},
	{name: "the state service forgets all changes again and again", stage: func(s *scene) {
		go func() {
			for range 20 {
				time.Sleep(time.Second)
				s.store.Forget()
			}
		}()
	}},
	{name: "the holder does not reach the state service", stage: func(s *scene) {
		i := s.holder()
		lasting(25*time.Second, func(on bool) { s.net.Cut(s.ip(i), "10.2.0.1", on) })
	}},
	{name: "the state service's answers to the holder are lost", stage: func(s *scene) {
		i := s.holder()
		lasting(25*time.Second, func(on bool) { s.net.Lose("10.2.0.1", s.ip(i), on) })
	}},
	{name: "no controller but one reaches the state service", stage: func(s *scene) {
		for i := range 2 {
			lasting(25*time.Second, func(on bool) { s.net.Cut(s.ip(i), "10.2.0.1", on) })
		}
	}},
	{name: "the holder is killed", stage: func(s *scene) { s.kill(s.holder(), 3*time.Second) }},
	{name: "the holder is killed again and again", stage: func(s *scene) {
		for range 4 {
			s.kill(s.holder(), 2*time.Second)
			time.Sleep(12 * time.Second)
		}
	}},
	{name: "every controller is restarted, one after the other", stage: func(s *scene) {
		for i := range 3 {
			s.kill(i, 3*time.Second)
			time.Sleep(8 * time.Second)
		}
	}},
	{name: "all controllers are killed at once", stage: func(s *scene) { s.killAll(3 * time.Second) }},
	{name: "all controllers are down for longer than a worker's lease", stage: func(s *scene) { s.killAll(35 * time.Second) }, again: -1},
	{name: "all controllers are killed while the state service is out", stage: func(s *scene) {
		lasting(15*time.Second, s.store.Outage)
		time.Sleep(5 * time.Second)
		s.killAll(3 * time.Second)
	}, again: -1},
	{name: "the state service is back with all leases at full time", stage: func(s *scene) {
		s.kill(s.holder(), 30*time.Second)
		lasting(8*time.Second, s.store.Outage)
	}, again: -1},
	{name: "the holder stands still for 6 s", stage: func(s *scene) { s.net.Still(s.ip(s.holder()), 6*time.Second) }},
	{name: "the holder stands still for longer than every lease", stage: func(s *scene) { s.net.Still(s.ip(s.holder()), 50*time.Second) }, again: -1},
	{name: "all controllers stand still for 10 s", stage: func(s *scene) {
		for i := range 3 {
			s.net.Still(s.ip(i), 10*time.Second)
		}
	}, again: -1},
	{name: "the holder is slow at each step", stage: func(s *scene) {
		i, luck := s.holder(), rand.New(rand.NewPCG(1, 9))
		lasting(30*time.Second, func(on bool) {
			s.net.Slow(s.ip(i), map[bool]func() time.Duration{true: func() time.Duration { return time.Duration(s.draw(luck, 400)) * time.Millisecond }}[on])
		})
	}, again: -1},
	{name: "the holder does not hear the machines", stage: func(s *scene) { s.cutMachines(s.holder(), 40*time.Second, true, false) }},
	{name: "the machines do not hear the holder", stage: func(s *scene) { s.cutMachines(s.holder(), 40*time.Second, false, true) }},
	{name: "the holder is cut off from the machines", stage: func(s *scene) { s.cutMachines(s.holder(), 40*time.Second, true, true) }},
	{name: "controllers do not hear each other", stage: func(s *scene) {
		for i := range 3 {
			lasting(40*time.Second, func(on bool) { s.net.Cut(s.ip(i), s.ip((i+1)%3), on) })
		}
	}},
	{name: "the holder is heard by no sibling", stage: func(s *scene) {
		i := s.holder()
		for k := range 3 {
			lasting(40*time.Second, func(on bool) { s.net.Lose(s.ip(i), s.ip(k), on) })
		}
	}},
	{name: "no machine finds a socket", stage: func(s *scene) {
		for i := range 3 {
			lasting(12*time.Second, func(on bool) { s.net.Full(s.ip(i), on) })
		}
	}},
	{name: "a machine dies", stage: func(s *scene) { s.machines(1, false, func(id string, _ simulator.Machine) { s.cloud.Die(id) }) }, again: -1},
	{name: "half of the machines die", stage: func(s *scene) {
		s.machines(s.cloud.Count()/2, false, func(id string, _ simulator.Machine) { s.cloud.Die(id) })
	}, again: -1},
	{name: "a machine hangs for most of its lease and goes on", stage: func(s *scene) { s.hang(1, 15*time.Second) }, again: -1},
	{name: "a machine hangs for longer than its lease and goes on", stage: func(s *scene) { s.hang(1, 30*time.Second) }, again: -1},
	{name: "most machines hang for a while", stage: func(s *scene) { s.hang(4, 10*time.Second) }, again: -1},
	{name: "a room is cut off for 2 s", stage: func(s *scene) { s.room("a", 2*time.Second) }},
	{name: "a room is cut off for a minute", stage: func(s *scene) { s.room("a", time.Minute) }, again: -1},
	{name: "a room is cut off with the holder in it", stage: func(s *scene) { s.room("b", 40*time.Second, s.holder()) }, again: -1},
	{name: "a wave of spot machines is taken without notice", stage: func(s *scene) {
		s.machines(99, true, func(id string, _ simulator.Machine) { s.cloud.TakeBack(id, 0) })
	}, again: -1},
	{name: "a wave of spot machines is taken with notice", stage: func(s *scene) {
		s.machines(99, true, func(id string, _ simulator.Machine) { s.cloud.TakeBack(id, 10*time.Second) })
	}, again: -1},
	{name: "a room fails while spot machines are taken and jobs are folded", stage: func(s *scene) {
		s.room("b", 30*time.Second)
		s.machines(99, true, func(id string, _ simulator.Machine) { s.cloud.TakeBack(id, 0) })
		s.kill(s.holder(), 3*time.Second)
	}, again: -1},
	{name: "the cloud answers nobody", stage: func(s *scene) { s.fail(40*time.Second, func(f *simulator.CloudFaults) { f.Trouble = true }) }},
	{name: "the cloud has no machine to give", stage: func(s *scene) { s.fail(40*time.Second, func(f *simulator.CloudFaults) { f.Fewer = 1 }) }},
	{name: "machines take ten times as long to boot", stage: func(s *scene) { s.fail(time.Minute, func(f *simulator.CloudFaults) { f.BootTimes = 10 }) }},
	{name: "half of the machines never come up", stage: func(s *scene) { s.fail(time.Minute, func(f *simulator.CloudFaults) { f.NeverUp = 0.5 }) }},
	{name: "rentals are carried out late and without an answer", stage: func(s *scene) { s.fail(20*time.Second, func(f *simulator.CloudFaults) { f.Late = 8 * time.Second }) }},
	{name: "the holder of one of two parts is killed", set: inZones, stage: func(s *scene) { s.kill(s.holder(), 3*time.Second) }},
	{name: "all controllers are killed, two parts", set: inZones, stage: func(s *scene) { s.killAll(3 * time.Second) }},
	{name: "a room of its own part is cut off", set: inZones, stage: func(s *scene) { s.room("a", time.Minute) }, again: -1},
}

func inZones(c *config.Config) { c.Tuning.Parts.By = "zone" }

// TestScenarios stages each fault alone: no rule is broken, every job has its end, and what ran
// goes on where it can.
func TestScenarios(t *testing.T) {
	for i := range scenarioList {
		x := &scenarioList[i]
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { x.play(t, uint64(i)) })
		})
	}
}

func (x *scenario) play(t *testing.T, seed uint64) {
	s := &scene{newWorld(t, 100+seed, 0, x.set)}
	s.service("wk-1", 2*time.Minute)
	job := func(j *wire.Job, run, cancel time.Duration) {
		j.Class, j.Team, j.CPUs, j.GPUs, j.MemoryGB, j.Image, j.ImageGB, j.EstimateS = "c", "blue", 2, 1, 8, "img", 1, run.Seconds()
		s.user(j, run, cancel)
	}
	job(&wire.Job{ID: "wk-2", Shape: wire.Gang, Priority: wire.High, Tasks: 3, OneZone: true, CheckpointS: 5, SaveS: 1}, 100*time.Second, 0)
	job(&wire.Job{ID: "wk-3", Shape: wire.Array, Priority: wire.Normal, Tasks: 3, Spot: true, CheckpointS: 5, SaveS: 1}, 80*time.Second, 0)
	time.Sleep(25 * time.Second)
	before := s.check.Started
	x.stage(s)
	for i := range 6 {
		job(&wire.Job{ID: wire.JobPrefix + string('4'+rune(i)), Shape: wire.Array, Priority: wire.Normal, Tasks: 1 + i%2}, 4*time.Second, time.Duration(i%3/2)*3*time.Second)
		time.Sleep(2 * time.Second)
	}
	s.finish(15 * time.Minute)
	s.judge()
	if again := s.check.Started - before - 9; x.again >= 0 && again > x.again {
		t.Errorf("%d tasks were started again", again)
	}
}

// TestScenariosAreTold: the table in docs/emulator.md names every scenario.
func TestScenariosAreTold(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "docs/emulator.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range scenarioList {
		if !strings.Contains(string(text), "| "+x.name+" |") {
			t.Errorf("docs/emulator.md does not tell of %q", x.name)
		}
	}
}
