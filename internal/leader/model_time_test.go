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

// This file extends the model by time: a fleet in one shard, a controller that leads and one that may take over, two
// machines, one job, and a state service that may refuse one controller or all. Leader, View, Election and the
// worker's Core are the product's own; the search decides what happens between them. Time advances by a third of a
// lease at once, so that bounds fall between steps, and whatever expires has an age: a worker's lease, a controller's
// lease, its knowledge of cancellations, its last confirmed renewal.

const (
	timedStep  = 3 * time.Second
	timedShard = "fleet"
	timedJob   = "wk-1"
	// maxExpiryDelay is how late a worker may notice that its lease has expired. Until then its tasks stay on the
	// machine, although the worker neither sends nor accepts anything. Proofs by time leave a margin for this.
	maxExpiryDelay = 4 * time.Second
)

// timedModel is one state of the system with time, reached by a path of steps.
type timedModel struct {
	*model              // the store and the views
	now                 time.Time
	plantedFault        string
	steadySender        string
	budgets             []budget
	stepCounts          map[string]int // steps taken, by the prefix of their budget
	lastRank            int            // index of the last step's budget; between ticks, steps come in the order of budgets
	anyOrder            bool           // lets steps between two ticks come in any order instead
	leaseGrants         int
	nodes               [2]*timedController
	machines            map[string]*timedWorker
	serviceDown         bool
	lateCommits         []lateTxn
	lateCalls           []lateCall
	duplicateHeartbeats []wire.Heartbeat
	cancelAckedAt       time.Time // when the cancellation was confirmed to the user
	firstFinalStage     wire.Stage
	finishedAttempts    map[agent.AttemptKey]bool // attempts that completed
	reached             map[string]bool
}

// timedController is a controller with its lease and, while it leads, its leader.
type timedController struct {
	*modelController
	election       *leadership.Election
	leader         *Leader
	draft          *Draft
	refused        bool
	dead           bool
	leaseRenewedAt time.Time // when the lease's current duration began, as the service counts it; zero if the lease has ended
	leaseID        uint64
	pendingRead    *pendingRead
}

// pendingRead is a read whose answer by the state service is in flight.
type pendingRead struct {
	startedAt time.Time
	changes   wire.WatchResponse
}

// timedWorker is the worker of a machine.
type timedWorker struct {
	id             string
	core           *agent.Core
	lastAnsweredAt time.Time // when the last heartbeat that was answered was sent, as the core counts it
	incarnation    uint64
	running        map[agent.AttemptKey]bool
	released       bool
}

// lateTxn is a transaction that is in flight.
type lateTxn struct {
	wire.Txn
	kind          string
	node          int
	requiredLease uint64
	revision      uint64
}

// lateCall is a direct call that is in flight.
type lateCall struct {
	machine string
	request wire.CommandRequest
}

// timedScenario is the initial state of a search, and how many steps of each kind may be taken.
type timedScenario struct {
	name          string
	tasks         int
	teamLimit     float64
	prefix        string
	depth         int
	stepLimits    string // prefixes of steps, each with the number of its steps that may be taken
	mustReach     string // situations that the search must reach
	detectsFaults string // faults that the search must find when they are planted
	plantedFault  string // the fault that is planted, if any
	steadySender  string // a machine that sends a heartbeat at each tick, and the number of the controller that receives it
	anyOrder      bool   // whether steps between two ticks come in any order, not only in that of stepLimits
}

// budget limits how many steps with a prefix may be taken.
type budget struct {
	prefix string
	limit  int
}

// parseBudgets reads stepLimits.
func (s *timedScenario) parseBudgets() (out []budget) {
	for _, item := range strings.Split(s.stepLimits, "; ") {
		prefix, number, _ := strings.Cut(item, ":")
		limit, _ := strconv.Atoi(number)
		out = append(out, budget{prefix, limit})
	}
	return out
}

// timedConfig returns the configuration of the model with time.
func timedConfig(limit float64) *config.Config {
	cfg := traceConfig()
	cfg.Workers.Lease, cfg.Workers.CancelTimeout = 9*time.Second, 27*time.Second
	cfg.Tuning.Lease, cfg.Tuning.RenewInterval = 9*time.Second, 3*time.Second
	cfg.Tuning.IdleTimeout = time.Hour
	cfg.Zones = []string{"a"}
	cfg.Teams = []config.Team{{Name: "red", GPUs: limit, GPUsMax: limit}}
	return cfg
}

