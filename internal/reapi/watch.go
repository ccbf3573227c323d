package reapi

import (
	"context"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/store"
)

// jobWatchers notifies streams that follow a job when it may have changed. One goroutine checks all followed jobs,
// so that each further stream only adds the cost of notifying it.
type jobWatchers struct {
	mu   sync.Mutex
	jobs map[string]*watchedJob
}

// watchedJob holds the last seen state and the subscribers of a followed job.
type watchedJob struct {
	state       string
	subscribers map[chan struct{}]bool
}

// subscribe returns a channel that receives a value when a job may have changed.
func (w *jobWatchers) subscribe(job string) chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.jobs == nil {
		w.jobs = make(map[string]*watchedJob)
	}
	if w.jobs[job] == nil {
		w.jobs[job] = &watchedJob{subscribers: make(map[chan struct{}]bool)}
	}
	updates := make(chan struct{}, 1)
	w.jobs[job].subscribers[updates] = true
	return updates
}

// unsubscribe ends a subscription.
func (w *jobWatchers) unsubscribe(job string, updates chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.jobs[job].subscribers, updates)
	if len(w.jobs[job].subscribers) == 0 {
		delete(w.jobs, job)
	}
}

// watchInterval is the interval at which the number of running tasks is checked, because it is not part of the view.
const watchInterval = 500 * time.Millisecond

// run checks the followed jobs after every change of the view and at least every watchInterval, until the context
// ends.
func (w *jobWatchers) run(ctx context.Context, view *store.View, running func(job string) int) error {
	for ctx.Err() == nil {
		changed := view.Changed()
		w.notifyChanged(view, running)
		t := time.NewTimer(watchInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// notifyChanged notifies the subscribers of each job whose state has changed.
func (w *jobWatchers) notifyChanged(view *store.View, running func(job string) int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, j := range w.jobs {
		rec, known := view.Job(id)
		state := string(rec.Stage)
		if !known {
			state = "unknown"
		} else if !rec.Stage.Final() && running(id) > 0 {
			state = "executing"
		}
		if state == j.state {
			continue
		}
		j.state = state
		for updates := range j.subscribers {
			select {
			case updates <- struct{}{}:
			default:
			}
		}
	}
}
