package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// overloadedFleet is a full fleet that cannot scale out and gets more work than it can run: arrays and small gangs that
// take each piece of free capacity, services, and from time to time a gang that needs a large part of a zone. No
// planner state is kept between steps, as if a new leader was elected before each.
type overloadedFleet struct {
	*rand.Rand
	now              time.Duration
	machines         []*Machine
	jobs             []*Job
	remainingRunTime map[*Job]map[int]time.Duration // run time that each unfinished task has left, by task index
	waitTimes        map[int][]time.Duration        // wait times of the launched gangs, by number of tasks
	idleCapacity     map[*Machine]*IdleCapacity
}

// largestGang is the number of tasks of the largest gangs, which need two thirds of a zone.
const largestGang = 16

func newOverloadedFleet(seed uint64, machines int) *overloadedFleet {
	f := &overloadedFleet{Rand: rand.New(rand.NewPCG(seed, 1)), remainingRunTime: map[*Job]map[int]time.Duration{}, waitTimes: map[int][]time.Duration{}, idleCapacity: map[*Machine]*IdleCapacity{}}
	for i := range machines {
		f.machines = append(f.machines, &Machine{ID: fmt.Sprintf("n-%03d", i), Type: "g4", Zone: []string{"a", "b", "c"}[i%3]})
	}
	return f
}

func (f *overloadedFleet) submit(class string, shape wire.Shape, p wire.Priority, tasks int, gpus float64, run time.Duration) {
	j := job(fmt.Sprintf("wk-%06d", len(f.remainingRunTime)), shape, p, gpus)
	j.Class, j.Tasks, j.SubmissionOrder, j.OneZone, j.EstimateS = class, tasks, uint64(len(f.remainingRunTime)), shape == wire.Gang, run.Seconds()*(0.5+f.Float64())
	j.CPUs, j.MemoryGB = 4*gpus, 16*gpus
	for i := range tasks {
		j.Waiting = append(j.Waiting, i)
	}
	f.jobs = append(f.jobs, j)
	f.remainingRunTime[j] = map[int]time.Duration{}
	if p == wire.Production {
		run *= 10 // and the job has no estimate
		j.EstimateS = 0
	}
	for i := range tasks {
		f.remainingRunTime[j][i] = run
	}
}

// step lets the running tasks run for a second, and schedules the waiting ones.
func (f *overloadedFleet) step(maxGangWait time.Duration) {
	f.now += time.Second
	for _, m := range f.machines {
		m.Usable, m.Free, m.machinePlan = true, Resources{16, 4, 64, wire.MaxTasks}, machinePlan{}
		m.Tasks = slices.DeleteFunc(m.Tasks, func(t Task) bool {
			if t.Stopping {
				t.Job.Waiting = append(t.Job.Waiting, t.Index)
			} else if f.remainingRunTime[t.Job][t.Index] -= time.Second; f.remainingRunTime[t.Job][t.Index] > 0 {
				return false
			}
			t.Job.ActiveTasks--
			t.Job.TasksByZone[m.Zone]--
			return true
		})
		for i, t := range m.Tasks {
			m.Tasks[i].RunTime += time.Second
			m.Free = m.Free.AddScaled(ResourcesOf(t.Job.Job), -1)
		}
		if f.idleCapacity[m] == nil {
			f.idleCapacity[m] = new(IdleCapacity)
		}
		m.IdleCapacity = f.idleCapacity[m].Record(time.Unix(0, int64(f.now)), m.Free)
	}
	f.jobs = slices.DeleteFunc(f.jobs, func(j *Job) bool { return len(j.Waiting)+j.ActiveTasks == 0 })
	jobs := slices.Clone(f.jobs)
	for _, j := range jobs {
		j.Age += time.Second
		j.reservationTurn, j.reservedMachines = 0, nil
		if j.StarvedFor += time.Second; j.ActiveTasks > 0 {
			j.StarvedFor = 0
		}
	}
	full := map[Offer]bool{}
	for _, zone := range []string{"a", "b", "c"} {
		full[Offer{"g4", zone, false}], full[Offer{"g4", zone, true}] = true, true
	}
	g := g4
	g.Zones = []string{"a", "b", "c"}
	plan := Schedule(&Snapshot{Machines: f.machines, Jobs: jobs, Teams: map[string]*Team{"red": {}}, Types: []wire.MachineType{g}, Unavailable: full, Doubtful: full,
		Objectives:  []Objective{{StartWithin, "gang", time.Minute}, {StartWithin, "gang", 100 * time.Second}, {FinishWithin, "array", 3 * time.Minute}, {FinishWithin, "gang", 400 * time.Second}},
		MaxGangWait: maxGangWait, IdleTimeout: time.Minute, LaunchBudget: 500})
	for _, l := range plan.Launches {
		if l.Job.Shape == wire.Gang && l.TaskIndex == l.Job.Waiting[0] {
			f.waitTimes[l.Job.Tasks] = append(f.waitTimes[l.Job.Tasks], l.Job.Age)
		}
	}
	for _, l := range plan.Launches {
		m := f.machines[slices.IndexFunc(f.machines, func(m *Machine) bool { return m.ID == l.Machine })]
		m.Tasks = append(m.Tasks, Task{Job: l.Job, Index: l.TaskIndex})
		l.Job.ActiveTasks++
		l.Job.TasksByZone[m.Zone]++
		l.Job.Waiting = slices.DeleteFunc(l.Job.Waiting, func(i int) bool { return i == l.TaskIndex })
	}
	for _, s := range plan.Stops { // stopped tasks are gone in the next step
		for _, m := range f.machines {
			if i := slices.IndexFunc(m.Tasks, func(t Task) bool { return t.Job == s.Job && t.Index == s.TaskIndex }); i >= 0 {
				m.Tasks[i].Stopping = true
			}
		}
	}
}

