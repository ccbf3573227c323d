package leader

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// A team's limit holds for all parts together. Each part spends only what a record in
// the store grants it, and only its own holder changes that, by a write under its fence
// on the version of the record that it has seen: the sum never exceeds the limit. A part
// that gives something back stops spending it before the write is sent.

// grants is what a holder knows of what it may spend.
type grants struct {
	seen store.Versioned[store.GrantRecord]
	low  map[string][2]float64 // bounds while a write that gives back is on its way
	open bool                  // a write is on its way
}

func (g *grants) see(rec store.Versioned[store.GrantRecord]) {
	if rec.Version >= g.seen.Version {
		g.seen = rec
	}
}

// nothing is a limit that nothing fits, where 0 stands for none.
const nothing = 1e-9

// spend sets what the part may use of a team's limits, and what others use; used is what it does.
func (h *Holder) spend(now time.Time, t *scheduler.Team, name string, used [2]float64) {
	t.AllCPUs, t.AllGPUs = t.CPUsMax, t.GPUsMax
	own := h.grants.seen.Record.Teams[name][h.held.Part]
	give := h.overGranted(name, t) // what an earlier grouping left to give back comes first
	if h.holdsBack(now, name, *t) {
		give = true
	}
	if give {
		own = [2]float64{min(own[0], used[0]), min(own[1], used[1])}
	}
	if low, ok := h.grants.low[name]; ok {
		own = [2]float64{min(own[0], low[0]), min(own[1], low[1])}
	}
	if t.CPUsMax > 0 {
		t.CPUsMax = max(min(own[0], t.CPUsMax), nothing)
	}
	if t.GPUsMax > 0 {
		t.GPUsMax = max(min(own[1], t.GPUsMax), nothing)
	}
	for _, o := range h.others {
		t.ElseCPUs += o.Used[name][0]
		t.ElseGPUs += o.Used[name][1]
	}
}

// granted sums what all parts may spend of a team's limits. What parts of an earlier grouping
// had is free.
func (h *Holder) granted(team string) (sum [2]float64) {
	for _, part := range h.group.Parts() {
		g := h.grants.seen.Record.Teams[team][part]
		sum[0] += g[0]
		sum[1] += g[1]
	}
	return sum
}

// overGranted reports whether more is granted than there is: a state that was divided anew grants
// what may be running, also of what has ended.
func (h *Holder) overGranted(name string, t *scheduler.Team) bool {
	sum := h.granted(name)
	return t.CPUsMax > 0 && sum[0] > t.CPUsMax+nothing || t.GPUsMax > 0 && sum[1] > t.GPUsMax+nothing
}

// Regrant is a change of what this part may spend.
type Regrant struct {
	Txn wire.Txn
	low map[string][2]float64
}

// Regrant takes more of the teams' limits where work waits for it and some is left, and
// gives back what is not used where other parts wait for longer or for more urgent work.
func (h *Holder) Regrant(now time.Time) *Regrant {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.grants.open || !h.resumed || h.outlook.at.IsZero() {
		return nil
	}
	used, seen := h.used(), h.grants.seen
	next := store.GrantRecord{Teams: maps.Clone(seen.Record.Teams)}
	if next.Teams == nil {
		next.Teams = make(map[string]map[string][2]float64)
	}
	rg := &Regrant{low: map[string][2]float64{}}
	changed := false
	teams := h.teams()
	for i := range teams {
		t := &teams[i]
		own := seen.Record.Teams[t.Name][h.held.Part]
		to := h.grantOf(t, own, used[t.Name])
		if to == own {
			continue
		}
		changed = true
		parts := maps.Clone(next.Teams[t.Name])
		if parts == nil {
			parts = make(map[string][2]float64)
		}
		parts[h.held.Part] = to
		next.Teams[t.Name] = parts
		if to[0] < own[0] || to[1] < own[1] {
			rg.low[t.Name] = to
		}
		h.log.Debug("grant", "team", t.Name, "from", own, "to", to, "used", used[t.Name])
	}
	if !changed {
		return nil
	}
	rg.Txn = wire.Txn{If: []wire.Condition{{Key: store.PartKey(h.held.Part), Version: h.held.Version}, {Key: store.GrantKey, Version: seen.Version}},
		Then: []wire.Change{{Put: store.GrantKey, Value: next}}}
	h.grants.open, h.grants.low = true, rg.low
	return rg
}

