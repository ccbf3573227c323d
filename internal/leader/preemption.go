package leader

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// Where tiers are set, nothing is stopped to make room before the round that says for whom
// is in the store. What the records name is stopped by whoever holds the part, and room
// that comes free is kept for its job until that has it, or needs it no more.

// claims is what a holder knows of the room that is claimed back.
type claims struct {
	set   *tier.Set
	by    map[string]*tier.Claim // by job, as the store has them but for what has since fallen away
	stale map[roomOf]bool        // records to write anew, or to drop
	stuck map[string]uint64      // attempts that have not gone in time
	tiers []tier.Status
}

// roomOf names the record of a room.
type roomOf struct{ job, machine string }

// recallClaims takes over what an earlier holder has claimed back.
func (h *Holder) recallClaims(by map[string]*tier.Claim) {
	h.claims = claims{set: h.cfg.Tiers().Divided(len(h.group.Parts()), h.group.Zoned()), by: by, stale: map[roomOf]bool{}, stuck: map[string]uint64{}}
	if h.claims.set.Given() {
		return
	}
	for job, c := range by { // the tiers are no longer set
		for _, r := range c.Rooms {
			h.claims.stale[roomOf{job, r.Machine}] = true
		}
	}
	clear(by)
}

// reviewClaims drops what nobody needs any more, and stops what is due. The records that say
// less can wait for company: who recalls one finds it of no use as well.
func (h *Holder) reviewClaims(now time.Time, rebuilding bool) {
	f := tier.Facts{Now: now, Serves: func(id string) bool { return h.mayServe(now, id, rebuilding) }, On: h.victimOn,
		Waiting: func(job string) (int, bool) { return h.tasksWaiting(job), !rebuilding || h.live[job] == nil }}
	for _, job := range sortedKeys(h.claims.by) {
		c := h.claims.by[job]
		next, stuck := c.Review(job, f)
		for task, attempt := range stuck {
			h.claims.stuck[task] = attempt
			h.log.Warn("task does not stop", "task", task, "job", job)
		}
		for _, r := range c.Rooms {
			if i := slices.IndexFunc(next.Rooms, func(o tier.Room) bool { return o.Machine == r.Machine }); i < 0 || next.Rooms[i].Tasks != r.Tasks {
				h.claims.stale[roomOf{job, r.Machine}] = true
			}
		}
		if h.claims.by[job] = next; len(next.Rooms) == 0 {
			delete(h.claims.by, job)
		}
	}
	h.pressClaims(now)
}

// tasksWaiting counts the tasks of a job that are nowhere and have not finished, -1 for one
// that is over.
func (h *Holder) tasksWaiting(job string) (n int) {
	l := h.live[job]
	if l == nil {
		return -1
	}
	shares, _ := h.shares(l)
	for _, s := range shares {
		for i := s.From; i < s.To; i++ {
			if j := h.jobs[job]; (j == nil || !j.finished.Has(i)) && h.fleet.Active(wire.TaskID{Job: job, Index: i}) == nil {
				n++
			}
		}
	}
	return n
}

func (h *Holder) mayServe(now time.Time, id string, rebuilding bool) bool {
	m := h.fleet.Machine(id)
	return m != nil && m.Draining == "" && !m.Releasing && m.Notice.IsZero() && (rebuilding || h.quiet(now, m) < h.times.silence)
}

// victimOn reports whether an attempt may still be on a machine. A later one of the same
// task is another's business: late copies of a stop name the attempt as well.
func (h *Holder) victimOn(task string, attempt uint64, machine string) bool {
	return h.victim(tier.Victim{Task: task, Attempt: attempt, Machine: machine}) != nil
}

func (h *Holder) victim(v tier.Victim) *fleet.Placement {
	if m := h.fleet.Machine(v.Machine); m != nil {
		for _, p := range m.Placements() {
			if p.Active() && p.Attempt == v.Attempt && p.Task == v.ID() {
				return p
			}
		}
	}
	return nil
}

// pressClaims stops what claims in the store name, once it is due.
func (h *Holder) pressClaims(now time.Time) {
	for _, job := range sortedKeys(h.claims.by) {
		for _, v := range h.claims.by[job].Due(now, func(task string) time.Duration { return h.saveTime(tier.Victim{Task: task}.ID().Job) }) {
			if p, l := h.victim(v), h.live[v.ID().Job]; p != nil && l != nil {
				h.stop(now, p, l.Record.Job, "room for "+job)
			}
		}
	}
}

func (h *Holder) saveTime(job string) time.Duration {
	if l := h.live[job]; l != nil {
		return wire.Seconds(l.Record.Job.SaveS)
	}
	return 0
}

// pictureClaims tells sched what is being claimed back: the room, and which tasks make way.
func (h *Holder) pictureClaims(pic *scheduler.Picture) {
	if pic.Tiers = h.claims.set; !pic.Tiers.Given() {
		return
	}
	leaving := make(map[string]uint64)
	for _, job := range sortedKeys(h.claims.by) {
		for _, r := range h.claims.by[job].Rooms {
			pic.Claims = append(pic.Claims, scheduler.Claim{Job: job, Machine: r.Machine, Tasks: r.Tasks, Level: r.Level})
			for task, attempt := range r.Awaits {
				leaving[task] = attempt
			}
		}
	}
	for _, m := range pic.Machines {
		for i := range m.Tasks {
			t := &m.Tasks[i]
			id := wire.TaskID{Job: t.Job.ID, Index: t.Index}
			if p := h.fleet.Active(id); p != nil {
				t.Stopping = t.Stopping || leaving[id.String()] == p.Attempt
				t.Stuck = h.claims.stuck[id.String()] == p.Attempt
			}
		}
	}
}