// TestLargestGangStartsUnderOverload checks that the largest gangs start within MaxGangWait under permanent overload by
// smaller jobs, although no reservation is remembered from step to step and the run times of all tasks are reset from
// time to time, as after a change of leader. Without MaxGangWait these gangs never start.
func TestLargestGangStartsUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		f := newOverloadedFleet(seed, 36)
		for f.now < 10*time.Minute {
			if f.Float64() < 0.15 {
				f.submit("array", wire.Array, wire.Normal, 10+f.IntN(30), 1, time.Duration(30+f.IntN(60))*time.Second)
			}
			if f.Float64() < 0.05 {
				f.submit("gang", wire.Gang, wire.Normal, 1+f.IntN(3), 2, time.Duration(60+f.IntN(90))*time.Second)
			}
			if f.Float64() < 0.02 {
				f.submit("service", wire.Service, wire.Production, 3, 1, 10*time.Second)
			}
			if f.now%(2*time.Minute) == time.Minute {
				f.submit("gang", wire.Gang, wire.Normal, largestGang, 2, 90*time.Second)
			}
			if f.now%(100*time.Second) == 0 {
				for _, m := range f.machines {
					for i := range m.Tasks {
						m.Tasks[i].RunTime = 0
					}
				}
			}
			f.step(4 * time.Minute)
		}
		if waits := f.waitTimes[largestGang]; len(waits) < 3 || slices.Max(waits) > 4*time.Minute {
			t.Errorf("seed %d: the largest gangs start after %v, want at least 3 gangs and no wait over 4m", seed, waits)
		}
		for _, j := range f.jobs {
			if j.Tasks == largestGang && len(j.Waiting) > 0 && j.Shape == wire.Gang && j.Age > 4*time.Minute {
				t.Errorf("seed %d: %s still waits after %v, want a start within 4m", seed, j.ID, j.Age)
			}
		}
	}
}

