package leader

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

const (
	// maxOpenCalls bounds the direct calls that are open at once.
	maxOpenCalls = 48
	// firstTierCalls of them are kept for work of the first tier, where tiers are configured.
	firstTierCalls = maxOpenCalls / 8
	// stopResendInterval is the time before the same stops are sent again.
	stopResendInterval = 3 * time.Second
	// maxFailuresToLaunch is how many calls may fail in a row before launches wait for heartbeats: a
	// single call may be lost.
	maxFailuresToLaunch = 1
	// callInterval is the time after which calls are looked for without a wake-up.
	callInterval = 300 * time.Millisecond
)

// callLoop sends stops and launches straight to the machines, and the fencing token to machines that
// have not been seen under it. Between rounds, it also keeps the placements compared with the jobs.
func (h *Leader) callLoop(ctx context.Context, e Dependencies) error {
	busy := make(chan struct{}, maxOpenCalls)
	for ctx.Err() == nil {
		if h.reconcileDue(time.Now()) {
			h.Reconcile(time.Now(), e.View.Snapshot())
		}
		for _, c := range h.dueCalls(time.Now(), e.LeaseValid(), maxOpenCalls-len(busy)) {
			busy <- struct{}{}
			go func() {
				defer func() { <-busy }()
				h.callMachine(ctx, e, c)
			}()
		}
		t := time.NewTimer(callInterval)
		select {
		case <-ctx.Done():
		case <-h.loop.calls:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// directCall is a direct call to a machine.
type directCall struct {
	machine, addr string
	incarnation   uint64
	digest        string // of the commands, to tell whether they are the same as before
	commands      []wire.Command
	launches      []*fleet.Placement
	fencing       bool // without commands: for the token to be seen, and for the heartbeat in the answer
}

// dueCalls lists the direct calls to make now, at most limit. Calls with commands go before fencing
// calls, since many machines may be waiting for the latter.
func (h *Leader) dueCalls(now time.Time, leaseValid bool, limit int) []directCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, due, limit := h.commandCalls(now, leaseValid, limit)
	due = h.fencingCallsWithin(now, due, limit-len(out))
	for _, m := range due {
		c := newDirectCall(m)
		c.fencing = true
		out = append(out, c)
	}
	h.fencing.Started(len(due))
	for _, c := range out {
		h.monitor.Calls.Start(now, c.machine, c.digest)
	}
	return out
}

func newDirectCall(m *fleet.Machine) directCall {
	return directCall{machine: m.ID, addr: m.Addr, incarnation: cmp.Or(m.Incarnation, m.RecordedIncarnation)}
}

// commandCalls lists the calls with commands, and the machines without commands that are due for a fencing call. It
// returns the limit less what is kept for the first tier.
func (h *Leader) commandCalls(now time.Time, leaseValid bool, limit int) (out []directCall, due []*fleet.Machine, left int) {
	machines, urgent := h.machinesByUrgency()
	for i, m := range machines {
		if i == urgent && h.preemptions.Tiers().Configured() {
			limit -= firstTierCalls
		}
		if len(out) >= limit {
			break
		}
		last := h.monitor.Calls.Last(m.ID)
		if m.Addr == "" || m.Releasing || last.InFlight(now) {
			continue
		}
		c := newDirectCall(m)
		c.commands, c.launches = h.fleet.DirectCommands(m, leaseValid && h.mayLaunchByCall(now, m, last))
		if len(c.commands) == 0 {
			if h.fencing.Due(now, m) {
				due = append(due, m)
			}
			continue
		}
		if c.digest = fmt.Sprint(c.commands); len(c.launches) > 0 || c.digest != last.Digest || now.Sub(last.StartedAt) >= stopResendInterval {
			out = append(out, c)
		}
	}
	return out, due, limit
}

// mayLaunchByCall reports whether launches go to a machine by direct calls. Where calls fail while heartbeats
// arrive, launches go by the answers to these.
func (h *Leader) mayLaunchByCall(now time.Time, m *fleet.Machine, last reachability.Call) bool {
	reached := last.Failures <= maxFailuresToLaunch || now.Sub(last.StartedAt) >= reachability.MaxFencingInterval
	return reached && now.Sub(m.LastHeartbeat) < h.timeouts.directLaunchWithin && h.fleet.ReceivesCommands(now, m)
}

// fencingCallsWithin picks the machines to make fencing calls to, of those that are due: as many as the limit and
// the throttle allow, first the ones with the fewest tasks, where work can be placed soonest. Probes
// come on top.
func (h *Leader) fencingCallsWithin(now time.Time, due []*fleet.Machine, limit int) []*fleet.Machine {
	probes := h.fencing.Probes(now, len(due) > 0)
	if left := max(0, min(limit, h.loop.throttle.Window()-h.fencing.Open())-len(probes)); len(due) > left {
		reachability.SortByLoad(due)
		due = h.unreachableZonesLast(due)[:left]
	}
	return append(due, probes...)
}

// callMachine makes a call and records its result.
func (h *Leader) callMachine(ctx context.Context, e Dependencies, c directCall) {
	outcome, answered := fleet.Refused, false
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.fleet.CallFinished(c.launches, outcome)
		if c.fencing {
			h.fencing.Finished()
		}
		h.monitor.CallFinished(time.Now(), c.machine, answered)
	}()
	if c.incarnation == 0 {
		r, err := e.Workers.Inspect(ctx, c.addr)
		if err != nil || r.Machine != c.machine {
			return
		}
		h.HandleInspection(time.Now(), r)
		c.incarnation = r.Incarnation
	}
	r, ok, err := e.Workers.Send(ctx, c.addr, wire.CommandRequest{FencingToken: h.lease.FencingToken, Incarnation: c.incarnation, Commands: c.commands})
	switch {
	case errors.Is(err, transport.ErrNotSent):
	case err != nil || r.Machine != c.machine:
		outcome = fleet.Unanswered
	case ok:
		outcome = fleet.Executed
	}
	if err != nil || r.Machine != c.machine {
		h.log.Debug("direct call failed", "machine", c.machine, "launches", len(c.launches), "err", err)
		return
	}
	if answered = true; r.FencingToken <= h.lease.FencingToken {
		h.HandleInspection(time.Now(), r)
	}
}
