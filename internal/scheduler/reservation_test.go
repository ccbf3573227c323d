package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// overloadedFleet is a full fleet for which the cloud has no more machines, to which more work comes
// than it can do: arrays and small gangs that take each bit, services, and now and then a gang for a
// good part of a zone. Nothing of a plan is remembered from step to step, as with a new leader in
// each.
type overloadedFleet struct {
	*rand.Rand
	now              time.Duration
	machines         []*Machine
	jobs             []*Job
	remainingRunTime map[*Job]map[int]time.Duration // until a task ends
	waitTimes        map[int][]time.Duration        // of gangs, by their size
	idleCapacity     map[*Machine]*IdleCapacity
}

// largestGang is how many tasks the largest gangs have: two thirds of a zone.
const largestGang = 16

func newOverloadedFleet(seed uint64, machines int) *overloadedFleet {
	h := &overloadedFleet{Rand: rand.New(rand.NewPCG(seed, 1)), remainingRunTime: map[*Job]map[int]time.Duration{}, waitTimes: map[int][]time.Duration{}, idleCapacity: map[*Machine]*IdleCapacity{}}
	for i := range machines {
		h.machines = append(h.machines, &Machine{ID: fmt.Sprintf("n-%03d", i), Type: "g4", Zone: []string{"a", "b", "c"}[i%3]})
	}
	return h
}

func (h *overloadedFleet) submit(class string, shape wire.Shape, p wire.Priority, tasks int, gpus float64, run time.Duration) {
	j := job(fmt.Sprintf("wk-%06d", len(h.remainingRunTime)), shape, p, gpus)
	j.Class, j.Tasks, j.Order, j.OneZone, j.EstimateS = class, tasks, uint64(len(h.remainingRunTime)), shape == wire.Gang, run.Seconds()*(0.5+h.Float64())
	j.CPUs, j.MemoryGB = 4*gpus, 16*gpus
	for i := range tasks {
		j.Waiting = append(j.Waiting, i)
	}
	h.jobs = append(h.jobs, j)
	h.remainingRunTime[j] = map[int]time.Duration{}
	if p == wire.Production {
		run *= 10 // and it has no estimate
		j.EstimateS = 0
	}
	for i := range tasks {
		h.remainingRunTime[j][i] = run
	}
}

// step lets tasks run for a second, and schedules the rest.
func (h *overloadedFleet) step(within time.Duration) {
	h.now += time.Second
	for _, m := range h.machines {
		m.Usable, m.Free, m.machinePlan = true, Resources{16, 4, 64}, machinePlan{}
		m.Tasks = slices.DeleteFunc(m.Tasks, func(t Task) bool {
			if t.Stopping {
				t.Job.Waiting = append(t.Job.Waiting, t.Index)
			} else if h.remainingRunTime[t.Job][t.Index] -= time.Second; h.remainingRunTime[t.Job][t.Index] > 0 {
				return false
			}
			t.Job.Active--
			t.Job.InZone[m.Zone]--
			return true
		})
		for i, t := range m.Tasks {
			m.Tasks[i].RunTime += time.Second
			m.Free = m.Free.AddScaled(ResourcesOf(t.Job.Job), -1)
		}
		if h.idleCapacity[m] == nil {
			h.idleCapacity[m] = new(IdleCapacity)
		}
		m.IdleCapacity = h.idleCapacity[m].Record(time.Unix(0, int64(h.now)), m.Free)
	}
	h.jobs = slices.DeleteFunc(h.jobs, func(j *Job) bool { return len(j.Waiting)+j.Active == 0 })
	jobs := slices.Clone(h.jobs)
	for _, j := range jobs {
		j.Age += time.Second
		j.reservationTurn, j.reservedMachines = 0, nil
		if j.StarvedFor += time.Second; j.Active > 0 {
			j.StarvedFor = 0
		}
	}
	full := map[Offer]bool{}
	for _, zone := range []string{"a", "b", "c"} {
		full[Offer{"g4", zone, false}], full[Offer{"g4", zone, true}] = true, true
	}
	g := g4
	g.Zones = []string{"a", "b", "c"}
	plan := Schedule(&Snapshot{Machines: h.machines, Jobs: jobs, Teams: map[string]*Team{"red": {}}, Types: []wire.MachineType{g}, Unavailable: full, Doubtful: full,
		Objectives:  []Objective{{StartWithin, "gang", time.Minute}, {StartWithin, "gang", 100 * time.Second}, {FinishWithin, "array", 3 * time.Minute}, {FinishWithin, "gang", 400 * time.Second}},
		MaxGangWait: within, IdleTimeout: time.Minute, LaunchBudget: 500})
	for _, l := range plan.Launches {
		if l.Job.Shape == wire.Gang && l.TaskIndex == l.Job.Waiting[0] {
			h.waitTimes[l.Job.Tasks] = append(h.waitTimes[l.Job.Tasks], l.Job.Age)
		}
	}
	for _, l := range plan.Launches {
		m := h.machines[slices.IndexFunc(h.machines, func(m *Machine) bool { return m.ID == l.Machine })]
		m.Tasks = append(m.Tasks, Task{Job: l.Job, Index: l.TaskIndex})
		l.Job.Active++
		l.Job.InZone[m.Zone]++
		l.Job.Waiting = slices.DeleteFunc(l.Job.Waiting, func(i int) bool { return i == l.TaskIndex })
	}
	for _, s := range plan.Stops { // gone by the next second
		for _, m := range h.machines {
			if i := slices.IndexFunc(m.Tasks, func(t Task) bool { return t.Job == s.Job && t.Index == s.TaskIndex }); i >= 0 {
				m.Tasks[i].Stopping = true
			}
		}
	}
}

