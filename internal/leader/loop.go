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

// Edges is what a holder's duties reach the world by.
type Edges struct {
	Store   *store.Client
	View    *store.View
	Follow  *store.Follower
	Cloud   *cloud.Client
	Workers *worker.Client
	// Valid says whether the claim surely lasts.
	Valid func() bool
	// Fenced is called when the store has refused a round because the claim
	// is gone.
	Fenced func()
}

// The time between two rounds: reports that come together share one write, and
// deciding takes no more than a fraction of the processor however long it takes.
const (
	roundGap  = 120 * time.Millisecond
	roundRest = 3                      // times what the decision took
	mostGap   = 400 * time.Millisecond // of several parts, that share the changes a second
	longGap   = time.Second
	lateGap   = 3 * time.Second // where this process is late with all that it does
)

// Run does the holder's duties until the context ends.
func (h *Holder) Run(ctx context.Context, e Edges) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.rounds(ctx, e) })
	g.Go(func() error { return h.pace.Run(ctx) })
	g.Go(func() error { return h.direct(ctx, e) })
	g.Go(func() error { return h.watchCloud(ctx, e) })
	g.Go(func() error { return h.rents(ctx, e) })
	g.Go(func() error { return h.releases(ctx, e) })
	if !h.group.Whole() {
		g.Go(func() error { return h.regrants(ctx, e) })
	}
	return g.Wait()
}

