package leader

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/leadership"
	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// The model: two controllers, a fleet in two parts with a machine in each, one job, and a
// store whose every answer may be late or lost. Each step is one thing that happens
// anywhere. The very state machines of the product take part; all orders of so many
// steps are tried, and states that were met before are left alone. Time stands still:
// what time proves is played in the days on the fake clock.

// model is one state, reached by its path.
type model struct {
	cfg       *config.Config
	keys      map[string]cell
	rev       uint64
	log       []wire.Event
	nodes     [2]*modelNode
	workers   map[string]*modelWorker // by zone
	late      []wire.Txn              // transactions whose sender is gone
	limit     float64                 // of the team, 0 for none
	gang      bool
	most      float64 // that is granted, where the state began with more than the limit
	spread    bool
	tasks     int
	over      bool
	completed map[wire.TaskID]bool
	broken    string
}

type cell struct {
	raw     wire.Raw
	version uint64
}

type modelNode struct {
	name    string
	view    *store.View
	seen    uint64
	holders map[string]*modelHolder // by part
}

type modelHolder struct {
	*Holder
	draft *Draft
	grant *Regrant
}

type modelWorker struct {
	zone string
	term uint64
	seq  uint64
	runs map[wire.TaskID]uint64
	done map[wire.TaskID]uint64
	// alone are tasks of a gang that ended for want of the others.
	alone map[wire.TaskID]uint64
}

// scenario is where a search begins.
type scenario struct {
	name   string
	limit  float64
	spread bool
	tasks  int
	shares []store.Share
	from   string // steps that are taken first
	depth  int
	claims bool // whether parts change hands
	divide bool // whether the state was divided anew with a task of each part's machine running
	gang   bool // whether the job is a gang
	ended  bool // and that of the second has ended since its machine was recorded
	cancel bool // whether the user cancels
}

var scenarios = []scenario{
	{name: "tasks that are given away", tasks: 2, shares: []store.Share{{From: 0, To: 2, Part: "a"}}, depth: 10, cancel: true},
	{name: "a part that changes hands", tasks: 2, shares: []store.Share{{From: 0, To: 2, Part: "a"}}, claims: true,
		from: "decide 0 a; commit 0 a; report 0 a; report 0 a; decide 0 a", depth: 5},
	{name: "a team's limit", limit: 1, tasks: 2, shares: []store.Share{{From: 0, To: 1, Part: "a"}, {From: 1, To: 2, Part: "b"}}, depth: 12},
	{name: "a limit while parts change hands", limit: 1, tasks: 2, shares: []store.Share{{From: 0, To: 1, Part: "a"}, {From: 1, To: 2, Part: "b"}}, claims: true,
		from: "decide 0 a; regrant 0 a; granted 0 a; decide 0 a; commit 0 a; decide 1 b", depth: 5},
	{name: "a state that was divided anew", divide: true, tasks: 3, depth: 7, cancel: true},
	{name: "a limit in a state that was divided anew", divide: true, limit: 2, tasks: 4, claims: true, from: "report 0 a; report 0 a; report 1 b; report 1 b", depth: 5},
	{name: "a limit that is granted twice in a state that was divided anew", divide: true, ended: true, limit: 1, tasks: 3,
		from: "report 0 a; report 0 a; report 1 b; report 1 b", depth: 8},
	{name: "a gang that is co-allocated", gang: true, tasks: 2, shares: []store.Share{{From: 0, To: 2, Part: "a"}}, cancel: true,
		from: "decide 0 a; decide 0 a; commit 0 a; sync 1; decide 1 b", depth: 8},
	{name: "a gang whose parts change hands", gang: true, tasks: 2, shares: []store.Share{{From: 0, To: 2, Part: "a"}}, claims: true,
		from: "decide 0 a; decide 0 a; commit 0 a; sync 1; decide 1 b; decide 0 a; commit 0 a; report 0 a; sync 1; decide 1 b; commit 1 b; report 1 b", depth: 6},
	{name: "tasks that must be spread", spread: true, tasks: 2, shares: []store.Share{{From: 0, To: 1, Part: "a"}, {From: 1, To: 2, Part: "b"}}, claims: true,
		from: "decide 0 a; commit 0 a; report 0 a", depth: 5},
}

