package scheduler

import (
	"slices"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

var g4 = wire.MachineType{Name: "g4", CPUs: 16, GPUs: 4, MemoryGB: 64, FetchGBps: 1, Price: 4, SpotPrice: 1, BootS: 30, Zones: []string{"a", "b"}}

type imageSet map[string]bool

func (h imageSet) HasImage(image string) bool { return h[image] }

func machine(id, zone string, tasks ...Task) *Machine {
	m := &Machine{ID: id, Type: "g4", Zone: zone, Usable: true, Free: Resources{16, 4, 64}, Images: imageSet{}}
	for _, t := range tasks {
		m.Free = m.Free.AddScaled(ResourcesOf(t.Job.Job), -1)
		m.Tasks = append(m.Tasks, t)
		t.Job.Active++
		t.Job.InZone[zone]++
	}
	return m
}

func job(id string, shape wire.Shape, p wire.Priority, gpus float64, waiting ...int) *Job {
	return &Job{Job: &wire.Job{ID: id, Class: id, Team: "red", Shape: shape, Priority: p, Tasks: 4, CPUs: 1, GPUs: gpus, MemoryGB: 1, Image: "img"},
		Waiting: waiting, InZone: map[string]int{}}
}

func testSnapshot(jobs []*Job, machines ...*Machine) *Snapshot {
	for i, j := range jobs {
		j.Order = uint64(i)
	}
	return &Snapshot{Machines: machines, Jobs: jobs, Teams: map[string]*Team{"red": {}, "blue": {GuaranteedGPUs: 4}}, Types: []wire.MachineType{g4},
		Unavailable: map[Offer]bool{}, Doubtful: map[Offer]bool{}, IdleTimeout: time.Minute, LaunchBudget: 500}
}

// TestNoPreemptionCycle guards against two jobs that preempt each other for ever: guaranteed work goes
// before higher priority that only borrows, so that this must not stop it either.
func TestNoPreemptionCycle(t *testing.T) {
	safe := job("wk-1", wire.Array, wire.Normal, 4)
	safe.Team = "blue"
	high := job("wk-2", wire.Gang, wire.High, 4, 0)
	plan := Schedule(testSnapshot([]*Job{safe, high}, machine("n-1", "a", Task{Job: safe})))
	if len(plan.Stops) != 0 {
		t.Errorf("stops guaranteed work: %+v", plan.Stops)
	}
	if len(plan.ScaleOuts) != 1 {
		t.Errorf("scale-outs %+v instead", plan.ScaleOuts)
	}
}

// TestPreempt: the work that loses least is stopped, and nothing of equal rank.
func TestPreempt(t *testing.T) {
	low, equal, top := job("wk-1", wire.Array, wire.Normal, 1), job("wk-2", wire.Service, wire.Production, 1), job("wk-3", wire.Service, wire.Production, 2, 0)
	a := machine("n-1", "a", Task{Job: equal}, Task{Job: equal, Index: 1}, Task{Job: equal, Index: 2}, Task{Job: equal, Index: 3})
	b := machine("n-2", "a", Task{Job: low, RunTime: time.Minute}, Task{Job: low, Index: 1}, Task{Job: low, Index: 2, RunTime: time.Second}, Task{Job: low, Index: 3, RunTime: time.Minute})
	plan := Schedule(testSnapshot([]*Job{low, equal, top}, a, b))
	if len(plan.Stops) != 2 || plan.Stops[0].TaskIndex != 1 || plan.Stops[1].TaskIndex != 2 || plan.Stops[0].Machine != "n-2" {
		t.Errorf("stops %+v", plan.Stops)
	}
}

// TestPreemptArrayTaskBeforeWholeGang: a gang that has just started must not be the cheapest to stop, whole, for a
// task of a service, again and again; a task of an array counts by itself.
func TestPreemptArrayTaskBeforeWholeGang(t *testing.T) {
	array, gang, top := job("wk-1", wire.Array, wire.Normal, 1), job("wk-2", wire.Gang, wire.Normal, 4), job("wk-3", wire.Service, wire.Production, 1, 0)
	array.Active, gang.Age, gang.CheckpointS, gang.SaveS = 25, 2*time.Minute, 30, 2 // its others are elsewhere
	a := machine("n-1", "a", Task{Job: array, RunTime: time.Minute}, Task{Job: array, Index: 1, RunTime: time.Minute}, Task{Job: array, Index: 2, RunTime: time.Minute}, Task{Job: array, Index: 3, RunTime: time.Minute})
	plan := Schedule(testSnapshot([]*Job{array, gang, top}, a, machine("n-2", "b", Task{Job: gang}), machine("n-3", "b", Task{Job: gang, Index: 1})))
	if len(plan.Stops) != 1 || plan.Stops[0].Job != array {
		t.Errorf("stops %+v, want a task of the array", plan.Stops)
	}
}

// TestServiceZoneSpread: at most half of a service's tasks, rounded up, are in one zone; old attempts count too.
func TestServiceZoneSpread(t *testing.T) {
	j := job("wk-1", wire.Service, wire.Production, 1, 1, 2, 3)
	j.Spread = true
	plan := Schedule(testSnapshot([]*Job{j}, machine("n-1", "a", Task{Job: j, Stopping: true}), machine("n-2", "a")))
	if len(plan.Launches) != 1 {
		t.Errorf("launches %d beside the one that is stopping, want 1", len(plan.Launches))
	}
	for _, r := range plan.ScaleOuts {
		if r.Zone != "b" {
			t.Errorf("scales out in zone %s", r.Zone)
		}
	}
}

// TestGangIsAllOrNothing: a gang is placed in one zone or not at all.
func TestGangIsAllOrNothing(t *testing.T) {
	j := job("wk-1", wire.Gang, wire.Normal, 4, 0, 1)
	j.Tasks, j.OneZone = 2, true
	plan := Schedule(testSnapshot([]*Job{j}, machine("n-1", "a"), machine("n-2", "b")))
	if len(plan.Launches) != 0 {
		t.Errorf("launches across zones: %+v", plan.Launches)
	}
	j.InZone = map[string]int{}
	plan = Schedule(testSnapshot([]*Job{j}, machine("n-1", "a"), machine("n-2", "b"), machine("n-3", "b")))
	if len(plan.Launches) != 2 || plan.Launches[0].Machine == plan.Launches[1].Machine {
		t.Errorf("launches %+v", plan.Launches)
	}
}

// TestTeamLimit: a team uses no more than its limit, waiting tasks included.
func TestTeamLimit(t *testing.T) {
	j := job("wk-1", wire.Array, wire.Normal, 1, 0, 1, 2, 3)
	p := testSnapshot([]*Job{j}, machine("n-1", "a"))
	p.Teams["red"] = &Team{LimitGPUs: 3, UsedGPUs: 1}
	if plan := Schedule(p); len(plan.Launches) != 2 || len(plan.ScaleOuts) != 0 {
		t.Errorf("launches %d, scale-outs %v", len(plan.Launches), plan.ScaleOuts)
	}
}

// TestBestFit: the machine that has the image is preferred, then the emptiest.
func TestBestFit(t *testing.T) {
	busy := job("wk-9", wire.Service, wire.Production, 1)
	withImage, empty := machine("n-1", "a", Task{Job: busy}), machine("n-2", "a")
	withImage.Images = imageSet{"img": true}
	if plan := Schedule(testSnapshot([]*Job{busy, job("wk-1", wire.Array, wire.Normal, 1, 0)}, withImage, empty)); plan.Launches[0].Machine != "n-1" {
		t.Errorf("the image is on n-1: %+v", plan.Launches)
	}
	busy = job("wk-9", wire.Service, wire.Production, 1)
	if plan := Schedule(testSnapshot([]*Job{busy, job("wk-1", wire.Array, wire.Normal, 1, 0)}, machine("n-1", "a", Task{Job: busy}), machine("n-2", "a"))); plan.Launches[0].Machine != "n-2" {
		t.Errorf("n-2 is the emptiest: %+v", plan.Launches)
	}
}

// TestPreemptNearImage: lesser work is stopped for a replica where its image is, rather than have it wait
// for a long fetch on an empty machine.
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
	// A short fetch is not worth stopping any work.
	top.ImageGB, top.InZone = 1, map[string]int{}
	if plan := Schedule(testSnapshot([]*Job{low, top}, full(), machine("n-2", "a"))); len(plan.Launches) != 1 || len(plan.Stops) != 0 {
		t.Errorf("launches %+v, stops %+v", plan.Launches, plan.Stops)
	}
}

