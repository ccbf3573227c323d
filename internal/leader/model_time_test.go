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

// The model with time: a fleet in one shard, a controller that leads and one that may take
// over, two machines, one job, and a state service that refuses one controller or all. Leader,
// View, Election and the worker's Core are the product's; what lies between them is up to
// the search. Time goes in steps of a third of a lease, so that the bounds lie between steps,
// and each statement has an age: a worker's lease, the controller's, what is surely
// known of cancellations, a confirmation.

const (
	timedStep  = 3 * time.Second
	timedShard = "fleet"
	timedJob   = "wk-1"
	// lateKill is for how long a worker may be late to look at its lease: until then its tasks
	// are on the machine, though it neither says nor takes anything. Proofs by time leave a
	// margin for it.
	lateKill = 4 * time.Second
)

// timedModel is one state, reached by its path.
type timedModel struct {
	*model              // the store and the views
	now                 time.Time
	plantedFault        string
	steadySender        string
	budgets             []budget
	count               map[string]int // steps that were taken of each
	rank                int            // of the last step: within a moment they come in the order in which they are listed
	anyOrder            bool           // or in any
	grants              int
	nodes               [2]*timedController
	machines            map[string]*timedWorker
	serviceDown         bool
	lateCommits         []lateTxn
	lateCalls           []lateCall
	duplicateHeartbeats []wire.Heartbeat
	cancelAckedAt       time.Time // when the user was told that the job is cancelled
	finalStage          wire.Stage
	done                map[agent.Key]bool // attempts that have completed
	reached             map[string]bool
}

type timedController struct {
	*modelController
	election    *leadership.Election
	leader      *Leader
	draft       *Draft
	refused     bool
	dead        bool
	leaseSince  time.Time // when the service counts its lease from; zero: it has ended
	leaseID     uint64    // of the lease
	pendingRead *pendingRead
}

// pendingRead is an answer of the service that is on its way.
type pendingRead struct {
	begun   time.Time
	changes wire.WatchResponse
}

type timedWorker struct {
	id          string
	core        *agent.Core
	answered    time.Time // as the core counts it
	incarnation uint64
	runs        map[agent.Key]bool
	gone        bool
}

type lateTxn struct {
	wire.Txn
	kind     string
	node     int
	lease    uint64
	revision uint64
}

type lateCall struct {
	machine string
	direct  wire.CommandRequest
}

// timedScenario is where a search begins and what may happen: of each kind of step so many.
type timedScenario struct {
	name         string
	tasks        int
	limit        float64
	prefix       string
	depth        int
	limits       string // steps, by how they begin, and how many of each at most
	mustReach    string // what must have come about somewhere
	findsFaults  string // faults that are found if they are planted there
	plantedFault string // the one that is planted
	steadySender string // a machine that sends a heartbeat at each moment, and to whom
	anyOrder     bool   // within a moment steps come in any order, not only as they are listed
}

// budget is how many steps that begin so may be taken.
type budget struct {
	prefix string
	limit  int
}