func newModel(s *scenario) *model {
	m := &model{cfg: traceConfig(), keys: map[string]cell{}, completed: map[wire.TaskID]bool{}, workers: map[string]*modelWorker{}, limit: s.limit, spread: s.spread, tasks: s.tasks}
	m.cfg.Tuning.Parts.By, m.cfg.Zones = "zone", []string{"a", "b"}
	m.cfg.Teams = []config.Team{{Name: "red", GPUs: s.limit, GPUsMax: s.limit}}
	j := &wire.Job{ID: "wk-1", Class: "c", Shape: wire.Array, Team: "red", Priority: wire.Normal, Tasks: s.tasks, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "img", Spread: s.spread}
	if s.gang {
		j.Shape = wire.Gang
	}
	m.gang = s.gang
	m.apply([]wire.Change{{Put: store.BatchKey("x"), Value: store.BatchRecord{Jobs: map[string]store.JobRecord{j.ID: {Stage: wire.Pending, Tasks: s.tasks, Job: j, Shares: s.shares}}}}})
	for i := range m.nodes {
		n := &modelNode{name: fmt.Sprint("c-", i), view: store.NewView(slog.New(slog.DiscardHandler)), holders: map[string]*modelHolder{}}
		n.view.Load(nil, 0, &wire.Changes{})
		m.nodes[i] = n
	}
	if s.divide {
		m.divide()
	}
	for i, zone := range []string{"a", "b"} {
		m.workers[zone] = &modelWorker{zone: zone, runs: map[wire.TaskID]uint64{}, done: map[wire.TaskID]uint64{}, alone: map[wire.TaskID]uint64{}}
		if s.divide && (i == 0 || !s.ended) {
			m.workers[zone].runs[wire.TaskID{Job: "wk-1", Index: i}] = uint64(i + 1)
		}
		m.claim(m.nodes[i], zone)
		m.report(m.nodes[i], m.workers[zone]) // raises the term there
		m.report(m.nodes[i], m.workers[zone])
	}
	return m
}

// divide makes a state of one part, with a task on each machine, into one of two.
func (m *model) divide() {
	slot := store.SlotRecord{Entries: map[string]wire.Raw{}}
	for i, zone := range []string{"a", "b"} {
		e := store.MachineEntry("n-"+zone, store.MachineRecord{Addr: "10.1.0.1:9000", Type: "g1", Zone: zone, Session: 1,
			Tasks: map[string]uint64{wire.TaskID{Job: "wk-1", Index: i}.String(): uint64(i + 1)}})
		slot.Entries[e.Key] = e.Value
	}
	m.apply([]wire.Change{{Put: store.SlotKey("fleet", 0), Value: slot}})
	m.sync(m.nodes[0])
	state := m.nodes[0].view.State()
	txn, err := reshard.Next(&state, m.cfg.Grouping(), func(job string) (store.Takes, bool) {
		rec, _ := m.nodes[0].view.Job(job)
		return rec.TaskTakes()
	})
	if err != nil {
		panic(err)
	}
	if m.most = m.limit; m.limit > 0 {
		m.most = max(m.limit, 2)
	}
	m.apply(txn.Then)
}

// apply changes the store.
func (m *model) apply(then []wire.Change) uint64 {
	m.rev++
	for _, c := range then {
		if c.Delete != "" {
			delete(m.keys, c.Delete)
			m.log = append(m.log, wire.Event{Delete: c.Delete, Version: m.rev})
			continue
		}
		raw := wire.Encode(c.Value)
		m.keys[c.Put] = cell{raw, m.rev}
		m.log = append(m.log, wire.Event{Put: c.Put, Value: raw, Version: m.rev})
	}
	m.checkStore()
	return m.rev
}

func (m *model) holds(t wire.Txn) bool {
	for _, c := range t.If {
		if m.keys[c.Key].version != c.Version {
			return false
		}
	}
	return true
}

func (m *model) sync(n *modelNode) {
	var ch wire.Changes
	for _, e := range m.log {
		if e.Version > n.seen {
			ch.Events = append(ch.Events, e)
		}
	}
	ch.Revision, n.seen = m.rev, m.rev
	n.view.Apply(&ch)
}

var modelNow = time.Unix(1e9, 0)

