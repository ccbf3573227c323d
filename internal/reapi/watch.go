package reapi

import (
	"context"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/store"
)

// watchers notifies the streams that follow a job when it may have changed. One goroutine
// looks at all followed jobs, so that the cost of many streams is only that of notifying them.
type watchers struct {
	mu   sync.Mutex
	jobs map[string]*watchedJob
}

// watchedJob is a job that is followed.
type watchedJob struct {
	state       string
	subscribers map[chan struct{}]bool
}

// subscribe returns a channel that receives a value when a job may have changed.
func (w *watchers) subscribe(job string) chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.jobs == nil {
		w.jobs = make(map[string]*watchedJob)
	}
	if w.jobs[job] == nil {
		w.jobs[job] = &watchedJob{subscribers: make(map[chan struct{}]bool)}
	}
	news := make(chan struct{}, 1)
	w.jobs[job].subscribers[news] = true
	return news
}

// unsubscribe ends a subscription.
func (w *watchers) unsubscribe(job string, news chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.jobs[job].subscribers, news)
	if len(w.jobs[job].subscribers) == 0 {
		delete(w.jobs, job)
	}
}

// watchInterval is how often the number of running tasks is checked, which is not part of the
// view.
const watchInterval = 500 * time.Millisecond

// run checks the followed jobs at every change of the view, and every watchInterval, until the
// context ends.
func (w *watchers) run(ctx context.Context, view *store.View, running func(job string) int) error {
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
func (w *watchers) notifyChanged(view *store.View, running func(job string) int) {
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
		for news := range j.subscribers {
			select {
			case news <- struct{}{}:
			default:
			}
		}
	}
}
