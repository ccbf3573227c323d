package round

import (
	"fmt"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/sched"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Draft is a round that was decided and is yet to be written.
type Draft struct {
	Txn    wire.Txn
	Number uint64

	launches []*fleet.Placement
	finished map[string][]int // tasks that it stores as done
	done     []string         // jobs that it stores as done
	records  []string         // machines that it records
	asks     []*ask
	dropped  []string // asks and machines whose records it drops
}

// Decide makes the next round of a snapshot, or nil when there is nothing to
// write. Stops take effect at once, since they need no fence.
func (h *Holder) Decide(now time.Time, snap store.Snapshot) *Draft {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.live = snap.Live
	h.take(now, h.fleet.Expire(now))
	h.reconcile(now)
	d := &Draft{Number: h.round + 1, finished: map[string][]int{}}
	ops := h.cfg.Store.TxnOps - 1 // the round's own record
	ops = h.storeFinished(d, ops)
	ops = h.storeRecords(d, ops)
	h.plan(now, d, ops)
	if len(d.Txn.Then) == 0 && len(d.launches) == 0 {
		return nil
	}
	d.Txn.If = append(d.Txn.If,
		wire.Condition{Key: store.PartKey(h.held.Part), Version: h.held.Version},
		wire.Condition{Key: store.RoundKey(h.held.Part), Version: h.roundVersion})
	d.Txn.Then = append(d.Txn.Then, wire.Change{Put: store.RoundKey(h.held.Part),
		Value: store.RoundRecord{Term: h.held.Term, Round: d.Number, Teams: h.used()}})
	return d
}

// reconcile compares the placements with the jobs of the snapshot: what is
// over is stopped or withdrawn, what is stored is settled.
func (h *Holder) reconcile(now time.Time) {
	for _, m := range h.fleet.Machines() {
		if now.Sub(m.Heard) > 6*time.Second || m.Draining != "" || !m.Notice.IsZero() || m.Releasing {
			for _, p := range m.Placements() {
				h.fleet.Withdraw(p) // planned where nothing is said any more
			}
		}
		for _, p := range m.Placements() {
			l := h.live[p.Task.Job]
			if l == nil {
				h.over(now, m, p)
				continue
			}
			j := h.history(p.Task.Job)
			if !p.Settled && p.State == fleet.Ended && (j.stored[p.Task.Index] || l.Finished.Has(p.Task.Index)) {
				p.Settled = true
			}
			if !m.Notice.IsZero() && p.Active() && p.Stop == nil && l.Record.Job.CheckpointS > 0 {
				h.stop(now, p, l.Record.Job, "the machine is being taken")
			}
		}
	}
	h.tearGangs(now)
	for id, j := range h.jobs {
		if h.live[id] == nil && !j.ended.IsZero() && now.Sub(j.ended) > 10*time.Minute {
			delete(h.jobs, id)
		}
	}
}

// over deals with a placement of a job that is done or cancelled.
func (h *Holder) over(now time.Time, m *fleet.Machine, p *fleet.Placement) {
	if h.fleet.Withdraw(p) {
		return
	}
	j := h.history(p.Task.Job)
	if j.ended.IsZero() {
		j.ended = now
	}
	if p.State == fleet.Ended {
		p.Settled = true
		return
	}
	if p.Stop == nil || p.Stop.Grace > 0 {
		p.Stop = &fleet.Stop{Why: "job is over", Since: now}
		h.log.Debug("stopping", "task", p.Task, "machine", p.Machine, "why", "job is over")
	}
	// A machine that can't be reached, or to which a launch may still be on its
	// way, is released before the time is up.
	if now.Sub(j.ended) > h.cfg.Workers.Cancel-15*time.Second && (now.Sub(m.Heard) > 5*time.Second || p.Loose()) {
		h.giveUp(m, "it may run a task of a cancelled job, and is silent")
	}
}

// stop asks a task to end, with time to save; a gang is stopped as a whole.
func (h *Holder) stop(now time.Time, p *fleet.Placement, job *wire.Job, why string) {
	var grace time.Duration
	if job.CheckpointS > 0 {
		grace = wire.Seconds(job.SaveS) + 5*time.Second
	}
	all := []*fleet.Placement{p}
	if job.Shape == wire.Gang {
		for i := range job.Tasks {
			if q := h.fleet.Active(wire.TaskID{Job: job.ID, Index: i}); q != nil && q != p {
				all = append(all, q)
			}
		}
	}
	for _, q := range all {
		if q.Stop == nil && !h.fleet.Withdraw(q) {
			q.Stop = &fleet.Stop{Grace: grace, Why: why, Since: now}
			h.log.Info("stopping", "task", q.Task, "attempt", q.Attempt, "machine", q.Machine, "why", why)
		}
	}
}

// tearGangs stops what is left of a gang that has lost a task: a new attempt
// needs all of the old one gone.
func (h *Holder) tearGangs(now time.Time) {
	for _, id := range sortedKeys(h.live) {
		l := h.live[id]
		if l.Record.Job.Shape != wire.Gang || l.Record.Tasks < 2 {
			continue
		}
		var left []*fleet.Placement
		for i := range l.Record.Tasks {
			if p := h.fleet.Active(wire.TaskID{Job: id, Index: i}); p != nil {
				left = append(left, p)
			}
		}
		if len(left) == 0 || len(left) == l.Record.Tasks || h.history(id).finished[0] {
			continue
		}
		for _, p := range left {
			if p.Stop == nil && !h.fleet.Withdraw(p) {
				p.Stop = &fleet.Stop{Why: "gang is torn", Since: now}
			}
		}
	}
}

// giveUp has a machine released, whatever is on it.
func (h *Holder) giveUp(m *fleet.Machine, why string) {
	if m.Releasing {
		return
	}
	m.Releasing = true
	h.release[m.ID] = true
	h.log.Info("releasing", "machine", m.ID, "why", why)
}

// storeFinished writes what was reported done and is not stored yet.
func (h *Holder) storeFinished(d *Draft, ops int) int {
	for _, id := range sortedKeys(h.jobs) {
		j, l := h.jobs[id], h.live[id]
		if l == nil {
			continue
		}
		var fresh []int
		have := l.Finished.Count()
		blocks := make(map[int]bool)
		for i := range j.finished {
			if l.Finished.Has(i) {
				continue
			}
			have++
			if !j.stored[i] {
				fresh = append(fresh, i)
				blocks[i/store.BlockTasks] = true
			}
		}
		if len(fresh) == 0 {
			continue
		}
		slices.Sort(fresh)
		changes := h.progress(id, j, l, have, blocks)
		if len(changes) > ops {
			continue // the next round has room again
		}
		ops -= len(changes)
		d.Txn.If = append(d.Txn.If, wire.Condition{Key: store.JobKey(id), Version: l.Version})
		d.Txn.Then = append(d.Txn.Then, changes...)
		d.finished[id] = fresh
		if have == l.Record.Tasks {
			d.done = append(d.done, id)
		}
	}
	return ops
}

// progress gives the changes that store which tasks of a job are done. On the
// end the job shrinks to its stage, which is kept for ever.
func (h *Holder) progress(id string, j *history, l *store.LiveJob, have int, blocks map[int]bool) []wire.Change {
	var out []wire.Change
	if have == l.Record.Tasks {
		out = append(out, wire.Change{Put: store.JobKey(id), Value: l.Record.End(wire.Done)})
		for _, b := range sortedKeys(l.Blocks) {
			out = append(out, wire.Change{Delete: store.ProgressKey(id, b)})
		}
		return out
	}
	bits := store.NewBits(l.Record.Tasks)
	for i := range l.Record.Tasks {
		if j.finished[i] || l.Finished.Has(i) {
			bits.Set(i)
		}
	}
	for _, b := range sortedKeys(blocks) {
		out = append(out, wire.Change{Put: store.ProgressKey(id, b), Value: bits.Block(b)})
	}
	return out
}

// storeRecords writes machines that have come up and drops what is gone.
func (h *Holder) storeRecords(d *Draft, ops int) int {
	put := func(c wire.Change) { d.Txn.Then = append(d.Txn.Then, c); ops-- }
	if h.typesChanged && ops > 0 {
		put(wire.Change{Put: store.TypesKey, Value: store.TypesRecord{Types: h.types}})
		h.typesChanged = false
	}
	for _, m := range h.fleet.Machines() {
		if m.Up && !m.Recorded && !h.dropMachines[m.ID] && ops > 0 {
			put(wire.Change{Put: store.MachineKey(m.ID), Value: record(m)})
			d.records = append(d.records, m.ID)
		}
	}
	for _, id := range sortedKeys(h.dropMachines) {
		if ops > 0 {
			put(wire.Change{Delete: store.MachineKey(id)})
			d.dropped = append(d.dropped, id)
		}
	}
	for _, name := range sortedKeys(h.dropAsks) {
		if ops > 0 {
			put(wire.Change{Delete: store.AskKey(name)})
			d.dropped = append(d.dropped, name)
		}
	}
	return ops
}

// record is what the store keeps of a machine.
func record(m *fleet.Machine) store.MachineRecord {
	return store.MachineRecord{Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Tasks: m.May()}
}

// plan lets sched choose and turns its plan into the draft.
func (h *Holder) plan(now time.Time, d *Draft, ops int) {
	pic := h.picture(now)
	pic.Tasks = h.cfg.Tuning.RoundTasks
	plan := sched.Choose(pic)
	ops = h.launch(now, d, plan.Launches, ops)
	for _, s := range plan.Stops {
		if p := h.fleet.Active(wire.TaskID{Job: s.Job.ID, Index: s.Index}); p != nil {
			h.stop(now, p, s.Job.Job, s.Why)
		}
	}
	for _, r := range plan.Rents {
		for left := r.Count; left > 0 && ops > 0; ops-- {
			h.sequence++
			a := &ask{name: fmt.Sprintf("t%d-%d", h.held.Term, h.sequence), offer: r.Offer, count: min(left, wire.MaxRent)}
			left -= a.count
			h.asks[a.name] = a
			d.asks = append(d.asks, a)
			d.Txn.Then = append(d.Txn.Then, wire.Change{Put: store.AskKey(a.name),
				Value: store.AskRecord{Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: a.count}})
		}
	}
	for _, id := range plan.Releases {
		h.giveUp(h.fleet.Machine(id), "idle")
	}
	h.releaseOthers(now)
}

// taskBytes bounds what one task takes in a machine's record.
const taskBytes = 40

// launch places tasks as far as the transaction has room: a condition for each
// job, and a change for each machine, whose record names what may be there. The
// rest is decided again in the next round; a gang is never split.
func (h *Holder) launch(now time.Time, d *Draft, launches []sched.Launch, ops int) int {
	conditions := 4*h.cfg.Store.TxnOps - 2 - len(d.Txn.If)
	guarded, touched := make(map[string]bool), make(map[string]bool)
	for _, c := range d.Txn.If {
		guarded[c.Key] = true
	}
	for len(launches) > 0 {
		n := 1
		for launches[0].Job.Shape == wire.Gang && n < len(launches) && launches[n].Job == launches[0].Job {
			n++
		}
		group := launches[:n]
		launches = launches[n:]
		key := store.JobKey(group[0].Job.ID)
		fresh := make(map[string]bool)
		full := false
		for _, l := range group {
			if !touched[l.Machine] {
				fresh[l.Machine] = true
			}
			full = full || len(h.fleet.Machine(l.Machine).Placements())+n > h.cfg.Store.ValueBytes/taskBytes
		}
		if full || len(fresh) > ops || !guarded[key] && conditions == 0 {
			continue
		}
		ops -= len(fresh)
		for id := range fresh {
			touched[id] = true
		}
		if !guarded[key] {
			guarded[key] = true
			conditions--
			d.Txn.If = append(d.Txn.If, wire.Condition{Key: key, Version: h.live[group[0].Job.ID].Version})
		}
		// Unique without storage; the tasks of a gang share one attempt.
		h.sequence++
		for _, l := range group {
			p := h.fleet.Place(now, h.fleet.Machine(l.Machine), wire.TaskID{Job: l.Job.ID, Index: l.Index}, h.held.Term<<24|h.sequence)
			d.launches = append(d.launches, p)
			h.log.Debug("placed", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "round", d.Number)
		}
	}
	for _, id := range sortedKeys(touched) {
		d.Txn.Then = append(d.Txn.Then, wire.Change{Put: store.MachineKey(id), Value: record(h.fleet.Machine(id))})
	}
	return ops
}

// releaseOthers gives up machines that serve nobody: drained ones that are
// empty, ones that never come up, and silent ones.
func (h *Holder) releaseOthers(now time.Time) {
	up, quiet := h.reach(now)
	for _, m := range h.fleet.Machines() {
		busy := slices.ContainsFunc(m.Placements(), (*fleet.Placement).Active)
		boot := h.typeOf(m.Type).BootS
		switch {
		case m.Up && !busy && (m.Draining != "" || !m.Notice.IsZero()):
			h.giveUp(m, "drained")
		case !m.Up && !m.Recorded && boot > 0 && now.Sub(m.Since) > wire.Seconds(4*boot)+20*time.Second:
			h.giveUp(m, "it does not come up")
		case (m.Up || m.Recorded) && !m.Releasing && h.silent(now, m) && quiet*3 <= up:
			h.giveUp(m, "silent")
			h.silenced = append(h.silenced, now)
		}
	}
}

// reach counts the machines that should be heard and those that are overdue. Ones
// that were lately given up for their silence count as both: when many fall
// silent, it is more likely that a network failed than that they all died, and
// their tasks live on for as long as their leases.
func (h *Holder) reach(now time.Time) (up, quiet int) {
	h.silenced = slices.DeleteFunc(h.silenced, func(t time.Time) bool { return now.Sub(t) > h.cfg.Workers.Lease })
	up, quiet = len(h.silenced), len(h.silenced)
	for _, m := range h.fleet.Machines() {
		if (m.Up || m.Recorded) && !m.Releasing {
			up++
			if h.quiet(now, m) > min(rebuildWait, overdue(h.cfg.Workers.Report)) {
				quiet++
			}
		}
	}
	return up, quiet
}

// overdue is when the next report of a worker should have come, at the latest.
func overdue(every time.Duration) time.Duration { return every * 7 / 5 }

// Unheard reports how many machines this holder does not hear, if those are
// too many for their own fault.
func (h *Holder) Unheard(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if up, quiet := h.reach(now); quiet*3 <= up {
		return 0
	}
	n := 0
	for _, m := range h.fleet.Machines() {
		if (m.Up || m.Recorded) && h.silent(now, m) {
			n++
		}
	}
	return n
}

// silent reports whether a machine has been quiet for too long. One that was
// never heard under the term has been called directly since the claim, so that
// its silence says more.
func (h *Holder) silent(now time.Time, m *fleet.Machine) bool {
	if m.Heard.IsZero() {
		return now.Sub(h.fleet.Claimed) > min(rebuildWait, h.cfg.Tuning.Silence)
	}
	return h.quiet(now, m) > h.cfg.Tuning.Silence
}

// quiet tells for how long a machine has not been heard under this term.
func (h *Holder) quiet(now time.Time, m *fleet.Machine) time.Duration {
	if m.Heard.After(h.fleet.Claimed) {
		return now.Sub(m.Heard)
	}
	return now.Sub(h.fleet.Claimed)
}

func (h *Holder) typeOf(name string) wire.MachineType {
	for _, t := range h.types {
		if t.Name == name {
			return t
		}
	}
	return wire.MachineType{}
}

// used sums what the teams' tasks use or may use.
func (h *Holder) used() map[string][2]float64 {
	out := make(map[string][2]float64)
	for _, m := range h.fleet.Machines() {
		for _, p := range m.Placements() {
			if t := h.takes(p.Task.Job); t != nil && p.Active() {
				u := out[t.Team]
				out[t.Team] = [2]float64{u[0] + t.CPUs, u[1] + t.GPUs}
			}
		}
	}
	return out
}

// takes tells what a task of a job takes, even when the job is over.
func (h *Holder) takes(job string) *store.Takes {
	if l := h.live[job]; l != nil {
		return l.Record.TaskTakes()
	}
	if rec, ok := h.lookup(job); ok {
		return rec.TaskTakes()
	}
	return nil
}

// Committed takes in that the store has taken a round.
func (h *Holder) Committed(d *Draft, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.round, h.roundVersion = d.Number, revision
	for _, p := range d.launches {
		p.Committed = true
	}
	for id, tasks := range d.finished {
		j := h.history(id)
		for _, i := range tasks {
			j.stored[i] = true
		}
	}
	for _, id := range d.done {
		h.log.Info("job done", "job", id, "round", d.Number)
	}
	for _, id := range d.records {
		if m := h.fleet.Machine(id); m != nil {
			m.Recorded = true
		} else {
			h.dropMachines[id] = true
		}
	}
	for _, a := range d.asks {
		a.committed = true
	}
	for _, name := range d.dropped {
		delete(h.dropAsks, name)
		delete(h.dropMachines, name)
	}
	if len(d.launches) > 0 || len(d.done) > 0 {
		h.log.Debug("round", "number", d.Number, "launches", len(d.launches), "done", len(d.done), "asks", len(d.asks))
	}
}

// Discard takes a round back that the store will never take.
func (h *Holder) Discard(d *Draft) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range d.launches {
		if h.fleet.Machine(p.Machine) != nil {
			h.fleet.Withdraw(p)
		}
	}
	for _, a := range d.asks {
		delete(h.asks, a.name)
	}
}

func sortedKeys[K interface{ ~string | ~int }, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// failedOn reports whether a conflict names a key.
func failedOn(failed []string, key string) bool {
	return slices.Contains(failed, key)
}