// newTimedModel returns the initial state of a scenario, before the steps of its prefix: controller 0 leads, and both
// machines have sent heartbeats to it.
func newTimedModel(s *timedScenario) *timedModel {
	m := &timedModel{model: &model{cfg: timedConfig(s.teamLimit), keys: map[string]storedValue{}, completed: map[wire.TaskID]bool{}, teamLimit: s.teamLimit, tasks: s.tasks},
		now: modelTime, plantedFault: s.plantedFault, steadySender: s.steadySender, budgets: s.parseBudgets(), anyOrder: s.anyOrder, stepCounts: map[string]int{}, machines: map[string]*timedWorker{}, reached: map[string]bool{}, finishedAttempts: map[agent.AttemptKey]bool{}}
	j := &wire.Job{ID: timedJob, Class: "c", Shape: wire.Array, Team: "red", Priority: wire.Normal, Tasks: s.tasks, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "img"}
	m.apply([]wire.Operation{{Put: store.BatchKey("x"), Value: store.BatchRecord{Jobs: map[string]store.JobRecord{j.ID: {Stage: wire.Pending, Tasks: s.tasks, Job: j}}}}})
	for i := range m.nodes {
		controller := &modelController{name: fmt.Sprint("c-", i), view: store.NewView(slog.New(slog.DiscardHandler))}
		controller.view.Load(nil, 0, &wire.WatchResponse{})
		m.nodes[i] = &timedController{modelController: controller, election: leadership.New(controller.name, m.cfg.Tuning.Lease, m.cfg.Tuning.RenewInterval)}
		m.grantLease(i)
		m.readStore(i)
	}
	m.campaign(0, false)
	for _, id := range []string{"a", "b"} {
		m.machines[id] = &timedWorker{id: id, core: agent.NewCore(agent.Identity{Machine: "n-" + id, Addr: "10.1.0.1:9000", Type: "g1", Zone: "a"}, m.cfg.Workers.Lease, 1, m.now),
			lastAnsweredAt: m.now, incarnation: 1, running: map[agent.AttemptKey]bool{}}
		m.sendHeartbeat(id, 0, true)
		m.sendHeartbeat(id, 0, true)
	}
	m.duplicateHeartbeats = nil
	return m
}

// grantLease has the state service grant a controller a new lease.
func (m *timedModel) grantLease(i int) {
	c := m.nodes[i]
	c.leaseID, c.leaseRenewedAt = uint64(10+10*m.leaseGrants+i), m.now
	m.leaseGrants++
	c.election.LeaseGranted(c.leaseID, m.now)
}

// isServed reports whether the state service answers a controller.
func (m *timedModel) isServed(i int) bool {
	return !m.serviceDown && !m.nodes[i].refused && !m.nodes[i].dead
}

// unseenChanges returns the changes that a controller has not seen, as a watch would.
func (m *timedModel) unseenChanges(i int) wire.WatchResponse {
	var response wire.WatchResponse
	for _, e := range m.log {
		if e.Version > m.nodes[i].seenRevision {
			response.Events = append(response.Events, e)
		}
	}
	response.Revision = m.revision
	return response
}

// applyRead applies the answer to a read that began at a given time: to the view, and to the election what the view
// holds about the shard's leader.
func (m *timedModel) applyRead(i int, response wire.WatchResponse, startedAt time.Time) {
	c := m.nodes[i]
	c.view.Apply(&response)
	c.seenRevision = max(c.seenRevision, response.Revision)
	c.view.MarkCurrent(startedAt)
	rec, known := c.view.Leader(timedShard)
	c.election.Observe(timedShard, rec, known, c.view.Revision())
	m.manageLeadership(i)
}

// readStore has a controller read the store and get the answer at once.
func (m *timedModel) readStore(i int) { m.applyRead(i, m.unseenChanges(i), m.now) }

