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
	progressAtStop time.Duration // progress when the task was told to stop and to save
	runTime        time.Duration
	started        bool // its image is present and the Fixture was notified
}

// schedule calls a function when the task has been active for d; pauses of its machine do not count.
func (t *runningTask) schedule(d time.Duration, callback func()) {
	t.timer, t.timerAt = time.AfterFunc(d, callback), time.Now().Add(d)
}

// pause extends the task's timer and start time by a pause of its machine.
func (t *runningTask) pause(d time.Duration) {
	if t.timer.Stop() {
		t.timerAt = t.timerAt.Add(d)
		t.timer.Reset(time.Until(t.timerAt))
	}
	if !t.startedAt.IsZero() {
		t.startedAt = t.startedAt.Add(d)
	}
}

// cachedImage is an image that the machine has in its cache or is fetching.
type cachedImage struct {
	sizeGB      float64
	remainingGB float64 // part of sizeGB that is yet to be fetched
	lastUsed    time.Time
	present     bool
	timer       *time.Timer // fires when the fetch is complete
	waiters     []func()    // start the tasks that wait for the image
}

// execute executes a leader's commands. Repeated commands have no effect. The caller holds the lock.
func (w *Worker) execute(commands []wire.Command) {
	for _, c := range commands {
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

// launchTask handles a launch. It refuses the task if another attempt of it has not ended on this machine,
// and otherwise admits it once its job is known.
func (w *Worker) launchTask(key string, id wire.TaskID, attempt uint64) {
	t := &runningTask{ReportedTask: wire.ReportedTask{Task: id.String(), Attempt: attempt, State: wire.TaskFetching, ID: id}, timer: time.NewTimer(0)}
	t.timer.Stop()
	alreadyPresent := false
	for _, other := range w.tasks {
		alreadyPresent = alreadyPresent || other.ID == id && other.State != wire.TaskEnded
	}
	w.tasks[key] = t
	w.requestHeartbeat()
	lookup, needsLookup := w.runtime.Fixture.(LookupFixture)
	switch {
	case alreadyPresent:
		w.refuseTask(t, wire.CauseBusy)
	case !needsLookup:
		w.admitTask(key, t)
	default:
		go func() {
			err := lookup.LookUp(w.ctx, id)
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

// refuseTask ends a task that cannot be started.
func (w *Worker) refuseTask(t *runningTask, cause wire.Cause) {
	t.State, t.Cause = wire.TaskEnded, cause
	w.requestHeartbeat()
}

// admitTask admits a task if its job is known and its resources are free, and fetches its image. Otherwise
// it refuses the task.
func (w *Worker) admitTask(key string, t *runningTask) {
	job, known := w.runtime.Describe(t.ID.Job)
	if !known || t.ID.Index >= job.Tasks {
		w.refuseTask(t, wire.CauseUnknown)
		return
	}
	cpus, gpus, memory := job.CPUs, job.GPUs, job.MemoryGB
	for _, other := range w.tasks {
		if other.State != wire.TaskEnded && other.job != nil {
			cpus, gpus, memory = cpus+other.job.CPUs, gpus+other.job.GPUs, memory+other.job.MemoryGB
		}
	}
	const roundingError = 1e-6
	if spec := w.spec; cpus > spec.CPUs+roundingError || gpus > spec.GPUs+roundingError || memory > spec.MemoryGB+roundingError {
		w.refuseTask(t, wire.CauseNoCapacity)
		return
	}
	t.job = job
	w.fetchImage(job.Image, job.ImageGB, func() {
		if w.tasks[key] == t && t.State == wire.TaskFetching {
			w.startTask(key, t)
		}
	})
}

// fetchImage makes an image present, with one fetch for all tasks that need it, and then evicts the least
// recently used images from a full cache. done is called, with the lock held, when the image is present.
func (w *Worker) fetchImage(name string, sizeGB float64, done func()) {
	image := w.images[name]
	if image == nil {
		image = &cachedImage{sizeGB: sizeGB, remainingGB: sizeGB}
		w.images[name] = image
	}
	if image.lastUsed = time.Now(); image.present {
		done()
		return
	}
	image.waiters = append(image.waiters, done)
	if image.timer != nil {
		return
	}
	w.accountFetched()
	image.timer = time.AfterFunc(time.Hour, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.images[name] != image {
			return
		}
		w.accountFetched()
		image.present = true
		w.rescheduleFetches()
		waiters := image.waiters
		image.waiters = nil
		for _, start := range waiters {
			start()
		}
		w.evictImages()
	})
	w.rescheduleFetches()
}

// fetching lists the images that are being fetched.
func (w *Worker) fetching() (out []*cachedImage) {
	for _, image := range w.images {
		if image.timer != nil && !image.present {
			out = append(out, image)
		}
	}
	return out
}

// fetchRate returns the rate of each fetch, in GB per second, while the given number of images is fetched.
func (w *Worker) fetchRate(images int) float64 {
	if !w.sharedFetchRate {
		images = 1
	}
	return w.spec.FetchGBps / w.fetchFactor / float64(images)
}

// accountFetched subtracts the data that was fetched since the last call from the remaining size of each
// image. It has to be called before the number of concurrent fetches changes.
func (w *Worker) accountFetched() {
	images, now := w.fetching(), time.Now()
	if now.Before(w.fetchAccountedUntil) { // the machine is paused
		return
	}
	for _, image := range images {
		image.remainingGB = max(0, image.remainingGB-w.fetchRate(len(images))*now.Sub(w.fetchAccountedUntil).Seconds())
	}
	w.fetchAccountedUntil = now
}

// rescheduleFetches sets the time at which each fetch completes according to its present rate.
func (w *Worker) rescheduleFetches() {
	images := w.fetching()
	for _, image := range images {
		fetchTime := time.Duration(0)
		if w.spec.FetchGBps > 0 {
			fetchTime = time.Duration(image.remainingGB / w.fetchRate(len(images)) * float64(time.Second))
		}
		image.timer.Reset(fetchTime + max(0, time.Until(w.pausedUntil)))
	}
}

// cancelFetch cancels the fetch of a task's image unless another task waits for it.
func (w *Worker) cancelFetch(t *runningTask) {
	image := w.images[t.job.Image]
	if image == nil || image.present {
		return
	}
	for _, other := range w.tasks {
		if other != t && other.job != nil && other.job.Image == t.job.Image && other.State == wire.TaskFetching {
			return
		}
	}
	w.accountFetched()
	image.timer.Stop()
	delete(w.images, t.job.Image)
	w.rescheduleFetches()
	w.runtime.fetchCancelled(t.ID)
}

// evictImages removes the least recently used images until the rest fits into the cache.
func (w *Worker) evictImages() {
	for {
		total, oldest := 0.0, ""
		for name, image := range w.images {
			if !image.present {
				continue
			}
			total += image.sizeGB
			if candidate := w.images[oldest]; oldest == "" || image.lastUsed.Before(candidate.lastUsed) || image.lastUsed.Equal(candidate.lastUsed) && name < oldest {
				oldest = name
			}
		}
		if total <= w.spec.CacheGB || oldest == "" || w.spec.CacheGB == 0 {
			return
		}
		delete(w.images, oldest)
	}
}

// startTask starts a task whose image is present. A task of a gang first waits for the other members, other
// tasks continue from their saved progress.
func (w *Worker) startTask(key string, t *runningTask) {
	runTime, ok := w.runtime.TaskStarted(t.ID, w.id, w.typ, w.zone, w.spot)
	w.requestHeartbeat()
	if !ok {
		w.refuseTask(t, wire.CauseUnknown)
		return
	}
	t.started, t.runTime = true, time.Duration(float64(runTime)*w.runFactor)
	if t.job.Shape == wire.Gang && t.job.Tasks > 1 {
		t.State = wire.TaskWaiting
		t.schedule(w.runtime.GangWaitTimeout, func() { w.runIfInState(key, t, wire.TaskWaiting, func() { w.endTask(t, wire.CauseGangTimeout) }) })
		w.runtime.joinGang(t.job, gangKey{t.ID.Job, t.Attempt}, t.ID.Index, t.runTime, func(event gangEvent) { w.notifyGang(key, t, event) })
		return
	}
	t.State, t.startedAt = wire.TaskRunning, time.Now()
	if w.scheduleFailure(key, t) {
		return
	}
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

// scheduleFailure schedules the failure of a task that has just started to run, and reports whether the task fails.
func (w *Worker) scheduleFailure(key string, t *runningTask) bool {
	fixture, mayFail := w.runtime.Fixture.(FailingFixture)
	if !mayFail {
		return false
	}
	after, fails := fixture.FailsAfter(t.ID, w.id)
	if fails {
		t.schedule(after, func() { w.runIfInState(key, t, wire.TaskRunning, func() { w.endTask(t, wire.CauseError) }) })
	}
	return fails
}

// runIfInState calls a function, after the current pause if there is one, if the task still exists and is in
// the given state.
func (w *Worker) runIfInState(key string, t *runningTask, state wire.TaskState, action func()) {
	w.whenResumed(func() {
		if w.tasks[key] == t && t.State == state {
			action()
		}
	})
}

// notifyGang handles a gang event, after the current pause if there is one.
func (w *Worker) notifyGang(key string, t *runningTask, event gangEvent) {
	w.whenResumed(func() { w.handleGangEvent(key, t, event) })
}

// handleGangEvent changes the state of a task according to an event of its gang.
func (w *Worker) handleGangEvent(key string, t *runningTask, event gangEvent) {
	if w.tasks[key] != t || t.State == wire.TaskEnded {
		return
	}
	switch event {
	case gangStarted:
		t.timer.Stop()
		t.State = wire.TaskRunning
		w.scheduleFailure(key, t)
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
			w.endTask(t, wire.CauseGangBroken)
		}
	case gangBroken:
		w.endTask(t, wire.CauseGangBroken)
	}
}

// stopTask stops a task. A running task that can save its progress within the grace period does so first.
func (w *Worker) stopTask(t *runningTask, grace time.Duration) {
	canSave := t.State == wire.TaskRunning && t.job.CheckpointS > 0 && grace >= wire.Seconds(t.job.SaveS)
	key := t.Task + "#" + strconv.FormatUint(t.Attempt, 10)
	switch {
	case t.State == wire.TaskSaving && grace > 0:
	case canSave && t.job.Shape == wire.Gang && t.job.Tasks > 1:
		if w.runtime.stopMember(gangKey{t.ID.Job, t.Attempt}, t.ID.Index) {
			t.State = wire.TaskSaving
			w.requestHeartbeat()
			return
		}
		w.endTask(t, wire.CauseStopped)
	case canSave:
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

// endTask ends a task and releases its resources.
func (w *Worker) endTask(t *runningTask, cause wire.Cause) {
	w.releaseTask(t)
	t.State, t.Cause = wire.TaskEnded, cause
	w.requestHeartbeat()
}

// releaseTask stops the activity of a task: it cancels its image fetch, or saves its last periodic
// checkpoint and notifies the Fixture.
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
	} else if interval := wire.Seconds(t.job.CheckpointS); interval > 0 && !t.startedAt.IsZero() {
		w.runtime.saveProgress(t.ID, cmp.Or(t.progressAtStop, time.Since(t.startedAt)).Truncate(interval))
	}
	w.runtime.TaskStopped(t.ID, w.id)
}