// TestGangStopsNothingNeedlessly: what a gang would have stopped while some of it waits for a boot
// would find its capacity again at once, and be stopped again, round after round. It stops work only
// where all of it then has capacity, and reserves that.
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
		t.Errorf("one machine is up: stops %+v, scale-outs %+v", plan.Stops, plan.ScaleOuts)
	}
	l, g = low(), gang()
	plan = Schedule(testSnapshot([]*Job{l, g}, machine("n-1", "a", Task{Job: l}, Task{Job: l, Index: 1}), machine("n-2", "a")))
	if len(plan.Stops) != 2 {
		t.Errorf("two machines are up: stops %+v", plan.Stops)
	}
	for _, x := range plan.Launches {
		t.Errorf("%s/%d takes the capacity that is reserved", x.Job.ID, x.TaskIndex)
	}
}

// TestDoubtfulOfferRequestLimit: of a doubtful offer no more is requested than can be asked for, and the rest
// of the next best, whatever tries were undone; but what has no other offer requests it all the same,
// or the largest gangs would never be asked for.
func TestDoubtfulOfferRequestLimit(t *testing.T) {
	seven := []int{0, 1, 2, 3, 4, 5, 6}
	many := job("wk-1", wire.Array, wire.Normal, 4, seven...)
	gang := job("wk-2", wire.Gang, wire.Normal, 4, seven...)
	gang.OneZone = true // tried in each zone
	only := job("wk-3", wire.Array, wire.Normal, 4, seven...)
	only.Zone = "a"
	for _, c := range []struct {
		jobs []*Job
		zone string // of the doubtful offer
		most int
		want []ScaleOut
	}{
		{[]*Job{many}, "a", 3, []ScaleOut{{Offer{"g4", "a", false}, 3, 0}, {Offer{"g4", "b", false}, 4, 0}}},
		{[]*Job{only}, "a", 3, []ScaleOut{{Offer{"g4", "a", false}, 7, 0}}},
		{[]*Job{gang, many}, "b", 7, []ScaleOut{{Offer{"g4", "a", false}, 7, 0}, {Offer{"g4", "b", false}, 7, 1}}},
	} {
		pic := testSnapshot(c.jobs)
		pic.RequestLimit = map[Offer]int{{"g4", c.zone, false}: c.most}
		if plan := Schedule(pic); !slices.Equal(plan.ScaleOuts, c.want) {
			t.Errorf("%s asks for %v, not %v", c.jobs[0].ID, plan.ScaleOuts, c.want)
		}
	}
}

