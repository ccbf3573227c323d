package simulator

import (
	"cmp"
	"strconv"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// running is a task on a machine.
type running struct {
	wire.ReportedTask
	job   *wire.Job
	timer *time.Timer
	at    time.Time // when the timer goes off
	begun time.Time
	made  time.Duration // progress when it was stopped
	run   time.Duration
	on    bool // it has its image, and the ground was told
}

// after does something once the task has gone on for a while.
func (t *running) after(d time.Duration, do func()) {
	t.timer, t.at = time.AfterFunc(d, do), time.Now().Add(d)
}

// pause has a task that its machine does not execute go on so much later.
func (t *running) pause(d time.Duration) {
	if t.timer.Stop() {
		t.at = t.at.Add(d)
		t.timer.Reset(time.Until(t.at))
	}
	if !t.begun.IsZero() {
		t.begun = t.begun.Add(d)
	}
}

// image is one that the machine has or fetches.
type image struct {
	gb    float64
	left  float64 // of these, to be fetched
	used  time.Time
	here  bool
	timer *time.Timer
	wants []func() // of the tasks that wait for it
}

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
			w.launch(key, id, c.Attempt)
		case c.Verb == wire.Stop && t != nil && t.State != wire.TaskEnded:
			grace := time.Duration(0)
			if c.GraceS != nil {
				grace = wire.Seconds(*c.GraceS)
			}
			w.halt(t, grace)
		case c.Verb == wire.Clear && t != nil && t.State == wire.TaskEnded:
			delete(w.tasks, key)
		}
	}
}

func (w *Worker) launch(key string, id wire.TaskID, attempt uint64) {
	t := &running{ReportedTask: wire.ReportedTask{Task: id.String(), Attempt: attempt, State: wire.TaskFetching, ID: id}, timer: time.NewTimer(0)}
	t.timer.Stop()
	busy := false
	for _, o := range w.tasks {
		busy = busy || o.ID == id && o.State != wire.TaskEnded
	}
	w.tasks[key] = t
	w.hurry()
	slow, must := w.yard.Ground.(Slow)
	switch {
	case busy:
		w.refuse(t, wire.CauseBusy)
	case !must:
		w.admit(key, t)
	default:
		go func() {
			err := slow.Look(w.ctx, id)
			w.resume()
			w.mu.Lock()
			defer w.mu.Unlock()
			switch {
			case w.tasks[key] != t || t.State != wire.TaskFetching:
			case err != nil:
				w.refuse(t, wire.CauseUnknown)
			default:
				w.admit(key, t)
			}
		}()
	}
}

func (w *Worker) refuse(t *running, why wire.Cause) {
	t.State, t.Cause = wire.TaskEnded, why
	w.hurry()
}

// admit takes a task whose job is known, if there is room for it, and fetches its image.
func (w *Worker) admit(key string, t *running) {
	j, known := w.yard.Describe(t.ID.Job)
	if !known || t.ID.Index >= j.Tasks {
		w.refuse(t, wire.CauseUnknown)
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
		w.refuse(t, wire.CauseNoRoom)
		return
	}
	t.job = j
	w.fetch(j.Image, j.ImageGB, func() {
		if w.tasks[key] == t && t.State == wire.TaskFetching {
			w.begin(key, t)
		}
	})
}

// fetch has the machine get an image, once for all that want it, and keep the most recently
// used ones. done is called with the lock held.
func (w *Worker) fetch(name string, gb float64, done func()) {
	img := w.images[name]
	if img == nil {
		img = &image{gb: gb, left: gb}
		w.images[name] = img
	}
	if img.used = time.Now(); img.here {
		done()
		return
	}
	img.wants = append(img.wants, done)
	if img.timer != nil {
		return
	}
	w.fetched()
	img.timer = time.AfterFunc(time.Hour, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.images[name] != img {
			return
		}
		w.fetched()
		img.here = true
		w.retime()
		wants := img.wants
		img.wants = nil
		for _, want := range wants {
			want()
		}
		w.evict()
	})
	w.retime()
}

// coming lists what is being fetched.
func (w *Worker) coming() (out []*image) {
	for _, img := range w.images {
		if img.timer != nil && !img.here {
			out = append(out, img)
		}
	}
	return out
}

// rate is how many GB a second come of each of so many images.
func (w *Worker) rate(images int) float64 {
	if !w.shared {
		images = 1
	}
	return w.spec.FetchGBps / w.pull / float64(images)
}

// fetched notes what has come by now, at the rate that each image had.
func (w *Worker) fetched() {
	coming, now := w.coming(), time.Now()
	if now.Before(w.paced) { // the machine hangs
		return
	}
	for _, img := range coming {
		img.left = max(0, img.left-w.rate(len(coming))*now.Sub(w.paced).Seconds())
	}
	w.paced = now
}

// retime sets when what is being fetched will have come, at the rate that is left for each.
func (w *Worker) retime() {
	coming := w.coming()
	for _, img := range coming {
		took := time.Duration(0)
		if w.spec.FetchGBps > 0 {
			took = time.Duration(img.left / w.rate(len(coming)) * float64(time.Second))
		}
		img.timer.Reset(took + max(0, time.Until(w.hangs)))
	}
}

