package simulator

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Fixture determines how long tasks run, and is notified when they start, stop and complete. Checker is a
// Fixture.
type Fixture interface {
	// TaskStarted is called when a task starts on a machine. It returns the task's run time; ok is false
	// for a job that was never submitted.
	TaskStarted(t wire.TaskID, machine, typ, zone string, spot bool) (run time.Duration, ok bool)
	// TaskStopped is called when a task no longer runs on a machine, for whatever reason.
	TaskStopped(t wire.TaskID, machine string)
	// TaskCompleted is called when a task has completed its run time.
	TaskCompleted(t wire.TaskID)
	// Describe returns the description of a job; the result is false for an unknown job.
	Describe(job string) (*wire.Job, bool)
}

// FailingFixture is a Fixture some of whose tasks end with an error.
type FailingFixture interface {
	Fixture
	// FailsAfter returns the run time after which a task fails on a machine; the result is false if it does not fail.
	FailsAfter(t wire.TaskID, machine string) (time.Duration, bool)
}

// LookupFixture is a Fixture that has to look up a job elsewhere before Describe knows it. The tasks of the
// job are reported as fetching until then.
type LookupFixture interface {
	Fixture
	// LookUp makes the job of a task known to Describe.
	LookUp(ctx context.Context, t wire.TaskID) error
}

// TaskRuntime is the state that the tasks on all machines of a cluster share: their saved checkpoints, and
// the gangs whose members start and end together.
type TaskRuntime struct {
	Fixture
	GangWaitTimeout time.Duration // how long a task waits for the other members of its gang
	GangPeerTimeout time.Duration // how long members take to notice that another member is gone

	mu               sync.Mutex
	savedProgress    map[wire.TaskID]time.Duration
	gangs            map[gangKey]*gang
	cancelledFetches map[wire.TaskID]int // number of image fetches that were cancelled, by task
}

// NewTaskRuntime returns a runtime without tasks; gangWait and gangPeer are its timeouts.
func NewTaskRuntime(fixture Fixture, gangWait, gangPeer time.Duration) *TaskRuntime {
	return &TaskRuntime{Fixture: fixture, GangWaitTimeout: gangWait, GangPeerTimeout: gangPeer, savedProgress: map[wire.TaskID]time.Duration{}, gangs: map[gangKey]*gang{}, cancelledFetches: map[wire.TaskID]int{}}
}

// fetchCancelled counts a task's image fetch that was cancelled before it was complete.
func (r *TaskRuntime) fetchCancelled(t wire.TaskID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelledFetches[t]++
}

// CancelledFetches returns how many image fetches of each task were cancelled.
func (r *TaskRuntime) CancelledFetches() map[wire.TaskID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.cancelledFetches)
}

// SavedProgress returns the progress that a task has saved. The progress of a gang is stored for its first
// task.
func (r *TaskRuntime) SavedProgress(t wire.TaskID) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.savedProgress[t]
}

// saveProgress records a checkpoint unless one with more progress is known.
func (r *TaskRuntime) saveProgress(t wire.TaskID, progress time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.savedProgress[t] = max(r.savedProgress[t], progress)
}

// gangKey identifies one attempt of a gang.
type gangKey struct {
	job     string
	attempt uint64
}

// gang is the state of one attempt of a gang. Members are notified without any lock held.
type gang struct {
	job       *wire.Job
	members   map[int]*gangMember
	runTime   time.Duration
	startedAt time.Time // zero until all members have joined
	stoppedAt time.Time // when the first member was told to stop
	timer     *time.Timer
	ended     bool
}

// gangMember is a task that has joined its gang.
type gangMember struct {
	saving bool // was told to stop and saves its progress
	notify func(event gangEvent)
}

// gangEvent is an event of which the members of a gang are notified.
type gangEvent int

const (
	gangStarted  gangEvent = iota // all members have joined
	gangDone                      // the run time is completed
	gangBroken                    // a member is gone
	gangSaved                     // all members were told to stop and have saved
	gangNotSaved                  // some members were not told to stop in time; nothing is saved
)

// joinGang adds a task to its gang, which starts when its last member has joined. A gang that has already
// started admits no further members.
func (r *TaskRuntime) joinGang(job *wire.Job, key gangKey, index int, runTime time.Duration, notify func(gangEvent)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.gangs[key]
	if g == nil {
		g = &gang{job: job, members: map[int]*gangMember{}}
		r.gangs[key] = g
	}
	if g.ended || !g.startedAt.IsZero() {
		go notify(gangBroken)
		return
	}
	g.members[index] = &gangMember{notify: notify}
	if g.runTime = max(g.runTime, runTime); len(g.members) < job.Tasks {
		return
	}
	g.startedAt = time.Now()
	g.timer = time.AfterFunc(max(0, g.runTime-r.savedProgress[leadTask(job)]), func() { r.endGang(g, gangDone) })
	g.notifyAll(gangStarted)
}

