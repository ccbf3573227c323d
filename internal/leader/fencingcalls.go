package leader

import (
	"cmp"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

// FencingCall is a call to a machine that carries no commands: it raises the term there and
// brings a report. Any controller can make it for the holder.
type FencingCall struct {
	Machine, Addr string
	Zone          string
	Term, Session uint64
}

// callTimeout is after how long a call of which nothing was heard counts as lost, such as one
// that was left to a sibling which is gone.
const callTimeout = 10 * time.Second

// inFlight reports whether a call to the machine is still to be answered.
func (c callState) inFlight(now time.Time) bool { return c.open && now.Sub(c.startedAt) < callTimeout }

// fencingCallDue reports whether a machine is to be called only to be heard: it has not been
// seen at the term, is overdue, or seems to be deaf.
func (h *Leader) fencingCallDue(now time.Time, m *fleet.Machine) bool {
	last := h.callStates[m.ID]
	if m.Addr == "" || m.Releasing || last.inFlight(now) || !(m.Up || m.Recorded) || m.SeenAtToken && h.heartbeatAge(now, m) < h.timeouts.suspectAfter && h.fleet.ReceivesCommands(now, m) {
		return false
	}
	return now.Sub(last.startedAt) >= min(maxFencingCallInterval, minFencingCallInterval<<min(last.failures, 4))
}

// sortByLoad orders machines to call: those with the fewest tasks, where work can be placed
// soonest, go first.
func sortByLoad(machines []*fleet.Machine) {
	slices.SortStableFunc(machines, func(a, b *fleet.Machine) int {
		return cmp.Compare(len(a.Placements()), len(b.Placements()))
	})
}

// FencingCalls gives so many calls at the most to a sibling that can make them, while the fleet
// is being rebuilt: a takeover of thousands of machines takes as long as the calls do. Later
// a few where a zone is in doubt, for what they tell of it.
func (h *Leader) FencingCalls(now time.Time, most int) []FencingCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	if most <= 0 {
		return nil
	}
	if h.rebuilt {
		h.pendingFencingCalls = h.callsToSuspectedZones(now)
	} else if now.Sub(h.pendingFencingCallsAt) > fencingScanInterval {
		h.pendingFencingCallsAt, h.pendingFencingCalls = now, nil
		for _, m := range h.fleet.Machines() {
			// One that a sibling called in vain is called from here: the way between
			// those two says nothing of the machine.
			if !m.SeenAtToken && !h.callStates[m.ID].peerFailed && !h.zoneUnreachable(m.Zone) && h.fencingCallDue(now, m) {
				h.pendingFencingCalls = append(h.pendingFencingCalls, m)
			}
		}
		sortByLoad(h.pendingFencingCalls)
	}
	var out []FencingCall
	for len(h.pendingFencingCalls) > 0 && len(out) < most {
		m := h.pendingFencingCalls[0]
		h.pendingFencingCalls = h.pendingFencingCalls[1:]
		if !h.rebuilt && (m.SeenAtToken || !h.fencingCallDue(now, m)) {
			continue
		}
		last := h.callStates[m.ID]
		h.callStates[m.ID] = callState{startedAt: now, digest: last.digest, open: true, failures: last.failures, firstFailedAt: last.firstFailedAt}
		out = append(out, FencingCall{m.ID, m.Addr, m.Zone, h.lease.FencingToken, cmp.Or(m.Incarnation, m.RecordedIncarnation)})
	}
	return out
}

// fencingScanInterval is the time between two looks for machines to call.
const fencingScanInterval = 250 * time.Millisecond

// FencingCallDone takes in what became of a call that a sibling made: the machine's report, or nil
// for none.
func (h *Leader) FencingCallDone(now time.Time, machine string, r *wire.Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last, known := h.callStates[machine]
	if !known {
		return
	}
	last.open, last.peerFailed = false, r == nil
	if r != nil {
		last.failures = 0
	}
	h.callStates[machine] = last
	if r != nil && r.Machine == machine && r.FencingToken <= h.lease.FencingToken {
		h.observe(now, r, false)
	}
}