// giveUp ends the fetch of a task's image if no other task waits for it.
func (w *Worker) giveUp(t *running) {
	img := w.images[t.job.Image]
	if img == nil || img.here {
		return
	}
	for _, o := range w.tasks {
		if o != t && o.job != nil && o.job.Image == t.job.Image && o.State == wire.TaskFetching {
			return
		}
	}
	w.fetched()
	img.timer.Stop()
	delete(w.images, t.job.Image)
	w.retime()
	w.yard.gaveUp(t.ID)
}

// evict forgets the images that were used least lately, as far as the cache is too small.
func (w *Worker) evict() {
	for {
		sum, oldest := 0.0, ""
		for name, img := range w.images {
			if !img.here {
				continue
			}
			sum += img.gb
			if o := w.images[oldest]; oldest == "" || img.used.Before(o.used) || img.used.Equal(o.used) && name < oldest {
				oldest = name
			}
		}
		if sum <= w.spec.CacheGB || oldest == "" || w.spec.CacheGB == 0 {
			return
		}
		delete(w.images, oldest)
	}
}

// begin starts a task that the machine has all for. One that has completed before ends at once.
func (w *Worker) begin(key string, t *running) {
	run, ok := w.yard.On(t.ID, w.id, w.typ, w.zone, w.spot)
	w.hurry()
	if !ok {
		w.refuse(t, wire.CauseUnknown)
		return
	}
	t.on, t.run = true, time.Duration(float64(run)*w.slow)
	if t.job.Shape == wire.Gang && t.job.Tasks > 1 {
		t.State = wire.TaskWaiting
		t.after(w.yard.GangWait, func() { w.later(key, t, wire.TaskWaiting, func() { w.end(t, wire.CauseAlone) }) })
		w.yard.join(t.job, gangKey{t.ID.Job, t.Attempt}, t.ID.Index, t.run, func(e gangEvent) { w.heard(key, t, e) })
		return
	}
	t.State, t.begun = wire.TaskRunning, time.Now()
	if saved := w.yard.Saved(t.ID); saved > 0 {
		t.begun = t.begun.Add(-saved)
	}
	t.after(max(0, t.run-time.Since(t.begun)), func() {
		w.later(key, t, wire.TaskRunning, func() {
			w.yard.Done(t.ID)
			w.end(t, wire.CauseDone)
		})
	})
}

// later does something unless the task has gone on meanwhile.
func (w *Worker) later(key string, t *running, state wire.TaskState, do func()) {
	w.awake(func() {
		if w.tasks[key] == t && t.State == state {
			do()
		}
	})
}

// heard takes in what has become of the task's gang.
func (w *Worker) heard(key string, t *running, e gangEvent) {
	w.awake(func() { w.mates(key, t, e) })
}

func (w *Worker) mates(key string, t *running, e gangEvent) {
	if w.tasks[key] != t || t.State == wire.TaskEnded {
		return
	}
	switch e {
	case gangRuns:
		t.timer.Stop()
		t.State = wire.TaskRunning
		w.hurry()
	case gangDone:
		w.yard.Done(t.ID)
		w.end(t, wire.CauseDone)
	case gangSaved:
		t.Saved = true
		w.end(t, wire.CauseStopped)
	case gangLost:
		if t.State == wire.TaskSaving {
			w.end(t, wire.CauseStopped)
		} else {
			w.end(t, wire.CausePeers)
		}
	case gangTorn:
		w.end(t, wire.CausePeers)
	}
}

// halt stops a task: with time to save, where it can.
func (w *Worker) halt(t *running, grace time.Duration) {
	saves := t.State == wire.TaskRunning && t.job.CheckpointS > 0 && grace >= wire.Seconds(t.job.SaveS)
	key := t.Task + "#" + strconv.FormatUint(t.Attempt, 10)
	switch {
	case t.State == wire.TaskSaving && grace > 0:
	case saves && t.job.Shape == wire.Gang && t.job.Tasks > 1:
		if w.yard.stop(gangKey{t.ID.Job, t.Attempt}, t.ID.Index) {
			t.State = wire.TaskSaving
			w.hurry()
			return
		}
		w.end(t, wire.CauseStopped)
	case saves:
		t.timer.Stop()
		t.State = wire.TaskSaving
		w.hurry()
		t.made = time.Since(t.begun)
		t.after(wire.Seconds(t.job.SaveS), func() {
			w.later(key, t, wire.TaskSaving, func() {
				w.yard.save(t.ID, t.made)
				t.Saved = true
				w.end(t, wire.CauseStopped)
			})
		})
	default:
		w.end(t, wire.CauseStopped)
	}
}

// end ends a task that is on the machine.
func (w *Worker) end(t *running, why wire.Cause) {
	w.gone(t)
	t.State, t.Cause = wire.TaskEnded, why
	w.hurry()
}

// gone stops what a task does and keeps its last checkpoint.
func (w *Worker) gone(t *running) {
	t.timer.Stop()
	if t.job != nil && !t.on {
		w.giveUp(t)
	}
	if t.job == nil || !t.on {
		return
	}
	if t.job.Shape == wire.Gang && t.job.Tasks > 1 {
		w.yard.leave(gangKey{t.ID.Job, t.Attempt}, t.ID.Index)
	} else if every := wire.Seconds(t.job.CheckpointS); every > 0 && !t.begun.IsZero() {
		w.yard.save(t.ID, cmp.Or(t.made, time.Since(t.begun)).Truncate(every))
	}
	w.yard.Off(t.ID, w.id)
}
