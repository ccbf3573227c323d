package simulator

import (
	"cmp"
	"strconv"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// runningTask is a task on a machine.
type runningTask struct {
	wire.ReportedTask
	job            *wire.Job
	timer          *time.Timer
	timerAt        time.Time // when the timer fires
	startedAt      time.Time
	progressAtStop time.Duration // progress when it was stopped
	runTime        time.Duration
	started        bool // its image is present and the fixture was notified
}

// schedule calls a function once the task has made progress for d.
func (t *runningTask) schedule(d time.Duration, do func()) {
	t.timer, t.timerAt = time.AfterFunc(d, do), time.Now().Add(d)
}

// pause delays the task's timer while its machine makes no progress.
func (t *runningTask) pause(d time.Duration) {
	if t.timer.Stop() {
		t.timerAt = t.timerAt.Add(d)
		t.timer.Reset(time.Until(t.timerAt))
	}
	if !t.startedAt.IsZero() {
		t.startedAt = t.startedAt.Add(d)
	}
}

// cachedImage is an image that the machine has or fetches.
type cachedImage struct {
	sizeGB      float64
	remainingGB float64 // of sizeGB, still to be fetched
	lastUsed    time.Time
	present     bool
	timer       *time.Timer
	waiters     []func() // starts of the tasks that wait for it
}

// execute carries out a leader's commands; repeated commands have no effect.
func (w *Worker) execute(cmds []wire.Command) {
	for _, c := range cmds {
		id, err := wire.ParseTaskID(c.Task)
		if err != nil {
			continue
		}
		key := c.Task + "#" + strconv.FormatUint(c.Attempt, 10)
		t := w.tasks[key]
		switch {
		case c.Verb == wire.Launch && t == nil:
			w.launchTask(key, id, c.Attempt)
		case c.Verb == wire.Stop && t != nil && t.State != wire.TaskEnded:
			grace := time.Duration(0)
			if c.GraceS != nil {
				grace = wire.Seconds(*c.GraceS)
			}
			w.stopTask(t, grace)
		case c.Verb == wire.Clear && t != nil && t.State == wire.TaskEnded:
			delete(w.tasks, key)
		}
	}
}

// launchTask accepts a launch, unless another attempt of the task still runs here.
func (w *Worker) launchTask(key string, id wire.TaskID, attempt uint64) {
	t := &runningTask{ReportedTask: wire.ReportedTask{Task: id.String(), Attempt: attempt, State: wire.TaskFetching, ID: id}, timer: time.NewTimer(0)}
	t.timer.Stop()
	busy := false
	for _, o := range w.tasks {
		busy = busy || o.ID == id && o.State != wire.TaskEnded
	}
	w.tasks[key] = t
	w.requestHeartbeat()
	slow, must := w.runtime.Fixture.(LookupFixture)
	switch {
	case busy:
		w.refuseTask(t, wire.CauseBusy)
	case !must:
		w.admitTask(key, t)
	default:
		go func() {
			err := slow.LookUp(w.ctx, id)
			w.waitWhilePaused()
			w.mu.Lock()
			defer w.mu.Unlock()
			switch {
			case w.tasks[key] != t || t.State != wire.TaskFetching:
			case err != nil:
				w.refuseTask(t, wire.CauseUnknown)
			default:
				w.admitTask(key, t)
			}
		}()
	}
}

// refuseTask ends a task that cannot start.
func (w *Worker) refuseTask(t *runningTask, why wire.Cause) {
	t.State, t.Cause = wire.TaskEnded, why
	w.requestHeartbeat()
}

// admitTask accepts a task whose job is known if its resources are free, and fetches its image.
func (w *Worker) admitTask(key string, t *runningTask) {
	j, known := w.runtime.Describe(t.ID.Job)
	if !known || t.ID.Index >= j.Tasks {
		w.refuseTask(t, wire.CauseUnknown)
		return
	}
	cpus, gpus, memory := j.CPUs, j.GPUs, j.MemoryGB
	for _, o := range w.tasks {
		if o.State != wire.TaskEnded && o.job != nil {
			cpus, gpus, memory = cpus+o.job.CPUs, gpus+o.job.GPUs, memory+o.job.MemoryGB
		}
	}
	const dust = 1e-6
	if s := w.spec; cpus > s.CPUs+dust || gpus > s.GPUs+dust || memory > s.MemoryGB+dust {
		w.refuseTask(t, wire.CauseNoRoom)
		return
	}
	t.job = j
	w.fetchImage(j.Image, j.ImageGB, func() {
		if w.tasks[key] == t && t.State == wire.TaskFetching {
			w.startTask(key, t)
		}
	})
}

// fetchImage fetches an image once for all tasks that need it and evicts those least recently
// used. done is called with the lock held.
func (w *Worker) fetchImage(name string, gb float64, done func()) {
	img := w.images[name]
	if img == nil {
		img = &cachedImage{sizeGB: gb, remainingGB: gb}
		w.images[name] = img
	}
	if img.lastUsed = time.Now(); img.present {
		done()
		return
	}
	img.waiters = append(img.waiters, done)
	if img.timer != nil {
		return
	}
	w.accountFetched()
	img.timer = time.AfterFunc(time.Hour, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.images[name] != img {
			return
		}
		w.accountFetched()
		img.present = true
		w.rescheduleFetches()
		wants := img.waiters
		img.waiters = nil
		for _, want := range wants {
			want()
		}
		w.evictImages()
	})
	w.rescheduleFetches()
}

