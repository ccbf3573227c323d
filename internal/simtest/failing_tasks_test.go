package simtest

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// smallCloud limits the cloud of a simulation to a number of machines in each zone.
func (w *simulation) smallCloud(machines int) { w.cloud.Capacity = machines }

// startMistaken starts users of n jobs of every shape whose tasks fail on every machine. The jobs are cancelled after 10 to 70 s.
func (w *simulation) startMistaken(rng *rand.Rand, firstID, n int) {
	for i := range n {
		j := &wire.Job{ID: fmt.Sprintf("wk-%d", firstID+i), Class: "m", Team: "blue", Shape: []wire.Shape{wire.Array, wire.Gang, wire.Service}[rng.IntN(3)], Priority: wire.Normal,
			Tasks: 1 + rng.IntN(3), CPUs: 1, GPUs: 1, MemoryGB: 4, Image: "img", ImageGB: 0.2, EstimateS: 5}
		w.checker.SetMistaken(j.ID, time.Duration(100+rng.IntN(3000))*time.Millisecond)
		w.startUser(j, time.Hour, time.Duration(10+rng.IntN(60))*time.Second)
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
	}
}

// startSound starts users of n jobs of every shape whose tasks run for some seconds.
func (w *simulation) startSound(rng *rand.Rand, firstID, n int) {
	for i := range n {
		j := &wire.Job{ID: fmt.Sprintf("wk-%d", firstID+i), Class: "c", Team: "blue", Shape: []wire.Shape{wire.Array, wire.Array, wire.Gang}[rng.IntN(3)], Priority: wire.Normal,
			Tasks: 1 + rng.IntN(2), CPUs: 1, GPUs: 1, MemoryGB: 4, Image: "img", ImageGB: 0.2, EstimateS: 5}
		w.startUser(j, time.Duration(1+rng.IntN(8))*time.Second, 0)
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
	}
}

// TestMistakenJobsKeepNoOthersWaiting guards against sound jobs that wait beside machines with room, because jobs that were
// submitted with a mistake have failed on all of them. A replica runs on each machine, so that none is replaced, and the cloud
// has no more. AMBERDEAL_MISTAKES sets the number of days.
func TestMistakenJobsKeepNoOthersWaiting(t *testing.T) {
	runSeeds(t, 8, "AMBERDEAL_MISTAKE", runMistakenJobs)
}

func runMistakenJobs(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 61))
	w := newSimulation(t, seed, []float64{0, 0.1}[seed%2], nil)
	machinesPerZone := 1 + int(seed/2%2)
	w.smallCloud(machinesPerZone)
	time.Sleep(8 * time.Second)
	// Two replicas fill half of a machine, so that there is one on each.
	w.startUser(&wire.Job{ID: "wk-1", Class: "s", Team: "blue", Shape: wire.Service, Priority: wire.Production, Tasks: 2 * machinesPerZone, Spread: true,
		CPUs: 9, GPUs: 1, MemoryGB: 8, Image: "img", ImageGB: 0.2}, 24*time.Hour, 8*time.Minute)
	time.Sleep(30 * time.Second)
	w.startMistaken(rng, 100, 2+rng.IntN(4))
	w.startSound(rng, 200, 6)
	time.Sleep(100 * time.Second) // until the last mistaken job is cancelled
	w.callsOnTime.Store(true)
	w.store.Configure(func(s *simulator.StateService) { s.LossShare = 0 })
	w.declareQuiet()
	w.startSound(rng, 300, 6)
	time.Sleep(150 * time.Second)
	w.finishAndCheck(15 * time.Minute)
}

// TestFaultyMachineKeepsNoJobWaiting has a machine on which every task fails, and which can't be replaced, among sound ones with
// room. All jobs have to be done while it is faulty, it may get only a small part of the work, and once it is sound again the jobs
// for which only it has room have to start.
func TestFaultyMachineKeepsNoJobWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 62))
		w := newSimulation(t, 62, 0, nil)
		w.smallCloud(1)
		time.Sleep(8 * time.Second)
		w.startUser(&wire.Job{ID: "wk-1", Class: "s", Team: "blue", Shape: wire.Service, Priority: wire.Production, Tasks: 2, Spread: true,
			CPUs: 9, GPUs: 1, MemoryGB: 8, Image: "img", ImageGB: 0.2}, 24*time.Hour, 15*time.Minute)
		time.Sleep(30 * time.Second)
		faulty, sound := w.cloud.IDOfNth(0), w.cloud.IDOfNth(1)
		w.checker.SetFaulty(faulty, 500*time.Millisecond)
		before := w.startsOn(faulty)
		w.startSound(rng, 200, 60)
		time.Sleep(time.Minute)
		onFaulty, onSound := w.startsOn(faulty)-before, w.startsOn(sound)
		if open := w.checker.OpenJobs(); len(open) > 1 || onFaulty*4 > onSound { // the service is open
			t.Errorf("%v are open; %d tasks have started on the faulty machine and %d on the sound one", open, onFaulty, onSound)
		}
		w.checker.SetFaulty(faulty, 0)
		w.declareQuiet()
		for i := range 6 { // more than the sound machine has room for
			w.startUser(&wire.Job{ID: fmt.Sprint("wk-", 400+i), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 1,
				CPUs: 1, GPUs: 1, MemoryGB: 4, Image: "img", ImageGB: 0.2, EstimateS: 200}, 200*time.Second, 0)
		}
		time.Sleep(150 * time.Second)
		w.finishAndCheck(20 * time.Minute)
	})
}

// startsOn returns how many tasks have started on a machine.
func (w *simulation) startsOn(machine string) int {
	w.tasks.mu.Lock()
	defer w.tasks.mu.Unlock()
	return w.tasks.startsByMachine[machine]
}

// TestTinyTasksThroughLateCalls guards against an empty machine on which nothing is launched: more tiny tasks fit on it than its
// record may name, and direct calls with their launches are held up and never answered. AMBERDEAL_TINYS
// sets the number of days.
func TestTinyTasksThroughLateCalls(t *testing.T) {
	runSeeds(t, 6, "AMBERDEAL_TINY", runTinyTasks)
}

func runTinyTasks(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 63))
	lateCallShare := []float64{0, 0.3, 0.8}[seed%3]
	w := newSimulation(t, seed, lateCallShare, nil)
	w.store.Configure(func(s *simulator.StateService) { s.LossShare = 0 })
	w.smallCloud(2 + int(seed/3%2))
	time.Sleep(8 * time.Second)
	for i := range 8 {
		j := &wire.Job{ID: fmt.Sprint("wk-", 100+i), Class: "p", Team: "blue", Shape: []wire.Shape{wire.Array, wire.Gang, wire.Service}[i%3], Priority: wire.Normal,
			Tasks: 20 + rng.IntN(50), CPUs: 0.2, MemoryGB: 0.5, Image: "img", ImageGB: 0.2, EstimateS: 5}
		run, cancelAfter := time.Duration(1+rng.IntN(5))*time.Second, time.Duration(0)
		if j.Shape == wire.Service {
			run, cancelAfter = 24*time.Hour, time.Duration(30+rng.IntN(60))*time.Second
		}
		w.startUser(j, run, cancelAfter)
		time.Sleep(time.Duration(rng.IntN(20)) * time.Second)
	}
	w.callsOnTime.Store(true)
	w.declareQuiet()
	time.Sleep(150 * time.Second)
	w.finishAndCheck(15 * time.Minute)
}