// leadTask returns the task for which the progress of a gang is stored.
func leadTask(j *wire.Job) wire.TaskID { return wire.TaskID{Job: j.ID} }

// notifyAll notifies all members in the order of their indexes.
func (g *gang) notifyAll(event gangEvent) {
	var notifiers []func(gangEvent)
	indexes := make([]int, 0, len(g.members))
	for i := range g.members {
		indexes = append(indexes, i)
	}
	slices.Sort(indexes)
	for _, i := range indexes {
		notifiers = append(notifiers, g.members[i].notify)
	}
	go func() {
		for _, notify := range notifiers {
			notify(event)
		}
	}()
}

// endGang ends a gang and notifies the remaining members. It does nothing if the gang has already ended,
// or if it is reported as done while it is stopping.
func (r *TaskRuntime) endGang(g *gang, event gangEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g.ended || event == gangDone && !g.stoppedAt.IsZero() {
		return
	}
	g.ended = true
	g.notifyAll(event)
}

// leaveGang removes a task from its gang at once. Another task may take its place in a gang that has not
// started. Otherwise the other members notice after GangPeerTimeout, and progress that was not saved is
// lost.
func (r *TaskRuntime) leaveGang(key gangKey, index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.gangs[key]
	if g == nil || g.members[index] == nil {
		return
	}
	delete(g.members, index)
	if len(g.members) == 0 {
		delete(r.gangs, key)
	}
	if g.startedAt.IsZero() || g.ended {
		return
	}
	g.timer.Stop()
	r.keepLastCheckpoint(g)
	time.AfterFunc(r.GangPeerTimeout, func() { r.endGang(g, gangBroken) })
}

// pauseMember is called when the machine of a member pauses for d. If d is shorter than GangPeerTimeout, the
// gang ends later by d; otherwise the other members exit and unsaved progress is lost.
func (r *TaskRuntime) pauseMember(key gangKey, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.gangs[key]
	if g == nil || g.startedAt.IsZero() || g.ended {
		return
	}
	if d < r.GangPeerTimeout {
		g.startedAt = g.startedAt.Add(d)
		if g.timer.Stop() {
			g.timer.Reset(max(0, g.runTime-r.gangProgress(g)))
		}
		return
	}
	g.timer.Stop()
	r.keepLastCheckpoint(g)
	time.AfterFunc(r.GangPeerTimeout, func() { r.endGang(g, gangBroken) })
}

// keepLastCheckpoint records the last periodic checkpoint of a gang that ends without saving.
func (r *TaskRuntime) keepLastCheckpoint(g *gang) {
	if interval := wire.Seconds(g.job.CheckpointS); interval > 0 && !g.startedAt.IsZero() {
		lead := leadTask(g.job)
		r.savedProgress[lead] = max(r.savedProgress[lead], r.gangProgress(g).Truncate(interval))
	}
}

// gangProgress returns how much of its run time a gang has completed, up to when it was told to stop.
func (r *TaskRuntime) gangProgress(g *gang) time.Duration {
	until := time.Now()
	if !g.stoppedAt.IsZero() {
		until = g.stoppedAt
	}
	return min(g.runTime, r.savedProgress[leadTask(g.job)]+until.Sub(g.startedAt))
}

// stopMember is called when a member is told to stop with a grace period that suffices to save. The other
// members have to be told within GangPeerTimeout. It reports whether the gang is running.
func (r *TaskRuntime) stopMember(key gangKey, index int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.gangs[key]
	if g == nil || g.startedAt.IsZero() || g.ended || g.members[index] == nil {
		return false
	}
	g.members[index].saving = true
	if g.stoppedAt.IsZero() {
		g.stoppedAt = time.Now()
		g.timer.Stop()
		time.AfterFunc(r.GangPeerTimeout, func() { r.finishSaving(g, false) })
	}
	time.AfterFunc(wire.Seconds(g.job.SaveS), func() { r.finishSaving(g, true) })
	return true
}

// finishSaving ends a gang that is saving: successfully when all members were told to stop and have had
// time to save, unsuccessfully if some were not told in time. beforeTimeout is false when GangPeerTimeout
// has passed since the first member was told.
func (r *TaskRuntime) finishSaving(g *gang, beforeTimeout bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	allTold := len(g.members) == g.job.Tasks
	for _, m := range g.members {
		allTold = allTold && m.saving
	}
	switch {
	case g.ended || !allTold && beforeTimeout:
		return
	case allTold && time.Since(g.stoppedAt) >= wire.Seconds(g.job.SaveS):
		lead := leadTask(g.job)
		r.savedProgress[lead] = max(r.savedProgress[lead], r.gangProgress(g))
		g.ended = true
		g.notifyAll(gangSaved)
	case !allTold:
		r.keepLastCheckpoint(g)
		g.ended = true
		g.notifyAll(gangNotSaved)
	}
}