// fetching lists the images that are being fetched.
func (w *Worker) fetching() (out []*cachedImage) {
	for _, img := range w.images {
		if img.timer != nil && !img.present {
			out = append(out, img)
		}
	}
	return out
}

// fetchRate returns the GB per second for each of that many concurrent fetches.
func (w *Worker) fetchRate(images int) float64 {
	if !w.sharedFetchRate {
		images = 1
	}
	return w.spec.FetchGBps / w.fetchFactor / float64(images)
}

// accountFetched subtracts what was fetched since the last call from the images being fetched.
func (w *Worker) accountFetched() {
	coming, now := w.fetching(), time.Now()
	if now.Before(w.fetchAccountedUntil) { // the machine hangs
		return
	}
	for _, img := range coming {
		img.remainingGB = max(0, img.remainingGB-w.fetchRate(len(coming))*now.Sub(w.fetchAccountedUntil).Seconds())
	}
	w.fetchAccountedUntil = now
}

// rescheduleFetches sets the end of each fetch according to its present rate.
func (w *Worker) rescheduleFetches() {
	coming := w.fetching()
	for _, img := range coming {
		took := time.Duration(0)
		if w.spec.FetchGBps > 0 {
			took = time.Duration(img.remainingGB / w.fetchRate(len(coming)) * float64(time.Second))
		}
		img.timer.Reset(took + max(0, time.Until(w.pausedUntil)))
	}
}

// cancelFetch cancels the fetch of a task's image unless another task waits for it.
func (w *Worker) cancelFetch(t *runningTask) {
	img := w.images[t.job.Image]
	if img == nil || img.present {
		return
	}
	for _, o := range w.tasks {
		if o != t && o.job != nil && o.job.Image == t.job.Image && o.State == wire.TaskFetching {
			return
		}
	}
	w.accountFetched()
	img.timer.Stop()
	delete(w.images, t.job.Image)
	w.rescheduleFetches()
	w.runtime.fetchCancelled(t.ID)
}

// evictImages removes the least recently used images until the cache is within its size.
func (w *Worker) evictImages() {
	for {
		sum, oldest := 0.0, ""
		for name, img := range w.images {
			if !img.present {
				continue
			}
			sum += img.sizeGB
			if o := w.images[oldest]; oldest == "" || img.lastUsed.Before(o.lastUsed) || img.lastUsed.Equal(o.lastUsed) && name < oldest {
				oldest = name
			}
		}
		if sum <= w.spec.CacheGB || oldest == "" || w.spec.CacheGB == 0 {
			return
		}
		delete(w.images, oldest)
	}
}

// startTask starts a task whose image is present. A task that has completed before ends at once.
func (w *Worker) startTask(key string, t *runningTask) {
	run, ok := w.runtime.TaskStarted(t.ID, w.id, w.typ, w.zone, w.spot)
	w.requestHeartbeat()
	if !ok {
		w.refuseTask(t, wire.CauseUnknown)
		return
	}
	t.started, t.runTime = true, time.Duration(float64(run)*w.runFactor)
	if t.job.Shape == wire.Gang && t.job.Tasks > 1 {
		t.State = wire.TaskWaiting
		t.schedule(w.runtime.GangWaitTimeout, func() { w.runIfInState(key, t, wire.TaskWaiting, func() { w.endTask(t, wire.CauseAlone) }) })
		w.runtime.joinGang(t.job, gangKey{t.ID.Job, t.Attempt}, t.ID.Index, t.runTime, func(e gangEvent) { w.notifyGang(key, t, e) })
		return
	}
	t.State, t.startedAt = wire.TaskRunning, time.Now()
	if saved := w.runtime.SavedProgress(t.ID); saved > 0 {
		t.startedAt = t.startedAt.Add(-saved)
	}
	t.schedule(max(0, t.runTime-time.Since(t.startedAt)), func() {
		w.runIfInState(key, t, wire.TaskRunning, func() {
			w.runtime.TaskCompleted(t.ID)
			w.endTask(t, wire.CauseDone)
		})
	})
}

