package zone

import "time"

// A zone in which no machines are requested is probed: a single machine is requested, and the next one
// after an interval that doubles. A cloud and a network that work again are found so without
// waiting for the heartbeats of machines from before the outage.
const (
	initialProbeInterval = 4 * time.Second  // shorter than a machine takes to boot, which is what a probe waits for
	maxProbeInterval     = 30 * time.Second // a bound on how long a zone that works again goes unnoticed
)

// probe counts the probes of a zone.
type probe struct {
	lastAt time.Time
	count  int
}

// ProbeDue reports whether a machine is to be requested in a zone that does not accept scale-out.
func (z *Tracker) ProbeDue(now time.Time, zone string) bool {
	r, p := z.Record(zone), z.probes[zone]
	if r.AcceptsScaleOut(now) {
		return false
	}
	since := r.Since
	if p.count > 0 {
		since = p.lastAt
	}
	return now.Sub(since) >= min(maxProbeInterval, initialProbeInterval<<min(p.count, 8))
}

// MarkProbed records that a zone is being probed.
func (z *Tracker) MarkProbed(now time.Time, zone string) {
	z.probes[zone] = probe{now, z.probes[zone].count + 1}
}
