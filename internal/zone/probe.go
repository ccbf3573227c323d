package zone

import "time"

// A zone that does not accept scale-out is probed: a single machine is requested there, and another one after an
// interval that doubles each time. This way the recovery of the cloud and the network is noticed without waiting for
// heartbeats of machines from before the outage.
const (
	initialProbeInterval = 4 * time.Second  // shorter than the boot time of a machine, for which a probe waits
	maxProbeInterval     = 30 * time.Second // bounds how long the recovery of a zone goes unnoticed
)

// probe holds the time of the last probe of a zone and the number of its probes.
type probe struct {
	lastAt time.Time
	count  int
}

// ProbeDue reports whether it is time to request a machine in a zone that does not accept scale-out.
func (t *Tracker) ProbeDue(now time.Time, zone string) bool {
	r, p := t.Record(zone), t.probes[zone]
	if r.AcceptsScaleOut(now) {
		return false
	}
	since := r.Since
	if p.count > 0 {
		since = p.lastAt
	}
	return now.Sub(since) >= min(maxProbeInterval, initialProbeInterval<<min(p.count, 8))
}

// MarkProbed records a probe of a zone.
func (t *Tracker) MarkProbed(now time.Time, zone string) {
	t.probes[zone] = probe{now, t.probes[zone].count + 1}
}
