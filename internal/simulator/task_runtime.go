package simulator

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Ground knows how long tasks run, and is told what becomes of them. A Checker is
// one.
type Ground interface {
	// On tells that a task starts on a machine, and gives its run time; ok is false
	// for a job that nobody has submitted.
	On(t wire.TaskID, machine, typ, zone string, spot bool) (run time.Duration, ok bool)
	Off(t wire.TaskID, machine string)
	Done(t wire.TaskID)
	// Describe gives a job's description.
	Describe(job string) (*wire.Job, bool)
}

// Slow is a Ground that must look for a job before it knows: its tasks are fetching
// meanwhile.
type Slow interface {
	Ground
	Look(ctx context.Context, t wire.TaskID) error
}

// Yard is what the machines of a world share: where tasks keep the progress that they have
// saved, and how those of a gang find each other.
type Yard struct {
	Ground
	GangWait time.Duration // a task waits for so long for the others of its gang
	GangPeer time.Duration // and notices within this that one is gone

	mu    sync.Mutex
	saved map[wire.TaskID]time.Duration
	gangs map[gangKey]*gang
	vain  map[wire.TaskID]int // fetches that were given up
}

// NewYard gives a yard on a ground.
func NewYard(g Ground, gangWait, gangPeer time.Duration) *Yard {
	return &Yard{Ground: g, GangWait: gangWait, GangPeer: gangPeer, saved: map[wire.TaskID]time.Duration{}, gangs: map[gangKey]*gang{}, vain: map[wire.TaskID]int{}}
}

// gaveUp notes that the fetch of a task's image ended before it had come.
func (y *Yard) gaveUp(t wire.TaskID) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.vain[t]++
}

// GivenUp tells how many times the fetch of a task's image was given up, for each with any.
func (y *Yard) GivenUp() map[wire.TaskID]int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return maps.Clone(y.vain)
}

// Saved tells what progress a task has saved; that of a gang is kept with its first task.
func (y *Yard) Saved(t wire.TaskID) time.Duration {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.saved[t]
}

func (y *Yard) save(t wire.TaskID, progress time.Duration) {
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
	job     *wire.Job
	members map[int]*member
	run     time.Duration
	begun   time.Time // zero until all have come
	stopped time.Time // when the first was told to stop
	timer   *time.Timer
	over    bool
}

type member struct {
	saving bool
	tell   func(event gangEvent)
}

// gangEvent is what a task hears of its gang.
type gangEvent int

const (
	gangRuns gangEvent = iota
	gangDone
	gangTorn  // a task of it is gone
	gangSaved // all were told to stop, and have saved
	gangLost  // some were not told in time, and nothing is saved
)

// join has a task wait for its gang, which begins with the last.
func (y *Yard) join(j *wire.Job, k gangKey, index int, run time.Duration, tell func(gangEvent)) {
	y.mu.Lock()
	defer y.mu.Unlock()
	g := y.gangs[k]
	if g == nil {
		g = &gang{job: j, members: map[int]*member{}}
		y.gangs[k] = g
	}
	if g.over || !g.begun.IsZero() {
		go tell(gangTorn)
		return
	}
	g.members[index] = &member{tell: tell}
	if g.run = max(g.run, run); len(g.members) < j.Tasks {
		return
	}
	g.begun = time.Now()
	g.timer = time.AfterFunc(max(0, g.run-y.saved[lead(j)]), func() { y.end(g, gangDone) })
	g.all(gangRuns)
}

func lead(j *wire.Job) wire.TaskID { return wire.TaskID{Job: j.ID} }

// all tells the members, in order.
func (g *gang) all(e gangEvent) {
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

// end tells all that are left what has become of the gang, once.
func (y *Yard) end(g *gang, e gangEvent) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if g.over || e == gangDone && !g.stopped.IsZero() {
		return
	}
	g.over = true
	g.all(e)
}

// leave takes a task out of its gang, without a word. Before the gang has begun another may
// come in its place; then the others notice, and what was not saved is lost.
func (y *Yard) leave(k gangKey, index int) {
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
	if g.begun.IsZero() || g.over {
		return
	}
	g.timer.Stop()
	y.fallBack(g)
	time.AfterFunc(y.GangPeer, func() { y.end(g, gangTorn) })
}

// stall tells that a machine with a task of a gang that runs hangs for a while. If that is longer
// than the others take to notice, they exit, and what was not saved is lost; else the gang
// ends later.
func (y *Yard) stall(k gangKey, d time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	g := y.gangs[k]
	if g == nil || g.begun.IsZero() || g.over {
		return
	}
	if d < y.GangPeer {
		g.begun = g.begun.Add(d)
		if g.timer.Stop() {
			g.timer.Reset(max(0, g.run-y.progress(g)))
		}
		return
	}
	g.timer.Stop()
	y.fallBack(g)
	time.AfterFunc(y.GangPeer, func() { y.end(g, gangTorn) })
}

// fallBack keeps the last checkpoint of a gang that did not save.
func (y *Yard) fallBack(g *gang) {
	if every := wire.Seconds(g.job.CheckpointS); every > 0 && !g.begun.IsZero() {
		t := lead(g.job)
		y.saved[t] = max(y.saved[t], y.progress(g).Truncate(every))
	}
}

func (y *Yard) progress(g *gang) time.Duration {
	until := time.Now()
	if !g.stopped.IsZero() {
		until = g.stopped
	}
	return min(g.run, y.saved[lead(g.job)]+until.Sub(g.begun))
}

// stop tells that a task of a running gang was told to stop with time to save; the others
// must be told soon. It reports whether the gang runs.
func (y *Yard) stop(k gangKey, index int) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	g := y.gangs[k]
	if g == nil || g.begun.IsZero() || g.over || g.members[index] == nil {
		return false
	}
	g.members[index].saving = true
	if g.stopped.IsZero() {
		g.stopped = time.Now()
		g.timer.Stop()
		time.AfterFunc(y.GangPeer, func() { y.judge(g, false) })
	}
	time.AfterFunc(wire.Seconds(g.job.SaveS), func() { y.judge(g, true) })
	return true
}

// judge ends a gang that is saving: when all were told and have saved, or too late.
func (y *Yard) judge(g *gang, inTime bool) {
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
		t := lead(g.job)
		y.saved[t] = max(y.saved[t], y.progress(g))
		g.over = true
		g.all(gangSaved)
	case !told:
		y.fallBack(g)
		g.over = true
		g.all(gangLost)
	}
}