func (h *Holder) rounds(ctx context.Context, e Edges) error {
	ctx = store.For(ctx, store.Rounds)
	least := min(roundGap*time.Duration(len(h.group.Parts())), mostGap)
	for ctx.Err() == nil {
		begun := time.Now()
		changed := e.View.Changed()
		gap := least
		if e.Valid() {
			d := h.Decide(begun, e.View.Snapshot())
			gap = min(max(gap, roundRest*time.Since(begun)), h.longestRest())
			if d != nil {
				h.write(ctx, e, d)
			}
			select {
			case h.kickDirect <- struct{}{}:
			default:
			}
		}
		store.Pause(ctx, max(gap-time.Since(begun), 10*time.Millisecond))
		t := time.NewTimer(h.cfg.Tuning.RoundWindow / 2)
		select {
		case <-ctx.Done():
		case <-h.kick:
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// longestRest bounds the rest between two rounds.
func (h *Holder) longestRest() time.Duration {
	if h.pace.Late() {
		return lateGap
	}
	return longGap
}

// write commits a round. As long as its fate is unknown the same transaction
// is repeated: the condition on the slot that it writes lets only one copy
// through, however late another is applied.
func (h *Holder) write(ctx context.Context, e Edges, d *Draft) {
	for ctx.Err() == nil {
		rev, err := e.Store.Txn(ctx, d.Txn)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			h.Committed(d, rev)
			e.View.Wrote(d.Taken(rev)...)
			return
		case errors.As(err, &conflict):
			for e.Follow.Barrier(ctx) != nil { // the write has its answer, and is not made again for it
				if store.Pause(ctx, 200*time.Millisecond); ctx.Err() != nil {
					return
				}
			}
			first := d.packed.Then[0].Put
			if last, version := e.View.Slot(first); last.Term == h.held.Term && last.Round == d.Number {
				h.Tend(time.Now(), e.View.Snapshot()) // what was cancelled since is not launched
				h.Committed(d, version)               // a copy without an answer was taken
				return
			}
			h.log.Info("round refused", "number", d.Number, "failed", conflict.Failed)
			h.unwritten(time.Now(), d, StallRefused)
			h.Discard(d)
			if failedOn(conflict.Failed, store.PartKey(h.held.Part)) || failedOn(conflict.Failed, first) {
				e.Fenced()
			}
			return
		default:
			h.log.Info("round without an answer", "number", d.Number, "error", err)
			h.unwritten(time.Now(), d, StallUnanswered)
			store.Pause(ctx, 300*time.Millisecond)
		}
	}
}

// Direct calls: how many at once, how long before the same stops are sent
// again, and how long before a machine is again asked to take the term or to
// be heard, which doubles with each call in vain.
const (
	maxDirect = 48
	directGap = 3 * time.Second
	raiseGap  = time.Second
	longRaise = 8 * time.Second
)

// direct sends stops and launches straight to the machines, and raises the
// term at machines that have not been seen at it.
func (h *Holder) direct(ctx context.Context, e Edges) error {
	busy := make(chan struct{}, maxDirect)
	for ctx.Err() == nil {
		if h.untended(time.Now()) {
			h.Tend(time.Now(), e.View.Snapshot())
		}
		for _, c := range h.calls(time.Now(), e.Valid(), maxDirect-len(busy)) {
			busy <- struct{}{}
			go func() {
				defer func() { <-busy }()
				h.callMachine(ctx, e, c)
			}()
		}
		t := time.NewTimer(300 * time.Millisecond)
		select {
		case <-ctx.Done():
		case <-h.kickDirect:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// tendGap is how old the comparison of placements with jobs may get.
const tendGap = time.Second

func (h *Holder) untended(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.tended) > tendGap
}

// call is a direct call to a machine.
type call struct {
	machine, addr string
	session       uint64
	what          string // the commands, for telling whether they are the same
	commands      []wire.Command
	launched      []*fleet.Placement
	raise         bool // only to be heard, or to raise the term
}

// called is what the holder remembers of the direct calls to a machine.
type called struct {
	at       time.Time
	what     string
	open     bool      // not answered yet
	failures int       // calls in vain since it last answered
	first    time.Time // when the first of these was made
	vain     bool      // the last one was left to a sibling, in vain
}

// calls lists the direct calls to make now, at most so many: those with
// commands go first, since many machines may be waiting for the term, and of
// these the ones with the fewest tasks, where work can be placed soonest.
func (h *Holder) calls(now time.Time, valid bool, room int) []call {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []call
	var due []*fleet.Machine
	machines, urgent := h.urgentFirst()
	for i, m := range machines {
		if i == urgent && h.claims.set.Given() {
			room -= maxDirect / 8 // which is the first tier's
		}
		if len(out) >= room {
			break
		}
		last := h.called[m.ID]
		if m.Addr == "" || m.Releasing || last.underWay(now) {
			continue
		}
		c := call{machine: m.ID, addr: m.Addr, session: cmp.Or(m.Session, m.LastSession)}
		// Where calls are in vain while reports come, launches go by the answers.
		reached := last.failures < 2 || now.Sub(last.at) >= longRaise
		c.commands, c.launched = h.fleet.Direct(m, valid && reached && now.Sub(m.Heard) < h.times.direct && h.fleet.Heeds(now, m))
		if len(c.commands) > 0 {
			if c.what = fmt.Sprint(c.commands); len(c.launched) > 0 || c.what != last.what || now.Sub(last.at) >= directGap {
				out = append(out, c)
			}
			continue
		}
		if h.raiseDue(now, m) {
			due = append(due, m)
		}
	}
	probes := h.probes(now, len(due) > 0)
	if left := max(0, min(room-len(out), h.pace.Window()-h.raising)-len(probes)); len(due) > left {
		byNeed(due)
		due = h.darkLast(due)[:left]
	}
	due = append(due, probes...)
	for _, m := range due {
		out = append(out, call{machine: m.ID, addr: m.Addr, session: cmp.Or(m.Session, m.LastSession), raise: true})
	}
	h.raising += len(due)
	for _, c := range out {
		last := h.called[c.machine]
		h.called[c.machine] = called{at: now, what: c.what, open: true, failures: last.failures, first: last.first}
	}
	return out
}

func (h *Holder) callMachine(ctx context.Context, e Edges, c call) {
	outcome, heard := fleet.Refused, false
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.fleet.Called(c.launched, outcome)
		if c.raise {
			h.raising--
		}
		h.outcome(time.Now(), c.machine, heard)
	}()
	if c.session == 0 {
		r, err := e.Workers.Inspect(ctx, c.addr)
		if err != nil || r.Machine != c.machine {
			return
		}
		h.Inspected(time.Now(), r)
		c.session = r.Session
	}
	r, ok, err := e.Workers.Do(ctx, c.addr, wire.Direct{Term: h.held.Term, Session: c.session, Commands: c.commands})
	switch {
	case errors.Is(err, transport.ErrNotSent):
	case err != nil || r.Machine != c.machine:
		outcome = fleet.Unanswered
	case ok:
		outcome = fleet.Executed
	}
	if err != nil || r.Machine != c.machine {
		h.log.Debug("direct call failed", "machine", c.machine, "launches", len(c.launched), "error", err)
		return
	}
	if heard = true; r.Term <= h.held.Term {
		h.Inspected(time.Now(), r)
	}
}

// watchCloud reads the list of machines and their types.
func (h *Holder) watchCloud(ctx context.Context, e Edges) error {
	var typesAt time.Time
	for ctx.Err() == nil {
		asked := time.Now()
		list, err := e.Cloud.List(ctx)
		if err == nil {
			h.listed(asked, time.Now(), list)
		} else {
			h.log.Debug("listing machines failed", "error", err)
		}
		if time.Since(typesAt) > 30*time.Second {
			if types, err := e.Cloud.Types(ctx); err == nil {
				typesAt = time.Now()
				h.SetTypes(types)
			}
		}
		// A list of many pages takes a quarter of the calls at the most, for all parts.
		pages := float64((len(list)/wire.MaxListPage + 1) * len(h.group.Parts()))
		store.Pause(ctx, max(1500*time.Millisecond, wire.Seconds(pages*4/h.cfg.Cloud.RPS)))
	}
	return nil
}

func (h *Holder) listed(asked, now time.Time, list []wire.ListedMachine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	mine := list[:0:0]
	for _, l := range list {
		if h.group.PartOf(l.Zone, l.Type) == h.held.Part {
			mine = append(mine, l)
		}
	}
	for _, id := range h.fleet.List(asked, now, mine) {
		h.gone(id, "the cloud no longer has it")
	}
	for _, l := range mine {
		if l.Stage == wire.MachineFailed {
			h.release[l.ID] = true // it stays listed until it is deleted
		}
	}
}

// gone forgets a machine that is proven gone.
func (h *Holder) gone(id, why string) {
	if m := h.fleet.Machine(id); m != nil {
		h.log.Info("machine gone", "machine", id, "why", why)
		if m.Recorded {
			h.dropMachines[id] = true
		}
		delete(h.called, id)
		h.fleet.Gone(id)
		h.Kick()
	}
	delete(h.release, id)
}