func (m *model) claim(n *modelNode, part string) {
	m.sync(n)
	term := n.view.Term().Record + 1
	rev := m.apply([]wire.Change{{Put: store.TermKey, Value: term}, {Put: store.PartKey(part), Value: store.PartRecord{Holder: n.name, Term: term}}})
	m.sync(n)
	types := []wire.MachineType{{Name: "g1", CPUs: 1, GPUs: 1, MemoryGB: 1, Price: 4, SpotPrice: 1, BootS: 30}}
	types[0].Zones = []string{"a", "b"}
	h := New(m.cfg, leadership.Held{Part: part, Term: term, Version: rev, Revision: rev}, n.view.Snapshot(), n.view.Ledgers(part), types, n.view, modelNow, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, spot := range []bool{false, true} { // no machines but these
		h.rentals.Add(modelNow, "x", scheduler.Rent{Offer: scheduler.Offer{Type: "g1", Zone: part, Spot: spot}, Count: 1})
		h.rentals.Answered(modelNow, "x", 0)
	}
	n.holders[part] = &modelHolder{Holder: h}
}

// report has a machine report to a controller, and carries out the answer.
func (m *model) report(n *modelNode, w *modelWorker) {
	h := n.holders[w.zone]
	w.seq++
	r := &wire.Report{Machine: "n-" + w.zone, Addr: "10.1.0.1:9000", Type: "g1", Zone: w.zone, Session: 1, Seq: w.seq, Term: w.term}
	for _, t := range sortedTasks(w.runs) {
		r.Tasks = append(r.Tasks, wire.ReportedTask{Task: t.String(), ID: t, Attempt: w.runs[t], State: wire.TaskRunning})
	}
	for _, t := range sortedTasks(w.done) {
		r.Tasks = append(r.Tasks, wire.ReportedTask{Task: t.String(), ID: t, Attempt: w.done[t], State: wire.TaskEnded, Cause: wire.CauseDone})
	}
	for _, t := range sortedTasks(w.alone) {
		r.Tasks = append(r.Tasks, wire.ReportedTask{Task: t.String(), ID: t, Attempt: w.alone[t], State: wire.TaskEnded, Cause: wire.CauseAlone})
	}
	a, _ := h.Report(modelNow, r, true)
	if a.Term < w.term {
		return
	}
	w.term = a.Term
	for _, c := range a.Commands {
		id, _ := wire.ParseTaskID(c.Task)
		switch c.Verb {
		case wire.Launch:
			if w.runs[id] == 0 && w.done[id] == 0 && w.alone[id] != c.Attempt {
				m.start(w, id, c.Attempt)
			}
		case wire.Stop:
			delete(w.runs, id)
		case wire.Clear:
			if w.done[id] == c.Attempt {
				delete(w.done, id)
			}
			if w.alone[id] == c.Attempt {
				delete(w.alone, id)
			}
		}
	}
}

func (m *model) start(w *modelWorker, id wire.TaskID, attempt uint64) {
	on := 0.0
	for _, o := range m.workers {
		if o.runs[id] != 0 {
			m.breaks("ran_twice: %v starts in %s", id, w.zone)
		}
		on += float64(len(o.runs))
	}
	w.runs[id] = attempt
	if m.limit > 0 && on+1 > m.limit {
		m.breaks("quota: %v tasks run", on+1)
	}
	if m.spread && len(w.runs) > (m.tasks+1)/2 {
		m.breaks("wrong_place: %d tasks in %s", len(w.runs), w.zone)
	}
}

func (m *model) breaks(format string, args ...any) {
	if m.broken == "" {
		m.broken = fmt.Sprintf(format, args...)
	}
}

// checkStore checks what must hold of the records at any time.
func (m *model) checkStore() {
	var batch store.BatchRecord
	if wire.DecodeValue(m.keys[store.BatchKey("x")].raw, &batch) == nil {
		rec := batch.Jobs["wk-1"]
		at := 0
		for _, s := range rec.Shares {
			if s.From != at || s.To <= s.From {
				m.breaks("shares: %v", rec.Shares)
			}
			at = s.To
		}
		if !rec.Stage.Final() && at != m.tasks && len(rec.Shares) > 0 {
			m.breaks("shares: %v", rec.Shares)
		}
		if rec.Stage == wire.Done {
			for i := range m.tasks {
				if !m.completed[wire.TaskID{Job: "wk-1", Index: i}] {
					m.breaks("not_done: task %d", i)
				}
			}
		}
	}
	var grants store.GrantRecord
	if raw := m.keys[store.GrantKey].raw; raw != nil && wire.DecodeValue(raw, &grants) == nil {
		sum := 0.0
		for _, g := range grants.Teams["red"] {
			sum += g[1]
		}
		if m.most = min(max(m.most, m.limit), max(sum, m.limit)); m.limit > 0 && sum > m.most+1e-6 { // it never rises above
			m.breaks("grants: %v", grants.Teams)
		}
	}
}

func sortedTasks(tasks map[wire.TaskID]uint64) []wire.TaskID {
	return slices.SortedFunc(maps.Keys(tasks), func(a, b wire.TaskID) int { return strings.Compare(a.String(), b.String()) })
}

// steps lists what can happen next.
func (m *model) steps(s *scenario) []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for i, n := range m.nodes {
		if n.seen < m.rev {
			add("sync %d", i)
		}
		for _, part := range []string{"a", "b"} {
			h, w := n.holders[part], m.workers[part]
			_, held := m.keys[store.PartKey(part)]
			if h == nil {
				if s.claims && !held {
					add("claim %d %s", i, part)
				}
				continue
			}
			if w.term <= h.Term() {
				add("report %d %s", i, part)
			}
			switch {
			case h.draft == nil:
				add("decide %d %s", i, part)
			default:
				add("commit %d %s", i, part)
			}
			if m.limit > 0 {
				if h.grant == nil {
					add("regrant %d %s", i, part)
				} else {
					add("granted %d %s", i, part)
				}
			}
			if s.claims {
				if m.keys[store.PartKey(part)].version == h.held.Version {
					add("lose %d %s", i, part)
				} else {
					add("die %d %s", i, part)
				}
			}
		}
	}
	for i := range m.late {
		add("late %d", i)
	}
	for _, zone := range []string{"a", "b"} {
		switch w := m.workers[zone]; {
		case len(w.runs) == 0:
		case m.whole():
			add("finish 0 %s", zone)
		default:
			add("alone 0 %s", zone)
		}
	}
	if s.cancel && !m.over {
		add("cancel")
	}
	return out
}