// claimOf gives the claim for a job as a round leaves it.
func (h *Holder) claimOf(d *Draft, job string) *tier.Claim {
	if c := d.claims[job]; c != nil {
		return c
	}
	if c := h.claims.by[job]; c != nil {
		return c
	}
	return &tier.Claim{}
}

// useRoom takes in that a task is placed where room was made for it: or the room that is
// still to come would be taken for one too many.
func (h *Holder) useRoom(d *Draft, p *fleet.Placement) {
	job := p.Task.Job
	if c := h.claimOf(d, job); c.Room(p.Machine).Tasks > 0 {
		d.claims[job] = c.Less(p.Machine)
		d.stale[roomOf{job, p.Machine}] = true
	}
}

// claimBack takes what is to be stopped into the round, as far as there is room.
func (h *Holder) claimBack(now time.Time, d *Draft, all []scheduler.Claimed) {
	for _, c := range all {
		r := tier.Room{Machine: c.Machine, Tier: c.Tier, Level: c.Level, Tasks: c.Tasks, Until: now.Add(c.Within).UnixMilli()}
		r.Stops, r.Awaits = map[string]uint64{}, map[string]uint64{}
		for _, s := range c.Stops {
			p := h.fleet.Active(wire.TaskID{Job: s.Job.ID, Index: s.Index})
			switch {
			case p == nil:
			case s.Await:
				r.Awaits[p.Task.String()] = p.Attempt
			default:
				r.Stops[p.Task.String()] = p.Attempt
			}
		}
		if next := h.claimOf(d, c.Job).Add(r); d.add(store.ClaimEntry(c.Job, next.Room(c.Machine))) {
			d.claims[c.Job] = next
			d.stale[roomOf{c.Job, c.Machine}] = false
			h.log.Info("claiming back", "job", c.Job, "tier", c.Tier, "machine", c.Machine, "stops", len(r.Stops), "awaits", len(r.Awaits), "round", d.Number)
		}
	}
}

// tidyClaims writes what has fallen away, as far as the round has room.
func (h *Holder) tidyClaims(d *Draft) {
	for key := range h.claims.stale {
		if _, dealt := d.stale[key]; !dealt {
			d.stale[key] = true
		}
	}
	keys := slices.SortedFunc(maps.Keys(d.stale), func(a, b roomOf) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.machine, b.machine))
	})
	for _, key := range keys {
		if !d.stale[key] {
			continue
		}
		e := store.DropClaim(key.job, key.machine)
		r := h.claimOf(d, key.job).Room(key.machine)
		if r.Tasks > 0 {
			e = store.ClaimEntry(key.job, r)
		}
		if r.Tasks == 0 && !h.ledger.HasClaim(key.job, key.machine) || d.add(e) {
			d.stale[key] = false
		}
	}
}

// claimed takes in that the store has taken the claims of a round: from now on they are said.
func (h *Holder) claimed(d *Draft) {
	for job, c := range d.claims {
		if h.claims.by[job] = c; len(c.Rooms) == 0 {
			delete(h.claims.by, job)
		}
	}
	for key, still := range d.stale {
		if h.claims.stale[key] = true; !still {
			delete(h.claims.stale, key)
		}
	}
	if len(d.claims) > 0 {
		h.pressClaims(d.at)
	}
}

// noteTiers keeps how the tiers stand, for display.
func (h *Holder) noteTiers(plan *scheduler.Plan) {
	h.claims.tiers = plan.Tiers
	for _, c := range h.claims.by {
		h.claims.tiers[h.claims.set.Named(c.Rooms[0].Tier)].Claims++
	}
}

// tierStatuses tells how the tiers stand, by name; nothing where none are set.
func (h *Holder) tierStatuses() map[string]tier.Status {
	if len(h.claims.tiers) == 0 {
		return nil
	}
	out := make(map[string]tier.Status)
	for i, s := range h.claims.tiers {
		out[h.claims.set.Tiers[i].Name] = s
	}
	return out
}

// topFirst puts jobs of the first tier before the others: a round may not have room for
// all that it has to say.
func (h *Holder) topFirst(jobs []string) []string {
	slices.SortStableFunc(jobs, func(a, b string) int { return cmp.Compare(h.later(a), h.later(b)) })
	return jobs
}

// later is 0 for a job of the first tier.
func (h *Holder) later(job string) int {
	if l := h.live[job]; l != nil && h.claims.set.First(l.Record.Job) {
		return 0
	}
	return 1
}

// urgentFirst lists the machines to call, and how many of them are to be told of work of the
// first tier, or to make room for it: calls of lesser work, however many, never go before.
func (h *Holder) urgentFirst() (machines []*fleet.Machine, urgent int) {
	makes := make(map[string]bool)
	for _, c := range h.claims.by {
		for _, r := range c.Rooms {
			makes[r.Machine] = makes[r.Machine] || r.Level == 0
		}
	}
	var others []*fleet.Machine
	for _, m := range h.fleet.Machines() {
		if makes[m.ID] || slices.ContainsFunc(m.Placements(), func(p *fleet.Placement) bool { return p.State == fleet.Planned && h.later(p.Task.Job) == 0 }) {
			machines = append(machines, m)
		} else {
			others = append(others, m)
		}
	}
	return append(machines, others...), len(machines)
}
