package leader

import (
	"slices"
	"strings"
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Where the fleet is in several parts, each task of a job is of one part at a time, by the
// job's record. A holder launches only tasks of its own part, in rounds that are
// conditional on that record, and gives tasks away only once it has proof that they
// are nowhere: so no two holders ever launch the same task.

// shares gives the runs of a job's tasks that this part answers for and that have
// not all finished, and how many tasks other parts have yet to finish.
func (h *Holder) shares(l *store.LiveJob) (mine []store.Share, elsewhere int) {
	if h.group.Whole() {
		return []store.Share{{From: 0, To: l.Record.Tasks, Part: h.held.Part}}, 0
	}
	for _, s := range h.sharesOf(l) {
		switch {
		case s.Done, !s.Within(l.Record.Tasks):
		case s.Part == h.held.Part:
			mine = append(mine, s)
		default:
			elsewhere += s.To - s.From
		}
	}
	return mine, elsewhere
}

// sharesOf gives all shares of a job. Where its record is of an earlier grouping, they follow
// from the ledgers of that. What was left to a part that is none is of the first.
func (h *Holder) sharesOf(l *store.LiveJob) []store.Share {
	if h.undealt(l) {
		return h.impliedShares(l)
	}
	first := h.group.Parts()[0]
	if len(l.Record.Shares) == 0 {
		return []store.Share{{From: 0, To: l.Record.Tasks, Part: first}}
	}
	out := l.Record.Shares
	for i, s := range out {
		if !slices.Contains(h.group.Parts(), s.Part) {
			if &out[0] == &l.Record.Shares[0] {
				out = slices.Clone(out)
			}
			out[i].Part = first
		}
	}
	return out
}

func tasksOf(shares []store.Share) (n int) {
	for _, s := range shares {
		n += s.To - s.From
	}
	return n
}

// allFinished reports whether every task of a job that is this part's has finished.
func (h *Holder) allFinished(l *store.LiveJob, j *history) bool {
	if h.group.Whole() {
		return j.finished.Count() >= l.Record.Tasks
	}
	mine, _ := h.shares(l)
	for _, s := range mine {
		for i := s.From; i < s.To; i++ {
			if !j.finished.Has(i) {
				return false
			}
		}
	}
	return len(mine) > 0
}

// endShares marks what this part has of a job as finished. The last part to do so marks
// the job as done: all others must say so in the very record that is written.
func (h *Holder) endShares(r *store.Rewrite, id string, l *store.LiveJob, now time.Time) (done bool) {
	if h.group.Whole() {
		r.End(id, wire.Done, now)
		return true
	}
	shares, last := slices.Clone(h.sharesOf(l)), true
	for i := range shares {
		if shares[i].Part == h.held.Part {
			shares[i].Done = true
		}
		last = last && shares[i].Done
	}
	switch {
	case last:
		r.End(id, wire.Done, now)
	case h.undealt(l): // a job in too many runs to be written as shares says it like this
		h.live[id] = &store.LiveJob{Record: r.DoneIn(id, store.LedgerOf(h.held.Part, h.number)), Home: l.Home, Since: l.Since}
	default:
		h.reshare(r, id, l, shares)
	}
	return last
}

// reshare writes other shares of a job, and goes by them from here on.
func (h *Holder) reshare(r *store.Rewrite, id string, l *store.LiveJob, shares []store.Share) {
	h.live[id] = &store.LiveJob{Record: r.Reshare(id, shares, h.number), Home: l.Home, Since: l.Since}
}

// handed counts the tasks that were given to a part since it was last heard.
type handed struct {
	at    time.Time
	tasks map[string]int // by class
}

// outlook is what the last plan leaves to do between parts.
type outlook struct {
	at     time.Time
	short  []scheduler.Short
	rooms  map[string]scheduler.Room
	wants  map[string]scheduler.Want
	ready  []string // gangs in pieces for which there is room
	stays  map[string]scheduler.Amount
	placed map[string][2]float64 // what teams use with all that the plan has found a place for
}

func (h *Holder) foresee(now time.Time, plan *scheduler.Plan, teams map[string]*scheduler.Team) {
	h.outlook = outlook{now, plan.Short, plan.Rooms, plan.Wants, plan.Ready, plan.Stays, make(map[string][2]float64, len(teams))}
	for name, t := range teams {
		// Or it has reserved what there is not, for a job that has waited for long.
		if t.Within() {
			h.outlook.placed[name] = [2]float64{t.UsedCPUs, t.UsedGPUs}
		}
	}
	for _, j := range h.jobs {
		j.allocation.ready = false
	}
	for _, id := range plan.Ready {
		h.history(id).allocation.ready = true
	}
}

// giveAfter is how long tasks find no room before they go to a part that has some, so that
// what the next rounds bring is not given away. (It is a variable for the model, where
// time stands still.)
var giveAfter = 500 * time.Millisecond

// Few jobs go at a time.
const (
	rentAfter = 4 * time.Second
	giveMost  = 3               // jobs of a round
	maxShares = 24              // of a job
	givenAge  = 2 * time.Second // after which a part's room shows what it was given
)

// giveShares gives tasks that the last plan found no room for to parts that have some.
func (h *Holder) giveShares(now time.Time, d *Draft) {
	short := h.outlook.short
	h.outlook.short = nil
	given := 0
	for _, s := range short {
		if given >= giveMost || len(h.others) == 0 || !h.resumed {
			return
		}
		l := h.live[s.Job.ID]
		if l == nil {
			continue // over meanwhile
		}
		j := h.history(s.Job.ID)
		if j.since.IsZero() {
			j.since = now
		}
		waited := now.Sub(j.since)
		to, n := h.taker(now, &s, waited)
		if to == "" || n <= 0 {
			if waited >= giveAfter && h.coAllocate(now, d, &s, l, waited) {
				given++
				j.since = time.Time{}
			}
			continue
		}
		if h.give(d, s.Job.ID, l, to, n) {
			given++
			j.since = time.Time{}
			h.noteGiven(now, to, s.Job.Class, n)
			h.log.Info("tasks given to another part", "job", s.Job.ID, "tasks", n, "to", to)
		}
	}
}

// taker picks the part that has the most room for tasks that have none here, and how many
// it should get.
func (h *Holder) taker(now time.Time, s *scheduler.Short, waited time.Duration) (to string, n int) {
	if waited < giveAfter {
		return "", 0
	}
	whole := s.Job.Shape == wire.Gang || s.Job.OneZone
	if whole && (s.Job.Active > 0 || len(s.Job.Waiting) != s.Job.Mine || s.Job.Elsewhere > 0) {
		return "", 0
	}
	wanted := s.Coming + s.None
	best := 0
	for _, part := range sortedKeys(h.others) {
		o := h.others[part]
		room, known := o.Rooms[s.Job.Class]
		if !known || !h.group.Suits(part, s.Job.Job, h.types) {
			continue
		}
		free := room.Now - h.givenTo(now, part, s.Job.Class)
		if free <= 0 && s.None > 0 && waited >= rentAfter {
			switch { // nothing is on its way here, nor could be rented
			case s.Job.Priority == wire.Production && room.Below > 0:
				free = min(room.Below, s.None) - h.givenTo(now, part, s.Job.Class)
			case room.Rent:
				free = min(max(4, len(s.Job.Waiting)), s.None) - h.givenTo(now, part, s.Job.Class)
			}
		}
		take := min(free, wanted, h.roomInZones(s.Job, part))
		if whole && take < s.Job.Mine {
			continue
		}
		if take > best {
			to, best = part, take
		}
	}
	return to, best
}

// outside tells what room other parts have now, by class, in one part together.
func (h *Holder) outside(now time.Time) map[string]int {
	out := make(map[string]int)
	if !h.resumed {
		return out
	}
	for part, o := range h.others {
		for class, room := range o.Rooms {
			out[class] = max(out[class], room.Now-h.givenTo(now, part, class))
		}
	}
	return out
}

// movable tells how many tasks of a job a part could take that may have machines for it. One
// that may only be here, or in too many runs already, waits for room here.
func (h *Holder) movable(l *store.LiveJob) (most int) {
	if len(h.sharesOf(l)) >= maxShares-1 {
		return 0
	}
	for part, o := range h.others {
		if n := o.Rooms[l.Record.Job.Class].Now; n > most && h.group.Suits(part, l.Record.Job, h.types) {
			most = n
		}
	}
	return most
}

// roomInZones bounds the tasks of a job that a part may get, by the half of its tasks that
// may be in one zone.
func (h *Holder) roomInZones(j *scheduler.Job, part string) int {
	if !j.Spread {
		return j.Tasks
	}
	if !h.group.Zoned() {
		return 0
	}
	most := (j.Tasks + 1) / 2 * max(1, len(h.group.Zones(part)))
	if l := h.live[j.ID]; l != nil {
		for _, s := range h.sharesOf(l) {
			if s.Part == part {
				most -= s.To - s.From
			}
		}
	}
	return most
}

func (h *Holder) givenTo(now time.Time, part, class string) int {
	g := h.given[part]
	if now.Sub(g.at) > givenAge {
		return 0
	}
	return g.tasks[class]
}

func (h *Holder) noteGiven(now time.Time, part, class string, n int) {
	g := h.given[part]
	if g.tasks == nil || now.Sub(g.at) > givenAge {
		g = handed{tasks: map[string]int{}}
	}
	g.at = now
	g.tasks[class] += n
	h.given[part] = g
}

// give hands so many tasks of a job to a part, of the last that are nowhere.
func (h *Holder) give(d *Draft, id string, l *store.LiveJob, to string, n int) bool {
	j, gang := h.history(id), l.Record.Job.Shape == wire.Gang
	named := h.named(id)
	nowhere := func(i int) bool {
		return !j.finished.Has(i) && !named[i] && h.fleet.Active(wire.TaskID{Job: id, Index: i}) == nil
	}
	shares := h.sharesOf(l)
	var next []store.Share
	for k := len(shares) - 1; k >= 0; k-- {
		s := shares[k]
		if s.Part != h.held.Part || s.Done || !s.Within(l.Record.Tasks) {
			next = append(next, s)
			continue
		}
		// From its end on, runs that go and runs that stay.
		for end := s.To; end > s.From; {
			begin, goes := end-1, n > 0 && nowhere(end-1)
			for begin > s.From && (n > 0 && nowhere(begin-1)) == goes && (!goes || end-begin < n) {
				begin--
			}
			run := store.Share{From: begin, To: end, Part: s.Part}
			if goes {
				run.Part = to
				n -= end - begin
			}
			next = append(next, run)
			end = begin
		}
	}
	slices.Reverse(next)
	next = joined(next)
	if len(next) > maxShares || slices.Equal(next, shares) || gang && len(next) != 1 {
		return false
	}
	if l.Record.Job.OneZone && slices.ContainsFunc(next, func(s store.Share) bool { return s.Part != to && !s.Done }) {
		return false // no part knows in which zones another has tasks of it
	}
	if !h.rewriteShares(d, id, l, next) {
		return false
	}
	h.unstored.add(id, h.round) // what is left here may all have finished
	return true
}

// rewriteShares puts other shares of a job into a round, if there is room for them in the
// round and in the job's home.
func (h *Holder) rewriteShares(d *Draft, id string, l *store.LiveJob, shares []store.Share) bool {
	if _, ends := d.finished[id]; ends {
		return false // what this round says of its end goes first
	}
	for i := range h.named(id) {
		if partOf(shares, i) != h.held.Part {
			return false // it goes once the ledger names it no more
		}
	}
	r := d.ends[l.Home.Key]
	if r == nil {
		r = l.Home.Rewrite()
	}
	if r.Grown(id, shares, h.number) > h.cfg.Store.ValueBytes {
		return false
	}
	if r = d.rewrite(l); r == nil {
		return false
	}
	h.reshare(r, id, l, shares)
	return true
}

// names is what the own ledger names: the tasks that it says may be on each machine.
//
// Where a task is that the ledgers of several parts name is told by the attempt when the state
// is divided anew, and the claim of the part that had a task first may have the later term.
// So a ledger must not name a task any more that is given to another part.
type names struct {
	of  map[string]map[string]uint64 // by machine; nil where there is one part
	on  map[string]map[string]bool   // the machines of which it names tasks of a job
	old map[string]bool              // machines of which it names a task that is to be given away
}

// take takes in what the ledger names on a machine from now on.
func (n *names) take(machine string, tasks map[string]uint64) {
	if delete(n.old, machine); n.of == nil {
		return
	}
	for name := range n.of[machine] {
		job, _, _ := strings.Cut(name, "/")
		if delete(n.on[job], machine); len(n.on[job]) == 0 {
			delete(n.on, job)
		}
	}
	delete(n.of, machine)
	for name := range tasks {
		job, _, _ := strings.Cut(name, "/")
		if n.on[job] == nil {
			n.on[job] = make(map[string]bool)
		}
		n.on[job][machine] = true
		n.of[machine] = tasks
	}
}

// named tells which tasks of a job the ledger names that are nowhere. The records that name
// them are written anew.
func (h *Holder) named(job string) map[int]bool {
	var out map[int]bool
	for machine := range h.names.on[job] {
		for name := range h.names.of[machine] {
			if !strings.HasPrefix(name, job+"/") {
				continue
			}
			if t, err := wire.ParseTaskID(name); err == nil && h.fleet.Active(t) == nil {
				if out == nil {
					out = make(map[int]bool)
				}
				if h.names.old == nil {
					h.names.old = make(map[string]bool)
				}
				out[t.Index], h.names.old[machine] = true, true
			}
		}
	}
	return out
}

// disown writes the records anew that name tasks which are to be given away. It reports
// whether one is to be dropped, for which the round need not wait for company.
func (h *Holder) disown(d *Draft) (drops bool) {
	for _, id := range sortedKeys(h.names.old) {
		switch m := h.fleet.Machine(id); {
		case m == nil:
			drops = drops || h.dropMachines[id]
		case !d.machines[id] && d.add(h.machineEntry(d, id)):
			d.machines[id] = true
		}
	}
	return drops
}

// partOf tells whose a task is.
func partOf(shares []store.Share, index int) string {
	for _, s := range shares {
		if s.From <= index && index < s.To {
			return s.Part
		}
	}
	return ""
}

// joined puts runs together that follow each other in one part.
func joined(shares []store.Share) []store.Share {
	out := shares[:0:0]
	for _, s := range shares {
		if n := len(out); n > 0 && out[n-1].Part == s.Part && out[n-1].Done == s.Done && out[n-1].To == s.From {
			out[n-1].To = s.To
		} else {
			out = append(out, s)
		}
	}
	return out
}

// seeLive notes which jobs of this part are live at a snapshot.
func (h *Holder) seeLive(snap store.Snapshot) {
	if h.group.Whole() {
		return
	}
	for id, j := range h.jobs {
		if snap.Live[id] != nil {
			j.live = max(j.live, snap.Revision)
		}
	}
}

// clear tells up to which revision no task is in this part of any job that had ended by
// then. Whoever folds the jobs of all parts rests on it.
func (h *Holder) clear(revision uint64) uint64 {
	if h.group.Whole() || !h.resumed {
		return 0
	}
	for _, m := range h.fleet.Machines() {
		for _, p := range m.Placements() {
			if h.live[p.Task.Job] == nil && !p.Past() {
				revision = min(revision, h.history(p.Task.Job).live)
			}
		}
	}
	return revision
}

// clearGap is how often a round is written only to say up to when this part is clear.
const clearGap = 5 * time.Second

func (h *Holder) clearDue(now time.Time, clear uint64) bool {
	return clear > h.said && now.Sub(h.wrote) >= clearGap && h.known.Unfolded()
}
