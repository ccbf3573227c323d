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

// This file model-checks the leader: two controllers, a fleet in two shards with one machine each, one job, and a
// store whose every answer may be late or lost. A step is a single event at one participant. The model runs the
// product's own state machines, tries every order of a given number of steps, and does not explore a state twice. The
// clock stands still: rules that depend on time are tested by the simulated days on the fake clock.

// model is one state of the system, reached by a path of steps.
type model struct {
	cfg         *config.Config
	keys        map[string]storedValue
	revision    uint64
	log         []wire.Event
	controllers [2]*modelController
	workers     map[string]*modelWorker // by zone
	lateTxns    []wire.Txn              // in flight while their sender is gone
	teamLimit   float64                 // GPU limit of the team, 0 for none
	gang        bool
	grantBound  float64 // upper bound of the sum of grants, which may begin above the limit
	spread      bool
	tasks       int
	cancelled   bool
	completed   map[wire.TaskID]bool
	violation   string
}

// storedValue is a value in the store and the revision that wrote it.
type storedValue struct {
	raw     wire.Raw
	version uint64
}

// modelController is a controller with its view, and the leaders that it runs.
type modelController struct {
	name         string
	view         *store.View
	seenRevision uint64
	leaders      map[string]*modelLeader // by shard
}

// modelLeader is a leader with its open round and its open change of grants.
type modelLeader struct {
	*Leader
	draft       *Draft
	grantChange *quota.Change
}

// modelWorker is the worker of a machine, with the attempts of its tasks.
type modelWorker struct {
	zone          string
	token         uint64
	seq           uint64
	running       map[wire.TaskID]uint64
	finishedTasks map[wire.TaskID]uint64
	// timedOut holds tasks of a gang that ended because the other tasks were missing.
	timedOut map[wire.TaskID]uint64
}

// scenario is the initial state of a search and the events that may happen in it.
type scenario struct {
	name        string
	teamLimit   float64
	spread      bool
	tasks       int
	ranges      []store.ShardRange
	prefix      string // steps that are taken before the search begins
	depth       int
	failover    bool // whether shards change leaders
	reshard     bool // whether the state was resharded while each shard's machine ran a task
	gang        bool // whether the job is a gang
	secondEnded bool // with reshard: whether the second machine's task has ended since its record was written
	cancel      bool // whether the user may cancel the job
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
	{name: "a limit that is granted twice after resharding", reshard: true, secondEnded: true, teamLimit: 1, tasks: 3,
		prefix: "report 0 a; report 0 a; report 1 b; report 1 b", depth: 8},
	{name: "co-allocation of a gang", gang: true, tasks: 2, ranges: []store.ShardRange{{From: 0, To: 2, Shard: "a"}}, cancel: true,
		prefix: "decide 0 a; decide 0 a; commit 0 a; sync 1; decide 1 b", depth: 8},
	{name: "a gang whose shards change leaders", gang: true, tasks: 2, ranges: []store.ShardRange{{From: 0, To: 2, Shard: "a"}}, failover: true,
		prefix: "decide 0 a; decide 0 a; commit 0 a; sync 1; decide 1 b; decide 0 a; commit 0 a; report 0 a; sync 1; decide 1 b; commit 1 b; report 1 b", depth: 6},
	{name: "tasks that must be spread", spread: true, tasks: 2, ranges: []store.ShardRange{{From: 0, To: 1, Shard: "a"}, {From: 1, To: 2, Shard: "b"}}, failover: true,
		prefix: "decide 0 a; commit 0 a; report 0 a", depth: 5},
}

// newModel returns the initial state of a scenario, before the steps of its prefix.
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
		m.reshardState()
	}
	for i, zone := range []string{"a", "b"} {
		m.workers[zone] = &modelWorker{zone: zone, running: map[wire.TaskID]uint64{}, finishedTasks: map[wire.TaskID]uint64{}, timedOut: map[wire.TaskID]uint64{}}
		if s.reshard && (i == 0 || !s.secondEnded) {
			m.workers[zone].running[wire.TaskID{Job: "wk-1", Index: i}] = uint64(i + 1)
		}
		m.electLeader(m.controllers[i], zone)
		m.sendHeartbeat(m.controllers[i], m.workers[zone]) // raises the machine's fencing token
		m.sendHeartbeat(m.controllers[i], m.workers[zone])
	}
	return m
}

