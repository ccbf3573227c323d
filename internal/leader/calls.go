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
func (l *Leader) callLoop(ctx context.Context, deps Dependencies) error {
	busy := make(chan struct{}, maxOpenCalls)
	for ctx.Err() == nil {
		if l.reconcileDue(time.Now()) {
			l.Reconcile(time.Now(), deps.View.Snapshot())
		}
		for _, c := range l.dueCalls(time.Now(), deps.LeaseValid(), maxOpenCalls-len(busy)) {
			busy <- struct{}{}
			go func() {
				defer func() { <-busy }()
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
func (l *Leader) dueCalls(now time.Time, leaseValid bool, limit int) []directCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	out, due, limit := l.commandCalls(now, leaseValid, limit)
	due = l.fencingCallsWithin(now, due, limit-len(out))
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

// commandCalls lists the calls with commands, and the machines without commands that are due for a fencing call. It
// returns the limit less what is kept for the first tier.
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

// mayLaunchByCall reports whether launches go to a machine by direct calls. Where calls fail while heartbeats
// arrive, launches go by the answers to these.
func (l *Leader) mayLaunchByCall(now time.Time, m *fleet.Machine, last reachability.Call) bool {
	reached := last.Failures <= maxFailuresToLaunch || now.Sub(last.StartedAt) >= reachability.MaxFencingInterval
	return reached && now.Sub(m.LastHeartbeat) < l.timeouts.directLaunchWithin && l.fleet.ReceivesCommands(now, m)
}

// fencingCallsWithin picks the machines to make fencing calls to, of those that are due: as many as the limit and
// the throttle allow, first the ones with the fewest tasks, where work can be placed soonest. Probes
// come on top.
func (l *Leader) fencingCallsWithin(now time.Time, due []*fleet.Machine, limit int) []*fleet.Machine {
	probes := l.fencing.Probes(now, len(due) > 0)
	if left := max(0, min(limit, l.loop.throttle.Window()-l.fencing.Open())-len(probes)); len(due) > left {
		reachability.SortByLoad(due)
		due = l.unreachableZonesLast(due)[:left]
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
