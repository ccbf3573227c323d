package scheduler

import (
	"slices"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestStarvationGuard covers each rule that keeps idle capacity from a job that could use it. A job that
// has waited for starvationLimit must get capacity for one task, or for its whole gang: not a second
// sooner, and only capacity that has been idle for as long.
func TestStarvationGuard(t *testing.T) {
	type scenario struct {
		job      *Job
		snapshot *Snapshot
		reserved []*Machine // machines whose capacity is kept from the job
	}
	starvingJob := func(shape wire.Shape, gpus float64, waiting ...int) *Job {
		j := job("wk-9", shape, wire.Normal, gpus, waiting...)
		j.Tasks, j.Age = len(waiting), 80*time.Second
		return j
	}
	scenarios := map[string]func() scenario{
		"headroom": func() scenario {
			var jobs []*Job
			for i := range 6 * 4 { // arrivals of a class that must start in less time than a machine boots
				urgent := job("s", wire.Service, wire.Production, 1)
				urgent.Age, urgent.ActiveTasks = time.Duration(i)*4*time.Second, 4
				jobs = append(jobs, urgent)
			}
			j, m := starvingJob(wire.Array, 1, 0, 1), machine("n-1", "a")
			snapshot := testSnapshot(append(jobs, j), m)
			snapshot.Objectives = []Objective{{StartWithin, "s", 10 * time.Second}}
			j.Zone = "a"
			for _, spot := range []bool{false, true} { // the cloud has machines in the other zone only
				snapshot.Unavailable[Offer{"g4", "a", spot}] = true
			}
			return scenario{j, snapshot, []*Machine{m}}
		},
		"an image that comes for production": func() scenario {
			j, m := starvingJob(wire.Array, 1, 0, 1), machine("n-1", "a")
			m.AddFetch("other", true)
			return scenario{j, testSnapshot([]*Job{j}, m), []*Machine{m}}
		},
		"a machine on which the job failed": func() scenario {
			j, m := starvingJob(wire.Array, 1, 0, 1), machine("n-1", "a")
			j.AvoidMachines = Avoidances{"n-1": AvoidStrictly}
			return scenario{j, withoutCapacity(testSnapshot([]*Job{j}, m)), []*Machine{m}}
		},
		"a gang that reserves": func() scenario {
			big, j := job("wk-1", wire.Gang, wire.Normal, 4, 0, 1), starvingJob(wire.Array, 1, 0, 1)
			big.Tasks, big.OneZone, big.Age = 2, true, 2*time.Minute
			long := job("wk-2", wire.Array, wire.Normal, 4)
			long.EstimateS = 3600
			m := machine("n-1", "a")
			snapshot := withoutCapacity(testSnapshot([]*Job{big, long, j}, m, machine("n-2", "a", Task{Job: long, RunTime: time.Minute})))
			snapshot.MaxGangWait = 4 * time.Minute
			return scenario{j, snapshot, []*Machine{m}}
		},
		"the limit of a team, for a larger job": func() scenario {
			big, j := job("wk-1", wire.Gang, wire.Normal, 4, 0, 1), starvingJob(wire.Array, 1, 0, 1)
			big.Tasks, big.Age = 2, 2*time.Minute
			long := job("wk-2", wire.Array, wire.Normal, 4)
			long.EstimateS = 3600
			m := machine("n-1", "a")
			snapshot := testSnapshot([]*Job{big, long, j}, m, machine("n-2", "a", Task{Job: long, RunTime: time.Minute}), machine("n-3", "a"))
			snapshot.MaxGangWait, snapshot.Teams["red"] = 4*time.Minute, &Team{LimitGPUs: 8, UsedGPUs: 4}
			return scenario{j, snapshot, []*Machine{m}}
		},
		"capacity for a gang": func() scenario {
			j, a, b := starvingJob(wire.Gang, 4, 0, 1), machine("n-1", "a"), machine("n-2", "b")
			a.AddFetch("other", true)
			return scenario{j, testSnapshot([]*Job{j}, a, b), []*Machine{a, b}}
		},
	}
	for name, make := range scenarios {
		t.Run(name, func(t *testing.T) {
			launched := func(starvedFor time.Duration, idle bool) (on []string) {
				s := make()
				if s.job.StarvedFor = starvedFor; idle {
					for _, m := range s.reserved {
						m.IdleCapacity = m.Free
					}
				}
				for _, l := range Schedule(s.snapshot).Launches {
					if l.Job == s.job {
						on = append(on, l.Machine)
					}
				}
				return on
			}
			want := make()
			wantTasks := 1
			if want.job.Shape == wire.Gang {
				wantTasks = len(want.job.Waiting)
			}
			if on := launched(starvationLimit-time.Second, true); len(on) > 0 {
				t.Errorf("launched on %v before starvationLimit has passed", on)
			}
			if on := launched(starvationLimit, false); len(on) > 0 {
				t.Errorf("launched on %v, on capacity that has only just become free", on)
			}
			if on := launched(starvationLimit, true); len(on) != wantTasks || slices.ContainsFunc(on, func(id string) bool {
				return !slices.ContainsFunc(want.reserved, func(m *Machine) bool { return m.ID == id })
			}) {
				t.Errorf("%d tasks admitted, on %v", len(on), on)
			}
		})
	}
}

// withoutCapacity marks all offers as unavailable.
func withoutCapacity(snapshot *Snapshot) *Snapshot {
	for _, zone := range g4.Zones {
		snapshot.Unavailable[Offer{"g4", zone, false}], snapshot.Unavailable[Offer{"g4", zone, true}] = true, true
	}
	return snapshot
}

// TestIdleCapacity checks that capacity counts as idle from the time when it was last used, and that
// times without a record do not count as idle.
func TestIdleCapacity(t *testing.T) {
	one, two := Resources{4, 1, 16, 1}, Resources{8, 2, 32, 2}
	var idle IdleCapacity
	now, firstIdle := time.Unix(0, 0), time.Duration(-1)
	recordFor := func(d time.Duration, free Resources) Resources {
		var recorded Resources
		for range d / time.Second {
			now = now.Add(time.Second)
			if recorded = idle.Record(now, free); firstIdle < 0 && recorded.Fits(one) {
				firstIdle = now.Sub(time.Unix(0, 0))
			}
		}
		return recorded
	}
	recordFor(10*time.Second, Resources{})
	recordFor(time.Second, two) // free for a moment, then used again
	recordFor(20*time.Second, one)
	if got := recordFor(2*time.Minute, two); !got.Fits(two) || firstIdle-11*time.Second < starvationLimit || firstIdle-11*time.Second > starvationLimit+idleCapacityStep {
		t.Errorf("%v is idle; the first part of it was reported after %v", got, firstIdle)
	}
	now = now.Add(2 * idleCapacityStep)
	if got := idle.Record(now, two); got.Fits(one) {
		t.Errorf("%v counts as idle although the last steps have no records", got)
	}
}
