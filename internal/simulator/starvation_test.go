package simulator

import (
	"maps"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// starvationJob returns a job of team red whose tasks need a quarter of the GPUs of a g4 machine each,
// changed by change unless that is nil.
func starvationJob(shape wire.Shape, tasks int, change func(*wire.Job)) *wire.Job {
	job := &wire.Job{ID: "wk-1", Team: "red", Shape: shape, Priority: wire.Low, Tasks: tasks, CPUs: 2, GPUs: 1, MemoryGB: 8, ImageGB: 5}
	if change != nil {
		change(job)
	}
	return job
}

// freeMachine returns a machine with the given number of free GPUs.
func freeMachine(id, zone string, gpus float64) MachineState {
	return MachineState{Machine: id, Type: "g4", Zone: zone, FreeCPUs: 16, FreeGPUs: gpus, FreeMemoryGB: 64, CacheGB: 20}
}

// starvationCase is a job beside free machines, and whether it is to be reported.
type starvationCase struct {
	job         *wire.Job
	machines    []MachineState
	placed      map[int]string
	usedGPUs    float64 // of the 6 GPUs in the team's limit
	interrupted bool    // in one sample no machine has capacity
	turnSamples int     // if set, both machines have capacity in turn, each for that many samples
	want        string  // "idle" for a violation, "partly" for a partially starved job, "" for neither
}

// starvationCases returns the cases of TestStarvation by name.
func starvationCases() map[string]starvationCase {
	two := []MachineState{freeMachine("n-1", "a", 1), freeMachine("n-2", "b", 2)}
	spot := freeMachine("n-3", "a", 4)
	spot.Spot = true
	return map[string]starvationCase{
		"an array":                                     {job: starvationJob(wire.Array, 9, nil), machines: two, want: "idle"},
		"a machine is away for a moment":               {job: starvationJob(wire.Array, 9, nil), machines: two, interrupted: true},
		"machines take turns":                          {job: starvationJob(wire.Array, 9, nil), machines: two, turnSamples: 12, want: "idle"},
		"machines take turns quickly":                  {job: starvationJob(wire.Array, 9, nil), machines: two, turnSamples: 3},
		"no machine has capacity":                      {job: starvationJob(wire.Array, 9, nil), machines: []MachineState{freeMachine("n-1", "a", 0.5)}},
		"another zone":                                 {job: starvationJob(wire.Array, 1, func(j *wire.Job) { j.Zone = "b" }), machines: two[:1]},
		"its zone":                                     {job: starvationJob(wire.Array, 1, func(j *wire.Job) { j.Zone = "b" }), machines: two, want: "idle"},
		"another type":                                 {job: starvationJob(wire.Array, 1, func(j *wire.Job) { j.Types = []string{"g8"} }), machines: two},
		"a spot machine":                               {job: starvationJob(wire.Array, 1, nil), machines: []MachineState{spot}},
		"a spot machine that is allowed":               {job: starvationJob(wire.Array, 1, func(j *wire.Job) { j.Spot = true }), machines: []MachineState{spot}, want: "idle"},
		"an image that is too large":                   {job: starvationJob(wire.Array, 1, func(j *wire.Job) { j.ImageGB = 30 }), machines: two},
		"its team is at its limit":                     {job: starvationJob(wire.Array, 9, nil), machines: two, usedGPUs: 5.5},
		"a gang":                                       {job: starvationJob(wire.Gang, 3, nil), machines: two, want: "idle"},
		"a gang that is too large":                     {job: starvationJob(wire.Gang, 4, nil), machines: two},
		"a gang over the limit":                        {job: starvationJob(wire.Gang, 3, nil), machines: two, usedGPUs: 4},
		"a gang in one zone":                           {job: starvationJob(wire.Gang, 2, func(j *wire.Job) { j.OneZone = true }), machines: two, want: "idle"},
		"a one-zone gang that fits no zone":            {job: starvationJob(wire.Gang, 3, func(j *wire.Job) { j.OneZone = true }), machines: two},
		"a gang that is spread":                        {job: starvationJob(wire.Gang, 2, func(j *wire.Job) { j.Spread = true }), machines: two, want: "idle"},
		"a spread gang with capacity in one zone only": {job: starvationJob(wire.Gang, 2, func(j *wire.Job) { j.Spread = true }), machines: two[1:]},
		"replicas that are missing":                    {job: starvationJob(wire.Service, 4, nil), machines: two, placed: map[int]string{1: "a"}, want: "partly"},
		"the zone of the others is full":               {job: starvationJob(wire.Array, 4, func(j *wire.Job) { j.OneZone = true }), machines: two[1:], placed: map[int]string{1: "a"}},
		"half of them are there already":               {job: starvationJob(wire.Array, 4, func(j *wire.Job) { j.Spread = true }), machines: two[:1], placed: map[int]string{1: "a", 2: "a"}},
		"all tasks are placed":                         {job: starvationJob(wire.Array, 2, nil), machines: two, placed: map[int]string{0: "a", 1: "b"}},
		"a gang of which one task is still placed":     {job: starvationJob(wire.Gang, 2, nil), machines: two, placed: map[int]string{0: "a"}},
	}
}

// TestStarvation checks that a job is reported if the same machines have had capacity for it for 90 s
// without faults, and that a job is not reported if a rule, a limit or a sample without capacity stands
// in the way.
func TestStarvation(t *testing.T) {
	for name, test := range starvationCases() {
		checker := StarvationChecker{Limits: map[string]TeamLimit{"red": {GPUs: 6}}}
		start := time.Unix(1000, 0)
		checker.SetFaultFreeSince(start.Add(30 * time.Second))
		for elapsed := time.Duration(0); elapsed <= 123*time.Second; elapsed += 3 * time.Second {
			machines := test.machines
			if sample := int(elapsed / (3 * time.Second)); test.turnSamples > 0 && sample%test.turnSamples > 6 || test.turnSamples > 0 && test.turnSamples < 6 {
				machines = machines[sample/test.turnSamples%2:][:1] // in the first 7 samples of a long turn both machines have capacity
			}
			if test.interrupted && elapsed == time.Minute {
				machines = machines[:0]
			}
			if elapsed == 117*time.Second && len(checker.Violations())+len(checker.PartiallyStarved()) > 0 {
				t.Errorf("%s: reported too soon", name)
			}
			checker.Sample(start.Add(elapsed), machines, []PendingJob{{Job: test.job, Placed: maps.Clone(test.placed), Finished: func(int) bool { return false }}}, map[string]TeamLimit{"red": {GPUs: test.usedGPUs}})
		}
		got := map[[2]int]string{{1, 0}: "idle", {0, 1}: "partly", {0, 0}: ""}[[2]int{len(checker.Violations()), len(checker.PartiallyStarved())}]
		if got != test.want {
			t.Errorf("%s: %v %v, not %q", name, checker.Violations(), checker.PartiallyStarved(), test.want)
		}
	}
}
