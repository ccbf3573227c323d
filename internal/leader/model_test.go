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
	"amberdeal.example/amberdeal/internal/quota"
	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// The model: two controllers, a fleet in two shards with a machine in each, one job, and a
// store whose every answer may be late or lost. Each step is one thing that happens
// anywhere. The very state machines of the product take part; all orders of so many
// steps are tried, and states that were met before are left alone. Time stands still:
// what time proves is played in the days on the fake clock.

// model is one state, reached by its path.
type model struct {
	cfg         *config.Config
	keys        map[string]storedValue
	revision    uint64
	log         []wire.Event
	controllers [2]*modelController
	workers     map[string]*modelWorker // by zone
	lateTxns    []wire.Txn              // transactions whose sender is gone
	teamLimit   float64                 // of the team, 0 for none
	gang        bool
	grantBound  float64 // that is granted, where the state began with more than the limit
	spread      bool
	tasks       int
	cancelled   bool
	completed   map[wire.TaskID]bool
	violation   string
}

type storedValue struct {
	raw     wire.Raw
	version uint64
}

type modelController struct {
	name         string
	view         *store.View
	seenRevision uint64
	leaders      map[string]*modelLeader // by shard
}

type modelLeader struct {
	*Leader
	draft       *Draft
	grantChange *quota.Change
}

type modelWorker struct {
	zone     string
	token    uint64
	seq      uint64
	running  map[wire.TaskID]uint64
	finished map[wire.TaskID]uint64
	// timedOut are tasks of a gang that ended for want of the others.
	timedOut map[wire.TaskID]uint64
}

// scenario is where a search begins.
type scenario struct {
	name        string
	teamLimit   float64
	spread      bool
	tasks       int
	ranges      []store.ShardRange
	prefix      string // steps that are taken first
	depth       int
	failover    bool // whether shards change leaders
	reshard     bool // whether the state was divided anew with a task of each shard's machine running
	gang        bool // whether the job is a gang
	secondEnded bool // and that of the second has ended since its machine was recorded
	cancel      bool // whether the user cancels
}

var scenarios = []scenario{
	{name: "tasks that are handed over", tasks: 2, ranges: []store.ShardRange{{From: 0, To: 2, Shard: "a"}}, depth: 10, cancel: true},
	{name: "a shard that changes leaders", tasks: 2, ranges: []store.ShardRange{{From: 0, To: 2, Shard: "a"}}, failover: true,
		prefix: "decide 0 a; commit 0 a; report 0 a; report 0 a; decide 0 a", depth: 5},
	{name: "a team's limit", teamLimit: 1, tasks: 2, ranges: []store.ShardRange{{From: 0, To: 1, Shard: "a"}, {From: 1, To: 2, Shard: "b"}}, depth: 12},
	{name: "a limit while shards change leaders", teamLimit: 1, tasks: 2, ranges: []store.ShardRange{{From: 0, To: 1, Shard: "a"}, {From: 1, To: 2, Shard: "b"}}, failover: true,
		prefix: "decide 0 a; regrant 0 a; granted 0 a; decide 0 a; commit 0 a; decide 1 b", depth: 5},
	{name: "a state that was resharded", reshard: true, tasks: 3, depth: 7, cancel: true},
	{name: "a limit in a state that was resharded", reshard: true, teamLimit: 2, tasks: 4, failover: true, prefix: "report 0 a; report 0 a; report 1 b; report 1 b", depth: 5},
	{name: "a limit that is granted twice in a state that was resharded", reshard: true, secondEnded: true, teamLimit: 1, tasks: 3,
		prefix: "report 0 a; report 0 a; report 1 b; report 1 b", depth: 8},
	{name: "a gang that is co-allocated", gang: true, tasks: 2, ranges: []store.ShardRange{{From: 0, To: 2, Shard: "a"}}, cancel: true,
		prefix: "decide 0 a; decide 0 a; commit 0 a; sync 1; decide 1 b", depth: 8},
	{name: "a gang whose shards change leaders", gang: true, tasks: 2, ranges: []store.ShardRange{{From: 0, To: 2, Shard: "a"}}, failover: true,
		prefix: "decide 0 a; decide 0 a; commit 0 a; sync 1; decide 1 b; decide 0 a; commit 0 a; report 0 a; sync 1; decide 1 b; commit 1 b; report 1 b", depth: 6},
	{name: "tasks that must be spread", spread: true, tasks: 2, ranges: []store.ShardRange{{From: 0, To: 1, Shard: "a"}, {From: 1, To: 2, Shard: "b"}}, failover: true,
		prefix: "decide 0 a; commit 0 a; report 0 a", depth: 5},
}

