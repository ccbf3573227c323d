package leader

import (
	"maps"
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/tier"
)

// PartStatus is what the holder of a part tells its siblings of it, once a second. Rules
// never rest on it: it says where work might find room, not whose it is.
type PartStatus struct {
	Term     uint64
	Counts   map[string]Count
	Rooms    map[string]scheduler.Room   // by class
	Wants    map[string]scheduler.Want   // by team: what its grant holds back
	Used     map[string][2]float64       // CPUs and GPUs, by team
	Stays    map[string]scheduler.Amount // what services take of that, or are to, by team
	Zones    map[string]Reach
	Ready    []string // gangs for whose tasks here there is room, of which others have the rest
	Tiers    map[string]tier.Status
	Backlog  int // tasks that found no room
	Machines int
}

// Reach counts the machines of a zone that should be heard, and those that are overdue.
type Reach struct{ Up, Quiet int }

// Status gives the part's status, no older than the counts. Its maps are shared and
// never changed.
func (h *Holder) Status(now time.Time) PartStatus {
	counts := h.Counts(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.status.Counts != nil && now.Sub(h.stood) < countGap {
		return h.status
	}
	s := PartStatus{Term: h.held.Term, Counts: counts, Wants: maps.Clone(h.outlook.wants), Used: h.used(), Stays: h.outlook.stays, Zones: h.zones(now), Machines: len(h.fleet.Machines()), Ready: h.outlook.ready}
	s.Tiers = h.tierStatuses()
	if h.resumed {
		s.Rooms = h.outlook.rooms
	}
	for _, short := range h.outlook.short {
		s.Backlog += short.Coming + short.None
	}
	h.status, h.stood = s, now
	return s
}

// SetOthers takes in how the other parts stand, and how many siblings pass reports on to
// this controller.
func (h *Holder) SetOthers(others map[string]PartStatus, edges int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.others, h.edges = others, edges
}

// Rebuilt reports whether all machines have been accounted for under this term.
func (h *Holder) Rebuilt() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rebuilt
}

// zones counts by zone the machines that should be heard and those that are overdue.
func (h *Holder) zones(now time.Time) map[string]Reach {
	out := make(map[string]Reach)
	for _, m := range h.fleet.Machines() {
		if (m.Up || m.Recorded) && !m.Releasing {
			r := out[m.Zone]
			r.Up++
			if h.quiet(now, m) > h.times.overdue || h.silent(now, m) {
				r.Quiet++
			}
			out[m.Zone] = r
		}
	}
	return out
}

// darkAlone reports whether hardly any machine of this part is heard, by siblings either,
// while those of other parts are: its zones are dark, not the way to this controller.
func (h *Holder) darkAlone(now time.Time) bool {
	if h.edges == 0 || len(h.others) == 0 {
		return false
	}
	up, quiet, otherUp, otherQuiet := 0, 0, 0, 0
	for _, r := range h.zones(now) {
		up, quiet = up+r.Up, quiet+r.Quiet
	}
	for _, o := range h.others {
		for _, r := range o.Zones {
			otherUp, otherQuiet = otherUp+r.Up, otherQuiet+r.Quiet
		}
	}
	return up >= darkLeast && quiet*10 >= up*9 && otherUp >= darkLeast && otherQuiet*3 <= otherUp
}