// reshardState begins with a state of one shard that has a task on each machine, and splits it into two shards.
func (m *model) reshardState() {
	segment := store.SegmentRecord{Entries: map[string]wire.Raw{}}
	for i, zone := range []string{"a", "b"} {
		e := store.MachineEntry("n-"+zone, store.MachineRecord{Addr: "10.1.0.1:9000", Type: "g1", Zone: zone, Incarnation: 1,
			Tasks: map[string]uint64{wire.TaskID{Job: "wk-1", Index: i}.String(): uint64(i + 1)}})
		segment.Entries[e.Key] = e.Value
	}
	m.apply([]wire.Operation{{Put: store.SegmentKey("fleet", 0), Value: segment}})
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

// apply applies operations to the store and returns the new revision.
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

// conditionsHold reports whether a transaction's conditions hold in the store.
func (m *model) conditionsHold(t wire.Txn) bool {
	for _, c := range t.If {
		if m.keys[c.Key].version != c.Version {
			return false
		}
	}
	return true
}

// sync brings a controller's view up to date with the store.
func (m *model) sync(controller *modelController) {
	var response wire.WatchResponse
	for _, e := range m.log {
		if e.Version > controller.seenRevision {
			response.Events = append(response.Events, e)
		}
	}
	response.Revision, controller.seenRevision = m.revision, m.revision
	controller.view.Apply(&response)
}

// modelTime is the fixed time of the model, and the time at which the model with time starts.
var modelTime = time.Unix(1e9, 0)

// electLeader has a controller win a shard and start its leader.
func (m *model) electLeader(controller *modelController, shard string) {
	m.sync(controller)
	token := controller.view.FencingToken().Record + 1
	rev := m.apply([]wire.Operation{{Put: store.FencingTokenKey, Value: token}, {Put: store.LeaderKey(shard), Value: store.LeaderRecord{Leader: controller.name, FencingToken: token}}})
	m.sync(controller)
	types := []wire.MachineType{{Name: "g1", CPUs: 1, GPUs: 1, MemoryGB: 1, Price: 4, SpotPrice: 1, BootS: 30}}
	types[0].Zones = []string{"a", "b"}
	leader := New(m.cfg, leadership.Tenure{Shard: shard, FencingToken: token, Version: rev, Revision: rev}, controller.view.Snapshot(), controller.view.ShardLedgers(shard), types, controller.view, modelTime, slog.New(slog.NewTextHandler(io.Discard, nil)))
	for _, spot := range []bool{false, true} { // no more machines can be had
		leader.scaler.Add(modelTime, "x", scheduler.ScaleOut{Offer: scheduler.Offer{Type: "g1", Zone: shard, Spot: spot}, Count: 1})
		leader.scaler.Complete(modelTime, "x", 0)
	}
	controller.leaders[shard] = &modelLeader{Leader: leader}
}

// sendHeartbeat sends a worker's heartbeat to a controller and carries out the response.
func (m *model) sendHeartbeat(controller *modelController, w *modelWorker) {
	leader := controller.leaders[w.zone]
	w.seq++
	hb := &wire.Heartbeat{Machine: "n-" + w.zone, Addr: "10.1.0.1:9000", Type: "g1", Zone: w.zone, Incarnation: 1, Seq: w.seq, FencingToken: w.token}
	for _, t := range sortedTasks(w.running) {
		hb.Tasks = append(hb.Tasks, wire.ReportedTask{Task: t.String(), ID: t, Attempt: w.running[t], State: wire.TaskRunning})
	}
	for _, t := range sortedTasks(w.finishedTasks) {
		hb.Tasks = append(hb.Tasks, wire.ReportedTask{Task: t.String(), ID: t, Attempt: w.finishedTasks[t], State: wire.TaskEnded, Cause: wire.CauseDone})
	}
	for _, t := range sortedTasks(w.timedOut) {
		hb.Tasks = append(hb.Tasks, wire.ReportedTask{Task: t.String(), ID: t, Attempt: w.timedOut[t], State: wire.TaskEnded, Cause: wire.CauseGangTimeout})
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
			if w.running[id] == 0 && w.finishedTasks[id] == 0 && w.timedOut[id] != c.Attempt {
				m.start(w, id, c.Attempt)
			}
		case wire.Stop:
			delete(w.running, id)
		case wire.Clear:
			if w.finishedTasks[id] == c.Attempt {
				delete(w.finishedTasks, id)
			}
			if w.timedOut[id] == c.Attempt {
				delete(w.timedOut, id)
			}
		}
	}
}