// manageLeadership starts and ends a controller's leader of the shard, as package controller does.
func (m *timedModel) manageLeadership(i int) {
	c := m.nodes[i]
	tenure, leads := c.election.Tenure(timedShard)
	if c.leader != nil && (!leads || c.leader.lease.Version != tenure.Version) {
		c.leader, c.draft = nil, nil
	}
	if c.leader != nil || !leads || c.dead {
		return
	}
	if c.view.Revision() < tenure.Revision {
		if !m.isServed(i) {
			return
		}
		m.readStore(i)
		return
	}
	cfg := m.cfg
	if m.plantedFault == "proof 3 without its margin" {
		cfg = timedConfig(m.teamLimit)
		cfg.Workers.Lease -= 5 * time.Second
		cfg.Workers.CancelTimeout -= 5 * time.Second // keeps the time for which heartbeats are answered
	}
	types := []wire.MachineType{{Name: "g1", CPUs: 1, GPUs: 1, MemoryGB: 1, Price: 4, SpotPrice: 1, BootS: 30, Zones: []string{"a"}}}
	c.leader = New(cfg, tenure, c.view.Snapshot(), c.view.ShardLedgers(timedShard), types, c.view, m.now, slog.New(slog.DiscardHandler))
	if m.plantedFault == "proof 5 without the time that others answer" {
		c.leader.fleet.ElectedAt = m.now.Add(-maxAnswerTime(cfg))
	}
	for _, spot := range []bool{false, true} { // no more machines can be had
		c.leader.scaler.Add(m.now, "x", scheduler.ScaleOut{Offer: scheduler.Offer{Type: "g1", Zone: "a", Spot: spot}, Count: 1})
		c.leader.scaler.Complete(m.now, "x", 0)
	}
	if i == 1 {
		m.reached["takeover"] = true
		for _, w := range m.machines {
			if len(w.running) > 0 {
				m.reached["takeover with a task running"] = true
			}
		}
	}
}

// campaign has a controller campaign for the shard; with hold, its transaction stays in flight.
func (m *timedModel) campaign(i int, hold bool) {
	c := m.nodes[i]
	txn, token := c.election.Campaign(timedShard, c.view.FencingToken())
	for k := range txn.Then { // the model keeps the leases itself
		txn.Then[k].Lease = 0
	}
	if hold {
		m.lateCommits = append(m.lateCommits, lateTxn{txn, "claim", i, c.leaseID, m.revision})
		return
	}
	if m.conditionsHold(txn) && !c.leaseRenewedAt.IsZero() {
		rev := m.apply(txn.Then)
		c.election.Won(timedShard, token, rev)
	}
	m.readStore(i)
	m.manageLeadership(i)
}

// mayAnswer reports whether a controller's lease is valid and whether it answers a heartbeat, as package controller
// does.
func (m *timedModel) mayAnswer(i int, hb *wire.Heartbeat) (valid, ok bool) {
	c := m.nodes[i]
	tenure, leads := c.election.Tenure(timedShard)
	valid = c.election.LeaseValid(m.now)
	if c.leader == nil || c.dead || !leads || c.leader.lease.Version != tenure.Version || hb.FencingToken > tenure.FencingToken {
		return valid, false
	}
	confirmed := c.election.LastRenewal()
	switch m.plantedFault {
	case "answers by the lease alone":
		return valid, valid || m.now.Sub(confirmed) < m.cfg.Workers.MaxCancelStaleness()
	case "answers by the last renewal alone":
		return valid, m.now.Sub(confirmed) < m.cfg.Workers.MaxCancelStaleness()
	case "answers by the knowledge alone":
		return valid, m.now.Sub(c.view.CurrentAt()) < m.cfg.Workers.MaxCancelStaleness() || valid
	}
	return valid, c.leader.MayAnswer(m.now, valid, confirmed)
}

// handleHeartbeat has a controller handle a heartbeat and returns its response, if it gives one.
func (m *timedModel) handleHeartbeat(i int, hb *wire.Heartbeat) (wire.HeartbeatResponse, bool) {
	valid, ok := m.mayAnswer(i, hb)
	if !ok {
		return wire.HeartbeatResponse{}, false
	}
	if hb.Tasks = slices.Clone(hb.Tasks); m.plantedFault == "a clear before the end is stored" {
		response, ok := m.nodes[i].leader.HandleHeartbeat(m.now, hb, valid)
		for _, p := range m.nodes[i].leader.fleet.Machine(hb.Machine).Placements() {
			if p.State == fleet.Ended {
				p.EndHandled = true
			}
		}
		return response, ok
	}
	return m.nodes[i].leader.HandleHeartbeat(m.now, hb, valid)
}

