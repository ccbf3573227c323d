package simulator

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Fixture knows how long tasks run, and is told what becomes of them. A Checker is
// one.
type Fixture interface {
	// TaskStarted tells that a task starts on a machine, and gives its run time; ok is false
	// for a job that nobody has submitted.
	TaskStarted(t wire.TaskID, machine, typ, zone string, spot bool) (run time.Duration, ok bool)
	TaskStopped(t wire.TaskID, machine string)
	TaskCompleted(t wire.TaskID)
	// Describe gives a job's description.
	Describe(job string) (*wire.Job, bool)
}

// LookupFixture is a Ground that must look for a job before it knows: its tasks are fetching
// meanwhile.
type LookupFixture interface {
	Fixture
	LookUp(ctx context.Context, t wire.TaskID) error
}

// TaskRuntime is what the machines of a world share: where tasks keep the progress that they have
// saved, and how those of a gang find each other.
type TaskRuntime struct {
	Fixture
	GangWaitTimeout time.Duration // a task waits for so long for the others of its gang
	GangPeerTimeout time.Duration // and notices within this that one is gone

	mu               sync.Mutex
	saved            map[wire.TaskID]time.Duration
	gangs            map[gangKey]*gang
	cancelledFetches map[wire.TaskID]int // fetches that were given up
}

// NewTaskRuntime gives a yard on a ground.
func NewTaskRuntime(g Fixture, gangWait, gangPeer time.Duration) *TaskRuntime {
	return &TaskRuntime{Fixture: g, GangWaitTimeout: gangWait, GangPeerTimeout: gangPeer, saved: map[wire.TaskID]time.Duration{}, gangs: map[gangKey]*gang{}, cancelledFetches: map[wire.TaskID]int{}}
}

// fetchCancelled notes that the fetch of a task's image ended before it had come.
func (y *TaskRuntime) fetchCancelled(t wire.TaskID) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.cancelledFetches[t]++
}

// CancelledFetches tells how many times the fetch of a task's image was given up, for each with any.
func (y *TaskRuntime) CancelledFetches() map[wire.TaskID]int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return maps.Clone(y.cancelledFetches)
}

// SavedProgress tells what progress a task has saved; that of a gang is kept with its first task.
func (y *TaskRuntime) SavedProgress(t wire.TaskID) time.Duration {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.saved[t]
}

func (y *TaskRuntime) saveProgress(t wire.TaskID, progress time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.saved[t] = max(y.saved[t], progress)
}

type gangKey struct {
	job     string
	attempt uint64
}

// gang is an attempt of a gang. Its members are told what becomes of it by calls that
// come without any lock.
type gang struct {
	job       *wire.Job
	members   map[int]*gangMember
	runTime   time.Duration
	startedAt time.Time // zero until all have come
	stopped   time.Time // when the first was told to stop
	timer     *time.Timer
	over      bool
}

type gangMember struct {
	saving bool
	tell   func(event gangEvent)
}

// gangEvent is what a task hears of its gang.
type gangEvent int

const (
	gangRuns gangEvent = iota
	gangDone
	gangBroken  // a task of it is gone
	gangSaved   // all were told to stop, and have saved
	gangUnsaved // some were not told in time, and nothing is saved
)

// joinGang has a task wait for its gang, which begins with the last.
func (y *TaskRuntime) joinGang(j *wire.Job, k gangKey, index int, run time.Duration, tell func(gangEvent)) {
	y.mu.Lock()
	defer y.mu.Unlock()
	g := y.gangs[k]
	if g == nil {
		g = &gang{job: j, members: map[int]*gangMember{}}
		y.gangs[k] = g
	}
	if g.over || !g.startedAt.IsZero() {
		go tell(gangBroken)
		return
	}
	g.members[index] = &gangMember{tell: tell}
	if g.runTime = max(g.runTime, run); len(g.members) < j.Tasks {
		return
	}
	g.startedAt = time.Now()
	g.timer = time.AfterFunc(max(0, g.runTime-y.saved[leadTask(j)]), func() { y.endGang(g, gangDone) })
	g.notifyAll(gangRuns)
}

func leadTask(j *wire.Job) wire.TaskID { return wire.TaskID{Job: j.ID} }

// notifyAll tells the members, in order.
func (g *gang) notifyAll(e gangEvent) {
	var tells []func(gangEvent)
	indexes := make([]int, 0, len(g.members))
	for i := range g.members {
		indexes = append(indexes, i)
	}
	slices.Sort(indexes)
	for _, i := range indexes {
		tells = append(tells, g.members[i].tell)
	}
	go func() {
		for _, tell := range tells {
			tell(e)
		}
	}()
}

// endGang tells all that are left what has become of the gang, once.
func (y *TaskRuntime) endGang(g *gang, e gangEvent) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if g.over || e == gangDone && !g.stopped.IsZero() {
		return
	}
	g.over = true
	g.notifyAll(e)
}

// leaveGang takes a task out of its gang, without a word. Before the gang has begun another may
// come in its place; then the others notice, and what was not saved is lost.
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
	if g.startedAt.IsZero() || g.over {
		return
	}
	g.timer.Stop()
	y.keepLastCheckpoint(g)
	time.AfterFunc(y.GangPeerTimeout, func() { y.endGang(g, gangBroken) })
}

// pauseMember tells that a machine with a task of a gang that runs hangs for a while. If that is longer
// than the others take to notice, they exit, and what was not saved is lost; else the gang
// ends later.
func (y *TaskRuntime) pauseMember(k gangKey, d time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	g := y.gangs[k]
	if g == nil || g.startedAt.IsZero() || g.over {
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

// keepLastCheckpoint keeps the last checkpoint of a gang that did not save.
func (y *TaskRuntime) keepLastCheckpoint(g *gang) {
	if every := wire.Seconds(g.job.CheckpointS); every > 0 && !g.startedAt.IsZero() {
		t := leadTask(g.job)
		y.saved[t] = max(y.saved[t], y.gangProgress(g).Truncate(every))
	}
}

func (y *TaskRuntime) gangProgress(g *gang) time.Duration {
	until := time.Now()
	if !g.stopped.IsZero() {
		until = g.stopped
	}
	return min(g.runTime, y.saved[leadTask(g.job)]+until.Sub(g.startedAt))
}

// stopMember tells that a task of a running gang was told to stop with time to save; the others
// must be told soon. It reports whether the gang runs.
func (y *TaskRuntime) stopMember(k gangKey, index int) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	g := y.gangs[k]
	if g == nil || g.startedAt.IsZero() || g.over || g.members[index] == nil {
		return false
	}
	g.members[index].saving = true
	if g.stopped.IsZero() {
		g.stopped = time.Now()
		g.timer.Stop()
		time.AfterFunc(y.GangPeerTimeout, func() { y.finishSaving(g, false) })
	}
	time.AfterFunc(wire.Seconds(g.job.SaveS), func() { y.finishSaving(g, true) })
	return true
}

// finishSaving ends a gang that is saving: when all were told and have saved, or too late.
func (y *TaskRuntime) finishSaving(g *gang, inTime bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	told := len(g.members) == g.job.Tasks
	for _, m := range g.members {
		told = told && m.saving
	}
	switch {
	case g.over || !told && inTime:
		return
	case told && time.Since(g.stopped) >= wire.Seconds(g.job.SaveS):
		t := leadTask(g.job)
		y.saved[t] = max(y.saved[t], y.gangProgress(g))
		g.over = true
		g.notifyAll(gangSaved)
	case !told:
		y.keepLastCheckpoint(g)
		g.over = true
		g.notifyAll(gangUnsaved)
	}
}
