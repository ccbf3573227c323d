package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

// Which machines and zones are heard, and what is given up for its silence.

// releaseOthers gives up machines that serve nobody: drained ones that are
// empty, ones that never come up, and silent ones.
func (h *Holder) releaseOthers(now time.Time) {
	up, quiet := h.reach(now, true)
	dark := h.darkAlone(now)
	deaf := h.deaf(now)
	for _, m := range h.fleet.Machines() {
		busy := slices.ContainsFunc(m.Placements(), func(p *fleet.Placement) bool { return p.Active() && p.State != fleet.Planned })
		boot := h.typeOf(m.Type).BootS
		switch {
		case m.Up && !busy && (m.Draining != "" || !m.Notice.IsZero()):
			h.giveUp(m, "drained")
		case !m.Up && !m.Recorded && boot > 0 && now.Sub(m.Since) > wire.Seconds(4*boot)+20*time.Second:
			h.giveUp(m, "it does not come up")
		case (m.Up || m.Recorded) && !m.Releasing && h.silent(now, m) && (h.lost(now, m) || dark && h.vain(m)) && quiet*3 <= up && !h.keeps(now, m):
			h.giveUp(m, "silent")
			h.silenced = append(h.silenced, silenced{now, m.Zone})
		case deaf[m] && !m.Releasing:
			h.giveUp(m, "deaf")
		}
	}
}

// deaf lists machines that report and take nothing, which an earlier holder may have launched
// on: what that left is not proven gone while they are answered, though their leases are over.
// When it is more than a third of them, one zone aside, a network has failed that will be back.
func (h *Holder) deaf(now time.Time) map[*fleet.Machine]bool {
	if now.Sub(h.fleet.Claimed) < h.times.silence+h.cfg.Workers.Lease {
		return nil
	}
	out, ups, deafs, worst := make(map[*fleet.Machine]bool), make(map[string]int), make(map[string]int), ""
	for _, m := range h.fleet.Unproven() {
		if !h.fleet.Heeds(now, m) && h.called[m.ID].failures >= 2 && h.quiet(now, m) < h.times.silence {
			out[m] = true
			if deafs[m.Zone]++; worst == "" || deafs[m.Zone] > deafs[worst] {
				worst = m.Zone
			}
		}
	}
	if len(out) == 0 {
		return nil
	}
	up, n := 0, 0
	for _, m := range h.fleet.Machines() {
		if m.Up {
			ups[m.Zone]++
		}
	}
	for zone, all := range ups {
		if zone != worst || len(ups) == 1 {
			up, n = up+all, n+deafs[zone]
		}
	}
	if n*3 > up {
		return nil
	}
	return out
}

// reach counts the machines that should be heard and those that are overdue. Ones
// that were lately given up for their silence count as both: when many fall
// silent, it is more likely that a network failed than that they all died, and
// their tasks live on for as long as their leases. The zone with the most
// silent machines is left out where there are others, and so is each that is dark: one
// that is cut off whole says nothing of the way to this controller, and its tasks are lost
// anyway.
// The zones of parts that siblings hold count too, if others is set: what a holder of
// one zone alone can't tell apart, they can.
func (h *Holder) reach(now time.Time, others bool) (up, quiet int) {
	h.silenced = slices.DeleteFunc(h.silenced, func(s silenced) bool { return now.Sub(s.at) > h.cfg.Workers.Lease })
	ups, quiets := make(map[string]int), make(map[string]int)
	for _, s := range h.silenced {
		ups[s.zone]++
		quiets[s.zone]++
	}
	for zone, r := range h.zones(now) {
		ups[zone] += r.Up
		quiets[zone] += r.Quiet
	}
	if others {
		for _, part := range sortedKeys(h.others) {
			for zone, r := range h.others[part].Zones {
				ups[zone] += r.Up
				quiets[zone] += r.Quiet
			}
		}
	}
	worst := ""
	for _, zone := range sortedKeys(ups) {
		up += ups[zone]
		quiet += quiets[zone]
		if worst == "" || quiets[zone] > quiets[worst] {
			worst = zone
		}
	}
	for _, zone := range sortedKeys(ups) {
		if (zone == worst || h.dark(zone)) && len(ups) > 1 {
			up, quiet = up-ups[zone], quiet-quiets[zone]
			delete(ups, zone)
		}
	}
	return up, quiet
}

// darkLeast is how many silent machines are more than a few.
const darkLeast = 4

// silenced is a machine that was given up for its silence.
type silenced struct {
	at   time.Time
	zone string
}

// Unheard reports how many machines this holder does not hear, if those are
// too many for their own fault.
func (h *Holder) Unheard(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if up, quiet := h.reach(now, false); quiet*3 <= up {
		return 0
	}
	n := 0
	for _, m := range h.fleet.Machines() {
		if (m.Up || m.Recorded) && h.silent(now, m) {
			n++
		}
	}
	return n
}

// A holder that did nothing for so long has stood still, and for so long after that it can't tell
// which machines are silent: their reports found nobody, and they try elsewhere.
const (
	stillTime = 4 * time.Second
	awakeTime = 5 * time.Second
)

// silent reports whether a machine has been quiet for too long. One that was
// never heard under the term may still be answered by an earlier holder, and it
// takes a while to call a large fleet: only calls in vain say that it is gone.
func (h *Holder) silent(now time.Time, m *fleet.Machine) bool {
	if now.Sub(h.awake) < awakeTime {
		return false
	}
	if !m.Heard.IsZero() {
		return h.quiet(now, m) > h.times.silence
	}
	since := now.Sub(h.fleet.Claimed)
	return h.called[m.ID].failures >= 2 && since > min(rebuildWait, h.times.silence) || since > h.times.silence+h.cfg.Workers.Lease
}

// quiet tells for how long a machine has not been heard under this term.
func (h *Holder) quiet(now time.Time, m *fleet.Machine) time.Duration {
	if m.Heard.After(h.fleet.Claimed) {
		return now.Sub(m.Heard)
	}
	return now.Sub(h.fleet.Claimed)
}