// A part takes some more than it needs, so that it need not come again at once.
const (
	grantMore  = 1.25
	grantSlice = 1.0 / 32 // of the limit
)

// foreign gives what the other parts want most urgently of a team's limits, and whether that goes
// before what this part wants. Of two that are as urgent one does.
func (h *Holder) foreign(team string) (most scheduler.Want, asked, first bool) {
	from := ""
	for _, part := range sortedKeys(h.others) {
		if w := h.others[part].Wants[team]; w.Asks() && (!asked || w.Compare(most) < 0) {
			most, from, asked = w, part, true
		}
	}
	return most, asked, asked && cmp.Or(most.Compare(h.outlook.wants[team]), cmp.Compare(from, h.held.Part)) < 0
}

// holdsBack reports whether what comes free here of a team's limit is for another part that has
// waited for longer. It is given back soon; the next of many small tasks would take it before.
func (h *Holder) holdsBack(now time.Time, name string, limit scheduler.Team) bool {
	want, _, first := h.foreign(name)
	if _, waits := h.outlook.wants[name]; !waits || !first {
		return false
	}
	stays := h.outlook.stays[name]
	for _, o := range h.others {
		stays = stays.Plus(o.Stays[name], 1)
	}
	return want.Worth(now.Sub(want.Since), h.cfg.Tuning.BeginWithin, limit, stays)
}

// grantOf gives what a part should be granted of a team's limits.
func (h *Holder) grantOf(t *config.Team, own, used [2]float64) [2]float64 {
	sum := h.granted(t.Name)
	mine := h.outlook.wants[t.Name]
	waits := mine.Asks()
	foreign, asked, first := h.foreign(t.Name)
	yields := asked && (!waits || first)
	out := own
	for i, limit := range [2]float64{t.CPUsMax, t.GPUsMax} {
		need := [2]float64{mine.CPUs, mine.GPUs}[i]
		wanted := [2]float64{foreign.CPUs, foreign.GPUs}[i]
		left := max(0, limit-sum[i])
		switch {
		case limit == 0:
		case sum[i] > limit+nothing:
			out[i] = min(own[i], used[i])
		case yields && wanted > left: // what is free goes to the others, but for what only waits for its machine
			out[i] = min(own[i], max(used[i], h.outlook.placed[t.Name][i]))
		case waits && need > 0 && left > 0:
			out[i] = own[i] + min(left, max(need*grantMore, limit*grantSlice))
		}
	}
	return out
}

// Regranted takes in that a change of grants is over, one way or the other, and how the
// record stands since then.
func (h *Holder) Regranted(rec store.Versioned[store.GrantRecord]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.grants.see(rec)
	h.grants.open, h.grants.low = false, nil
}

// grantGap is the time between two changes of grants.
const grantGap = 600 * time.Millisecond

// regrants keeps the grants of the part until the context ends.
func (h *Holder) regrants(ctx context.Context, e Edges) error {
	ctx = store.For(ctx, store.Rounds)
	for ctx.Err() == nil {
		store.Pause(ctx, grantGap)
		if !e.Valid() {
			continue
		}
		if rg := h.Regrant(time.Now()); rg != nil {
			h.commitGrant(ctx, e, rg)
		}
	}
	return nil
}

// commitGrant makes a change of grants. Without an answer it is made again: its condition
// on the record lets one copy at most be taken. What it gives back is not spent until the
// view shows how it ended.
func (h *Holder) commitGrant(ctx context.Context, e Edges, rg *Regrant) {
	for ctx.Err() == nil {
		_, err := e.Store.Txn(ctx, rg.Txn)
		var conflict *store.ConflictError
		if err == nil || errors.As(err, &conflict) {
			for ctx.Err() == nil {
				if e.Follow.Barrier(ctx) == nil {
					h.Regranted(e.View.Snapshot().Grants)
					return
				}
				store.Pause(ctx, 200*time.Millisecond)
			}
			return
		}
		store.Pause(ctx, 300*time.Millisecond)
	}
}