// take makes a step.
func (m *model) take(step string) {
	f := strings.Fields(step)
	var n *modelNode
	var h *modelHolder
	i, part := 0, ""
	if len(f) > 1 {
		i, _ = strconv.Atoi(f[1])
	}
	if len(f) > 2 {
		part, n = f[2], m.nodes[i]
		h = n.holders[part]
	}
	switch f[0] {
	case "sync":
		m.sync(m.nodes[i])
	case "claim":
		m.claim(n, part)
	case "report":
		m.report(n, m.workers[part])
	case "decide":
		other := map[string]string{"a": "b", "b": "a"}[part]
		status := PartStatus{Rooms: map[string]scheduler.Room{"c": {Now: 9}}}
		if m.gang {
			status.Rooms["c"] = scheduler.Room{Now: 1}
		}
		for _, o := range m.nodes {
			if oh := o.holders[other]; oh != nil {
				status.Wants, status.Ready = oh.outlook.wants, oh.outlook.ready
			}
		}
		h.SetOthers(map[string]PartStatus{other: status}, 1)
		h.draft = h.Decide(modelNow, n.view.Snapshot())
	case "commit":
		if m.holds(h.draft.Txn) {
			rev := m.apply(h.draft.Txn.Then)
			h.Committed(h.draft, rev)
			n.view.Wrote(h.draft.Taken(rev)...)
		} else {
			h.Discard(h.draft)
		}
		h.draft = nil
	case "regrant":
		h.grant = h.Regrant(modelNow)
	case "granted":
		if m.holds(h.grant.Txn) {
			m.apply(h.grant.Txn.Then)
		}
		m.sync(n)
		h.Regranted(n.view.Snapshot().Grants)
		h.grant = nil
	case "lose": // the lease has run out; the holder does not know yet
		m.apply([]wire.Change{{Delete: store.PartKey(part)}})
	case "die": // and its transactions are still on their way
		if h.draft != nil {
			m.late = append(m.late, h.draft.Txn)
		}
		if h.grant != nil {
			m.late = append(m.late, h.grant.Txn)
		}
		delete(n.holders, part)
	case "late":
		t := m.late[i]
		m.late = slices.Delete(m.late, i, i+1)
		if m.holds(t) {
			m.apply(t.Then)
		}
	case "alone": // the gang was not complete in time, or has lost a task
		w := m.workers[part]
		for id, n := range w.runs {
			w.alone[id] = n
		}
		clear(w.runs)
	case "finish":
		if m.gang { // its tasks complete together
			for _, w := range m.workers {
				for id, n := range w.runs {
					w.done[id], m.completed[id] = n, true
				}
				clear(w.runs)
			}
			return
		}
		w := m.workers[part]
		id := sortedTasks(w.runs)[0]
		w.done[id] = w.runs[id]
		m.completed[id] = true
		delete(w.runs, id)
	case "cancel":
		m.over = true
		if l, ok := m.home(); ok {
			r := l.Home.Rewrite()
			r.End("wk-1", wire.Cancelled, modelNow)
			m.apply([]wire.Change{r.Change()})
		}
	}
}

// whole reports whether what runs may complete: of a gang, all tasks run, with the same
// attempt.
func (m *model) whole() bool {
	if !m.gang {
		return true
	}
	attempts, n := map[uint64]bool{}, 0
	for _, o := range m.workers {
		for _, a := range o.runs {
			attempts[a] = true
			n++
		}
	}
	return n == m.tasks && len(attempts) == 1
}

