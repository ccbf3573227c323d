package ingest

import (
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/zone"
)

const (
	// countInterval is the interval at which the machines that report to this controller are counted.
	countInterval = time.Second
	// forgetAfter is the time without a heartbeat after which a machine is forgotten.
	forgetAfter = time.Minute
	// overdueObservationAge is the time for which an overdue machine counts as evidence about its zone.
	// After that, it may be sending its heartbeats to another controller.
	overdueObservationAge = 15 * time.Second
)

// reportingMachines tracks the machines that send their heartbeats to this controller.
type reportingMachines struct {
	mu        sync.Mutex
	last      map[string]lastHeartbeat // by machine
	count     int                      // reporting at countedAt, adjusted for changes since
	countedAt time.Time
	// redirected is the number of heartbeats that were redirected unread since countedAt, and
	// redirectedLastSecond the number in the counting interval before it.
	redirected           int
	redirectedLastSecond int
}

// lastHeartbeat is the time and the zone of a machine's last heartbeat.
type lastHeartbeat struct {
	at   time.Time
	zone string
}

// record records a heartbeat of a machine.
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
		zone = previous.zone // keep the existing string, so that memory holds one copy and not one per heartbeat
	}
	r.last[machine] = lastHeartbeat{now, zone}
}

// recordRedirect counts a heartbeat that was redirected unread.
func (r *reportingMachines) recordRedirect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.redirected++
}

// forget removes a machine that was sent to another controller.
func (r *reportingMachines) forget(machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.last[machine]; known {
		delete(r.last, machine)
		r.count--
	}
}

// counts returns the number of machines that report to this controller, and the number of heartbeats that
// were redirected in the last counting interval. A machine reports if its last heartbeat is within
// window. Both numbers are updated once every countInterval.
func (r *reportingMachines) counts(window time.Duration) (reporting, redirected int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.countedAt) >= countInterval {
		r.countedAt, r.count, r.redirectedLastSecond, r.redirected = now, 0, r.redirected, 0
		for id, last := range r.last {
			switch age := now.Sub(last.at); {
			case age > forgetAfter:
				delete(r.last, id)
			case age < window:
				r.count++
			}
		}
	}
	return r.count, r.redirectedLastSecond
}

// observations counts, for each zone, the machines that report to this controller and those whose
// heartbeats are overdue. Machines that were sent to another controller count as neither.
func (r *reportingMachines) observations(now time.Time, overdue time.Duration) map[string]zone.Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	byZone := make(map[string]zone.Observation)
	for _, last := range r.last {
		observation := byZone[last.zone]
		switch age := now.Sub(last.at); {
		case age <= overdue:
			observation.Heard++
		case age < overdue+overdueObservationAge:
			observation.Quiet++
		default:
			continue
		}
		byZone[last.zone] = observation
	}
	return byZone
}
