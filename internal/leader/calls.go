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
	digest        string // the commands, for telling whether they are the same
	commands      []wire.Command
	launches      []*fleet.Placement
	fencing       bool // without commands: for the token to be seen, and for the heartbeat in the answer
}

// dueCalls returns the direct calls to make now, at most so many. Those with commands go first, since
// many machines may be waiting for the fencing token, and of these the ones with the fewest tasks,
// where work can be placed soonest.
func (h *Leader) dueCalls(now time.Time, valid bool, limit int) []directCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []directCall
	var due []*fleet.Machine
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
		c := directCall{machine: m.ID, addr: m.Addr, incarnation: cmp.Or(m.Incarnation, m.RecordedIncarnation)}
		// Where calls fail while heartbeats come, launches are sent in the answers to these.
		reached := last.Failures < 2 || now.Sub(last.StartedAt) >= reachability.MaxFencingInterval
		c.commands, c.launches = h.fleet.DirectCommands(m, valid && reached && now.Sub(m.LastHeartbeat) < h.timeouts.directLaunchWithin && h.fleet.ReceivesCommands(now, m))
		if len(c.commands) > 0 {
			if c.digest = fmt.Sprint(c.commands); len(c.launches) > 0 || c.digest != last.Digest || now.Sub(last.StartedAt) >= stopResendInterval {
				out = append(out, c)
			}
			continue
		}
		if h.fencing.Due(now, m) {
			due = append(due, m)
		}
	}
	probes := h.fencing.Probes(now, len(due) > 0)
	if left := max(0, min(limit-len(out), h.loop.throttle.Window()-h.fencing.Open())-len(probes)); len(due) > left {
		reachability.SortByLoad(due)
		due = h.unreachableZonesLast(due)[:left]
	}
	due = append(due, probes...)
	for _, m := range due {
		out = append(out, directCall{machine: m.ID, addr: m.Addr, incarnation: cmp.Or(m.Incarnation, m.RecordedIncarnation), fencing: true})
	}
	h.fencing.Started(len(due))
	for _, c := range out {
		h.monitor.Calls.Start(now, c.machine, c.digest)
	}
	return out
}

// callMachine makes a direct call, and applies its outcome.
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