func newModel(s *scenario) *model {
	m := &model{cfg: traceConfig(), keys: map[string]storedValue{}, completed: map[wire.TaskID]bool{}, workers: map[string]*modelWorker{}, teamLimit: s.teamLimit, spread: s.spread, tasks: s.tasks}
	m.cfg.Tuning.Shards.By, m.cfg.Zones = "zone", []string{"a", "b"}
	m.cfg.Teams = []config.Team{{Name: "red", GPUs: s.teamLimit, GPUsMax: s.teamLimit}}
	j := &wire.Job{ID: "wk-1", Class: "c", Shape: wire.Array, Team: "red", Priority: wire.Normal, Tasks: s.tasks, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "img", Spread: s.spread}
	if s.gang {
		j.Shape = wire.Gang
	}
	m.gang = s.gang
	m.apply([]wire.Operation{{Put: store.BatchKey("x"), Value: store.BatchRecord{Jobs: map[string]store.JobRecord{j.ID: {Stage: wire.Pending, Tasks: s.tasks, Job: j, Ranges: s.ranges}}}}})
	for i := range m.controllers {
		controller := &modelController{name: fmt.Sprint("c-", i), view: store.NewView(slog.New(slog.DiscardHandler)), leaders: map[string]*modelLeader{}}
		controller.view.Load(nil, 0, &wire.WatchResponse{})
		m.controllers[i] = controller
	}
	if s.reshard {
		m.reshard()
	}
	for i, zone := range []string{"a", "b"} {
		m.workers[zone] = &modelWorker{zone: zone, running: map[wire.TaskID]uint64{}, finished: map[wire.TaskID]uint64{}, timedOut: map[wire.TaskID]uint64{}}
		if s.reshard && (i == 0 || !s.secondEnded) {
			m.workers[zone].running[wire.TaskID{Job: "wk-1", Index: i}] = uint64(i + 1)
		}
		m.electLeader(m.controllers[i], zone)
		m.sendHeartbeat(m.controllers[i], m.workers[zone]) // raises the fencing token there
		m.sendHeartbeat(m.controllers[i], m.workers[zone])
	}
	return m
}

// reshard makes a state of one shard, with a task on each machine, into one of two.
func (m *model) reshard() {
	slot := store.SegmentRecord{Entries: map[string]wire.Raw{}}
	for i, zone := range []string{"a", "b"} {
		e := store.MachineEntry("n-"+zone, store.MachineRecord{Addr: "10.1.0.1:9000", Type: "g1", Zone: zone, Incarnation: 1,
			Tasks: map[string]uint64{wire.TaskID{Job: "wk-1", Index: i}.String(): uint64(i + 1)}})
		slot.Entries[e.Key] = e.Value
	}
	m.apply([]wire.Operation{{Put: store.SegmentKey("fleet", 0), Value: slot}})
	m.sync(m.controllers[0])
	state := m.controllers[0].view.ShardingState()
	txn, err := reshard.Transaction(&state, m.cfg.Sharding(), func(job string) (store.TaskDemand, bool) {
		rec, _ := m.controllers[0].view.Job(job)
		return rec.TaskDemand()
	})
	if err != nil {
		panic(err)
	}
	if m.grantBound = m.teamLimit; m.teamLimit > 0 {
		m.grantBound = max(m.teamLimit, 2)
	}
	m.apply(txn.Then)
}