// TestLargestGangStartsUnderOverload: under permanent overload by smaller work the largest gangs start within the
// bound, however often another leader takes over that knows nothing of what was reserved, and for
// which all that runs has just started. Without the bound they never do.
func TestLargestGangStartsUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		h := newOverloadedFleet(seed, 36)
		for h.now < 10*time.Minute {
			if h.Float64() < 0.15 {
				h.submit("array", wire.Array, wire.Normal, 10+h.IntN(30), 1, time.Duration(30+h.IntN(60))*time.Second)
			}
			if h.Float64() < 0.05 {
				h.submit("gang", wire.Gang, wire.Normal, 1+h.IntN(3), 2, time.Duration(60+h.IntN(90))*time.Second)
			}
			if h.Float64() < 0.02 {
				h.submit("service", wire.Service, wire.Production, 3, 1, 10*time.Second)
			}
			if h.now%(2*time.Minute) == time.Minute {
				h.submit("gang", wire.Gang, wire.Normal, largestGang, 2, 90*time.Second)
			}
			if h.now%(100*time.Second) == 0 {
				for _, m := range h.machines {
					for i := range m.Tasks {
						m.Tasks[i].RunTime = 0
					}
				}
			}
			h.step(4 * time.Minute)
		}
		if waits := h.waitTimes[largestGang]; len(waits) < 3 || slices.Max(waits) > 4*time.Minute {
			t.Errorf("seed %d: the largest begin after %v", seed, waits)
		}
		for _, j := range h.jobs {
			if j.Tasks == largestGang && len(j.Waiting) > 0 && j.Shape == wire.Gang && j.Age > 4*time.Minute {
				t.Errorf("seed %d: %s waits for %v", seed, j.ID, j.Age)
			}
		}
	}
}