// sendHeartbeat sends a machine's heartbeat to a controller; the response arrives or is lost.
func (m *timedModel) sendHeartbeat(id string, i int, arrives bool) {
	w := m.machines[id]
	m.expireLease(w, false)
	hb, sent := w.core.NextHeartbeat(), m.now
	if id == "b" { // heartbeats of machine a are never duplicated
		m.duplicateHeartbeats = append(m.duplicateHeartbeats[max(0, len(m.duplicateHeartbeats)-2):], hb)
	}
	response, ok := m.handleHeartbeat(i, &hb)
	if !ok {
		return
	}
	if !m.cancelAckedAt.IsZero() && i == 0 && len(w.running) > 0 {
		m.reached["the old leader answers after a cancellation"] = true
	}
	if !arrives {
		m.reached["a lost answer"] = true
		return
	}
	token := w.core.Heartbeat().FencingToken
	effects := w.core.HandleHeartbeatResponse(m.now, sent, w.incarnation, response)
	if response.FencingToken >= token && sent.After(w.lastAnsweredAt) {
		w.lastAnsweredAt = sent
	}
	for _, c := range response.Commands {
		if c.Verb == wire.Clear {
			m.checkCleared(c)
		}
	}
	m.applyEffects(w, effects)
}

// checkCleared checks that the end of an attempt is in the store before a machine is told to forget it.
func (m *timedModel) checkCleared(c wire.Command) {
	id, _ := wire.ParseTaskID(c.Task)
	if !m.finishedAttempts[agent.AttemptKey{Task: id, Attempt: c.Attempt}] {
		return
	}
	if job, ok := m.liveJob(); !ok || job.Record.Stage.Final() {
		return
	}
	v := store.NewView(slog.New(slog.DiscardHandler))
	var items []wire.KeyValue
	for key, c := range m.keys {
		items = append(items, wire.KeyValue{Key: key, Value: c.raw, Version: c.version})
	}
	v.Load(items, m.revision, &wire.WatchResponse{})
	ledgers := v.ShardLedgers(timedShard)
	_, last := store.NewLedger(ledgers.Name, m.cfg.Store.ValueBytes, ledgers.Own)
	if finished := last.FinishedTasks[id.Job]; finished == nil || !finished.Contains(id.Index) {
		m.violate("forgotten: the end of %s is cleared and not stored", c.Task)
	}
}

// applyEffects carries out a worker's effects at once, and checks that what it starts may run.
func (m *timedModel) applyEffects(w *timedWorker, e agent.Effects) {
	for _, k := range e.Kill {
		delete(w.running, k)
		w.core.MarkEnded(k, wire.CauseStopped)
	}
	for _, k := range e.Start {
		running := 0
		for _, other := range m.machines {
			for r := range other.running {
				if r.Task == k.Task {
					m.violate("ran_twice: %v starts on %s", k.Task, w.id)
				}
			}
			running += len(other.running)
		}
		if m.teamLimit > 0 && float64(running+1) > m.teamLimit {
			m.violate("quota: %d tasks run", running+1)
		}
		if !m.cancelAckedAt.IsZero() && m.now.Sub(m.cancelAckedAt) > m.cfg.Workers.CancelTimeout {
			m.violate("ran_cancelled: %v starts %v after", k.Task, m.now.Sub(m.cancelAckedAt))
		}
		w.running[k] = true
		w.core.MarkRunning(k)
	}
}

// expireLease has a worker check its lease, which it does before every action. With must it only does if it can't be
// any later: maxExpiryDelay after the lease has expired.
func (m *timedModel) expireLease(w *timedWorker, must bool) {
	if must && m.now.Sub(w.lastAnsweredAt) <= m.cfg.Workers.Lease+maxExpiryDelay {
		return
	}
	effects := w.core.Expire(m.now)
	if w.core.Incarnation() != w.incarnation {
		w.incarnation, w.lastAnsweredAt = w.core.Incarnation(), m.now
		m.reached["a later incarnation"] = true
	}
	m.applyEffects(w, effects)
}

