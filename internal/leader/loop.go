package leader

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/cloud"
	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// Dependencies is what a holder's duties reach the world by.
type Dependencies struct {
	Store    *store.Client
	View     *store.View
	Follower *store.Follower
	Cloud    *cloud.Client
	Workers  *worker.Client
	// LeaseValid says whether the claim surely lasts.
	LeaseValid func() bool
	// OnFenced is called when the store has refused a round because the claim
	// is gone.
	OnFenced func()
}

// The time between two rounds: reports that come together share one write, and
// deciding takes no more than a fraction of the processor however long it takes.
const (
	minRoundInterval   = 120 * time.Millisecond
	restFactor         = 3                      // times what the decision took
	maxShardedInterval = 400 * time.Millisecond // of several parts, that share the changes a second
	maxRoundInterval   = time.Second
	overloadedInterval = 3 * time.Second // where this process is late with all that it does
)

// Run does the holder's duties until the context ends.
func (h *Leader) Run(ctx context.Context, e Dependencies) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.roundLoop(ctx, e) })
	g.Go(func() error { return h.throttle.Run(ctx) })
	g.Go(func() error { return h.callLoop(ctx, e) })
	g.Go(func() error { return h.watchMachineList(ctx, e) })
	g.Go(func() error { return h.scaleOutLoop(ctx, e) })
	g.Go(func() error { return h.scaleInLoop(ctx, e) })
	if !h.sharding.IsSingle() {
		g.Go(func() error { return h.runGrants(ctx, e) })
	}
	return g.Wait()
}

func (h *Leader) roundLoop(ctx context.Context, e Dependencies) error {
	ctx = store.WithPurpose(ctx, store.PurposeRounds)
	least := min(minRoundInterval*time.Duration(len(h.sharding.Shards())), maxShardedInterval)
	for ctx.Err() == nil {
		begun := time.Now()
		changed := e.View.Changed()
		gap := least
		if e.LeaseValid() {
			d := h.Decide(begun, e.View.Snapshot())
			gap = min(max(gap, restFactor*time.Since(begun)), h.maxRest())
			if d != nil {
				h.commitRound(ctx, e, d)
			}
			select {
			case h.wakeCalls <- struct{}{}:
			default:
			}
		}
		store.Backoff(ctx, max(gap-time.Since(begun), 10*time.Millisecond))
		t := time.NewTimer(h.cfg.Tuning.RoundWindow / 2)
		select {
		case <-ctx.Done():
		case <-h.wakeLoop:
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// maxRest bounds the rest between two rounds.
func (h *Leader) maxRest() time.Duration {
	if h.throttle.Overloaded() {
		return overloadedInterval
	}
	return maxRoundInterval
}

// commitRound commits a round. As long as its fate is unknown the same transaction
// is repeated: the condition on the slot that it writes lets only one copy
// through, however late another is applied.
func (h *Leader) commitRound(ctx context.Context, e Dependencies, d *Draft) {
	for ctx.Err() == nil {
		rev, err := e.Store.Txn(ctx, d.Txn)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			h.Committed(d, rev)
			e.View.ApplyOwnWrite(d.WrittenBatches(rev)...)
			return
		case errors.As(err, &conflict):
			for e.Follower.Barrier(ctx) != nil { // the write has its answer, and is not made again for it
				if store.Backoff(ctx, 200*time.Millisecond); ctx.Err() != nil {
					return
				}
			}
			firstSlot := d.FirstSegment()
			if last, version := e.View.Segment(firstSlot); last.FencingToken == h.lease.FencingToken && last.Round == d.Number {
				h.Reconcile(time.Now(), e.View.Snapshot()) // what was cancelled since is not launched
				h.Committed(d, version)                    // a copy without an answer was taken
				return
			}
			h.log.Info("round refused", "number", d.Number, "failed", conflict.Failed)
			h.roundUnwritten(time.Now(), d, StallRefused)
			h.Discard(d)
			if failedOn(conflict.Failed, store.LeaderKey(h.lease.Shard)) || failedOn(conflict.Failed, firstSlot) {
				e.OnFenced()
			}
			return
		default:
			h.log.Info("round without an answer", "number", d.Number, "error", err)
			h.roundUnwritten(time.Now(), d, StallUnanswered)
			store.Backoff(ctx, 300*time.Millisecond)
		}
	}
}

// Direct calls: how many at once, how long before the same stops are sent
// again, and how long before a machine is again asked to take the term or to
// be heard, which doubles with each call in vain.
const (
	maxOpenCalls           = 48
	stopResendInterval     = 3 * time.Second
	minFencingCallInterval = time.Second
	maxFencingCallInterval = 8 * time.Second
)

// callLoop sends stops and launches straight to the machines, and raises the
// term at machines that have not been seen at it.
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
		t := time.NewTimer(300 * time.Millisecond)
		select {
		case <-ctx.Done():
		case <-h.wakeCalls:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// reconcileInterval is how old the comparison of placements with jobs may get.
const reconcileInterval = time.Second

func (h *Leader) reconcileDue(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.lastReconciled) > reconcileInterval
}

// directCall is a direct call to a machine.
type directCall struct {
	machine, addr string
	incarnation   uint64
	digest        string // the commands, for telling whether they are the same
	commands      []wire.Command
	launches      []*fleet.Placement
	fencing       bool // only to be heard, or to raise the term
}

// callState is what the holder remembers of the direct calls to a machine.
type callState struct {
	startedAt     time.Time
	digest        string
	open          bool      // not answered yet
	failures      int       // calls in vain since it last answered
	firstFailedAt time.Time // when the first of these was made
	peerFailed    bool      // the last one was left to a sibling, in vain
}

// dueCalls lists the direct calls to make now, at most so many: those with
// commands go first, since many machines may be waiting for the term, and of
// these the ones with the fewest tasks, where work can be placed soonest.
func (h *Leader) dueCalls(now time.Time, valid bool, limit int) []directCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []directCall
	var due []*fleet.Machine
	machines, urgent := h.machinesByUrgency()
	for i, m := range machines {
		if i == urgent && h.preemptions.tierSet.Configured() {
			limit -= maxOpenCalls / 8 // which is the first tier's
		}
		if len(out) >= limit {
			break
		}
		last := h.callStates[m.ID]
		if m.Addr == "" || m.Releasing || last.inFlight(now) {
			continue
		}
		c := directCall{machine: m.ID, addr: m.Addr, incarnation: cmp.Or(m.Incarnation, m.RecordedIncarnation)}
		// Where calls are in vain while reports come, launches go by the answers.
		reached := last.failures < 2 || now.Sub(last.startedAt) >= maxFencingCallInterval
		c.commands, c.launches = h.fleet.DirectCommands(m, valid && reached && now.Sub(m.LastHeartbeat) < h.timeouts.directLaunchWithin && h.fleet.ReceivesCommands(now, m))
		if len(c.commands) > 0 {
			if c.digest = fmt.Sprint(c.commands); len(c.launches) > 0 || c.digest != last.digest || now.Sub(last.startedAt) >= stopResendInterval {
				out = append(out, c)
			}
			continue
		}
		if h.fencingCallDue(now, m) {
			due = append(due, m)
		}
	}
	probes := h.probes(now, len(due) > 0)
	if left := max(0, min(limit-len(out), h.throttle.Window()-h.fencingCallsOpen)-len(probes)); len(due) > left {
		sortByLoad(due)
		due = h.unreachableZonesLast(due)[:left]
	}
	due = append(due, probes...)
	for _, m := range due {
		out = append(out, directCall{machine: m.ID, addr: m.Addr, incarnation: cmp.Or(m.Incarnation, m.RecordedIncarnation), fencing: true})
	}
	h.fencingCallsOpen += len(due)
	for _, c := range out {
		last := h.callStates[c.machine]
		h.callStates[c.machine] = callState{startedAt: now, digest: c.digest, open: true, failures: last.failures, firstFailedAt: last.firstFailedAt}
	}
	return out
}

func (h *Leader) callMachine(ctx context.Context, e Dependencies, c directCall) {
	outcome, answered := fleet.Refused, false
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.fleet.CallFinished(c.launches, outcome)
		if c.fencing {
			h.fencingCallsOpen--
		}
		h.callFinished(time.Now(), c.machine, answered)
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
		h.log.Debug("direct call failed", "machine", c.machine, "launches", len(c.launches), "error", err)
		return
	}
	if answered = true; r.FencingToken <= h.lease.FencingToken {
		h.HandleInspection(time.Now(), r)
	}
}

