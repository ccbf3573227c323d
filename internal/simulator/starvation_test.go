package simulator

import (
	"maps"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// starvationJob is a job of the team red whose tasks take a quarter of a machine.
func starvationJob(shape wire.Shape, tasks int, change func(*wire.Job)) *wire.Job {
	j := &wire.Job{ID: "wk-1", Team: "red", Shape: shape, Priority: wire.Low, Tasks: tasks, CPUs: 2, GPUs: 1, MemoryGB: 8, ImageGB: 5}
	if change != nil {
		change(j)
	}
	return j
}

// freeMachine is a machine with free GPUs.
func freeMachine(id, zone string, gpus float64) MachineState {
	return MachineState{Machine: id, Type: "g4", Zone: zone, FreeCPUs: 16, FreeGPUs: gpus, FreeMemoryGB: 64, CacheGB: 20}
}

// starvationCase is a job that waits beside free machines, or does not.
type starvationCase struct {
	job         *wire.Job
	machines    []MachineState
	placed      map[int]string
	usedGPUs    float64 // of the team's 6 GPUs
	interrupted bool    // for a moment there is no room
	turnSamples int     // for how many samples each machine has room in turn, with those before it
	want        string  // none, idle or partly
}

// starvationCases are cases by name.
func starvationCases() map[string]starvationCase {
	two := []MachineState{freeMachine("n-1", "a", 1), freeMachine("n-2", "b", 2)}
	spot := freeMachine("n-3", "a", 4)
	spot.Spot = true
	return map[string]starvationCase{
		"an array":                         {job: starvationJob(wire.Array, 9, nil), machines: two, want: "idle"},
		"a machine is away for a moment":   {job: starvationJob(wire.Array, 9, nil), machines: two, interrupted: true},
		"machines take turns":              {job: starvationJob(wire.Array, 9, nil), machines: two, turnSamples: 12, want: "idle"},
		"they do so fast":                  {job: starvationJob(wire.Array, 9, nil), machines: two, turnSamples: 3},
		"full":                             {job: starvationJob(wire.Array, 9, nil), machines: []MachineState{freeMachine("n-1", "a", 0.5)}},
		"another zone":                     {job: starvationJob(wire.Array, 1, func(j *wire.Job) { j.Zone = "b" }), machines: two[:1]},
		"its zone":                         {job: starvationJob(wire.Array, 1, func(j *wire.Job) { j.Zone = "b" }), machines: two, want: "idle"},
		"another type":                     {job: starvationJob(wire.Array, 1, func(j *wire.Job) { j.Types = []string{"g8"} }), machines: two},
		"a spot machine":                   {job: starvationJob(wire.Array, 1, nil), machines: []MachineState{spot}},
		"a spot machine that is allowed":   {job: starvationJob(wire.Array, 1, func(j *wire.Job) { j.Spot = true }), machines: []MachineState{spot}, want: "idle"},
		"an image that is too large":       {job: starvationJob(wire.Array, 1, func(j *wire.Job) { j.ImageGB = 30 }), machines: two},
		"its team is at its limit":         {job: starvationJob(wire.Array, 9, nil), machines: two, usedGPUs: 5.5},
		"a gang":                           {job: starvationJob(wire.Gang, 3, nil), machines: two, want: "idle"},
		"a gang that is too large":         {job: starvationJob(wire.Gang, 4, nil), machines: two},
		"a gang over the limit":            {job: starvationJob(wire.Gang, 3, nil), machines: two, usedGPUs: 4},
		"a gang in one zone":               {job: starvationJob(wire.Gang, 2, func(j *wire.Job) { j.OneZone = true }), machines: two, want: "idle"},
		"one that fits no zone":            {job: starvationJob(wire.Gang, 3, func(j *wire.Job) { j.OneZone = true }), machines: two},
		"a gang that is spread":            {job: starvationJob(wire.Gang, 2, func(j *wire.Job) { j.Spread = true }), machines: two, want: "idle"},
		"one that would be in one zone":    {job: starvationJob(wire.Gang, 2, func(j *wire.Job) { j.Spread = true }), machines: two[1:]},
		"replicas that are missing":        {job: starvationJob(wire.Service, 4, nil), machines: two, placed: map[int]string{1: "a"}, want: "partly"},
		"the zone of the others is full":   {job: starvationJob(wire.Array, 4, func(j *wire.Job) { j.OneZone = true }), machines: two[1:], placed: map[int]string{1: "a"}},
		"half of them are there already":   {job: starvationJob(wire.Array, 4, func(j *wire.Job) { j.Spread = true }), machines: two[:1], placed: map[int]string{1: "a", 2: "a"}},
		"all are somewhere":                {job: starvationJob(wire.Array, 2, nil), machines: two, placed: map[int]string{0: "a", 1: "b"}},
		"a gang of which a task is on yet": {job: starvationJob(wire.Gang, 2, nil), machines: two, placed: map[int]string{0: "a"}},
	}
}

// TestStarvation checks that a job is reported for which the same machines have had capacity for
// 90 s without faults, and none for which a rule, a limit or a sample without capacity is in the
// way.
func TestStarvation(t *testing.T) {
	for name, x := range starvationCases() {
		r := StarvationChecker{Limits: map[string]TeamLimit{"red": {GPUs: 6}}}
		begun := time.Unix(1000, 0)
		r.SetQuietSince(begun.Add(30 * time.Second))
		for at := time.Duration(0); at <= 123*time.Second; at += 3 * time.Second {
			places := x.machines
			if n := int(at / (3 * time.Second)); x.turnSamples > 0 && n%x.turnSamples > 6 || x.turnSamples > 0 && x.turnSamples < 6 {
				places = places[n/x.turnSamples%2:][:1] // else both have it
			}
			if x.interrupted && at == time.Minute {
				places = places[:0]
			}
			if at == 117*time.Second && len(r.Violations())+len(r.PartiallyStarved()) > 0 {
				t.Errorf("%s: too soon", name)
			}
			r.Sample(begun.Add(at), places, []PendingJob{{Job: x.job, Placed: maps.Clone(x.placed), Finished: func(int) bool { return false }}}, map[string]TeamLimit{"red": {GPUs: x.usedGPUs}})
		}
		got := map[[2]int]string{{1, 0}: "idle", {0, 1}: "partly", {0, 0}: ""}[[2]int{len(r.Violations()), len(r.PartiallyStarved())}]
		if got != x.want {
			t.Errorf("%s: %v %v, not %q", name, r.Violations(), r.PartiallyStarved(), x.want)
		}
	}
}
