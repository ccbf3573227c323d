package simulator

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Fixture determines how long tasks run and is notified when they start, stop and complete.
// Checker is a Fixture.
type Fixture interface {
	// TaskStarted is called when a task starts on a machine and returns its run time; ok is false for
	// a job that was never submitted.
	TaskStarted(t wire.TaskID, machine, typ, zone string, spot bool) (run time.Duration, ok bool)
	// TaskStopped is called when a task leaves a machine, for whatever reason.
	TaskStopped(t wire.TaskID, machine string)
	// TaskCompleted is called when a task has run to its end.
	TaskCompleted(t wire.TaskID)
	// Describe returns a job's description.
	Describe(job string) (*wire.Job, bool)
}

// LookupFixture is a Fixture that first has to look a job up elsewhere; its tasks count as
// fetching meanwhile.
type LookupFixture interface {
	Fixture
	LookUp(ctx context.Context, t wire.TaskID) error
}

// TaskRuntime is the state that the tasks of all machines of a cluster share: the checkpoints that
// they have saved and the rendezvous of gangs.
type TaskRuntime struct {
	Fixture
	GangWaitTimeout time.Duration // how long a task waits for the other members of its gang
	GangPeerTimeout time.Duration // how long members take to notice that one of them is gone

	mu               sync.Mutex
	savedProgress    map[wire.TaskID]time.Duration
	gangs            map[gangKey]*gang
	cancelledFetches map[wire.TaskID]int // image fetches that were cancelled, by task
}

// NewTaskRuntime returns a runtime without tasks.
func NewTaskRuntime(g Fixture, gangWait, gangPeer time.Duration) *TaskRuntime {
	return &TaskRuntime{Fixture: g, GangWaitTimeout: gangWait, GangPeerTimeout: gangPeer, savedProgress: map[wire.TaskID]time.Duration{}, gangs: map[gangKey]*gang{}, cancelledFetches: map[wire.TaskID]int{}}
}

// fetchCancelled counts an image fetch of a task that was cancelled before its end.
func (y *TaskRuntime) fetchCancelled(t wire.TaskID) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.cancelledFetches[t]++
}

// CancelledFetches returns how many image fetches of each task were cancelled.
func (y *TaskRuntime) CancelledFetches() map[wire.TaskID]int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return maps.Clone(y.cancelledFetches)
}

// SavedProgress returns the progress that a task has saved. A gang's progress is kept under its
// first task.
func (y *TaskRuntime) SavedProgress(t wire.TaskID) time.Duration {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.savedProgress[t]
}

// saveProgress records a checkpoint unless a later one is known.
func (y *TaskRuntime) saveProgress(t wire.TaskID, progress time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.savedProgress[t] = max(y.savedProgress[t], progress)
}

// gangKey identifies one attempt of a gang.
type gangKey struct {
	job     string
	attempt uint64
}

// gang is one attempt of a gang. Members are notified without any lock held.
type gang struct {
	job       *wire.Job
	members   map[int]*gangMember
	runTime   time.Duration
	startedAt time.Time // zero until all members have joined
	stoppedAt time.Time // when the first member was told to stop
	timer     *time.Timer
	ended     bool
}

type gangMember struct {
	saving bool
	notify func(event gangEvent)
}

// gangEvent is what members are notified of.
type gangEvent int

const (
	gangStarted gangEvent = iota
	gangDone
	gangBroken   // a member is gone
	gangSaved    // all members were told to stop and have saved
	gangNotSaved // some members were not told to stop in time; nothing is saved
)

// joinGang adds a task to its gang. The gang starts when its last member has joined.
func (y *TaskRuntime) joinGang(j *wire.Job, k gangKey, index int, run time.Duration, tell func(gangEvent)) {
	y.mu.Lock()
	defer y.mu.Unlock()
	g := y.gangs[k]
	if g == nil {
		g = &gang{job: j, members: map[int]*gangMember{}}
		y.gangs[k] = g
	}
	if g.ended || !g.startedAt.IsZero() {
		go tell(gangBroken)
		return
	}
	g.members[index] = &gangMember{notify: tell}
	if g.runTime = max(g.runTime, run); len(g.members) < j.Tasks {
		return
	}
	g.startedAt = time.Now()
	g.timer = time.AfterFunc(max(0, g.runTime-y.savedProgress[leadTask(j)]), func() { y.endGang(g, gangDone) })
	g.notifyAll(gangStarted)
}

// leadTask is the task under which a gang's progress is kept.
func leadTask(j *wire.Job) wire.TaskID { return wire.TaskID{Job: j.ID} }