// runIfInState calls a function unless the task's state has changed in the meantime.
func (w *Worker) runIfInState(key string, t *runningTask, state wire.TaskState, do func()) {
	w.whenResumed(func() {
		if w.tasks[key] == t && t.State == state {
			do()
		}
	})
}

// notifyGang handles a gang event, after the current pause if there is one.
func (w *Worker) notifyGang(key string, t *runningTask, e gangEvent) {
	w.whenResumed(func() { w.handleGangEvent(key, t, e) })
}

// handleGangEvent changes a task's state according to what happened to its gang.
func (w *Worker) handleGangEvent(key string, t *runningTask, e gangEvent) {
	if w.tasks[key] != t || t.State == wire.TaskEnded {
		return
	}
	switch e {
	case gangStarted:
		t.timer.Stop()
		t.State = wire.TaskRunning
		w.requestHeartbeat()
	case gangDone:
		w.runtime.TaskCompleted(t.ID)
		w.endTask(t, wire.CauseDone)
	case gangSaved:
		t.Saved = true
		w.endTask(t, wire.CauseStopped)
	case gangNotSaved:
		if t.State == wire.TaskSaving {
			w.endTask(t, wire.CauseStopped)
		} else {
			w.endTask(t, wire.CausePeers)
		}
	case gangBroken:
		w.endTask(t, wire.CausePeers)
	}
}

// stopTask stops a task; a task that can save its progress within the grace period does so first.
func (w *Worker) stopTask(t *runningTask, grace time.Duration) {
	saves := t.State == wire.TaskRunning && t.job.CheckpointS > 0 && grace >= wire.Seconds(t.job.SaveS)
	key := t.Task + "#" + strconv.FormatUint(t.Attempt, 10)
	switch {
	case t.State == wire.TaskSaving && grace > 0:
	case saves && t.job.Shape == wire.Gang && t.job.Tasks > 1:
		if w.runtime.stopMember(gangKey{t.ID.Job, t.Attempt}, t.ID.Index) {
			t.State = wire.TaskSaving
			w.requestHeartbeat()
			return
		}
		w.endTask(t, wire.CauseStopped)
	case saves:
		t.timer.Stop()
		t.State = wire.TaskSaving
		w.requestHeartbeat()
		t.progressAtStop = time.Since(t.startedAt)
		t.schedule(wire.Seconds(t.job.SaveS), func() {
			w.runIfInState(key, t, wire.TaskSaving, func() {
				w.runtime.saveProgress(t.ID, t.progressAtStop)
				t.Saved = true
				w.endTask(t, wire.CauseStopped)
			})
		})
	default:
		w.endTask(t, wire.CauseStopped)
	}
}

// endTask ends a task and frees what it used.
func (w *Worker) endTask(t *runningTask, why wire.Cause) {
	w.releaseTask(t)
	t.State, t.Cause = wire.TaskEnded, why
	w.requestHeartbeat()
}

// releaseTask stops a task's activity, keeps its last checkpoint and notifies the fixture.
func (w *Worker) releaseTask(t *runningTask) {
	t.timer.Stop()
	if t.job != nil && !t.started {
		w.cancelFetch(t)
	}
	if t.job == nil || !t.started {
		return
	}
	if t.job.Shape == wire.Gang && t.job.Tasks > 1 {
		w.runtime.leaveGang(gangKey{t.ID.Job, t.Attempt}, t.ID.Index)
	} else if every := wire.Seconds(t.job.CheckpointS); every > 0 && !t.startedAt.IsZero() {
		w.runtime.saveProgress(t.ID, cmp.Or(t.progressAtStop, time.Since(t.startedAt)).Truncate(every))
	}
	w.runtime.TaskStopped(t.ID, w.id)
}
