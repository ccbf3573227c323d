package leader

import (
	"cmp"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

// Raise is a call to a machine that carries no commands: it raises the term there and
// brings a report. Any controller can make it for the holder.
type Raise struct {
	Machine, Addr string
	Zone          string
	Term, Session uint64
}

// lostCall is after how long a call of which nothing was heard counts as lost, such as one
// that was left to a sibling which is gone.
const lostCall = 10 * time.Second

// underWay reports whether a call to the machine is still to be answered.
func (c called) underWay(now time.Time) bool { return c.open && now.Sub(c.at) < lostCall }

// raiseDue reports whether a machine is to be called only to be heard: it has not been
// seen at the term, is overdue, or seems to be deaf.
func (h *Holder) raiseDue(now time.Time, m *fleet.Machine) bool {
	last := h.called[m.ID]
	if m.Addr == "" || m.Releasing || last.underWay(now) || !(m.Up || m.Recorded) || m.AtTerm && h.quiet(now, m) < h.times.overdue && h.fleet.Heeds(now, m) {
		return false
	}
	return now.Sub(last.at) >= min(longRaise, raiseGap<<min(last.failures, 4))
}

// byNeed orders machines to call: those with the fewest tasks, where work can be placed
// soonest, go first.
func byNeed(machines []*fleet.Machine) {
	slices.SortStableFunc(machines, func(a, b *fleet.Machine) int {
		return cmp.Compare(len(a.Placements()), len(b.Placements()))
	})
}

// Raises gives so many calls at the most to a sibling that can make them, while the fleet
// is being rebuilt: a takeover of thousands of machines takes as long as the calls do. Later
// a few where a zone is in doubt, for what they tell of it.
func (h *Holder) Raises(now time.Time, most int) []Raise {
	h.mu.Lock()
	defer h.mu.Unlock()
	if most <= 0 {
		return nil
	}
	if h.rebuilt {
		h.raises = h.doubted(now)
	} else if now.Sub(h.raisesAt) > raisesGap {
		h.raisesAt, h.raises = now, nil
		for _, m := range h.fleet.Machines() {
			// One that a sibling called in vain is called from here: the way between
			// those two says nothing of the machine.
			if !m.AtTerm && !h.called[m.ID].vain && !h.dark(m.Zone) && h.raiseDue(now, m) {
				h.raises = append(h.raises, m)
			}
		}
		byNeed(h.raises)
	}
	var out []Raise
	for len(h.raises) > 0 && len(out) < most {
		m := h.raises[0]
		h.raises = h.raises[1:]
		if !h.rebuilt && (m.AtTerm || !h.raiseDue(now, m)) {
			continue
		}
		last := h.called[m.ID]
		h.called[m.ID] = called{at: now, what: last.what, open: true, failures: last.failures, first: last.first}
		out = append(out, Raise{m.ID, m.Addr, m.Zone, h.held.Term, cmp.Or(m.Session, m.LastSession)})
	}
	return out
}

// raisesGap is the time between two looks for machines to call.
const raisesGap = 250 * time.Millisecond

// Raised takes in what became of a call that a sibling made: the machine's report, or nil
// for none.
func (h *Holder) Raised(now time.Time, machine string, r *wire.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last, known := h.called[machine]
	if !known {
		return
	}
	last.open, last.vain = false, r == nil
	if r != nil {
		last.failures = 0
	}
	h.called[machine] = last
	if r != nil && r.Machine == machine && r.Term <= h.held.Term {
		h.observe(now, r, false)
	}
}

// trial is what became of a call to a machine that was heard.
type trial struct {
	at time.Time
	ok bool
}

// The trials that are looked at: so old at the most, and at least so many.
const (
	trialAge  = 8 * time.Second
	trialLess = 16
	trialMost = 64
)

// outcome takes in whether a call from here was answered.
func (h *Holder) outcome(now time.Time, machine string, heard bool) {
	last := h.called[machine]
	last.open = false
	if last.failures++; last.failures == 1 {
		last.first = last.at
	}
	if heard {
		last.failures, h.reachedAt = 0, now
	}
	h.called[machine] = last
	h.tried(now, machine, heard)
}

// A machine that is silent is given up after a call in vain only if calls from here are
// answered at all: so lately, and tried anew after a while.
const (
	reachAge = 5 * time.Second
	probeAge = 2 * time.Second
	probeMax = 3
)

// probes picks machines that are surely heard, to find out whether calls from here are
// answered while others are silent. Reports come by siblings: where the way from here to
// the machines is cut, or the sibling that took a quarter of them, those seem dead that
// reported here or there, and all others don't.
func (h *Holder) probes(now time.Time, silent bool) []*fleet.Machine {
	if !silent || now.Sub(h.reachedAt) < probeAge {
		return nil
	}
	var out []*fleet.Machine
	for _, m := range h.fleet.Machines() {
		last := h.called[m.ID]
		if m.AtTerm && m.Addr != "" && !m.Releasing && !last.underWay(now) && now.Sub(last.at) >= probeAge && h.quiet(now, m) < probeAge {
			if out = append(out, m); len(out) == probeMax {
				break
			}
		}
	}
	return out
}

// lost reports whether a machine that is silent was called in vain, by a holder whose
// calls are answered, also since then: what was answered just before a cut says nothing of
// it. Or it is silent for so long that its tasks are gone anyway.
func (h *Holder) lost(now time.Time, m *fleet.Machine) bool {
	answered := now.Sub(h.reachedAt) < reachAge && !h.reachedAt.Before(h.called[m.ID].first)
	return h.vain(m) && answered || h.quiet(now, m) > h.times.silence+h.cfg.Workers.Lease
}

// vain reports whether a machine was called in vain since it was last heard.
func (h *Holder) vain(m *fleet.Machine) bool {
	last := h.called[m.ID]
	return last.failures > 0 && last.at.After(m.Heard)
}

// tried keeps what became of a call, if the machine was heard: of others it says nothing. Nor
// does one that is deaf say anything of the way to the rest.
func (h *Holder) tried(now time.Time, machine string, ok bool) {
	m := h.fleet.Machine(machine)
	if m == nil || !ok && (m.Heard.IsZero() || h.quiet(now, m) > h.times.fresh || !h.fleet.Heeds(now, m)) {
		return
	}
	if h.trials = append(h.trials, trial{now, ok}); len(h.trials) > trialMost {
		h.trials = h.trials[1:]
	}
}

// Unreached reports whether hardly any call from here reaches machines that are heard,
// by the reports that siblings pass on: the way to the machines is cut. Launches then
// wait for reports, and stops too.
func (h *Holder) Unreached(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, vain := 0, 0
	for _, t := range h.trials {
		if now.Sub(t.at) < trialAge {
			if n++; !t.ok {
				vain++
			}
		}
	}
	return n >= trialLess && vain*4 >= n*3
}
