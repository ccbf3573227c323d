package zone

import "time"

// A zone in which nothing is rented is probed: one machine is asked for, and the next after
// a while that doubles, so that a cloud and a network that work again are found without
// waiting for old machines to be heard.
const (
	initialProbeInterval = 4 * time.Second
	maxProbeInterval     = 30 * time.Second
)

// probe remembers how often a zone was probed.
type probe struct {
	lastAt time.Time
	count  int
}

// ProbeDue reports whether a machine is to be asked for in a zone that is not open.
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

// MarkProbed notes that one was.
func (z *Tracker) MarkProbed(now time.Time, zone string) {
	z.probes[zone] = probe{now, z.probes[zone].count + 1}
}
