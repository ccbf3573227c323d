package scheduler

import (
	"slices"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestStarvationGuard: each rule by which capacity is kept from work that could use it, for as long as
// its cause lasts. What has waited beside it for starvationLimit takes the capacity for a task, or for a
// whole gang, that has been idle for as long; not a second sooner, and none that has come free since.
func TestStarvationGuard(t *testing.T) {
	type scene struct {
		job      *Job
		pic      *Snapshot
		reserved []*Machine // with capacity that is kept from it
	}
	low := func(shape wire.Shape, gpus float64, waiting ...int) *Job {
		j := job("wk-9", shape, wire.Normal, gpus, waiting...)
		j.Tasks, j.Age = len(waiting), 80*time.Second
		return j
	}
	scenes := map[string]func() scene{
		"headroom": func() scene {
			var jobs []*Job
			for i := range 6 * 4 { // a class that must start sooner than a machine boots
				urgent := job("s", wire.Service, wire.Production, 1)
				urgent.Age, urgent.Active = time.Duration(i)*4*time.Second, 4
				jobs = append(jobs, urgent)
			}
			j, m := low(wire.Array, 1, 0, 1), machine("n-1", "a")
			pic := testSnapshot(append(jobs, j), m)
			pic.Objectives = []Objective{{StartWithin, "s", 10 * time.Second}}
			j.Zone = "a"
			for _, spot := range []bool{false, true} { // the cloud has no more in this zone, but in the other
				pic.Unavailable[Offer{"g4", "a", spot}] = true
			}
			return scene{j, pic, []*Machine{m}}
		},
		"an image that comes for production": func() scene {
			j, m := low(wire.Array, 1, 0, 1), machine("n-1", "a")
			m.AddFetch("other", true)
			return scene{j, testSnapshot([]*Job{j}, m), []*Machine{m}}
		},
		"a machine on which the job failed": func() scene {
			j, m := low(wire.Array, 1, 0, 1), machine("n-1", "a")
			j.AvoidMachines = map[string]bool{"n-1": true}
			return scene{j, withoutCapacity(testSnapshot([]*Job{j}, m)), []*Machine{m}}
		},
		"a gang that reserves": func() scene {
			big, j := job("wk-1", wire.Gang, wire.Normal, 4, 0, 1), low(wire.Array, 1, 0, 1)
			big.Tasks, big.OneZone, big.Age = 2, true, 2*time.Minute
			long := job("wk-2", wire.Array, wire.Normal, 4)
			long.EstimateS = 3600
			m := machine("n-1", "a")
			pic := withoutCapacity(testSnapshot([]*Job{big, long, j}, m, machine("n-2", "a", Task{Job: long, RunTime: time.Minute})))
			pic.MaxGangWait = 4 * time.Minute
			return scene{j, pic, []*Machine{m}}
		},
		"the limit of a team, for a larger job": func() scene {
			big, j := job("wk-1", wire.Gang, wire.Normal, 4, 0, 1), low(wire.Array, 1, 0, 1)
			big.Tasks, big.Age = 2, 2*time.Minute
			long := job("wk-2", wire.Array, wire.Normal, 4)
			long.EstimateS = 3600
			m := machine("n-1", "a")
			pic := testSnapshot([]*Job{big, long, j}, m, machine("n-2", "a", Task{Job: long, RunTime: time.Minute}), machine("n-3", "a"))
			pic.MaxGangWait, pic.Teams["red"] = 4*time.Minute, &Team{LimitGPUs: 8, UsedGPUs: 4}
			return scene{j, pic, []*Machine{m}}
		},
		"capacity for a gang": func() scene {
			j, a, b := low(wire.Gang, 4, 0, 1), machine("n-1", "a"), machine("n-2", "b")
			a.AddFetch("other", true)
			return scene{j, testSnapshot([]*Job{j}, a, b), []*Machine{a, b}}
		},
	}
	for name, make := range scenes {
		t.Run(name, func(t *testing.T) {
			launched := func(starvedFor time.Duration, idle bool) (on []string) {
				s := make()
				if s.job.StarvedFor = starvedFor; idle {
					for _, m := range s.reserved {
						m.IdleCapacity = m.Free
					}
				}
				for _, l := range Schedule(s.pic).Launches {
					if l.Job == s.job {
						on = append(on, l.Machine)
					}
				}
				return on
			}
			want := make()
			n := 1
			if want.job.Shape == wire.Gang {
				n = len(want.job.Waiting)
			}
			if on := launched(starvationLimit-time.Second, true); len(on) > 0 {
				t.Errorf("nothing is kept from it: it is on %v at once", on)
			}
			if on := launched(starvationLimit, false); len(on) > 0 {
				t.Errorf("it takes capacity that has come free just now, on %v", on)
			}
			if on := launched(starvationLimit, true); len(on) != n || slices.ContainsFunc(on, func(id string) bool {
				return !slices.ContainsFunc(want.reserved, func(m *Machine) bool { return m.ID == id })
			}) {
				t.Errorf("%d tasks are admitted, on %v", len(on), on)
			}
		})
	}
}

func withoutCapacity(p *Snapshot) *Snapshot {
	for _, zone := range g4.Zones {
		p.Unavailable[Offer{"g4", zone, false}], p.Unavailable[Offer{"g4", zone, true}] = true, true
	}
	return p
}

// TestIdleCapacity: capacity is idle from when it was last used, and nothing counts as idle in times that
// were not recorded.
func TestIdleCapacity(t *testing.T) {
	one, two := Resources{4, 1, 16}, Resources{8, 2, 32}
	var s IdleCapacity
	now, free := time.Unix(0, 0), time.Duration(-1)
	note := func(d time.Duration, a Resources) Resources {
		var out Resources
		for range d / time.Second {
			now = now.Add(time.Second)
			if out = s.Record(now, a); free < 0 && out.Fits(one) {
				free = now.Sub(time.Unix(0, 0))
			}
		}
		return out
	}
	note(10*time.Second, Resources{})
	note(time.Second, two) // and it is used again
	note(20*time.Second, one)
	if got := note(2*time.Minute, two); !got.Fits(two) || free-11*time.Second < starvationLimit || free-11*time.Second > starvationLimit+idleCapacityStep {
		t.Errorf("%v is free, the first of it after %v", got, free)
	}
	now = now.Add(2 * idleCapacityStep)
	if got := s.Record(now, two); got.Fits(one) {
		t.Errorf("%v counts though nobody looked", got)
	}
}
