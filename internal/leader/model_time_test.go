package leader

import (
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"amberdeal.example/amberdeal/internal/agent"
	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/leadership"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// The model with time: a fleet in one part, a controller that leads and one that may take
// over, two machines, one job, and a state service that refuses one controller or all. Holder,
// View, Claim and the worker's Core are the product's; what lies between them is up to
// the search. Time goes in steps of a third of a lease, so that the bounds lie between steps,
// and each statement has an age: a worker's lease, the controller's, what is surely
// known of cancellations, a confirmation.

const (
	timedStep = 3 * time.Second
	timedPart = "fleet"
	timedJob  = "wk-1"
	// lateKill is for how long a worker may be late to look at its lease: until then its tasks
	// are on the machine, though it neither says nor takes anything. Proofs by time leave a
	// margin for it.
	lateKill = 4 * time.Second
)

// timed is one state, reached by its path.
type timed struct {
	*model // the store and the views
	now    time.Time
	plant  string
	steady string
	may    []budget
	count  map[string]int // steps that were taken of each
	rank   int            // of the last step: within a moment they come in the order in which they are listed
	any    bool           // or in any
	grants int
	ctl    [2]*timedNode
	work   map[string]*timedWorker
	down   bool
	late   []lateTxn
	calls  []lateCall
	copies []wire.Report
	told   time.Time // when the user was told that the job is cancelled
	final  wire.Stage
	done   map[agent.Key]bool // attempts that have completed
	met    map[string]bool
}

type timedNode struct {
	*modelNode
	claim   *leadership.Claim
	holder  *Holder
	draft   *Draft
	refused bool
	dead    bool
	lease   time.Time // when the service counts its lease from; zero: it has ended
	number  uint64    // of the lease
	reading *timedRead
}

// timedRead is an answer of the service that is on its way.
type timedRead struct {
	begun   time.Time
	changes wire.Changes
}

type timedWorker struct {
	id       string
	core     *agent.Core
	answered time.Time // as the core counts it
	session  uint64
	runs     map[agent.Key]bool
	gone     bool
}

type lateTxn struct {
	wire.Txn
	kind  string
	node  int
	lease uint64
	rev   uint64
}

type lateCall struct {
	machine string
	direct  wire.Direct
}

// timedScenario is where a search begins and what may happen: of each kind of step so many.
type timedScenario struct {
	name   string
	tasks  int
	limit  float64
	from   string
	depth  int
	may    string // steps, by how they begin, and how many of each at most
	meets  string // what must have come about somewhere
	plants string // faults that are found if they are planted there
	plant  string // the one that is planted
	steady string // a machine that reports at each moment, and to whom
	any    bool   // within a moment steps come in any order, not only as they are listed
}

// budget is how many steps that begin so may be taken.
type budget struct {
	begins string
	most   int
}

func (s *timedScenario) budget() (out []budget) {
	for _, f := range strings.Split(s.may, "; ") {
		begins, n, _ := strings.Cut(f, ":")
		most, _ := strconv.Atoi(n)
		out = append(out, budget{begins, most})
	}
	return out
}

func timedConfig(limit float64) *config.Config {
	cfg := traceConfig()
	cfg.Workers.Lease, cfg.Workers.Cancel = 9*time.Second, 27*time.Second
	cfg.Tuning.Lease, cfg.Tuning.Renew = 9*time.Second, 3*time.Second
	cfg.Tuning.Idle = time.Hour
	cfg.Zones = []string{"a"}
	cfg.Teams = []config.Team{{Name: "red", GPUs: limit, GPUsMax: limit}}
	return cfg
}

func newTimed(s *timedScenario) *timed {
	m := &timed{model: &model{cfg: timedConfig(s.limit), keys: map[string]cell{}, completed: map[wire.TaskID]bool{}, limit: s.limit, tasks: s.tasks},
		now: modelNow, plant: s.plant, steady: s.steady, may: s.budget(), any: s.any, count: map[string]int{}, work: map[string]*timedWorker{}, met: map[string]bool{}, done: map[agent.Key]bool{}}
	j := &wire.Job{ID: timedJob, Class: "c", Shape: wire.Array, Team: "red", Priority: wire.Normal, Tasks: s.tasks, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "img"}
	m.apply([]wire.Change{{Put: store.BatchKey("x"), Value: store.BatchRecord{Jobs: map[string]store.JobRecord{j.ID: {Stage: wire.Pending, Tasks: s.tasks, Job: j}}}}})
	for i := range m.ctl {
		n := &modelNode{name: fmt.Sprint("c-", i), view: store.NewView(slog.New(slog.DiscardHandler))}
		n.view.Load(nil, 0, &wire.Changes{})
		m.ctl[i] = &timedNode{modelNode: n, claim: leadership.New(n.name, m.cfg.Tuning.Lease, m.cfg.Tuning.Renew)}
		m.grant(i)
		m.read(i)
	}
	m.claimPart(0, false)
	for _, id := range []string{"a", "b"} {
		m.work[id] = &timedWorker{id: id, core: agent.NewCore(agent.Self{Machine: "n-" + id, Addr: "10.1.0.1:9000", Type: "g1", Zone: "a"}, m.cfg.Workers.Lease, 1, m.now),
			answered: m.now, session: 1, runs: map[agent.Key]bool{}}
		m.report(id, 0, true)
		m.report(id, 0, true)
	}
	m.copies = nil
	return m
}

func (m *timed) grant(i int) {
	c := m.ctl[i]
	c.number, c.lease = uint64(10+10*m.grants+i), m.now
	m.grants++
	c.claim.Granted(c.number, m.now)
}

func (m *timed) served(i int) bool { return !m.down && !m.ctl[i].refused && !m.ctl[i].dead }

// changes lists what a controller has not seen, as a watch would.
func (m *timed) changes(i int) wire.Changes {
	var ch wire.Changes
	for _, e := range m.log {
		if e.Version > m.ctl[i].seen {
			ch.Events = append(ch.Events, e)
		}
	}
	ch.Revision = m.rev
	return ch
}

// takeIn has a view take in an answer that was asked for at a time, and the claim what the
// view says of the part.
func (m *timed) takeIn(i int, ch wire.Changes, begun time.Time) {
	c := m.ctl[i]
	c.view.Apply(&ch)
	c.seen = max(c.seen, ch.Revision)
	c.view.Reached(begun)
	rec, known := c.view.Part(timedPart)
	c.claim.See(timedPart, rec, known, c.view.Revision())
	m.manage(i)
}

func (m *timed) read(i int) { m.takeIn(i, m.changes(i), m.now) }

// manage begins and ends the duties for the part, as package controller does.
func (m *timed) manage(i int) {
	c := m.ctl[i]
	held, is := c.claim.Held(timedPart)
	if c.holder != nil && (!is || c.holder.held.Version != held.Version) {
		c.holder, c.draft = nil, nil
	}
	if c.holder != nil || !is || c.dead {
		return
	}
	if c.view.Revision() < held.Revision {
		if !m.served(i) {
			return
		}
		m.read(i)
		return
	}
	cfg := m.cfg
	if m.plant == "proof 3 without its margin" {
		cfg = timedConfig(m.limit)
		cfg.Workers.Lease -= 5 * time.Second
		cfg.Workers.Cancel -= 5 * time.Second // what is answered stays the same
	}
	types := []wire.MachineType{{Name: "g1", CPUs: 1, GPUs: 1, MemoryGB: 1, Price: 4, SpotPrice: 1, BootS: 30, Zones: []string{"a"}}}
	c.holder = New(cfg, held, c.view.Snapshot(), c.view.Ledgers(timedPart), types, c.view, m.now, slog.New(slog.DiscardHandler))
	if m.plant == "proof 5 without the time that others answer" {
		c.holder.fleet.Claimed = m.now.Add(-answers(cfg))
	}
	for _, spot := range []bool{false, true} { // no machines but these
		c.holder.rentals.Add(m.now, "x", scheduler.Rent{Offer: scheduler.Offer{Type: "g1", Zone: "a", Spot: spot}, Count: 1})
		c.holder.rentals.Answered(m.now, "x", 0)
	}
	if i == 1 {
		m.met["takeover"] = true
		for _, w := range m.work {
			if len(w.runs) > 0 {
				m.met["takeover with a task running"] = true
			}
		}
	}
}

// claimPart has a controller claim the part, or its claim go on its way.
func (m *timed) claimPart(i int, hold bool) {
	c := m.ctl[i]
	txn, term := c.claim.Attempt(timedPart, c.view.Term())
	for k := range txn.Then { // leases are the model's own
		txn.Then[k].Lease = 0
	}
	if hold {
		m.late = append(m.late, lateTxn{txn, "claim", i, c.number, m.rev})
		return
	}
	if m.holds(txn) && !c.lease.IsZero() {
		rev := m.apply(txn.Then)
		c.claim.Won(timedPart, term, rev)
	}
	m.read(i)
	m.manage(i)
}

// entitled says whether a controller answers a report, as package controller does.
func (m *timed) entitled(i int, r *wire.Report) (valid, ok bool) {
	c := m.ctl[i]
	held, is := c.claim.Held(timedPart)
	valid = c.claim.Valid(m.now)
	if c.holder == nil || c.dead || !is || c.holder.held.Version != held.Version || r.Term > held.Term {
		return valid, false
	}
	confirmed := c.claim.Confirmed()
	switch m.plant {
	case "answers by the claim alone":
		return valid, valid || m.now.Sub(confirmed) < m.cfg.Workers.Linger()
	case "answers by the last renewal alone":
		return valid, m.now.Sub(confirmed) < m.cfg.Workers.Linger()
	case "answers by the knowledge alone":
		return valid, m.now.Sub(c.view.CurrentAt()) < m.cfg.Workers.Linger() || valid
	}
	return valid, c.holder.Entitled(m.now, valid, confirmed)
}

// hear has a controller take in a report and gives its answer.
func (m *timed) hear(i int, r *wire.Report) (wire.Answer, bool) {
	valid, ok := m.entitled(i, r)
	if !ok {
		return wire.Answer{}, false
	}
	if r.Tasks = slices.Clone(r.Tasks); m.plant == "a clear before the end is stored" {
		a, ok := m.ctl[i].holder.Report(m.now, r, valid)
		for _, p := range m.ctl[i].holder.fleet.Machine(r.Machine).Placements() {
			if p.State == fleet.Ended {
				p.Settled = true
			}
		}
		return a, ok
	}
	return m.ctl[i].holder.Report(m.now, r, valid)
}

func (m *timed) report(id string, i int, arrives bool) {
	w := m.work[id]
	m.expire(w, false)
	r, sent := w.core.Report(), m.now
	if id == "b" { // the other is well
		m.copies = append(m.copies[max(0, len(m.copies)-2):], r)
	}
	a, ok := m.hear(i, &r)
	if !ok {
		return
	}
	if !m.told.IsZero() && i == 0 && len(w.runs) > 0 {
		m.met["the old leader answers after a cancellation"] = true
	}
	if !arrives {
		m.met["deaf"] = true
		return
	}
	term := w.core.Look().Term
	e := w.core.Answered(m.now, sent, w.session, a)
	if a.Term >= term && sent.After(w.answered) {
		w.answered = sent
	}
	for _, c := range a.Commands {
		if c.Verb == wire.Clear {
			m.cleared(c)
		}
	}
	m.effects(w, e)
}

// cleared checks that what a machine is to forget is in the store.
func (m *timed) cleared(c wire.Command) {
	id, _ := wire.ParseTaskID(c.Task)
	if !m.done[agent.Key{Task: id, Attempt: c.Attempt}] {
		return
	}
	if l, ok := m.home(); !ok || l.Record.Stage.Final() {
		return
	}
	v := store.NewView(slog.New(slog.DiscardHandler))
	var items []wire.Item
	for key, c := range m.keys {
		items = append(items, wire.Item{Key: key, Value: c.raw, Version: c.version})
	}
	v.Load(items, m.rev, &wire.Changes{})
	left := v.Ledgers(timedPart)
	_, last := store.NewLedger(left.Name, m.cfg.Store.ValueBytes, left.Own)
	if done := last.Finished[id.Job]; done == nil || !done.Has(id.Index) {
		m.breaks("forgotten: the end of %s is cleared and not stored", c.Task)
	}
}

// effects carries out what a worker is to do, at once.
func (m *timed) effects(w *timedWorker, e agent.Effects) {
	for _, k := range e.Kill {
		delete(w.runs, k)
		w.core.Ended(k, wire.CauseStopped)
	}
	for _, k := range e.Start {
		on := 0
		for _, o := range m.work {
			for r := range o.runs {
				if r.Task == k.Task {
					m.breaks("ran_twice: %v starts on %s", k.Task, w.id)
				}
			}
			on += len(o.runs)
		}
		if m.limit > 0 && float64(on+1) > m.limit {
			m.breaks("quota: %d tasks run", on+1)
		}
		if !m.told.IsZero() && m.now.Sub(m.told) > m.cfg.Workers.Cancel {
			m.breaks("ran_cancelled: %v starts %v after", k.Task, m.now.Sub(m.told))
		}
		w.runs[k] = true
		w.core.Running(k)
	}
}

// expire has a worker look at its lease: it must whenever it does anything, and in time.
func (m *timed) expire(w *timedWorker, must bool) {
	if must && m.now.Sub(w.answered) <= m.cfg.Workers.Lease+lateKill {
		return
	}
	e := w.core.Expire(m.now)
	if w.core.Session() != w.session {
		w.session, w.answered = w.core.Session(), m.now
		m.met["a later session"] = true
	}
	m.effects(w, e)
}

// tick lets time pass.
func (m *timed) tick() {
	for i, c := range m.ctl {
		// The cloud is never so late that a machine outlives what it is released for.
		if c.holder != nil && !m.told.IsZero() && m.now.Sub(m.told) >= m.cfg.Workers.Cancel-3*timedStep {
			m.release(i)
		}
	}
	m.now = m.now.Add(timedStep)
	for _, id := range []string{"a", "b"} {
		m.expire(m.work[id], true)
	}
	for i, c := range m.ctl {
		if i == 0 && !m.down && !c.lease.IsZero() && m.now.Sub(c.lease) >= m.cfg.Tuning.Lease {
			c.lease = time.Time{}
			var rec store.PartRecord
			if p, ok := m.keys[store.PartKey(timedPart)]; ok && wire.DecodeValue(p.raw, &rec) == nil && rec.Lease == c.number {
				m.apply([]wire.Change{{Delete: store.PartKey(timedPart)}})
			}
		}
	}
	if c := m.ctl[1]; m.served(1) && !c.lease.IsZero() { // it is well
		c.lease = m.now
		c.claim.Renewed(m.now)
		if c.holder != nil {
			m.read(1)
		}
	}
	for _, c := range m.ctl { // the duties of a holder go on whatever the store does
		if c.holder != nil && !c.dead {
			c.holder.Tend(m.now, c.view.Snapshot())
		}
	}
	if id, i, ok := strings.Cut(m.steady, " "); ok {
		k, _ := strconv.Atoi(i)
		m.report(id, k, true)
	}
	m.checkCancelled()
	if !m.told.IsZero() && m.down {
		m.met["down after a cancellation"] = true
	}
	if !m.told.IsZero() && m.ctl[0].refused && !m.down {
		m.met["refused alone after a cancellation"] = true
	}
}

func (m *timed) checkCancelled() {
	if m.told.IsZero() || m.now.Sub(m.told) <= m.cfg.Workers.Cancel {
		return
	}
	m.met["cancel_s has passed"] = true
	for _, w := range m.work {
		for k := range w.runs {
			m.breaks("ran_cancelled: %v is on %s %v after", k.Task, w.id, m.now.Sub(m.told))
		}
	}
}

func (m *timed) release(i int) {
	c := m.ctl[i]
	if !c.claim.Valid(m.now) {
		return
	}
	names := c.holder.toRelease()
	for _, name := range names {
		if w := m.work[strings.TrimPrefix(name, "n-")]; w != nil {
			w.gone = true
			clear(w.runs)
		}
	}
	c.holder.takenBack(names)
}

// do carries a direct call out at a worker.
func (m *timed) do(id string, d wire.Direct) (wire.Report, bool) {
	w := m.work[id]
	m.expire(w, false)
	e, ok := w.core.Direct(m.now, d)
	if ok {
		for _, c := range d.Commands {
			if c.Verb == wire.Clear {
				m.cleared(c)
			}
		}
		m.effects(w, e)
	}
	return w.core.Look(), ok
}

// call makes a holder's direct calls; lost ones are on their way.
func (m *timed) call(i int, lost bool) {
	c := m.ctl[i]
	for _, k := range c.holder.calls(m.now, c.claim.Valid(m.now), maxDirect) {
		id := strings.TrimPrefix(k.machine, "n-")
		d := wire.Direct{Term: c.holder.held.Term, Session: k.session, Commands: k.commands}
		outcome, heard := fleet.Unanswered, false
		switch {
		case m.work[id].gone:
		case lost:
			if len(d.Commands) > 0 && len(m.calls) < 2 {
				m.calls = append(m.calls, lateCall{id, d})
			}
			if m.plant == "a call without an answer counts as refused" {
				outcome = fleet.Refused
			}
		default:
			r, ok := m.do(id, d)
			if outcome = fleet.Refused; ok {
				outcome = fleet.Executed
			}
			if heard = true; r.Term <= c.holder.held.Term {
				c.holder.Inspected(m.now, &r)
			}
		}
		c.holder.mu.Lock()
		c.holder.fleet.Called(k.launched, outcome)
		if k.raise {
			c.holder.raising--
		}
		c.holder.outcome(m.now, k.machine, heard)
		c.holder.mu.Unlock()
	}
}

// decide has a holder decide a round.
func (m *timed) decide(i int) {
	c := m.ctl[i]
	c.draft = c.holder.Decide(m.now, c.view.Snapshot())
	if c.draft == nil {
		return
	}
	switch m.plant {
	case "a launch is said before its round is stored":
		for _, p := range c.draft.launches {
			p.Committed = true
		}
	case "a round is not fenced by the part":
		c.draft.Txn.If = without(c.draft.Txn.If, store.PartKey(timedPart))
	case "a round is not bound to its ledger":
		for _, t := range c.draft.packed.Then {
			c.draft.Txn.If = without(c.draft.Txn.If, t.Put)
		}
	case "an end is not bound to the job's record":
		c.draft.Txn.If = without(c.draft.Txn.If, store.BatchKey("x"))
	}
}

// commit has the service carry a holder's round out, as write does.
func (m *timed) commit(i int) {
	c := m.ctl[i]
	d := c.draft
	if m.holds(d.Txn) {
		rev := m.apply(d.Txn.Then)
		c.holder.Committed(d, rev)
		c.view.Wrote(d.Taken(rev)...)
		c.draft = nil
		return
	}
	h := c.holder
	c.draft = nil
	m.read(i)
	if last, version := c.view.Slot(d.packed.Then[0].Put); last.Term == h.held.Term && last.Round == d.Number {
		h.Committed(d, version)
		m.met["a copy of a round was taken"] = true
		return
	}
	h.Discard(d)
}

// cancel is the user's request at a controller that is served: it is told what the store says.
func (m *timed) cancel(i int, hold bool) {
	l, live := m.home()
	if !live {
		m.read(i)
		if rec, ok := m.ctl[i].view.Job(timedJob); ok && rec.Stage == wire.Cancelled {
			m.tell()
		}
		return
	}
	if hold { // by what the controller has seen
		if l, live = m.ctl[i].view.Live(timedJob); !live {
			return
		}
	}
	r := l.Home.Rewrite()
	r.End(timedJob, wire.Cancelled, m.now)
	txn := wire.Txn{If: []wire.Condition{{Key: l.Home.Key, Version: l.Home.Version}}, Then: []wire.Change{r.Change()}}
	if hold {
		m.late = append(m.late, lateTxn{txn, "cancellation", i, 0, m.rev})
		return
	}
	m.apply(txn.Then)
	m.tell()
}

func (m *timed) tell() {
	if m.told.IsZero() {
		m.told = m.now
	}
}

// steps lists what can happen next.
func (m *timed) steps(may []budget) []string {
	var out []string
	add := func(kind string, args ...any) {
		step := strings.TrimSpace(kind + " " + fmt.Sprintln(args...))
		for k, b := range may {
			if strings.HasPrefix(step, b.begins) {
				if m.count[b.begins] < b.most && (k >= m.rank || m.any) {
					out = append(out, step)
				}
				return
			}
		}
	}
	add("tick")
	if m.down {
		add("up")
	} else {
		add("down")
	}
	if m.ctl[0].refused {
		add("serve", 0)
	} else {
		add("refuse", 0)
	}
	for i, c := range m.ctl {
		if c.dead {
			continue
		}
		if m.served(i) {
			if c.seen < m.rev || c.view.CurrentAt().Before(m.now) {
				add("sync", i)
				if c.reading == nil {
					add("ask", i)
				}
			}
			if _, held := c.view.Part(timedPart); !held && c.holder == nil && c.claim.Valid(m.now) && c.seen == m.rev {
				add("claim", i)
				add("holdclaim", i)
			}
			if m.told.IsZero() {
				add("cancel", i)
				add("holdcancel", i)
			}
		}
		if !m.down && c.claim.Confirmed().Before(m.now) { // renewals may succeed where reads are refused
			add("renew", i)
		}
		if c.reading != nil {
			add("answer", i)
		}
		for _, id := range []string{"a", "b"} {
			if r := m.work[id].core.Look(); !m.work[id].gone {
				if _, ok := m.entitled(i, &r); ok {
					add("report", id, i)
					add("lose", id, i)
				}
			}
		}
		if c.holder != nil {
			for k := range m.copies {
				add("copy", k, i)
			}
			if len(c.holder.release) > 0 && c.claim.Valid(m.now) {
				add("release", i)
			}
			if c.draft == nil && c.claim.Valid(m.now) {
				if m.served(i) {
					add("round", i)
				}
				add("decide", i)
			}
			if c.draft != nil {
				if m.served(i) {
					add("commit", i)
				}
				if !m.down {
					add("hold", i)
				}
			}
			add("call", i)
			add("losecall", i)
			if i == 0 {
				add("die", i)
			}
		}
	}
	if !m.down {
		for k := range m.late {
			add("late", k)
		}
	}
	for k := range m.calls {
		add("arrive", k)
	}
	for _, id := range []string{"a", "b"} {
		if len(m.work[id].runs) > 0 {
			add("finish", id)
		}
		if w := m.work[id]; !w.gone && m.now.Sub(w.answered) > m.cfg.Workers.Lease {
			add("expire", id)
		}
	}
	return out
}

// take makes a step.
func (m *timed) take(step string) {
	f := strings.Fields(step)
	for k, b := range m.may {
		if strings.HasPrefix(step, b.begins) {
			m.count[b.begins]++
			if m.rank = k; f[0] == "tick" {
				m.rank = 0
			}
			break
		}
	}
	last := 0
	if len(f) > 1 {
		last, _ = strconv.Atoi(f[len(f)-1])
	}
	c := m.ctl[min(last, 1)]
	switch f[0] {
	case "tick":
		m.tick()
	case "down":
		m.down = true
	case "up":
		m.down = false
		for _, c := range m.ctl { // each lease has its full time again
			if !c.lease.IsZero() {
				c.lease = m.now
			}
		}
	case "refuse":
		c.refused = true
	case "serve":
		c.refused = false
	case "sync":
		m.read(last)
	case "ask":
		c.reading = &timedRead{m.now, m.changes(last)}
	case "answer":
		begun := c.reading.begun
		if m.plant == "a read counts from its answer" {
			begun = m.now
		}
		ch := c.reading.changes
		c.reading = nil
		m.takeIn(last, ch, begun)
	case "renew":
		if c.lease.IsZero() {
			c.claim.Lost()
			m.manage(last)
			m.grant(last)
			break
		}
		c.lease = m.now
		c.claim.Renewed(m.now)
	case "claim", "holdclaim":
		m.claimPart(last, f[0] == "holdclaim")
	case "cancel", "holdcancel":
		m.cancel(last, f[0] == "holdcancel")
	case "report", "lose":
		m.report(f[1], last, f[0] == "report")
	case "copy":
		k, _ := strconv.Atoi(f[1])
		r := m.copies[k]
		now := m.work[strings.TrimPrefix(r.Machine, "n-")].core.Look()
		if r.Session < now.Session {
			m.met["a copy from an earlier session"] = true
		} else if r.Seq < now.Seq {
			m.met["a copy of an older report"] = true
		}
		if m.plant == "a report is taken though older" {
			r.Session, r.Seq, r.Term = now.Session, now.Seq+1, now.Term
		}
		m.hear(last, &r)
	case "release":
		m.release(last)
	case "round": // decided and stored
		m.decide(last)
		if c.draft != nil {
			m.commit(last)
		}
	case "decide":
		m.decide(last)
	case "commit":
		m.commit(last)
	case "hold":
		m.late = append(m.late, lateTxn{c.draft.Txn, "round", last, 0, m.rev})
	case "call", "losecall":
		m.call(last, f[0] == "losecall")
	case "die": // what it was about to write may be on its way
		if c.draft != nil {
			m.late = append(m.late, lateTxn{c.draft.Txn, "round", last, 0, m.rev})
		}
		c.dead, c.holder, c.draft = true, nil, nil
	case "late":
		t := m.late[last]
		m.late = slices.Delete(slices.Clone(m.late), last, last+1)
		if m.rev > t.rev {
			m.met["a late "+t.kind+" after newer ones"] = true
		}
		if m.holds(t.Txn) && (t.lease == 0 || !m.ctl[t.node].lease.IsZero() && m.ctl[t.node].number == t.lease) {
			m.apply(t.Then)
			m.met["a late "+t.kind+" is taken"] = true
		}
	case "arrive":
		k := m.calls[last]
		m.calls = slices.Delete(slices.Clone(m.calls), last, last+1)
		if !m.work[k.machine].gone {
			if _, ok := m.do(k.machine, k.direct); ok {
				m.met["a late call is carried out"] = true
			} else {
				m.met["a late call is refused"] = true
			}
		}
	case "finish":
		w := m.work[f[1]]
		for k := range w.runs {
			w.core.Ended(k, wire.CauseDone)
			m.completed[k.Task], m.done[k] = true, true
		}
		clear(w.runs)
	case "expire":
		m.expire(m.work[f[1]], false)
	default:
		panic("no such step: " + step)
	}
	m.checkFinal()
}

func without(list []wire.Condition, key string) []wire.Condition {
	return slices.DeleteFunc(slices.Clone(list), func(c wire.Condition) bool { return c.Key == key })
}

// checkFinal checks that what was said of a job's end stays.
func (m *timed) checkFinal() {
	var batch store.BatchRecord
	if wire.DecodeValue(m.keys[store.BatchKey("x")].raw, &batch) != nil {
		return
	}
	stage := batch.Jobs[timedJob].Stage
	if m.final != "" && stage != m.final {
		m.breaks("went_back: %s is %s", m.final, stage)
	}
	if stage.Final() {
		m.final = stage
	}
}