func (s *timedScenario) budget() (out []budget) {
	for _, f := range strings.Split(s.limits, "; ") {
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

func newTimed(s *timedScenario) *timedModel {
	m := &timedModel{model: &model{cfg: timedConfig(s.limit), keys: map[string]storedValue{}, completed: map[wire.TaskID]bool{}, limit: s.limit, tasks: s.tasks},
		now: modelTime, plantedFault: s.plantedFault, steadySender: s.steadySender, budgets: s.budget(), anyOrder: s.anyOrder, count: map[string]int{}, machines: map[string]*timedWorker{}, reached: map[string]bool{}, done: map[agent.Key]bool{}}
	j := &wire.Job{ID: timedJob, Class: "c", Shape: wire.Array, Team: "red", Priority: wire.Normal, Tasks: s.tasks, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "img"}
	m.apply([]wire.Operation{{Put: store.BatchKey("x"), Value: store.BatchRecord{Jobs: map[string]store.JobRecord{j.ID: {Stage: wire.Pending, Tasks: s.tasks, Job: j}}}}})
	for i := range m.nodes {
		controller := &modelController{name: fmt.Sprint("c-", i), view: store.NewView(slog.New(slog.DiscardHandler))}
		controller.view.Load(nil, 0, &wire.WatchResponse{})
		m.nodes[i] = &timedController{modelController: controller, election: leadership.New(controller.name, m.cfg.Tuning.Lease, m.cfg.Tuning.Renew)}
		m.grant(i)
		m.read(i)
	}
	m.campaign(0, false)
	for _, id := range []string{"a", "b"} {
		m.machines[id] = &timedWorker{id: id, core: agent.NewCore(agent.Identity{Machine: "n-" + id, Addr: "10.1.0.1:9000", Type: "g1", Zone: "a"}, m.cfg.Workers.Lease, 1, m.now),
			answered: m.now, incarnation: 1, runs: map[agent.Key]bool{}}
		m.report(id, 0, true)
		m.report(id, 0, true)
	}
	m.duplicateHeartbeats = nil
	return m
}

func (m *timedModel) grant(i int) {
	c := m.nodes[i]
	c.leaseID, c.leaseSince = uint64(10+10*m.grants+i), m.now
	m.grants++
	c.election.LeaseGranted(c.leaseID, m.now)
}

func (m *timedModel) served(i int) bool {
	return !m.serviceDown && !m.nodes[i].refused && !m.nodes[i].dead
}

// changes lists what a controller has not seen, as a watch would.
func (m *timedModel) changes(i int) wire.WatchResponse {
	var ch wire.WatchResponse
	for _, e := range m.log {
		if e.Version > m.nodes[i].seenRevision {
			ch.Events = append(ch.Events, e)
		}
	}
	ch.Revision = m.revision
	return ch
}

// takeIn has a view take in an answer that was asked for at a time, and the election what the
// view says of the shard.
func (m *timedModel) takeIn(i int, ch wire.WatchResponse, begun time.Time) {
	c := m.nodes[i]
	c.view.Apply(&ch)
	c.seenRevision = max(c.seenRevision, ch.Revision)
	c.view.MarkCurrent(begun)
	rec, known := c.view.Leader(timedShard)
	c.election.Observe(timedShard, rec, known, c.view.Revision())
	m.manage(i)
}

func (m *timedModel) read(i int) { m.takeIn(i, m.changes(i), m.now) }

// manage begins and ends the duties for the shard, as package controller does.
func (m *timedModel) manage(i int) {
	c := m.nodes[i]
	held, is := c.election.Tenure(timedShard)
	if c.leader != nil && (!is || c.leader.lease.Version != held.Version) {
		c.leader, c.draft = nil, nil
	}
	if c.leader != nil || !is || c.dead {
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
	if m.plantedFault == "proof 3 without its margin" {
		cfg = timedConfig(m.limit)
		cfg.Workers.Lease -= 5 * time.Second
		cfg.Workers.Cancel -= 5 * time.Second // what is answered stays the same
	}
	types := []wire.MachineType{{Name: "g1", CPUs: 1, GPUs: 1, MemoryGB: 1, Price: 4, SpotPrice: 1, BootS: 30, Zones: []string{"a"}}}
	c.leader = New(cfg, held, c.view.Snapshot(), c.view.ShardLedgers(timedShard), types, c.view, m.now, slog.New(slog.DiscardHandler))
	if m.plantedFault == "proof 5 without the time that others answer" {
		c.leader.fleet.ElectedAt = m.now.Add(-maxAnswerTime(cfg))
	}
	for _, spot := range []bool{false, true} { // no machines but these
		c.leader.scaler.Add(m.now, "x", scheduler.ScaleOut{Offer: scheduler.Offer{Type: "g1", Zone: "a", Spot: spot}, Count: 1})
		c.leader.scaler.Complete(m.now, "x", 0)
	}
	if i == 1 {
		m.reached["takeover"] = true
		for _, w := range m.machines {
			if len(w.runs) > 0 {
				m.reached["takeover with a task running"] = true
			}
		}
	}
}

// campaign has a controller campaign for the shard, or its transaction go on its way.
func (m *timedModel) campaign(i int, hold bool) {
	c := m.nodes[i]
	txn, token := c.election.Campaign(timedShard, c.view.FencingToken())
	for k := range txn.Then { // leases are the model's own
		txn.Then[k].Lease = 0
	}
	if hold {
		m.lateCommits = append(m.lateCommits, lateTxn{txn, "claim", i, c.leaseID, m.revision})
		return
	}
	if m.conditionsHold(txn) && !c.leaseSince.IsZero() {
		rev := m.apply(txn.Then)
		c.election.Won(timedShard, token, rev)
	}
	m.read(i)
	m.manage(i)
}

// entitled says whether a controller answers a heartbeat, as package controller does.
func (m *timedModel) entitled(i int, hb *wire.Heartbeat) (valid, ok bool) {
	c := m.nodes[i]
	held, is := c.election.Tenure(timedShard)
	valid = c.election.LeaseValid(m.now)
	if c.leader == nil || c.dead || !is || c.leader.lease.Version != held.Version || hb.FencingToken > held.FencingToken {
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

// handleHeartbeat has a controller take in a heartbeat and gives its answer.
func (m *timedModel) handleHeartbeat(i int, hb *wire.Heartbeat) (wire.HeartbeatResponse, bool) {
	valid, ok := m.entitled(i, hb)
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

func (m *timedModel) report(id string, i int, arrives bool) {
	w := m.machines[id]
	m.expire(w, false)
	hb, sent := w.core.NextHeartbeat(), m.now
	if id == "b" { // the other is well
		m.duplicateHeartbeats = append(m.duplicateHeartbeats[max(0, len(m.duplicateHeartbeats)-2):], hb)
	}
	response, ok := m.handleHeartbeat(i, &hb)
	if !ok {
		return
	}
	if !m.cancelAckedAt.IsZero() && i == 0 && len(w.runs) > 0 {
		m.reached["the old leader answers after a cancellation"] = true
	}
	if !arrives {
		m.reached["a lost answer"] = true
		return
	}
	token := w.core.Heartbeat().FencingToken
	e := w.core.HandleAnswer(m.now, sent, w.incarnation, response)
	if response.FencingToken >= token && sent.After(w.answered) {
		w.answered = sent
	}
	for _, c := range response.Commands {
		if c.Verb == wire.Clear {
			m.cleared(c)
		}
	}
	m.effects(w, e)
}

// cleared checks that what a machine is to forget is in the store.
func (m *timedModel) cleared(c wire.Command) {
	id, _ := wire.ParseTaskID(c.Task)
	if !m.done[agent.Key{Task: id, Attempt: c.Attempt}] {
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
	left := v.ShardLedgers(timedShard)
	_, last := store.NewLedger(left.Name, m.cfg.Store.ValueBytes, left.Own)
	if done := last.FinishedTasks[id.Job]; done == nil || !done.Contains(id.Index) {
		m.violate("forgotten: the end of %s is cleared and not stored", c.Task)
	}
}

// effects carries out what a worker is to do, at once.
func (m *timedModel) effects(w *timedWorker, e agent.Effects) {
	for _, k := range e.Kill {
		delete(w.runs, k)
		w.core.MarkEnded(k, wire.CauseStopped)
	}
	for _, k := range e.Start {
		on := 0
		for _, other := range m.machines {
			for r := range other.runs {
				if r.Task == k.Task {
					m.violate("ran_twice: %v starts on %s", k.Task, w.id)
				}
			}
			on += len(other.runs)
		}
		if m.limit > 0 && float64(on+1) > m.limit {
			m.violate("quota: %d tasks run", on+1)
		}
		if !m.cancelAckedAt.IsZero() && m.now.Sub(m.cancelAckedAt) > m.cfg.Workers.Cancel {
			m.violate("ran_cancelled: %v starts %v after", k.Task, m.now.Sub(m.cancelAckedAt))
		}
		w.runs[k] = true
		w.core.MarkRunning(k)
	}
}

// expire has a worker look at its lease: it must whenever it does anything, and in time.
func (m *timedModel) expire(w *timedWorker, must bool) {
	if must && m.now.Sub(w.answered) <= m.cfg.Workers.Lease+lateKill {
		return
	}
	e := w.core.Expire(m.now)
	if w.core.Incarnation() != w.incarnation {
		w.incarnation, w.answered = w.core.Incarnation(), m.now
		m.reached["a later incarnation"] = true
	}
	m.effects(w, e)
}

// tick lets time pass.
func (m *timedModel) tick() {
	for i, c := range m.nodes {
		// The cloud is never so late that a machine outlives what it is released for.
		if c.leader != nil && !m.cancelAckedAt.IsZero() && m.now.Sub(m.cancelAckedAt) >= m.cfg.Workers.Cancel-3*timedStep {
			m.release(i)
		}
	}
	m.now = m.now.Add(timedStep)
	for _, id := range []string{"a", "b"} {
		m.expire(m.machines[id], true)
	}
	for i, c := range m.nodes {
		if i == 0 && !m.serviceDown && !c.leaseSince.IsZero() && m.now.Sub(c.leaseSince) >= m.cfg.Tuning.Lease {
			c.leaseSince = time.Time{}
			var rec store.LeaderRecord
			if p, ok := m.keys[store.LeaderKey(timedShard)]; ok && wire.DecodeValue(p.raw, &rec) == nil && rec.Lease == c.leaseID {
				m.apply([]wire.Operation{{Delete: store.LeaderKey(timedShard)}})
			}
		}
	}
	if c := m.nodes[1]; m.served(1) && !c.leaseSince.IsZero() { // it is well
		c.leaseSince = m.now
		c.election.LeaseRenewed(m.now)
		if c.leader != nil {
			m.read(1)
		}
	}
	for _, c := range m.nodes { // the duties of a leader go on whatever the store does
		if c.leader != nil && !c.dead {
			c.leader.Reconcile(m.now, c.view.Snapshot())
		}
	}
	if id, i, ok := strings.Cut(m.steadySender, " "); ok {
		k, _ := strconv.Atoi(i)
		m.report(id, k, true)
	}
	m.checkCancelled()
	if !m.cancelAckedAt.IsZero() && m.serviceDown {
		m.reached["down after a cancellation"] = true
	}
	if !m.cancelAckedAt.IsZero() && m.nodes[0].refused && !m.serviceDown {
		m.reached["refused alone after a cancellation"] = true
	}
}

func (m *timedModel) checkCancelled() {
	if m.cancelAckedAt.IsZero() || m.now.Sub(m.cancelAckedAt) <= m.cfg.Workers.Cancel {
		return
	}
	m.reached["cancel_s has passed"] = true
	for _, w := range m.machines {
		for k := range w.runs {
			m.violate("ran_cancelled: %v is on %s %v after", k.Task, w.id, m.now.Sub(m.cancelAckedAt))
		}
	}
}

func (m *timedModel) release(i int) {
	c := m.nodes[i]
	if !c.election.LeaseValid(m.now) {
		return
	}
	names := c.leader.pendingReleases()
	for _, name := range names {
		if w := m.machines[strings.TrimPrefix(name, "n-")]; w != nil {
			w.gone = true
			clear(w.runs)
		}
	}
	c.leader.completeScaleIn(names)
}

// do carries a direct call out at a worker.
func (m *timedModel) do(id string, d wire.CommandRequest) (wire.Heartbeat, bool) {
	w := m.machines[id]
	m.expire(w, false)
	e, ok := w.core.HandleDirect(m.now, d)
	if ok {
		for _, c := range d.Commands {
			if c.Verb == wire.Clear {
				m.cleared(c)
			}
		}
		m.effects(w, e)
	}
	return w.core.Heartbeat(), ok
}

// call makes a leader's direct calls; lost ones are on their way.
func (m *timedModel) call(i int, lost bool) {
	c := m.nodes[i]
	for _, k := range c.leader.dueCalls(m.now, c.election.LeaseValid(m.now), maxOpenCalls) {
		id := strings.TrimPrefix(k.machine, "n-")
		d := wire.CommandRequest{FencingToken: c.leader.lease.FencingToken, Incarnation: k.incarnation, Commands: k.commands}
		outcome, heard := fleet.Unanswered, false
		switch {
		case m.machines[id].gone:
		case lost:
			if len(d.Commands) > 0 && len(m.lateCalls) < 2 {
				m.lateCalls = append(m.lateCalls, lateCall{id, d})
			}
			if m.plantedFault == "a call without an answer counts as refused" {
				outcome = fleet.Refused
			}
		default:
			hb, ok := m.do(id, d)
			if outcome = fleet.Refused; ok {
				outcome = fleet.Executed
			}
			if heard = true; hb.FencingToken <= c.leader.lease.FencingToken {
				c.leader.HandleInspection(m.now, &hb)
			}
		}
		c.leader.mu.Lock()
		c.leader.fleet.CallFinished(k.launches, outcome)
		if k.fencing {
			c.leader.fencing.Finished()
		}
		c.leader.monitor.CallFinished(m.now, k.machine, heard)
		c.leader.mu.Unlock()
	}
}

// decide has a leader decide a round.
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
		c.draft.Txn.If = without(c.draft.Txn.If, store.LeaderKey(timedShard))
	case "a round is not bound to its ledger":
		for _, t := range c.draft.Packed().Then {
			c.draft.Txn.If = without(c.draft.Txn.If, t.Put)
		}
	case "an end is not bound to the job's record":
		c.draft.Txn.If = without(c.draft.Txn.If, store.BatchKey("x"))
	}
}

// commit has the service carry a leader's round out, as write does.
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
	m.read(i)
	if last, version := c.view.Segment(d.FirstSegment()); last.FencingToken == leader.lease.FencingToken && last.Round == d.Number {
		leader.Committed(d, version)
		m.reached["a copy of a round was taken"] = true
		return
	}
	leader.Discard(d)
}

// cancel is the user's request at a controller that is served: it is told what the store says.
func (m *timedModel) cancel(i int, hold bool) {
	job, live := m.liveJob()
	if !live {
		m.read(i)
		if rec, ok := m.nodes[i].view.Job(timedJob); ok && rec.Stage == wire.Cancelled {
			m.acknowledgeCancel()
		}
		return
	}
	if hold { // by what the controller has seen
		if job, live = m.nodes[i].view.Live(timedJob); !live {
			return
		}
	}
	r := job.Batch.Update()
	r.EndJob(timedJob, wire.Cancelled, m.now)
	txn := wire.Txn{If: []wire.Condition{{Key: job.Batch.Key, Version: job.Batch.Version}}, Then: []wire.Operation{r.Change()}}
	if hold {
		m.lateCommits = append(m.lateCommits, lateTxn{txn, "cancellation", i, 0, m.revision})
		return
	}
	m.apply(txn.Then)
	m.acknowledgeCancel()
}

func (m *timedModel) acknowledgeCancel() {
	if m.cancelAckedAt.IsZero() {
		m.cancelAckedAt = m.now
	}
}

// steps lists what can happen next.
func (m *timedModel) steps(may []budget) []string {
	var out []string
	add := func(kind string, args ...any) {
		step := strings.TrimSpace(kind + " " + fmt.Sprintln(args...))
		for k, b := range may {
			if strings.HasPrefix(step, b.prefix) {
				if m.count[b.prefix] < b.limit && (k >= m.rank || m.anyOrder) {
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
		if len(m.machines[id].runs) > 0 {
			add("finish", id)
		}
		if w := m.machines[id]; !w.gone && m.now.Sub(w.answered) > m.cfg.Workers.Lease {
			add("expire", id)
		}
	}
	return out
}

// controllerSteps adds what a controller can do next.
func (m *timedModel) controllerSteps(i int, c *timedController, add func(kind string, args ...any)) {
	if c.dead {
		return
	}
	if m.served(i) {
		m.servedSteps(i, c, add)
	}
	if !m.serviceDown && c.election.LastRenewal().Before(m.now) { // renewals may succeed where reads are refused
		add("renew", i)
	}
	if c.pendingRead != nil {
		add("answer", i)
	}
	for _, id := range []string{"a", "b"} {
		if hb := m.machines[id].core.Heartbeat(); !m.machines[id].gone {
			if _, ok := m.entitled(i, &hb); ok {
				add("report", id, i)
				add("lose", id, i)
			}
		}
	}
	if c.leader != nil {
		m.leaderSteps(i, c, add)
	}
}

// servedSteps adds what a controller can do next that the state service serves.
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

// leaderSteps adds what a controller that leads can do next.
func (m *timedModel) leaderSteps(i int, c *timedController, add func(kind string, args ...any)) {
	for k := range m.duplicateHeartbeats {
		add("copy", k, i)
	}
	if len(c.leader.scaler.Releasing()) > 0 && c.election.LeaseValid(m.now) {
		add("release", i)
	}
	if c.draft == nil && c.election.LeaseValid(m.now) {
		if m.served(i) {
			add("round", i)
		}
		add("decide", i)
	}
	if c.draft != nil {
		if m.served(i) {
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
			m.count[b.prefix]++
			if m.rank = k; step == "tick" {
				m.rank = 0
			}
			return
		}
	}
}

// take makes a step.
func (m *timedModel) take(step string) {
	m.countStep(step)
	f := strings.Fields(step)
	last := 0
	if len(f) > 1 {
		last, _ = strconv.Atoi(f[len(f)-1])
	}
	c := m.nodes[min(last, 1)]
	switch f[0] {
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
		m.read(last)
	case "ask":
		c.pendingRead = &pendingRead{m.now, m.changes(last)}
	case "answer":
		m.answerRead(last)
	case "renew":
		m.renewLease(last)
	case "claim", "holdclaim":
		m.campaign(last, f[0] == "holdclaim")
	case "cancel", "holdcancel":
		m.cancel(last, f[0] == "holdcancel")
	case "report", "lose":
		m.report(f[1], last, f[0] == "report")
	case "copy":
		k, _ := strconv.Atoi(f[1])
		m.replayHeartbeat(k, last)
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
		m.holdRound(last)
	case "call", "losecall":
		m.call(last, f[0] == "losecall")
	case "die": // what it was about to write may be on its way
		if c.draft != nil {
			m.holdRound(last)
		}
		c.dead, c.leader, c.draft = true, nil, nil
	case "late":
		m.deliverLateCommit(last)
	case "arrive":
		m.deliverLateCall(last)
	case "finish":
		m.finishTasks(m.machines[f[1]])
	case "expire":
		m.expire(m.machines[f[1]], false)
	default:
		panic("no such step: " + step)
	}
	m.checkFinal()
}

// restoreService brings the state service back: each lease has its full time again.
func (m *timedModel) restoreService() {
	m.serviceDown = false
	for _, c := range m.nodes {
		if !c.leaseSince.IsZero() {
			c.leaseSince = m.now
		}
	}
}

// answerRead has the answer to a controller's pending read arrive.
func (m *timedModel) answerRead(i int) {
	c := m.nodes[i]
	begun := c.pendingRead.begun
	if m.plantedFault == "a read counts from its answer" {
		begun = m.now
	}
	ch := c.pendingRead.changes
	c.pendingRead = nil
	m.takeIn(i, ch, begun)
}

// renewLease has a controller renew its lease, or get another for one that has ended.
func (m *timedModel) renewLease(i int) {
	c := m.nodes[i]
	if c.leaseSince.IsZero() {
		c.election.LeaseLost()
		m.manage(i)
		m.grant(i)
		return
	}
	c.leaseSince = m.now
	c.election.LeaseRenewed(m.now)
}

// replayHeartbeat has the copy of a heartbeat arrive at a controller.
func (m *timedModel) replayHeartbeat(k, i int) {
	hb := m.duplicateHeartbeats[k]
	now := m.machines[strings.TrimPrefix(hb.Machine, "n-")].core.Heartbeat()
	if hb.Incarnation < now.Incarnation {
		m.reached["a copy from an earlier incarnation"] = true
	} else if hb.Seq < now.Seq {
		m.reached["a copy of an older heartbeat"] = true
	}
	if m.plantedFault == "a heartbeat is applied though older" {
		hb.Incarnation, hb.Seq, hb.FencingToken = now.Incarnation, now.Seq+1, now.FencingToken
	}
	m.handleHeartbeat(i, &hb)
}

// holdRound has the transaction of a controller's round go on its way.
func (m *timedModel) holdRound(i int) {
	m.lateCommits = append(m.lateCommits, lateTxn{m.nodes[i].draft.Txn, "round", i, 0, m.revision})
}

// deliverLateCommit has a transaction that was on its way arrive.
func (m *timedModel) deliverLateCommit(k int) {
	t := m.lateCommits[k]
	m.lateCommits = slices.Delete(slices.Clone(m.lateCommits), k, k+1)
	if m.revision > t.revision {
		m.reached["a late "+t.kind+" after newer ones"] = true
	}
	if m.conditionsHold(t.Txn) && (t.lease == 0 || !m.nodes[t.node].leaseSince.IsZero() && m.nodes[t.node].leaseID == t.lease) {
		m.apply(t.Then)
		m.reached["a late "+t.kind+" is taken"] = true
	}
}

// deliverLateCall has a direct call that was on its way arrive.
func (m *timedModel) deliverLateCall(k int) {
	call := m.lateCalls[k]
	m.lateCalls = slices.Delete(slices.Clone(m.lateCalls), k, k+1)
	if m.machines[call.machine].gone {
		return
	}
	if _, ok := m.do(call.machine, call.direct); ok {
		m.reached["a late call is carried out"] = true
	} else {
		m.reached["a late call is refused"] = true
	}
}

// finishTasks has all tasks of a machine complete.
func (m *timedModel) finishTasks(w *timedWorker) {
	for k := range w.runs {
		w.core.MarkEnded(k, wire.CauseDone)
		m.completed[k.Task], m.done[k] = true, true
	}
	clear(w.runs)
}

func without(list []wire.Condition, key string) []wire.Condition {
	return slices.DeleteFunc(slices.Clone(list), func(c wire.Condition) bool { return c.Key == key })
}

// checkFinal checks that what was said of a job's end stays.
func (m *timedModel) checkFinal() {
	var batch store.BatchRecord
	if wire.DecodeValue(m.keys[store.BatchKey("x")].raw, &batch) != nil {
		return
	}
	stage := batch.Jobs[timedJob].Stage
	if m.finalStage != "" && stage != m.finalStage {
		m.violate("went_back: %s is %s", m.finalStage, stage)
	}
	if stage.Final() {
		m.finalStage = stage
	}
}