// tick advances the clock by timedStep and does what follows from time alone: leases expire, controller 1 renews its
// lease, and leaders reconcile.
func (m *timedModel) tick() {
	for i, c := range m.nodes {
		// The cloud is never so late that a machine still exists when a confirmed cancellation reaches its bound.
		if c.leader != nil && !m.cancelAckedAt.IsZero() && m.now.Sub(m.cancelAckedAt) >= m.cfg.Workers.CancelTimeout-3*timedStep {
			m.releaseMachines(i)
		}
	}
	m.now = m.now.Add(timedStep)
	for _, id := range []string{"a", "b"} {
		m.expireLease(m.machines[id], true)
	}
	for i, c := range m.nodes {
		if i == 0 && !m.serviceDown && !c.leaseRenewedAt.IsZero() && m.now.Sub(c.leaseRenewedAt) >= m.cfg.Tuning.Lease {
			c.leaseRenewedAt = time.Time{}
			var rec store.LeaderRecord
			if p, ok := m.keys[store.LeaderKey(timedShard)]; ok && wire.DecodeValue(p.raw, &rec) == nil && rec.Lease == c.leaseID {
				m.apply([]wire.Operation{{Delete: store.LeaderKey(timedShard)}})
			}
		}
	}
	if c := m.nodes[1]; m.isServed(1) && !c.leaseRenewedAt.IsZero() { // controller 1 works without faults of its own
		c.leaseRenewedAt = m.now
		c.election.LeaseRenewed(m.now)
		if c.leader != nil {
			m.readStore(1)
		}
	}
	for _, c := range m.nodes { // a leader reconciles even while the store does not answer
		if c.leader != nil && !c.dead {
			c.leader.Reconcile(m.now, c.view.Snapshot())
		}
	}
	if id, i, ok := strings.Cut(m.steadySender, " "); ok {
		controller, _ := strconv.Atoi(i)
		m.sendHeartbeat(id, controller, true)
	}
	m.checkCancelled()
	if !m.cancelAckedAt.IsZero() && m.serviceDown {
		m.reached["down after a cancellation"] = true
	}
	if !m.cancelAckedAt.IsZero() && m.nodes[0].refused && !m.serviceDown {
		m.reached["refused alone after a cancellation"] = true
	}
}

// checkCancelled checks that no task runs when the bound on a confirmed cancellation has passed.
func (m *timedModel) checkCancelled() {
	if m.cancelAckedAt.IsZero() || m.now.Sub(m.cancelAckedAt) <= m.cfg.Workers.CancelTimeout {
		return
	}
	m.reached["cancel_s has passed"] = true
	for _, w := range m.machines {
		for k := range w.running {
			m.violate("ran_cancelled: %v is on %s %v after", k.Task, w.id, m.now.Sub(m.cancelAckedAt))
		}
	}
}

// releaseMachines has the cloud release the machines that a leader wants to release.
func (m *timedModel) releaseMachines(i int) {
	c := m.nodes[i]
	if !c.election.LeaseValid(m.now) {
		return
	}
	names := c.leader.pendingReleases()
	for _, name := range names {
		if w := m.machines[strings.TrimPrefix(name, "n-")]; w != nil {
			w.released = true
			clear(w.running)
		}
	}
	c.leader.completeScaleIn(names)
}

// executeDirectCall has a worker execute or refuse a direct call, and returns its heartbeat.
func (m *timedModel) executeDirectCall(id string, request wire.CommandRequest) (wire.Heartbeat, bool) {
	w := m.machines[id]
	m.expireLease(w, false)
	effects, ok := w.core.HandleDirectCommands(m.now, request)
	if ok {
		for _, c := range request.Commands {
			if c.Verb == wire.Clear {
				m.checkCleared(c)
			}
		}
		m.applyEffects(w, effects)
	}
	return w.core.Heartbeat(), ok
}

// makeDirectCalls makes the direct calls of a leader that are due. Lost calls get no answer and stay in flight.
func (m *timedModel) makeDirectCalls(i int, lost bool) {
	c := m.nodes[i]
	for _, call := range c.leader.dueCalls(m.now, c.election.LeaseValid(m.now), maxOpenCalls) {
		id := strings.TrimPrefix(call.machine, "n-")
		request := wire.CommandRequest{FencingToken: c.leader.lease.FencingToken, Incarnation: call.incarnation, Commands: call.commands}
		outcome, answered := fleet.Unanswered, false
		switch {
		case m.machines[id].released:
		case lost:
			if len(request.Commands) > 0 && len(m.lateCalls) < 2 {
				m.lateCalls = append(m.lateCalls, lateCall{id, request})
			}
			if m.plantedFault == "a call without an answer counts as refused" {
				outcome = fleet.Refused
			}
		default:
			hb, ok := m.executeDirectCall(id, request)
			if outcome = fleet.Refused; ok {
				outcome = fleet.Executed
			}
			if answered = true; hb.FencingToken <= c.leader.lease.FencingToken {
				c.leader.HandleInspection(m.now, &hb)
			}
		}
		c.leader.mu.Lock()
		c.leader.fleet.CallFinished(call.launches, outcome)
		if call.fencing {
			c.leader.fencing.Finished()
		}
		c.leader.monitor.CallFinished(m.now, call.machine, answered)
		c.leader.mu.Unlock()
	}
}