// home looks the job up in the store itself.
func (m *model) home() (*store.LiveJob, bool) {
	v := store.NewView(slog.New(slog.DiscardHandler))
	c := m.keys[store.BatchKey("x")]
	v.Load([]wire.Item{{Key: store.BatchKey("x"), Value: c.raw, Version: c.version}}, m.rev, &wire.Changes{})
	return v.Live("wk-1")
}

// sum tells states apart.
func (m *model) sum() uint64 {
	d := xxhash.New()
	put := func(format string, args ...any) { fmt.Fprintf(d, format+"\n", args...) }
	for _, key := range slices.Sorted(maps.Keys(m.keys)) {
		put("%s %x", key, []byte(m.keys[key].raw))
	}
	txn := func(t wire.Txn) { put("txn %x %v", wire.Encode(t.Then), m.holds(t)) }
	for _, n := range m.nodes {
		put("node %d", m.rev-n.seen)
		if n.seen < m.rev {
			for _, e := range m.log {
				if e.Version > n.seen {
					put("unseen %s%s %x", e.Put, e.Delete, []byte(e.Value))
				}
			}
		}
		for _, part := range slices.Sorted(maps.Keys(n.holders)) {
			h := n.holders[part]
			b := &bench{holder: h.Holder}
			put("%s %d %v %v %v", part, h.held.Term, b.show(), h.rebuilt, h.outlook.wants)
			put("%v %v %v %v", h.grants.low, h.grants.open, h.grants.seen.Record, h.given)
			for _, id := range sortedKeys(h.jobs) {
				j := h.jobs[id]
				put("%s %v %v %v %v %v", id, j.finished.Count(), j.stored.Count(), j.ended, j.allocation.started, j.allocation.ready)
			}
			for _, s := range h.outlook.short {
				put("short %d %d", s.Coming, s.None)
			}
			if h.draft != nil {
				txn(h.draft.Txn)
			}
			if h.grant != nil {
				txn(h.grant.Txn)
			}
		}
	}
	for _, t := range m.late {
		txn(t)
	}
	for _, zone := range []string{"a", "b"} {
		w := m.workers[zone]
		put("%s %d %v %v %v", zone, w.term, w.runs, w.done, w.alone)
	}
	put("%v", m.over)
	return d.Sum64()
}

// at plays a path from the beginning.
func at(s *scenario, path []string) *model {
	m := newModel(s)
	for _, step := range strings.Split(s.from, "; ") {
		if step != "" {
			m.take(step)
		}
	}
	for _, step := range path {
		m.take(step)
	}
	return m
}

// search tries all orders of steps up to a depth, breadth first, and gives the shortest
// path that breaks a rule.
func search(s *scenario, depth int) (states int, path []string, broken string) {
	seen := map[uint64]bool{}
	level := [][]string{nil}
	for range depth {
		type found struct {
			path   []string
			sum    uint64
			broken string
		}
		next := make([][]found, len(level))
		var group sync.WaitGroup
		work := make(chan int)
		for range runtime.GOMAXPROCS(0) {
			group.Add(1)
			go func() {
				defer group.Done()
				for i := range work {
					for _, step := range at(s, level[i]).steps(s) {
						p := append(slices.Clone(level[i]), step)
						m := at(s, p)
						next[i] = append(next[i], found{p, m.sum(), m.broken})
					}
				}
			}()
		}
		for i := range level {
			work <- i
		}
		close(work)
		group.Wait()
		level = nil
		for _, list := range next {
			for _, f := range list {
				if f.broken != "" {
					return len(seen), f.path, f.broken
				}
				if !seen[f.sum] {
					seen[f.sum] = true
					level = append(level, f.path)
				}
			}
		}
	}
	return len(seen), nil, ""
}

// TestModel searches each scenario. AMBERDEAL_DEPTH adds steps.
func TestModel(t *testing.T) {
	defer func(d time.Duration) { giveAfter = d }(giveAfter)
	giveAfter = 0
	more, _ := strconv.Atoi(os.Getenv("AMBERDEAL_DEPTH"))
	for i := range scenarios {
		s := &scenarios[i]
		t.Run(s.name, func(t *testing.T) {
			states, path, broken := search(s, s.depth+more)
			if broken != "" {
				t.Errorf("%s, by %s", broken, strings.Join(path, "; "))
			}
			t.Logf("%d steps, %d states", s.depth+more, states)
		})
	}
}