// TestCoAllocatedGangReservesQuota: of a gang that is co-allocated over several shards this one reserves capacity for
// a single task. Small tasks of its team come first and would take each bit of the limit as it comes
// free: once the gang has waited for long, they don't.
func TestCoAllocatedGangReservesQuota(t *testing.T) {
	for n, waited := range []time.Duration{30 * time.Second, 2 * time.Minute, 2 * time.Minute} {
		piece, small := job("wk-1", wire.Gang, wire.Normal, 2, 0), job("wk-2", wire.Array, wire.Normal, 1, 0, 1, 2, 3)
		piece.ReserveOnly, piece.RemoteTasks, piece.Age = n < 2, 1, waited // or all shards have said that they have capacity
		p := testSnapshot([]*Job{small, piece}, machine("n-1", "a"))
		p.Sharded, p.MaxGangWait, p.Teams["red"] = true, 4*time.Minute, &Team{LimitGPUs: 3, UsedGPUs: 2}
		if plan := Schedule(p); len(plan.Launches) != map[bool]int{true: 1}[waited < time.Minute] {
			t.Errorf("%d small tasks are started beside a gang that has waited for %v", len(plan.Launches), waited)
		}
	}
}

// TestFreeCapacityOfClass: what a shard reports of the free capacity for a class does not go by a job
// that may not be there, be it the newest.
func TestFreeCapacityOfClass(t *testing.T) {
	free, bound := job("wk-1", wire.Array, wire.Normal, 1), job("wk-2", wire.Array, wire.Normal, 1)
	free.Class, bound.Class, bound.Zone = "c", "c", "a"
	p := testSnapshot([]*Job{free, bound}, machine("n-1", "b"))
	p.Sharded = true
	if free := Schedule(p).FreeCapacity["c"]; free.Now != 4 {
		t.Errorf("there is capacity for %d", free.Now)
	}
	// An offer that could not give all that it was asked for counts again once it is not left alone any
	// more, or a shard without work of its own would never ask for it again.
	for _, left := range []bool{true, false} {
		for _, zone := range []string{"a", "b"} {
			for _, spot := range []bool{true, false} {
				o := Offer{"g4", zone, spot}
				p.Doubtful[o], p.Unavailable[o] = true, left
			}
		}
		if free := Schedule(p).FreeCapacity["c"]; free.Rent == left {
			t.Errorf("left alone: %v, can be rented: %v", left, free.Rent)
		}
	}
}