// TestReservation checks what jobs that have waited for a long time reserve if they find no capacity, and which of the
// other jobs start meanwhile.
func TestReservation(t *testing.T) {
	long := func(j *Job) *Job { j.Age = 2 * time.Minute; j.OneZone = true; return j }
	run := func(j *Job, est float64) *Job { j.EstimateS = est; return j }
	full := map[Offer]bool{{"g4", "a", false}: true, {"g4", "b", false}: true}
	tests := []struct {
		name  string
		setup func() *Snapshot
		want  []string // expected launches
	}{
		{"a gang reserves what is free in the zone where the rest is free soonest", func() *Snapshot {
			busy, soon, small := run(job("wk-1", wire.Array, wire.Normal, 4), 300), run(job("wk-2", wire.Array, wire.Normal, 4), 20), job("wk-4", wire.Array, wire.Normal, 1, 0, 1, 2, 3, 4)
			return testSnapshot([]*Job{busy, soon, small, long(job("wk-3", wire.Gang, wire.Normal, 4, 0, 1))},
				machine("n-1", "a", Task{Job: busy}), machine("n-2", "a"), machine("n-3", "b", Task{Job: soon}), machine("n-4", "b"))
		}, []string{"wk-4/0 n-2", "wk-4/1 n-2", "wk-4/2 n-2", "wk-4/3 n-2"}},
		{"a gang that never finds capacity does not keep others from reserving", func() *Snapshot {
			busy, soon, small := run(job("wk-1", wire.Array, wire.Normal, 4), 300), run(job("wk-2", wire.Array, wire.Normal, 4), 20), job("wk-4", wire.Array, wire.Normal, 1, 0, 1, 2, 3, 4)
			never := long(job("wk-5", wire.Gang, wire.Normal, 4, 0, 1, 2, 3, 4, 5, 6, 7))
			never.Age, never.Zone = 9*time.Minute, "c"
			return testSnapshot([]*Job{busy, soon, small, never, long(job("wk-3", wire.Gang, wire.Normal, 4, 0, 1))},
				machine("n-1", "a", Task{Job: busy}), machine("n-2", "a"), machine("n-3", "b", Task{Job: soon}), machine("n-4", "b"))
		}, []string{"wk-4/0 n-2", "wk-4/1 n-2", "wk-4/2 n-2", "wk-4/3 n-2"}},
		{"services use other capacity if there is any", func() *Snapshot {
			busy, other, top := run(job("wk-1", wire.Array, wire.Normal, 4), 20), run(job("wk-2", wire.Service, wire.Production, 1), 300), job("wk-4", wire.Service, wire.Production, 1, 0)
			return testSnapshot([]*Job{busy, other, top, long(job("wk-3", wire.Gang, wire.Normal, 4, 0, 1))},
				machine("n-1", "a", Task{Job: busy}), machine("n-2", "a"), machine("n-3", "a", Task{Job: other}))
		}, []string{"wk-4/0 n-3"}},
		{"the largest array goes before a smaller job that can still meet its objective", func() *Snapshot {
			large, small := job("wk-1", wire.Array, wire.Normal, 4, 0, 1), job("wk-2", wire.Array, wire.Normal, 4, 0)
			large.Tasks, large.Age, small.Age, small.Class = 50, 130*time.Second, 50*time.Second, "small"
			p := testSnapshot([]*Job{large, small}, machine("n-1", "a"))
			p.Objectives = []Objective{{StartWithin, "small", time.Minute}, {StartWithin, large.Class, time.Minute}}
			return p
		}, []string{"wk-1/0 n-1"}},
		{"smaller jobs do not use up the team's limit before a gang", func() *Snapshot {
			busy, small := run(job("wk-1", wire.Array, wire.Normal, 4), 20), job("wk-4", wire.Array, wire.Normal, 1, 0)
			p := testSnapshot([]*Job{busy, small, long(job("wk-3", wire.Gang, wire.Normal, 4, 0, 1))}, machine("n-1", "a", Task{Job: busy}), machine("n-2", "a"), machine("n-3", "a"))
			p.Teams["red"] = &Team{LimitGPUs: 10, UsedGPUs: 4}
			return p
		}, nil},
		{"smaller jobs use the limit if services leave too little for the gang", func() *Snapshot {
			stays, small := job("wk-1", wire.Service, wire.Production, 4), job("wk-4", wire.Array, wire.Normal, 1, 0)
			p := testSnapshot([]*Job{stays, small, long(job("wk-3", wire.Gang, wire.Normal, 4, 0, 1))}, machine("n-1", "a", Task{Job: stays}), machine("n-2", "a"), machine("n-3", "a"))
			p.Teams["red"] = &Team{LimitGPUs: 10, UsedGPUs: 4}
			return p
		}, []string{"wk-4/0 n-3"}},
		{"smaller jobs do not use up the team's limit before an array", func() *Snapshot {
			wide, small := job("wk-1", wire.Array, wire.Normal, 4, 0), job("wk-2", wire.Array, wire.Normal, 1, 0)
			wide.Age = 2 * time.Minute
			p := testSnapshot([]*Job{wide, small}, machine("n-1", "a"))
			p.Teams["red"] = &Team{LimitGPUs: 10, UsedGPUs: 8}
			return p
		}, nil},
		{"a gang that may be running launches nothing and keeps its reservation", func() *Snapshot {
			busy, small, gang := run(job("wk-1", wire.Array, wire.Normal, 4), 20), job("wk-4", wire.Array, wire.Normal, 1, 0), long(job("wk-3", wire.Gang, wire.Normal, 4, 0, 1))
			gang.MaybeRunning = true
			return testSnapshot([]*Job{busy, small, gang}, machine("n-1", "a", Task{Job: busy}), machine("n-2", "a"))
		}, nil},
		{"a gang reserves nothing in a zone with an unusable machine", func() *Snapshot {
			busy, small := run(job("wk-1", wire.Array, wire.Normal, 4), 20), job("wk-4", wire.Array, wire.Normal, 1, 0)
			unusable := machine("n-1", "a")
			unusable.Usable = false
			return testSnapshot([]*Job{busy, small, long(job("wk-3", wire.Gang, wire.Normal, 4, 0, 1))}, unusable, machine("n-2", "a"), machine("n-3", "b", Task{Job: busy}), machine("n-4", "b"))
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
