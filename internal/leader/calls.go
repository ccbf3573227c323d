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
	// maxOpenCalls is the maximum number of concurrent direct calls.
	maxOpenCalls = 48
	// firstTierCalls of them are reserved for work of the first tier if tiers are configured.
	firstTierCalls = maxOpenCalls / 8
	// stopResendInterval is the time before the same stop commands are sent again.
	stopResendInterval = 3 * time.Second
	// maxFailuresToLaunch is the number of consecutive failed calls up to which launches still go by direct
	// call. Beyond it, they wait for the next heartbeat. A single call may be lost.
	maxFailuresToLaunch = 1
	// callInterval is the interval at which due calls are checked for without a wake-up.
	callInterval = 300 * time.Millisecond
)

// callLoop sends stops and launches directly to the machines, and the fencing token to machines that have not
// reported under it yet. Between rounds, it also compares the placements with the jobs.
func (l *Leader) callLoop(ctx context.Context, deps Dependencies) error {
	slots := make(chan struct{}, maxOpenCalls)
	for ctx.Err() == nil {
		if l.reconcileDue(time.Now()) {
			l.Reconcile(time.Now(), deps.View.Snapshot())
		}
		for _, c := range l.dueCalls(time.Now(), deps.LeaseValid(), maxOpenCalls-len(slots)) {
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				l.callMachine(ctx, deps, c)
			}()
		}
		t := time.NewTimer(callInterval)
		select {
		case <-ctx.Done():
		case <-l.loop.calls:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// directCall is a call from the leader to a machine, outside heartbeat responses.
type directCall struct {
	machine, addr string
	incarnation   uint64
	digest        string // identifies the commands, to detect that they are unchanged
	commands      []wire.Command
	launches      []*fleet.Placement
	fencing       bool // carries no commands: announces the token and gets a heartbeat in the answer
}

// dueCalls returns the direct calls to make now, at most limit. Calls with commands go before fencing calls,
// because a large number of machines may be waiting for the latter.
func (l *Leader) dueCalls(now time.Time, leaseValid bool, limit int) []directCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	out, due, limit := l.commandCalls(now, leaseValid, limit)
	due = l.selectFencingCalls(now, due, limit-len(out))
	for _, m := range due {
		c := newDirectCall(m)
		c.fencing = true
		out = append(out, c)
	}
	l.fencing.Started(len(due))
	for _, c := range out {
		l.monitor.Calls.Start(now, c.machine, c.digest)
	}
	return out
}

func newDirectCall(m *fleet.Machine) directCall {
	return directCall{machine: m.ID, addr: m.Addr, incarnation: cmp.Or(m.Incarnation, m.RecordedIncarnation)}
}

// commandCalls returns the calls with commands, the machines without commands that are due for a fencing call, and
// the limit less the calls reserved for the first tier.
func (l *Leader) commandCalls(now time.Time, leaseValid bool, limit int) (out []directCall, due []*fleet.Machine, left int) {
	machines, urgent := l.machinesByUrgency()
	for i, m := range machines {
		if i == urgent && l.preemptions.Tiers().Configured() {
			limit -= firstTierCalls
		}
		if len(out) >= limit {
			break
		}
		last := l.monitor.Calls.Last(m.ID)
		if m.Addr == "" || m.Releasing || last.InFlight(now) {
			continue
		}
		l.withdrawEnded(now, m)
		c := newDirectCall(m)
		c.commands, c.launches = l.fleet.DirectCommands(m, leaseValid && l.mayLaunchByCall(now, m, last))
		if len(c.commands) == 0 {
			if l.fencing.Due(now, m) {
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

// mayLaunchByCall reports whether launches go to a machine by direct call. If calls fail while heartbeats
// arrive, launches go in the heartbeat responses instead.
func (l *Leader) mayLaunchByCall(now time.Time, m *fleet.Machine, last reachability.Call) bool {
	reached := last.Failures <= maxFailuresToLaunch || now.Sub(last.StartedAt) >= reachability.MaxFencingInterval
	return reached && now.Sub(m.LastHeartbeat) < l.timeouts.directLaunchWithin && l.fleet.ReceivesCommands(now, m)
}

// selectFencingCalls selects which due machines get a fencing call: as many as the limit and the throttle allow,
// those with the fewest tasks first, because work can be placed there soonest. Probes are added to these.
func (l *Leader) selectFencingCalls(now time.Time, due []*fleet.Machine, limit int) []*fleet.Machine {
	probes := l.fencing.Probes(now, len(due) > 0)
	if left := max(0, min(limit, l.loop.callLimiter.Window()-l.fencing.OpenCalls())-len(probes)); len(due) > left {
		reachability.SortByLoad(due)
		due = l.sortUnreachableZonesLast(due)[:left]
	}
	return append(due, probes...)
}

// callMachine makes a call and records its result.
func (l *Leader) callMachine(ctx context.Context, deps Dependencies, c directCall) {
	outcome, answered := fleet.Refused, false
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.fleet.CallFinished(c.launches, outcome)
		if c.fencing {
			l.fencing.Finished()
		}
		l.monitor.CallFinished(time.Now(), c.machine, answered)
	}()
	if c.incarnation == 0 {
		hb, err := deps.Workers.Inspect(ctx, c.addr)
		if err != nil || hb.Machine != c.machine {
			return
		}
		l.HandleInspection(time.Now(), hb)
		c.incarnation = hb.Incarnation
	}
	l.logCommands(c.machine, "direct call", c.commands)
	hb, ok, err := deps.Workers.Send(ctx, c.addr, wire.CommandRequest{FencingToken: l.lease.FencingToken, Incarnation: c.incarnation, Commands: c.commands})
	switch {
	case errors.Is(err, transport.ErrNotSent):
	case err != nil || hb.Machine != c.machine:
		outcome = fleet.Unanswered
	case ok:
		outcome = fleet.Executed
	}
	if err != nil || hb.Machine != c.machine {
		l.log.Debug("direct call failed", "machine", c.machine, "launches", len(c.launches), "err", err)
		return
	}
	l.log.Debug("direct call answered", "machine", c.machine, "launches", len(c.launches), "executed", ok)
	if answered = true; hb.FencingToken <= l.lease.FencingToken {
		l.HandleInspection(time.Now(), hb)
	}
}