// TestReservation: what a gang that has waited for long does where it finds no capacity.
func TestReservation(t *testing.T) {
	long := func(j *Job) *Job { j.Age = 2 * time.Minute; j.OneZone = true; return j }
	run := func(j *Job, est float64) *Job { j.EstimateS = est; return j }
	full := map[Offer]bool{{"g4", "a", false}: true, {"g4", "b", false}: true}
	tests := []struct {
		name  string
		setup func() *Snapshot
		want  []string // launches
	}{
		{"it reserves what is free in the zone where the rest comes soonest", func() *Snapshot {
			busy, soon, small := run(job("wk-1", wire.Array, wire.Normal, 4), 300), run(job("wk-2", wire.Array, wire.Normal, 4), 20), job("wk-4", wire.Array, wire.Normal, 1, 0, 1, 2, 3, 4)
			return testSnapshot([]*Job{busy, soon, small, long(job("wk-3", wire.Gang, wire.Normal, 4, 0, 1))},
				machine("n-1", "a", Task{Job: busy}), machine("n-2", "a"), machine("n-3", "b", Task{Job: soon}), machine("n-4", "b"))
		}, []string{"wk-4/0 n-2", "wk-4/1 n-2", "wk-4/2 n-2", "wk-4/3 n-2"}},
		{"however long one has waited that finds no capacity at all", func() *Snapshot {
			busy, soon, small := run(job("wk-1", wire.Array, wire.Normal, 4), 300), run(job("wk-2", wire.Array, wire.Normal, 4), 20), job("wk-4", wire.Array, wire.Normal, 1, 0, 1, 2, 3, 4)
			never := long(job("wk-5", wire.Gang, wire.Normal, 4, 0, 1, 2, 3, 4, 5, 6, 7))
			never.Age, never.Zone = 9*time.Minute, "c"
			return testSnapshot([]*Job{busy, soon, small, never, long(job("wk-3", wire.Gang, wire.Normal, 4, 0, 1))},
				machine("n-1", "a", Task{Job: busy}), machine("n-2", "a"), machine("n-3", "b", Task{Job: soon}), machine("n-4", "b"))
		}, []string{"wk-4/0 n-2", "wk-4/1 n-2", "wk-4/2 n-2", "wk-4/3 n-2"}},
		{"services take other capacity while there is any", func() *Snapshot {
			busy, other, top := run(job("wk-1", wire.Array, wire.Normal, 4), 20), run(job("wk-2", wire.Service, wire.Production, 1), 300), job("wk-4", wire.Service, wire.Production, 1, 0)
			return testSnapshot([]*Job{busy, other, top, long(job("wk-3", wire.Gang, wire.Normal, 4, 0, 1))},
				machine("n-1", "a", Task{Job: busy}), machine("n-2", "a"), machine("n-3", "a", Task{Job: other}))
		}, []string{"wk-4/0 n-3"}},
		{"the largest array goes before smaller work that has yet to miss its objective", func() *Snapshot {
			large, small := job("wk-1", wire.Array, wire.Normal, 4, 0, 1), job("wk-2", wire.Array, wire.Normal, 4, 0)
			large.Tasks, large.Age, small.Age, small.Class = 50, 130*time.Second, 50*time.Second, "small"
			p := testSnapshot([]*Job{large, small}, machine("n-1", "a"))
			p.Objectives = []Objective{{StartWithin, "small", time.Minute}, {StartWithin, large.Class, time.Minute}}
			return p
		}, []string{"wk-1/0 n-1"}},
		{"smaller work does not use up the team's limit", func() *Snapshot {
			busy, small := run(job("wk-1", wire.Array, wire.Normal, 4), 20), job("wk-4", wire.Array, wire.Normal, 1, 0)
			p := testSnapshot([]*Job{busy, small, long(job("wk-3", wire.Gang, wire.Normal, 4, 0, 1))}, machine("n-1", "a", Task{Job: busy}), machine("n-2", "a"), machine("n-3", "a"))
			p.Teams["red"] = &Team{LimitGPUs: 10, UsedGPUs: 4}
			return p
		}, nil},
		{"unless services use what it needs", func() *Snapshot {
			stays, small := job("wk-1", wire.Service, wire.Production, 4), job("wk-4", wire.Array, wire.Normal, 1, 0)
			p := testSnapshot([]*Job{stays, small, long(job("wk-3", wire.Gang, wire.Normal, 4, 0, 1))}, machine("n-1", "a", Task{Job: stays}), machine("n-2", "a"), machine("n-3", "a"))
			p.Teams["red"] = &Team{LimitGPUs: 10, UsedGPUs: 4}
			return p
		}, []string{"wk-4/0 n-3"}},
		{"nor that of an array", func() *Snapshot {
			wide, small := job("wk-1", wire.Array, wire.Normal, 4, 0), job("wk-2", wire.Array, wire.Normal, 1, 0)
			wide.Age = 2 * time.Minute
			p := testSnapshot([]*Job{wide, small}, machine("n-1", "a"))
			p.Teams["red"] = &Team{LimitGPUs: 10, UsedGPUs: 8}
			return p
		}, nil},
		{"what may run elsewhere starts nothing, and its reservation stays", func() *Snapshot {
			busy, small, gang := run(job("wk-1", wire.Array, wire.Normal, 4), 20), job("wk-4", wire.Array, wire.Normal, 1, 0), long(job("wk-3", wire.Gang, wire.Normal, 4, 0, 1))
			gang.MaybeRunning = true
			return testSnapshot([]*Job{busy, small, gang}, machine("n-1", "a", Task{Job: busy}), machine("n-2", "a"))
		}, nil},
		{"a zone that is unavailable is left", func() *Snapshot {
			busy, small := run(job("wk-1", wire.Array, wire.Normal, 4), 20), job("wk-4", wire.Array, wire.Normal, 1, 0)
			dark := machine("n-1", "a")
			dark.Usable = false
			return testSnapshot([]*Job{busy, small, long(job("wk-3", wire.Gang, wire.Normal, 4, 0, 1))}, dark, machine("n-2", "a"), machine("n-3", "b", Task{Job: busy}), machine("n-4", "b"))
		}, []string{"wk-4/0 n-2"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := test.setup()
			p.MaxGangWait, p.Unavailable, p.Doubtful = 4*time.Minute, full, full
			var got []string
			for _, l := range Schedule(p).Launches {
				got = append(got, fmt.Sprintf("%s/%d %s", l.Job.ID, l.TaskIndex, l.Machine))
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("launches %v, want %v", got, test.want)
			}
		})
	}
}