// notifyAll notifies all members in the order of their indexes.
func (g *gang) notifyAll(e gangEvent) {
	var tells []func(gangEvent)
	indexes := make([]int, 0, len(g.members))
	for i := range g.members {
		indexes = append(indexes, i)
	}
	slices.Sort(indexes)
	for _, i := range indexes {
		tells = append(tells, g.members[i].notify)
	}
	go func() {
		for _, tell := range tells {
			tell(e)
		}
	}()
}

// endGang ends a gang once, and notifies the members that are left.
func (y *TaskRuntime) endGang(g *gang, e gangEvent) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if g.ended || e == gangDone && !g.stoppedAt.IsZero() {
		return
	}
	g.ended = true
	g.notifyAll(e)
}

// leaveGang removes a task from its gang without notice. A gang that has not started may still be
// completed by another task; otherwise the other members notice after GangPeerTimeout, and
// progress that was not saved is lost.
func (y *TaskRuntime) leaveGang(k gangKey, index int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	g := y.gangs[k]
	if g == nil || g.members[index] == nil {
		return
	}
	delete(g.members, index)
	if len(g.members) == 0 {
		delete(y.gangs, k)
	}
	if g.startedAt.IsZero() || g.ended {
		return
	}
	g.timer.Stop()
	y.keepLastCheckpoint(g)
	time.AfterFunc(y.GangPeerTimeout, func() { y.endGang(g, gangBroken) })
}

// pauseMember is called when a machine that runs a member pauses for d. If that is longer than
// GangPeerTimeout, the other members exit and unsaved progress is lost; otherwise the gang ends
// later by d.
func (y *TaskRuntime) pauseMember(k gangKey, d time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	g := y.gangs[k]
	if g == nil || g.startedAt.IsZero() || g.ended {
		return
	}
	if d < y.GangPeerTimeout {
		g.startedAt = g.startedAt.Add(d)
		if g.timer.Stop() {
			g.timer.Reset(max(0, g.runTime-y.gangProgress(g)))
		}
		return
	}
	g.timer.Stop()
	y.keepLastCheckpoint(g)
	time.AfterFunc(y.GangPeerTimeout, func() { y.endGang(g, gangBroken) })
}

// keepLastCheckpoint records the last periodic checkpoint of a gang that did not save when it was
// stopped.
func (y *TaskRuntime) keepLastCheckpoint(g *gang) {
	if every := wire.Seconds(g.job.CheckpointS); every > 0 && !g.startedAt.IsZero() {
		t := leadTask(g.job)
		y.savedProgress[t] = max(y.savedProgress[t], y.gangProgress(g).Truncate(every))
	}
}

// gangProgress returns how much of its run time a gang has completed.
func (y *TaskRuntime) gangProgress(g *gang) time.Duration {
	until := time.Now()
	if !g.stoppedAt.IsZero() {
		until = g.stoppedAt
	}
	return min(g.runTime, y.savedProgress[leadTask(g.job)]+until.Sub(g.startedAt))
}

// stopMember is called when a member was told to stop with time to save; the other members have to
// be told within GangPeerTimeout. It reports whether the gang runs.
func (y *TaskRuntime) stopMember(k gangKey, index int) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	g := y.gangs[k]
	if g == nil || g.startedAt.IsZero() || g.ended || g.members[index] == nil {
		return false
	}
	g.members[index].saving = true
	if g.stoppedAt.IsZero() {
		g.stoppedAt = time.Now()
		g.timer.Stop()
		time.AfterFunc(y.GangPeerTimeout, func() { y.finishSaving(g, false) })
	}
	time.AfterFunc(wire.Seconds(g.job.SaveS), func() { y.finishSaving(g, true) })
	return true
}

// finishSaving ends a gang that is saving: successfully once all members were told and have saved,
// unsuccessfully if some were not told in time.
func (y *TaskRuntime) finishSaving(g *gang, inTime bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	told := len(g.members) == g.job.Tasks
	for _, m := range g.members {
		told = told && m.saving
	}
	switch {
	case g.ended || !told && inTime:
		return
	case told && time.Since(g.stoppedAt) >= wire.Seconds(g.job.SaveS):
		t := leadTask(g.job)
		y.savedProgress[t] = max(y.savedProgress[t], y.gangProgress(g))
		g.ended = true
		g.notifyAll(gangSaved)
	case !told:
		y.keepLastCheckpoint(g)
		g.ended = true
		g.notifyAll(gangNotSaved)
	}
}