// decide has a leader decide a round, and plants the scenario's fault in it.
func (m *timedModel) decide(i int) {
	c := m.nodes[i]
	c.draft = c.leader.Decide(m.now, c.view.Snapshot())
	if c.draft == nil {
		return
	}
	switch m.plantedFault {
	case "a launch is said before its round is stored":
		for _, p := range c.draft.launches {
			p.Committed = true
		}
	case "a round is not fenced by the leader record":
		c.draft.Txn.If = withoutCondition(c.draft.Txn.If, store.LeaderKey(timedShard))
	case "a round is not bound to its ledger":
		for _, t := range c.draft.Packed().Then {
			c.draft.Txn.If = withoutCondition(c.draft.Txn.If, t.Put)
		}
	case "an end is not bound to the job's record":
		c.draft.Txn.If = withoutCondition(c.draft.Txn.If, store.BatchKey("x"))
	}
}

// commit sends a leader's round to the state service and handles the result, as the leader's round loop does.
func (m *timedModel) commit(i int) {
	c := m.nodes[i]
	d := c.draft
	if m.conditionsHold(d.Txn) {
		rev := m.apply(d.Txn.Then)
		c.leader.Committed(d, rev)
		c.view.ApplyOwnWrite(d.WrittenBatches(rev)...)
		c.draft = nil
		return
	}
	leader := c.leader
	c.draft = nil
	m.readStore(i)
	if last, version := c.view.Segment(d.FirstSegmentKey()); last.FencingToken == leader.lease.FencingToken && last.Round == d.Number {
		leader.Committed(d, version)
		m.reached["a copy of a round was taken"] = true
		return
	}
	leader.Discard(d)
}

// cancel cancels the job by a user's request to a controller that is served; the user gets the result as stored. With
// hold, the transaction stays in flight.
func (m *timedModel) cancel(i int, hold bool) {
	job, live := m.liveJob()
	if !live {
		m.readStore(i)
		if rec, ok := m.nodes[i].view.Job(timedJob); ok && rec.Stage == wire.Cancelled {
			m.acknowledgeCancel()
		}
		return
	}
	if hold { // the transaction is built from the controller's view, which may be out of date
		if job, live = m.nodes[i].view.LiveJob(timedJob); !live {
			return
		}
	}
	r := job.Batch.Update()
	r.EndJob(timedJob, wire.Cancelled, m.now)
	txn := wire.Txn{If: []wire.Condition{{Key: job.Batch.Key, Version: job.Batch.Version}}, Then: []wire.Operation{r.Operation()}}
	if hold {
		m.lateCommits = append(m.lateCommits, lateTxn{txn, "cancellation", i, 0, m.revision})
		return
	}
	m.apply(txn.Then)
	m.acknowledgeCancel()
}

// acknowledgeCancel confirms the cancellation to the user.
func (m *timedModel) acknowledgeCancel() {
	if m.cancelAckedAt.IsZero() {
		m.cancelAckedAt = m.now
	}
}

// possibleSteps lists the steps that can be taken next within the budgets.
func (m *timedModel) possibleSteps(budgets []budget) []string {
	var out []string
	add := func(kind string, args ...any) {
		step := strings.TrimSpace(kind + " " + fmt.Sprintln(args...))
		for k, b := range budgets {
			if strings.HasPrefix(step, b.prefix) {
				if m.stepCounts[b.prefix] < b.limit && (k >= m.lastRank || m.anyOrder) {
					out = append(out, step)
				}
				return
			}
		}
	}
	add("tick")
	if m.serviceDown {
		add("up")
	} else {
		add("down")
	}
	if m.nodes[0].refused {
		add("serve", 0)
	} else {
		add("refuse", 0)
	}
	for i, c := range m.nodes {
		m.controllerSteps(i, c, add)
	}
	if !m.serviceDown {
		for k := range m.lateCommits {
			add("late", k)
		}
	}
	for k := range m.lateCalls {
		add("arrive", k)
	}
	for _, id := range []string{"a", "b"} {
		if len(m.machines[id].running) > 0 {
			add("finish", id)
		}
		if w := m.machines[id]; !w.released && m.now.Sub(w.lastAnsweredAt) > m.cfg.Workers.Lease {
			add("expire", id)
		}
	}
	return out
}