// watchMachineList reads the list of machines and their types.
func (h *Leader) watchMachineList(ctx context.Context, e Dependencies) error {
	var typesAt time.Time
	for ctx.Err() == nil {
		requestedAt := time.Now()
		list, err := e.Cloud.List(ctx)
		if err == nil {
			h.handleMachineList(requestedAt, time.Now(), list)
		} else {
			h.log.Debug("listing machines failed", "error", err)
		}
		if time.Since(typesAt) > 30*time.Second {
			if types, err := e.Cloud.MachineTypes(ctx); err == nil {
				typesAt = time.Now()
				h.SetTypes(types)
			}
		}
		// A list of many pages takes a quarter of the calls at the most, for all parts.
		pages := float64((len(list)/wire.MaxListPage + 1) * len(h.sharding.Shards()))
		store.Backoff(ctx, max(1500*time.Millisecond, wire.Seconds(pages*4/h.cfg.Cloud.RPS)))
	}
	return nil
}

func (h *Leader) handleMachineList(requestedAt, now time.Time, list []wire.ListedMachine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	mine := list[:0:0]
	for _, l := range list {
		if h.sharding.ShardOf(l.Zone, l.Type) == h.lease.Shard {
			mine = append(mine, l)
		}
	}
	for _, id := range h.fleet.ApplyCloudList(requestedAt, now, mine) {
		h.forgetMachine(id, "the cloud no longer has it")
	}
	for _, l := range mine {
		if l.Stage == wire.MachineFailed {
			h.machinesToRelease[l.ID] = true // it stays listed until it is deleted
		}
	}
}

// forgetMachine forgets a machine that is proven gone.
func (h *Leader) forgetMachine(id, why string) {
	if m := h.fleet.Machine(id); m != nil {
		h.log.Info("machine gone", "machine", id, "why", why)
		if m.Recorded {
			h.machinesToDrop[id] = true
		}
		delete(h.callStates, id)
		h.fleet.RemoveMachine(id)
		h.Wake()
	}
	delete(h.machinesToRelease, id)
}
