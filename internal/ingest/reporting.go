package ingest

import (
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/zone"
)

const (
	// countInterval is how often the machines that send their heartbeats here are counted.
	countInterval = time.Second
	// forgetAfter is after how long without a heartbeat a machine is forgotten.
	forgetAfter = time.Minute
	// overdueObservationAge is for how long an overdue machine is evidence about its zone: after
	// that it may be sending its heartbeats elsewhere.
	overdueObservationAge = 15 * time.Second
)

// reporters are the machines that send their heartbeats to this controller.
type reportingMachines struct {
	mu        sync.Mutex
	last      map[string]lastHeartbeat // by machine
	count     int                      // of them within the window, when they were last counted
	countedAt time.Time
	// redirected counts the heartbeats redirected unread since countedAt, and
	// redirectedLastSecond those in the second before.
	redirected           int
	redirectedLastSecond int
}

// lastHeartbeat is when a machine last sent a heartbeat here, and its zone.
type lastHeartbeat struct {
	at   time.Time
	zone string
}

// record notes a heartbeat.
func (r *reportingMachines) record(now time.Time, machine, zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last = make(map[string]lastHeartbeat)
	}
	previous, known := r.last[machine]
	if !known {
		r.count++
	} else if previous.zone == zone {
		zone = previous.zone // keeps one copy of the text, not one for each heartbeat
	}
	r.last[machine] = lastHeartbeat{now, zone}
}

// recordRedirect notes a heartbeat that was redirected unread.
func (r *reportingMachines) recordRedirect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.redirected++
}

// forget forgets a machine that was sent elsewhere.
func (r *reportingMachines) forget(machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.last[machine]; known {
		delete(r.last, machine)
		r.count--
	}
}

// counts returns how many machines send their heartbeats here, as of the last second, and how many heartbeats
// were redirected in the second before. A machine reports if its last heartbeat is within window.
func (r *reportingMachines) counts(window time.Duration) (reporting, redirected int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.countedAt) >= countInterval {
		r.countedAt, r.count, r.redirectedLastSecond, r.redirected = now, 0, r.redirected, 0
		for id, l := range r.last {
			switch age := now.Sub(l.at); {
			case age > forgetAfter:
				delete(r.last, id)
			case age < window:
				r.count++
			}
		}
	}
	return r.count, r.redirectedLastSecond
}

// observations counts by zone the machines that send their heartbeats here, and those that are overdue. Machines
// that were sent elsewhere are neither.
func (r *reportingMachines) observations(now time.Time, overdue time.Duration) map[string]zone.Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]zone.Observation)
	for _, l := range r.last {
		seen := out[l.zone]
		switch age := now.Sub(l.at); {
		case age <= overdue:
			seen.Heard++
		case age < overdue+overdueObservationAge:
			seen.Quiet++
		default:
			continue
		}
		out[l.zone] = seen
	}
	return out
}