// controllerSteps adds the steps that a controller can take next.
func (m *timedModel) controllerSteps(i int, c *timedController, add func(kind string, args ...any)) {
	if c.dead {
		return
	}
	if m.isServed(i) {
		m.servedSteps(i, c, add)
	}
	if !m.serviceDown && c.election.LastRenewal().Before(m.now) { // renewals may succeed where reads are refused
		add("renew", i)
	}
	if c.pendingRead != nil {
		add("answer", i)
	}
	for _, id := range []string{"a", "b"} {
		if hb := m.machines[id].core.Heartbeat(); !m.machines[id].released {
			if _, ok := m.mayAnswer(i, &hb); ok {
				add("report", id, i)
				add("lose", id, i)
			}
		}
	}
	if c.leader != nil {
		m.leaderSteps(i, c, add)
	}
}

// servedSteps adds the steps that a controller can take next because the state service serves it.
func (m *timedModel) servedSteps(i int, c *timedController, add func(kind string, args ...any)) {
	if c.seenRevision < m.revision || c.view.CurrentAt().Before(m.now) {
		add("sync", i)
		if c.pendingRead == nil {
			add("ask", i)
		}
	}
	if _, held := c.view.Leader(timedShard); !held && c.leader == nil && c.election.LeaseValid(m.now) && c.seenRevision == m.revision {
		add("claim", i)
		add("holdclaim", i)
	}
	if m.cancelAckedAt.IsZero() {
		add("cancel", i)
		add("holdcancel", i)
	}
}

// leaderSteps adds the steps that a controller can take next because it leads.
func (m *timedModel) leaderSteps(i int, c *timedController, add func(kind string, args ...any)) {
	for k := range m.duplicateHeartbeats {
		add("copy", k, i)
	}
	if len(c.leader.scaler.Releasing()) > 0 && c.election.LeaseValid(m.now) {
		add("release", i)
	}
	if c.draft == nil && c.election.LeaseValid(m.now) {
		if m.isServed(i) {
			add("round", i)
		}
		add("decide", i)
	}
	if c.draft != nil {
		if m.isServed(i) {
			add("commit", i)
		}
		if !m.serviceDown {
			add("hold", i)
		}
	}
	add("call", i)
	add("losecall", i)
	if i == 0 {
		add("die", i)
	}
}

// countStep counts a step against its budget.
func (m *timedModel) countStep(step string) {
	for k, b := range m.budgets {
		if strings.HasPrefix(step, b.prefix) {
			m.stepCounts[b.prefix]++
			if m.lastRank = k; step == "tick" {
				m.lastRank = 0
			}
			return
		}
	}
}

// takeStep takes a step and checks the job's stage.
func (m *timedModel) takeStep(step string) {
	m.countStep(step)
	words := strings.Fields(step)
	last := 0 // the last word, in most steps the number of the controller
	if len(words) > 1 {
		last, _ = strconv.Atoi(words[len(words)-1])
	}
	c := m.nodes[min(last, 1)]
	switch words[0] {
	case "tick":
		m.tick()
	case "down":
		m.serviceDown = true
	case "up":
		m.restoreService()
	case "refuse":
		c.refused = true
	case "serve":
		c.refused = false
	case "sync":
		m.readStore(last)
	case "ask":
		c.pendingRead = &pendingRead{m.now, m.unseenChanges(last)}
	case "answer":
		m.answerRead(last)
	case "renew":
		m.renewLease(last)
	case "claim", "holdclaim":
		m.campaign(last, words[0] == "holdclaim")
	case "cancel", "holdcancel":
		m.cancel(last, words[0] == "holdcancel")
	case "report", "lose":
		m.sendHeartbeat(words[1], last, words[0] == "report")
	case "copy":
		k, _ := strconv.Atoi(words[1])
		m.replayHeartbeat(k, last)
	case "release":
		m.releaseMachines(last)
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
		m.holdRound(last)
	case "call", "losecall":
		m.makeDirectCalls(last, words[0] == "losecall")
	case "die": // a round that it has decided may be in flight
		if c.draft != nil {
			m.holdRound(last)
		}
		c.dead, c.leader, c.draft = true, nil, nil
	case "late":
		m.deliverLateCommit(last)
	case "arrive":
		m.deliverLateCall(last)
	case "finish":
		m.finishTasks(m.machines[words[1]])
	case "expire":
		m.expireLease(m.machines[words[1]], false)
	default:
		panic("unknown step: " + step)
	}
	m.checkFinal()
}