// start starts a task on a worker and checks that it may run there.
func (m *model) start(w *modelWorker, id wire.TaskID, attempt uint64) {
	running := 0.0
	for _, other := range m.workers {
		if other.running[id] != 0 {
			m.violate("ran_twice: %v starts in %s", id, w.zone)
		}
		running += float64(len(other.running))
	}
	w.running[id] = attempt
	if m.teamLimit > 0 && running+1 > m.teamLimit {
		m.violate("quota: %v tasks run", running+1)
	}
	if m.spread && len(w.running) > (m.tasks+1)/2 {
		m.violate("wrong_place: %d tasks in %s", len(w.running), w.zone)
	}
}

// violate records the first violation of a rule.
func (m *model) violate(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// checkStore checks the invariants of the stored records.
func (m *model) checkStore() {
	var batch store.BatchRecord
	if wire.DecodeValue(m.keys[store.BatchKey("x")].raw, &batch) == nil {
		rec := batch.Jobs["wk-1"]
		next := 0
		for _, r := range rec.Ranges {
			if r.From != next || r.To <= r.From {
				m.violate("ranges: %v", rec.Ranges)
			}
			next = r.To
		}
		if !rec.Stage.Final() && next != m.tasks && len(rec.Ranges) > 0 {
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
		if m.grantBound = min(max(m.grantBound, m.teamLimit), max(sum, m.teamLimit)); m.teamLimit > 0 && sum > m.grantBound+1e-6 { // the bound never rises again
			m.violate("grants: %v", grants.Teams)
		}
	}
}

// sortedTasks returns the tasks in the order of their names.
func sortedTasks(tasks map[wire.TaskID]uint64) []wire.TaskID {
	return slices.SortedFunc(maps.Keys(tasks), func(a, b wire.TaskID) int { return strings.Compare(a.String(), b.String()) })
}

// possibleSteps lists the steps that can be taken next.
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

// takeStep takes a step.
func (m *model) takeStep(step string) {
	words := strings.Fields(step)
	var controller *modelController
	var leader *modelLeader
	i, shard := 0, ""
	if len(words) > 1 {
		i, _ = strconv.Atoi(words[1])
	}
	if len(words) > 2 {
		shard, controller = words[2], m.controllers[i]
		leader = controller.leaders[shard]
	}
	switch words[0] {
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
	case "lose": // the lease has expired, and the leader does not know it yet
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

// decide has a leader decide a round, knowing the current status of the other shard's leader.
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

// commit sends a leader's round to the store, which applies or rejects it.
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

// settleGrants sends a leader's change of grants to the store, which applies or rejects it.
func (m *model) settleGrants(controller *modelController, leader *modelLeader) {
	if m.conditionsHold(leader.grantChange.Txn) {
		m.apply(leader.grantChange.Txn.Then)
	}
	m.sync(controller)
	leader.GrantsSettled(controller.view.Snapshot().QuotaGrants)
	leader.grantChange = nil
}

// endLeader ends a leader; its open transactions stay in flight.
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

// deliverLateTxn delivers a transaction that was in flight.
func (m *model) deliverLateTxn(i int) {
	txn := m.lateTxns[i]
	m.lateTxns = slices.Delete(m.lateTxns, i, i+1)
	if m.conditionsHold(txn) {
		m.apply(txn.Then)
	}
}

// timeOut ends the worker's running tasks: their gang was not complete in time, or has lost a task.
func (w *modelWorker) timeOut() {
	for id, attempt := range w.running {
		w.timedOut[id] = attempt
	}
	clear(w.running)
}

// finish completes a task of a worker; the tasks of a gang complete together.
func (m *model) finish(w *modelWorker) {
	if m.gang {
		for _, other := range m.workers {
			for id, attempt := range other.running {
				other.finishedTasks[id], m.completed[id] = attempt, true
			}
			clear(other.running)
		}
		return
	}
	id := sortedTasks(w.running)[0]
	w.finishedTasks[id] = w.running[id]
	m.completed[id] = true
	delete(w.running, id)
}

// cancel stores the user's cancellation of the job.
func (m *model) cancel() {
	m.cancelled = true
	if job, ok := m.liveJob(); ok {
		r := job.Batch.Update()
		r.EndJob("wk-1", wire.Cancelled, modelTime)
		m.apply([]wire.Operation{r.Operation()})
	}
}

// canFinish reports whether running tasks can complete. Those of a gang can only when all of them run under the same
// attempt.
func (m *model) canFinish() bool {
	if !m.gang {
		return true
	}
	attempts, running := map[uint64]bool{}, 0
	for _, other := range m.workers {
		for _, a := range other.running {
			attempts[a] = true
			running++
		}
	}
	return running == m.tasks && len(attempts) == 1
}

// liveJob looks up the job in the store itself, not in a controller's view.
func (m *model) liveJob() (*store.LiveJob, bool) {
	v := store.NewView(slog.New(slog.DiscardHandler))
	c := m.keys[store.BatchKey("x")]
	v.Load([]wire.KeyValue{{Key: store.BatchKey("x"), Value: c.raw, Version: c.version}}, m.revision, &wire.WatchResponse{})
	return v.LiveJob("wk-1")
}

// fingerprint returns a hash by which states are told apart.
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
		put("%s %d %v %v %v", zone, w.token, w.running, w.finishedTasks, w.timedOut)
	}
	put("%v", m.cancelled)
	return d.Sum64()
}

// replayPath returns the state that a path leads to from the start of a scenario.
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

// search tries all orders of steps up to a depth, breadth first, and returns the shortest path that breaks a rule
// and the violation.
func search(s *scenario, depth int) (states int, path []string, brokenRule string) {
	visited := map[uint64]bool{}
	level := [][]string{nil}
	for range depth {
		type successor struct {
			path       []string
			hash       uint64
			brokenRule string
		}
		next := make([][]successor, len(level))
		var group sync.WaitGroup
		work := make(chan int)
		for range runtime.GOMAXPROCS(0) {
			group.Add(1)
			go func() {
				defer group.Done()
				for i := range work {
					for _, step := range replayPath(s, level[i]).possibleSteps(s) {
						extended := append(slices.Clone(level[i]), step)
						m := replayPath(s, extended)
						next[i] = append(next[i], successor{extended, m.fingerprint(), m.violation})
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
		for _, successors := range next {
			for _, state := range successors {
				if state.brokenRule != "" {
					return len(visited), state.path, state.brokenRule
				}
				if !visited[state.hash] {
					visited[state.hash] = true
					level = append(level, state.path)
				}
			}
		}
	}
	return len(visited), nil, ""
}

// TestModel searches each scenario for a path that breaks a rule. AMBERDEAL_DEPTH=N searches N steps deeper.
func TestModel(t *testing.T) {
	defer func(d time.Duration) { handoverAfter = d }(handoverAfter)
	handoverAfter = 0
	more, _ := strconv.Atoi(os.Getenv("AMBERDEAL_DEPTH"))
	for i := range scenarios {
		s := &scenarios[i]
		t.Run(s.name, func(t *testing.T) {
			states, path, violation := search(s, s.depth+more)
			if violation != "" {
				t.Errorf("%s, by %s", violation, strings.Join(path, "; "))
			}
			t.Logf("%d steps, %d states", s.depth+more, states)
		})
	}
}