// apply changes the store.
func (m *model) apply(then []wire.Operation) uint64 {
	m.revision++
	for _, c := range then {
		if c.Delete != "" {
			delete(m.keys, c.Delete)
			m.log = append(m.log, wire.Event{Delete: c.Delete, Version: m.revision})
			continue
		}
		raw := wire.Encode(c.Value)
		m.keys[c.Put] = storedValue{raw, m.revision}
		m.log = append(m.log, wire.Event{Put: c.Put, Value: raw, Version: m.revision})
	}
	m.checkStore()
	return m.revision
}

func (m *model) conditionsHold(t wire.Txn) bool {
	for _, c := range t.If {
		if m.keys[c.Key].version != c.Version {
			return false
		}
	}
	return true
}

func (m *model) sync(controller *modelController) {
	var ch wire.WatchResponse
	for _, e := range m.log {
		if e.Version > controller.seenRevision {
			ch.Events = append(ch.Events, e)
		}
	}
	ch.Revision, controller.seenRevision = m.revision, m.revision
	controller.view.Apply(&ch)
}

var modelTime = time.Unix(1e9, 0)

func (m *model) electLeader(controller *modelController, shard string) {
	m.sync(controller)
	token := controller.view.FencingToken().Record + 1
	rev := m.apply([]wire.Operation{{Put: store.FencingTokenKey, Value: token}, {Put: store.LeaderKey(shard), Value: store.LeaderRecord{Leader: controller.name, FencingToken: token}}})
	m.sync(controller)
	types := []wire.MachineType{{Name: "g1", CPUs: 1, GPUs: 1, MemoryGB: 1, Price: 4, SpotPrice: 1, BootS: 30}}
	types[0].Zones = []string{"a", "b"}
	leader := New(m.cfg, leadership.Tenure{Shard: shard, FencingToken: token, Version: rev, Revision: rev}, controller.view.Snapshot(), controller.view.ShardLedgers(shard), types, controller.view, modelTime, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, spot := range []bool{false, true} { // no machines but these
		leader.scaler.Add(modelTime, "x", scheduler.ScaleOut{Offer: scheduler.Offer{Type: "g1", Zone: shard, Spot: spot}, Count: 1})
		leader.scaler.Complete(modelTime, "x", 0)
	}
	controller.leaders[shard] = &modelLeader{Leader: leader}
}

// sendHeartbeat has a machine send a heartbeat to a controller, and carries out the answer.
func (m *model) sendHeartbeat(controller *modelController, w *modelWorker) {
	leader := controller.leaders[w.zone]
	w.seq++
	hb := &wire.Heartbeat{Machine: "n-" + w.zone, Addr: "10.1.0.1:9000", Type: "g1", Zone: w.zone, Incarnation: 1, Seq: w.seq, FencingToken: w.token}
	for _, t := range sortedTasks(w.running) {
		hb.Tasks = append(hb.Tasks, wire.ReportedTask{Task: t.String(), ID: t, Attempt: w.running[t], State: wire.TaskRunning})
	}
	for _, t := range sortedTasks(w.finished) {
		hb.Tasks = append(hb.Tasks, wire.ReportedTask{Task: t.String(), ID: t, Attempt: w.finished[t], State: wire.TaskEnded, Cause: wire.CauseDone})
	}
	for _, t := range sortedTasks(w.timedOut) {
		hb.Tasks = append(hb.Tasks, wire.ReportedTask{Task: t.String(), ID: t, Attempt: w.timedOut[t], State: wire.TaskEnded, Cause: wire.CauseAlone})
	}
	response, _ := leader.HandleHeartbeat(modelTime, hb, true)
	if response.FencingToken < w.token {
		return
	}
	w.token = response.FencingToken
	for _, c := range response.Commands {
		id, _ := wire.ParseTaskID(c.Task)
		switch c.Verb {
		case wire.Launch:
			if w.running[id] == 0 && w.finished[id] == 0 && w.timedOut[id] != c.Attempt {
				m.start(w, id, c.Attempt)
			}
		case wire.Stop:
			delete(w.running, id)
		case wire.Clear:
			if w.finished[id] == c.Attempt {
				delete(w.finished, id)
			}
			if w.timedOut[id] == c.Attempt {
				delete(w.timedOut, id)
			}
		}
	}
}

func (m *model) start(w *modelWorker, id wire.TaskID, attempt uint64) {
	on := 0.0
	for _, other := range m.workers {
		if other.running[id] != 0 {
			m.violate("ran_twice: %v starts in %s", id, w.zone)
		}
		on += float64(len(other.running))
	}
	w.running[id] = attempt
	if m.teamLimit > 0 && on+1 > m.teamLimit {
		m.violate("quota: %v tasks run", on+1)
	}
	if m.spread && len(w.running) > (m.tasks+1)/2 {
		m.violate("wrong_place: %d tasks in %s", len(w.running), w.zone)
	}
}

func (m *model) violate(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// checkStore checks what must hold of the records at any time.
func (m *model) checkStore() {
	var batch store.BatchRecord
	if wire.DecodeValue(m.keys[store.BatchKey("x")].raw, &batch) == nil {
		rec := batch.Jobs["wk-1"]
		at := 0
		for _, r := range rec.Ranges {
			if r.From != at || r.To <= r.From {
				m.violate("ranges: %v", rec.Ranges)
			}
			at = r.To
		}
		if !rec.Stage.Final() && at != m.tasks && len(rec.Ranges) > 0 {
			m.violate("ranges: %v", rec.Ranges)
		}
		if rec.Stage == wire.Done {
			for i := range m.tasks {
				if !m.completed[wire.TaskID{Job: "wk-1", Index: i}] {
					m.violate("not_done: task %d", i)
				}
			}
		}
	}
	var grants store.QuotaGrantRecord
	if raw := m.keys[store.QuotaGrantKey].raw; raw != nil && wire.DecodeValue(raw, &grants) == nil {
		sum := 0.0
		for _, g := range grants.Teams["red"] {
			sum += g[1]
		}
		if m.grantBound = min(max(m.grantBound, m.teamLimit), max(sum, m.teamLimit)); m.teamLimit > 0 && sum > m.grantBound+1e-6 { // it never rises above
			m.violate("grants: %v", grants.Teams)
		}
	}
}

func sortedTasks(tasks map[wire.TaskID]uint64) []wire.TaskID {
	return slices.SortedFunc(maps.Keys(tasks), func(a, b wire.TaskID) int { return strings.Compare(a.String(), b.String()) })
}

// possibleSteps lists what can happen next.
func (m *model) possibleSteps(s *scenario) []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for i, controller := range m.controllers {
		if controller.seenRevision < m.revision {
			add("sync %d", i)
		}
		for _, shard := range []string{"a", "b"} {
			leader, w := controller.leaders[shard], m.workers[shard]
			_, held := m.keys[store.LeaderKey(shard)]
			if leader == nil {
				if s.failover && !held {
					add("claim %d %s", i, shard)
				}
				continue
			}
			if w.token <= leader.FencingToken() {
				add("report %d %s", i, shard)
			}
			switch {
			case leader.draft == nil:
				add("decide %d %s", i, shard)
			default:
				add("commit %d %s", i, shard)
			}
			if m.teamLimit > 0 {
				if leader.grantChange == nil {
					add("regrant %d %s", i, shard)
				} else {
					add("granted %d %s", i, shard)
				}
			}
			if s.failover {
				if m.keys[store.LeaderKey(shard)].version == leader.lease.Version {
					add("lose %d %s", i, shard)
				} else {
					add("die %d %s", i, shard)
				}
			}
		}
	}
	for i := range m.lateTxns {
		add("late %d", i)
	}
	for _, zone := range []string{"a", "b"} {
		switch w := m.workers[zone]; {
		case len(w.running) == 0:
		case m.canFinish():
			add("finish 0 %s", zone)
		default:
			add("alone 0 %s", zone)
		}
	}
	if s.cancel && !m.cancelled {
		add("cancel")
	}
	return out
}

// takeStep makes a step.
func (m *model) takeStep(step string) {
	f := strings.Fields(step)
	var controller *modelController
	var leader *modelLeader
	i, shard := 0, ""
	if len(f) > 1 {
		i, _ = strconv.Atoi(f[1])
	}
	if len(f) > 2 {
		shard, controller = f[2], m.controllers[i]
		leader = controller.leaders[shard]
	}
	switch f[0] {
	case "sync":
		m.sync(m.controllers[i])
	case "claim":
		m.electLeader(controller, shard)
	case "report":
		m.sendHeartbeat(controller, m.workers[shard])
	case "decide":
		m.decide(controller, leader, shard)
	case "commit":
		m.commit(controller, leader)
	case "regrant":
		leader.grantChange = leader.ProposeGrants()
	case "granted":
		m.settleGrants(controller, leader)
	case "lose": // the lease has run out; the leader does not know yet
		m.apply([]wire.Operation{{Delete: store.LeaderKey(shard)}})
	case "die":
		m.endLeader(controller, shard)
	case "late":
		m.deliverLateTxn(i)
	case "alone":
		m.workers[shard].timeOut()
	case "finish":
		m.finish(m.workers[shard])
	case "cancel":
		m.cancel()
	}
}

// decide has a leader decide a round, with what the leader of the other shard says of itself.
func (m *model) decide(controller *modelController, leader *modelLeader, shard string) {
	other := map[string]string{"a": "b", "b": "a"}[shard]
	status := ShardStatus{Rooms: map[string]scheduler.FreeCapacity{"c": {Now: 9}}}
	if m.gang {
		status.Rooms["c"] = scheduler.FreeCapacity{Now: 1}
	}
	for _, peer := range m.controllers {
		if otherLeader := peer.leaders[other]; otherLeader != nil {
			status.Wants, status.Ready = otherLeader.quota.Forecast().Demands, otherLeader.forecast.readyGangs
		}
	}
	leader.SetPeerShards(map[string]ShardStatus{other: status}, 1)
	leader.draft = leader.Decide(modelTime, controller.view.Snapshot())
}

// commit has the store take a leader's round, or refuse it.
func (m *model) commit(controller *modelController, leader *modelLeader) {
	if m.conditionsHold(leader.draft.Txn) {
		rev := m.apply(leader.draft.Txn.Then)
		leader.Committed(leader.draft, rev)
		controller.view.ApplyOwnWrite(leader.draft.WrittenBatches(rev)...)
	} else {
		leader.Discard(leader.draft)
	}
	leader.draft = nil
}

// settleGrants has the store take a leader's change of grants, or refuse it.
func (m *model) settleGrants(controller *modelController, leader *modelLeader) {
	if m.conditionsHold(leader.grantChange.Txn) {
		m.apply(leader.grantChange.Txn.Then)
	}
	m.sync(controller)
	leader.GrantsSettled(controller.view.Snapshot().QuotaGrants)
	leader.grantChange = nil
}

// endLeader ends a leader whose transactions are still on their way.
func (m *model) endLeader(controller *modelController, shard string) {
	leader := controller.leaders[shard]
	if leader.draft != nil {
		m.lateTxns = append(m.lateTxns, leader.draft.Txn)
	}
	if leader.grantChange != nil {
		m.lateTxns = append(m.lateTxns, leader.grantChange.Txn)
	}
	delete(controller.leaders, shard)
}

// deliverLateTxn has a transaction that was on its way arrive.
func (m *model) deliverLateTxn(i int) {
	t := m.lateTxns[i]
	m.lateTxns = slices.Delete(m.lateTxns, i, i+1)
	if m.conditionsHold(t) {
		m.apply(t.Then)
	}
}

// timeOut ends what runs: the gang was not complete in time, or has lost a task.
func (w *modelWorker) timeOut() {
	for id, n := range w.running {
		w.timedOut[id] = n
	}
	clear(w.running)
}

// finish has a task of a machine complete; the tasks of a gang complete together.
func (m *model) finish(w *modelWorker) {
	if m.gang {
		for _, other := range m.workers {
			for id, n := range other.running {
				other.finished[id], m.completed[id] = n, true
			}
			clear(other.running)
		}
		return
	}
	id := sortedTasks(w.running)[0]
	w.finished[id] = w.running[id]
	m.completed[id] = true
	delete(w.running, id)
}

// cancel is the user's request.
func (m *model) cancel() {
	m.cancelled = true
	if job, ok := m.liveJob(); ok {
		r := job.Batch.Update()
		r.EndJob("wk-1", wire.Cancelled, modelTime)
		m.apply([]wire.Operation{r.Change()})
	}
}

// canFinish reports whether what runs may complete: of a gang, all tasks run, with the same
// attempt.
func (m *model) canFinish() bool {
	if !m.gang {
		return true
	}
	attempts, n := map[uint64]bool{}, 0
	for _, other := range m.workers {
		for _, a := range other.running {
			attempts[a] = true
			n++
		}
	}
	return n == m.tasks && len(attempts) == 1
}

// liveJob looks the job up in the store itself.
func (m *model) liveJob() (*store.LiveJob, bool) {
	v := store.NewView(slog.New(slog.DiscardHandler))
	c := m.keys[store.BatchKey("x")]
	v.Load([]wire.KeyValue{{Key: store.BatchKey("x"), Value: c.raw, Version: c.version}}, m.revision, &wire.WatchResponse{})
	return v.Live("wk-1")
}

// fingerprint tells states apart.
func (m *model) fingerprint() uint64 {
	d := xxhash.New()
	put := func(format string, args ...any) { fmt.Fprintf(d, format+"\n", args...) }
	for _, key := range slices.Sorted(maps.Keys(m.keys)) {
		put("%s %x", key, []byte(m.keys[key].raw))
	}
	txn := func(t wire.Txn) { put("txn %x %v", wire.Encode(t.Then), m.conditionsHold(t)) }
	for _, controller := range m.controllers {
		put("node %d", m.revision-controller.seenRevision)
		if controller.seenRevision < m.revision {
			for _, e := range m.log {
				if e.Version > controller.seenRevision {
					put("unseen %s%s %x", e.Put, e.Delete, []byte(e.Value))
				}
			}
		}
		for _, shard := range slices.Sorted(maps.Keys(controller.leaders)) {
			leader := controller.leaders[shard]
			driver := &traceDriver{leader: leader.Leader}
			put("%s %d %v %v %v", shard, leader.lease.FencingToken, driver.describePlacements(), leader.rebuilt, leader.quota.Forecast().Demands)
			put("%v %v", leader.quota, leader.targets)
			for _, id := range sortedKeys(leader.jobStates) {
				j := leader.jobStates[id]
				put("%s %v %v %v %v %v", id, j.finished.Count(), j.storedFinished.Count(), j.endedAt, j.coAllocation.Started, j.coAllocation.Ready)
			}
			for _, s := range leader.forecast.unplaced {
				put("short %d %d", s.Coming, s.Unserved)
			}
			if leader.draft != nil {
				txn(leader.draft.Txn)
			}
			if leader.grantChange != nil {
				txn(leader.grantChange.Txn)
			}
		}
	}
	for _, t := range m.lateTxns {
		txn(t)
	}
	for _, zone := range []string{"a", "b"} {
		w := m.workers[zone]
		put("%s %d %v %v %v", zone, w.token, w.running, w.finished, w.timedOut)
	}
	put("%v", m.cancelled)
	return d.Sum64()
}

// replayPath plays a path from the beginning.
func replayPath(s *scenario, path []string) *model {
	m := newModel(s)
	for _, step := range strings.Split(s.prefix, "; ") {
		if step != "" {
			m.takeStep(step)
		}
	}
	for _, step := range path {
		m.takeStep(step)
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
					for _, step := range replayPath(s, level[i]).possibleSteps(s) {
						p := append(slices.Clone(level[i]), step)
						m := replayPath(s, p)
						next[i] = append(next[i], found{p, m.fingerprint(), m.violation})
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
	defer func(d time.Duration) { handoverAfter = d }(handoverAfter)
	handoverAfter = 0
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