// restoreService ends an outage of the state service, after which each lease has its full duration again.
func (m *timedModel) restoreService() {
	m.serviceDown = false
	for _, c := range m.nodes {
		if !c.leaseRenewedAt.IsZero() {
			c.leaseRenewedAt = m.now
		}
	}
}

// answerRead delivers the answer to a controller's pending read.
func (m *timedModel) answerRead(i int) {
	c := m.nodes[i]
	startedAt := c.pendingRead.startedAt
	if m.plantedFault == "a read counts from its answer" {
		startedAt = m.now
	}
	changes := c.pendingRead.changes
	c.pendingRead = nil
	m.applyRead(i, changes, startedAt)
}

// renewLease has a controller renew its lease, or get a new one if it has ended.
func (m *timedModel) renewLease(i int) {
	c := m.nodes[i]
	if c.leaseRenewedAt.IsZero() {
		c.election.LeaseLost()
		m.manageLeadership(i)
		m.grantLease(i)
		return
	}
	c.leaseRenewedAt = m.now
	c.election.LeaseRenewed(m.now)
}

// replayHeartbeat delivers a late copy of a heartbeat to a controller.
func (m *timedModel) replayHeartbeat(k, i int) {
	hb := m.duplicateHeartbeats[k]
	latest := m.machines[strings.TrimPrefix(hb.Machine, "n-")].core.Heartbeat()
	if hb.Incarnation < latest.Incarnation {
		m.reached["a copy from an earlier incarnation"] = true
	} else if hb.Seq < latest.Seq {
		m.reached["a copy of an older heartbeat"] = true
	}
	if m.plantedFault == "a heartbeat is applied though older" {
		hb.Incarnation, hb.Seq, hb.FencingToken = latest.Incarnation, latest.Seq+1, latest.FencingToken
	}
	m.handleHeartbeat(i, &hb)
}

// holdRound leaves the transaction of a controller's round in flight.
func (m *timedModel) holdRound(i int) {
	m.lateCommits = append(m.lateCommits, lateTxn{m.nodes[i].draft.Txn, "round", i, 0, m.revision})
}

// deliverLateCommit delivers a transaction that was in flight. One that is bound to a lease is only applied while the
// lease lasts.
func (m *timedModel) deliverLateCommit(k int) {
	txn := m.lateCommits[k]
	m.lateCommits = slices.Delete(slices.Clone(m.lateCommits), k, k+1)
	if m.revision > txn.revision {
		m.reached["a late "+txn.kind+" after newer ones"] = true
	}
	if m.conditionsHold(txn.Txn) && (txn.requiredLease == 0 || !m.nodes[txn.node].leaseRenewedAt.IsZero() && m.nodes[txn.node].leaseID == txn.requiredLease) {
		m.apply(txn.Then)
		m.reached["a late "+txn.kind+" is taken"] = true
	}
}

// deliverLateCall delivers a direct call that was in flight.
func (m *timedModel) deliverLateCall(k int) {
	call := m.lateCalls[k]
	m.lateCalls = slices.Delete(slices.Clone(m.lateCalls), k, k+1)
	if m.machines[call.machine].released {
		return
	}
	if _, ok := m.executeDirectCall(call.machine, call.request); ok {
		m.reached["a late call is carried out"] = true
	} else {
		m.reached["a late call is refused"] = true
	}
}

// finishTasks completes all tasks of a machine.
func (m *timedModel) finishTasks(w *timedWorker) {
	for k := range w.running {
		w.core.MarkEnded(k, wire.CauseDone)
		m.completed[k.Task], m.finishedAttempts[k] = true, true
	}
	clear(w.running)
}

// withoutCondition returns the conditions but for those on a key.
func withoutCondition(list []wire.Condition, key string) []wire.Condition {
	return slices.DeleteFunc(slices.Clone(list), func(c wire.Condition) bool { return c.Key == key })
}

// checkFinal checks that the job's final stage never changes.
func (m *timedModel) checkFinal() {
	var batch store.BatchRecord
	if wire.DecodeValue(m.keys[store.BatchKey("x")].raw, &batch) != nil {
		return
	}
	stage := batch.Jobs[timedJob].Stage
	if m.firstFinalStage != "" && stage != m.firstFinalStage {
		m.violate("went_back: %s is %s", m.firstFinalStage, stage)
	}
	if stage.Final() {
		m.firstFinalStage = stage
	}
}