// callResult is what became of a call to a machine that was heard.
type callResult struct {
	at time.Time
	ok bool
}

// The trials that are looked at: so old at the most, and at least so many.
const (
	callResultMaxAge = 8 * time.Second
	minCallResults   = 16
	maxCallResults   = 64
)

// callFinished takes in whether a call from here was answered.
func (h *Leader) callFinished(now time.Time, machine string, heard bool) {
	last := h.callStates[machine]
	last.open = false
	if last.failures++; last.failures == 1 {
		last.firstFailedAt = last.startedAt
	}
	if heard {
		last.failures, h.lastCallAnswered = 0, now
	}
	h.callStates[machine] = last
	h.noteCallResult(now, machine, heard)
}

// A machine that is silent is given up after a call in vain only if calls from here are
// answered at all: so lately, and tried anew after a while.
const (
	answeredMaxAge = 5 * time.Second
	probeInterval  = 2 * time.Second
	maxProbes      = 3
)

// probes picks machines that are surely heard, to find out whether calls from here are
// answered while others are silent. Reports come by siblings: where the way from here to
// the machines is cut, or the sibling that took a quarter of them, those seem dead that
// reported here or there, and all others don't.
func (h *Leader) probes(now time.Time, silent bool) []*fleet.Machine {
	if !silent || now.Sub(h.lastCallAnswered) < probeInterval {
		return nil
	}
	var out []*fleet.Machine
	for _, m := range h.fleet.Machines() {
		last := h.callStates[m.ID]
		if m.SeenAtToken && m.Addr != "" && !m.Releasing && !last.inFlight(now) && now.Sub(last.startedAt) >= probeInterval && h.heartbeatAge(now, m) < probeInterval {
			if out = append(out, m); len(out) == maxProbes {
				break
			}
		}
	}
	return out
}

// presumedLost reports whether a machine that is silent was called in vain, by a holder whose
// calls are answered, also since then: what was answered just before a cut says nothing of
// it. Or it is silent for so long that its tasks are gone anyway.
func (h *Leader) presumedLost(now time.Time, m *fleet.Machine) bool {
	answered := now.Sub(h.lastCallAnswered) < answeredMaxAge && !h.lastCallAnswered.Before(h.callStates[m.ID].firstFailedAt)
	return h.callsFailed(m) && answered || h.heartbeatAge(now, m) > h.timeouts.unreachableAfter+h.cfg.Workers.Lease
}

// callsFailed reports whether a machine was called in vain since it was last heard.
func (h *Leader) callsFailed(m *fleet.Machine) bool {
	last := h.callStates[m.ID]
	return last.failures > 0 && last.startedAt.After(m.LastHeartbeat)
}

// noteCallResult keeps what became of a call, if the machine was heard: of others it says nothing. Nor
// does one that is deaf say anything of the way to the rest.
func (h *Leader) noteCallResult(now time.Time, machine string, ok bool) {
	m := h.fleet.Machine(machine)
	if m == nil || !ok && (m.LastHeartbeat.IsZero() || h.heartbeatAge(now, m) > h.timeouts.launchWithin || !h.fleet.ReceivesCommands(now, m)) {
		return
	}
	if h.callResults = append(h.callResults, callResult{now, ok}); len(h.callResults) > maxCallResults {
		h.callResults = h.callResults[1:]
	}
}

// CallsFailing reports whether hardly any call from here reaches machines that are heard,
// by the reports that siblings pass on: the way to the machines is cut. Launches then
// wait for reports, and stops too.
func (h *Leader) CallsFailing(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, vain := 0, 0
	for _, t := range h.callResults {
		if now.Sub(t.at) < callResultMaxAge {
			if n++; !t.ok {
				vain++
			}
		}
	}
	return n >= minCallResults && vain*4 >= n*3
}
