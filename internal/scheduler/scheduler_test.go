package scheduler

import (
	"slices"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

var g4 = wire.MachineType{Name: "g4", CPUs: 16, GPUs: 4, MemoryGB: 64, FetchGBps: 1, Price: 4, SpotPrice: 1, BootS: 30, Zones: []string{"a", "b"}}

type imageSet map[string]bool

func (s imageSet) HasImage(image string) bool { return s[image] }

func machine(id, zone string, tasks ...Task) *Machine {
	m := &Machine{ID: id, Type: "g4", Zone: zone, Usable: true, Free: Resources{16, 4, 64, wire.MaxTasks}, Images: imageSet{}}
	for _, t := range tasks {
		m.Free = m.Free.AddScaled(ResourcesOf(t.Job.Job), -1)
		m.Tasks = append(m.Tasks, t)
		t.Job.ActiveTasks++
		t.Job.TasksByZone[zone]++
	}
	return m
}

func job(id string, shape wire.Shape, p wire.Priority, gpus float64, waiting ...int) *Job {
	return &Job{Job: &wire.Job{ID: id, Class: id, Team: "red", Shape: shape, Priority: p, Tasks: 4, CPUs: 1, GPUs: gpus, MemoryGB: 1, Image: "img"},
		Waiting: waiting, TasksByZone: map[string]int{}}
}

func testSnapshot(jobs []*Job, machines ...*Machine) *Snapshot {
	for i, j := range jobs {
		j.SubmissionOrder = uint64(i)
	}
	return &Snapshot{Machines: machines, Jobs: jobs, Teams: map[string]*Team{"red": {}, "blue": {GuaranteedGPUs: 4}}, Types: []wire.MachineType{g4},
		Unavailable: map[Offer]bool{}, Doubtful: map[Offer]bool{}, IdleTimeout: time.Minute, LaunchBudget: 500}
}

// TestNoPreemptionCycle guards against two jobs that preempt each other forever. Work within its team's guarantee is
// placed before higher-priority work that only borrows capacity, so that the latter must not preempt it.
func TestNoPreemptionCycle(t *testing.T) {
	guaranteed := job("wk-1", wire.Array, wire.Normal, 4)
	guaranteed.Team = "blue"
	high := job("wk-2", wire.Gang, wire.High, 4, 0)
	plan := Schedule(testSnapshot([]*Job{guaranteed, high}, machine("n-1", "a", Task{Job: guaranteed})))
	if len(plan.Stops) != 0 {
		t.Errorf("guaranteed work is preempted: %+v", plan.Stops)
	}
	if len(plan.ScaleOuts) != 1 {
		t.Errorf("scale-outs %+v, want one", plan.ScaleOuts)
	}
}

// TestPreempt checks that the tasks that lose the least work are preempted, and none of equal rank.
func TestPreempt(t *testing.T) {
	low, equal, top := job("wk-1", wire.Array, wire.Normal, 1), job("wk-2", wire.Service, wire.Production, 1), job("wk-3", wire.Service, wire.Production, 2, 0)
	a := machine("n-1", "a", Task{Job: equal}, Task{Job: equal, Index: 1}, Task{Job: equal, Index: 2}, Task{Job: equal, Index: 3})
	b := machine("n-2", "a", Task{Job: low, RunTime: time.Minute}, Task{Job: low, Index: 1}, Task{Job: low, Index: 2, RunTime: time.Second}, Task{Job: low, Index: 3, RunTime: time.Minute})
	plan := Schedule(testSnapshot([]*Job{low, equal, top}, a, b))
	if len(plan.Stops) != 2 || plan.Stops[0].TaskIndex != 1 || plan.Stops[1].TaskIndex != 2 || plan.Stops[0].Machine != "n-2" {
		t.Errorf("stops %+v, want tasks 1 and 2 on n-2", plan.Stops)
	}
}

// TestPreemptArrayTaskBeforeWholeGang guards against a service task that preempts a whole gang which has just started,
// again and again, because the gang seems cheapest to stop. For an array only the preempted task itself counts.
func TestPreemptArrayTaskBeforeWholeGang(t *testing.T) {
	array, gang, top := job("wk-1", wire.Array, wire.Normal, 1), job("wk-2", wire.Gang, wire.Normal, 4), job("wk-3", wire.Service, wire.Production, 1, 0)
	array.ActiveTasks, gang.Age, gang.CheckpointS, gang.SaveS = 25, 2*time.Minute, 30, 2 // the array's other tasks are on other machines
	a := machine("n-1", "a", Task{Job: array, RunTime: time.Minute}, Task{Job: array, Index: 1, RunTime: time.Minute}, Task{Job: array, Index: 2, RunTime: time.Minute}, Task{Job: array, Index: 3, RunTime: time.Minute})
	plan := Schedule(testSnapshot([]*Job{array, gang, top}, a, machine("n-2", "b", Task{Job: gang}), machine("n-3", "b", Task{Job: gang, Index: 1})))
	if len(plan.Stops) != 1 || plan.Stops[0].Job != array {
		t.Errorf("stops %+v, want a task of the array", plan.Stops)
	}
}

// TestServiceZoneSpread checks that at most half of a service's tasks, rounded up, are in one zone, including earlier
// attempts that are still stopping.
func TestServiceZoneSpread(t *testing.T) {
	j := job("wk-1", wire.Service, wire.Production, 1, 1, 2, 3)
	j.Spread = true
	plan := Schedule(testSnapshot([]*Job{j}, machine("n-1", "a", Task{Job: j, Stopping: true}), machine("n-2", "a")))
	if len(plan.Launches) != 1 {
		t.Errorf("%d launches beside the task that is stopping, want 1", len(plan.Launches))
	}
	for _, r := range plan.ScaleOuts {
		if r.Zone != "b" {
			t.Errorf("scale-out in zone %s, want b", r.Zone)
		}
	}
}

// TestGangIsAllOrNothing checks that a gang is placed in one zone or not at all.
func TestGangIsAllOrNothing(t *testing.T) {
	j := job("wk-1", wire.Gang, wire.Normal, 4, 0, 1)
	j.Tasks, j.OneZone = 2, true
	plan := Schedule(testSnapshot([]*Job{j}, machine("n-1", "a"), machine("n-2", "b")))
	if len(plan.Launches) != 0 {
		t.Errorf("the gang is launched across zones: %+v", plan.Launches)
	}
	j.TasksByZone = map[string]int{}
	plan = Schedule(testSnapshot([]*Job{j}, machine("n-1", "a"), machine("n-2", "b"), machine("n-3", "b")))
	if len(plan.Launches) != 2 || plan.Launches[0].Machine == plan.Launches[1].Machine {
		t.Errorf("launches %+v, want two on different machines", plan.Launches)
	}
}

// TestTeamLimit checks that a team uses no more than its limit and that no machines are rented beyond it.
func TestTeamLimit(t *testing.T) {
	j := job("wk-1", wire.Array, wire.Normal, 1, 0, 1, 2, 3)
	p := testSnapshot([]*Job{j}, machine("n-1", "a"))
	p.Teams["red"] = &Team{LimitGPUs: 3, UsedGPUs: 1}
	if plan := Schedule(p); len(plan.Launches) != 2 || len(plan.ScaleOuts) != 0 {
		t.Errorf("%d launches, scale-outs %v; want 2 launches, no scale-outs", len(plan.Launches), plan.ScaleOuts)
	}
}

// TestBestFit checks that a machine that has the image is preferred, then the emptiest machine.
func TestBestFit(t *testing.T) {
	busy := job("wk-9", wire.Service, wire.Production, 1)
	withImage, empty := machine("n-1", "a", Task{Job: busy}), machine("n-2", "a")
	withImage.Images = imageSet{"img": true}
	if plan := Schedule(testSnapshot([]*Job{busy, job("wk-1", wire.Array, wire.Normal, 1, 0)}, withImage, empty)); plan.Launches[0].Machine != "n-1" {
		t.Errorf("launches %+v, want n-1, which has the image", plan.Launches)
	}
	busy = job("wk-9", wire.Service, wire.Production, 1)
	if plan := Schedule(testSnapshot([]*Job{busy, job("wk-1", wire.Array, wire.Normal, 1, 0)}, machine("n-1", "a", Task{Job: busy}), machine("n-2", "a"))); plan.Launches[0].Machine != "n-2" {
		t.Errorf("launches %+v, want n-2, which is the emptiest", plan.Launches)
	}
}

// TestPreemptNearImage checks that lower-priority work is preempted on a machine that has the image of a replica, so
// that the replica does not wait for a long fetch on an empty machine.
func TestPreemptNearImage(t *testing.T) {
	low, top := job("wk-1", wire.Array, wire.Normal, 1), job("wk-2", wire.Service, wire.Production, 1, 0)
	top.ImageGB = 10
	full := func() *Machine {
		m := machine("n-1", "a", Task{Job: low}, Task{Job: low, Index: 1}, Task{Job: low, Index: 2}, Task{Job: low, Index: 3})
		m.Images = imageSet{"img": true}
		return m
	}
	plan := Schedule(testSnapshot([]*Job{low, top}, full(), machine("n-2", "a")))
	if len(plan.Launches) != 0 || len(plan.Stops) != 1 || plan.Stops[0].Machine != "n-1" {
		t.Errorf("launches %+v, stops %+v", plan.Launches, plan.Stops)
	}
	// A short fetch does not justify preempting work.
	top.ImageGB, top.TasksByZone = 1, map[string]int{}
	if plan := Schedule(testSnapshot([]*Job{low, top}, full(), machine("n-2", "a"))); len(plan.Launches) != 1 || len(plan.Stops) != 0 {
		t.Errorf("launches %+v, stops %+v", plan.Launches, plan.Stops)
	}
}

// TestGangStopsNothingNeedlessly guards against a gang that preempts work while some of its tasks wait for a machine to
// boot: the preempted work would get the capacity back at once and be stopped again, round after round. A gang
// preempts only if all its tasks then have capacity, and reserves that capacity.
func TestGangStopsNothingNeedlessly(t *testing.T) {
	low := func() *Job { return job("wk-1", wire.Array, wire.Normal, 2, 2) }
	gang := func() *Job {
		j := job("wk-2", wire.Gang, wire.High, 4, 0, 1)
		j.Tasks = 2
		return j
	}
	l, g := low(), gang()
	plan := Schedule(testSnapshot([]*Job{l, g}, machine("n-1", "a", Task{Job: l}, Task{Job: l, Index: 1})))
	if len(plan.Stops) != 0 || len(plan.ScaleOuts) == 0 {
		t.Errorf("one machine is running: stops %+v, want none; scale-outs %+v, want some", plan.Stops, plan.ScaleOuts)
	}
	l, g = low(), gang()
	plan = Schedule(testSnapshot([]*Job{l, g}, machine("n-1", "a", Task{Job: l}, Task{Job: l, Index: 1}), machine("n-2", "a")))
	if len(plan.Stops) != 2 {
		t.Errorf("two machines are running: stops %+v, want 2", plan.Stops)
	}
	for _, x := range plan.Launches {
		t.Errorf("%s/%d is launched on reserved capacity", x.Job.ID, x.TaskIndex)
	}
}

// TestDoubtfulOfferRequestLimit checks that no more machines of a doubtful offer are requested than RequestLimit
// allows, that the rest is requested from the next best offer, and that placement attempts that were rolled back do not
// count. Jobs without another offer request all their machines regardless of the limit, or machines for the largest
// gangs would never be requested.
func TestDoubtfulOfferRequestLimit(t *testing.T) {
	seven := []int{0, 1, 2, 3, 4, 5, 6}
	many := job("wk-1", wire.Array, wire.Normal, 4, seven...)
	gang := job("wk-2", wire.Gang, wire.Normal, 4, seven...)
	gang.OneZone = true // the planner tries each zone
	only := job("wk-3", wire.Array, wire.Normal, 4, seven...)
	only.Zone = "a"
	for _, c := range []struct {
		jobs         []*Job
		zone         string // of the doubtful offer
		requestLimit int
		want         []ScaleOut
	}{
		{[]*Job{many}, "a", 3, []ScaleOut{{Offer{"g4", "a", false}, 3, 0}, {Offer{"g4", "b", false}, 4, 0}}},
		{[]*Job{only}, "a", 3, []ScaleOut{{Offer{"g4", "a", false}, 7, 0}}},
		{[]*Job{gang, many}, "b", 7, []ScaleOut{{Offer{"g4", "a", false}, 7, 0}, {Offer{"g4", "b", false}, 7, 1}}},
	} {
		snapshot := testSnapshot(c.jobs)
		snapshot.RequestLimit = map[Offer]int{{"g4", c.zone, false}: c.requestLimit}
		if plan := Schedule(snapshot); !slices.Equal(plan.ScaleOuts, c.want) {
			t.Errorf("%s: scale-outs %v, want %v", c.jobs[0].ID, plan.ScaleOuts, c.want)
		}
	}
}

// TestCoAllocatedGangReservesQuota covers a gang that is co-allocated across shards and for which this shard reserves
// capacity for a single task, while its team is at its limit. Small tasks of the team come first and would take each
// part of the limit as it is freed. They must not once the gang has waited for a long time.
func TestCoAllocatedGangReservesQuota(t *testing.T) {
	for n, waited := range []time.Duration{30 * time.Second, 2 * time.Minute, 2 * time.Minute} {
		localPart, small := job("wk-1", wire.Gang, wire.Normal, 2, 0), job("wk-2", wire.Array, wire.Normal, 1, 0, 1, 2, 3)
		localPart.ReserveOnly, localPart.RemoteTasks, localPart.Age = n < 2, 1, waited // in the last case all shards have reported capacity
		p := testSnapshot([]*Job{small, localPart}, machine("n-1", "a"))
		p.Sharded, p.MaxGangWait, p.Teams["red"] = true, 4*time.Minute, &Team{LimitGPUs: 3, UsedGPUs: 2}
		if plan := Schedule(p); len(plan.Launches) != map[bool]int{true: 1}[waited < time.Minute] {
			t.Errorf("%d small tasks are launched although a gang has waited for %v", len(plan.Launches), waited)
		}
	}
}

// TestFreeCapacityOfClass checks that the free capacity that a shard reports for a class is not limited by a job of the
// class that is not allowed on the free machines, even if it is the newest job.
func TestFreeCapacityOfClass(t *testing.T) {
	free, zoneBound := job("wk-1", wire.Array, wire.Normal, 1), job("wk-2", wire.Array, wire.Normal, 1)
	free.Class, zoneBound.Class, zoneBound.Zone = "c", "c", "a"
	p := testSnapshot([]*Job{free, zoneBound}, machine("n-1", "b"))
	p.Sharded = true
	if free := Schedule(p).FreeCapacity["c"]; free.Now != 4 {
		t.Errorf("the reported free capacity is for %d tasks, want 4", free.Now)
	}
	// An offer that could not supply all requested machines counts as rentable again once it is no longer unavailable.
	// Otherwise a shard without work of its own would never request its machines again.
	for _, unavailable := range []bool{true, false} {
		for _, zone := range []string{"a", "b"} {
			for _, spot := range []bool{true, false} {
				o := Offer{"g4", zone, spot}
				p.Doubtful[o], p.Unavailable[o] = true, unavailable
			}
		}
		if free := Schedule(p).FreeCapacity["c"]; free.Rent == unavailable {
			t.Errorf("offers unavailable: %v, reported as rentable: %v", unavailable, free.Rent)
		}
	}
}
