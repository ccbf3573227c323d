// Package leader is the holder's loop: it collects what the workers and the
// cloud report, decides, and writes each round as one fenced transaction.
// Only after the store has taken a round are its launches said to anyone.
package leader

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/autoscale"
	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/leader/commit"
	"amberdeal.example/amberdeal/internal/leadership"
	"amberdeal.example/amberdeal/internal/quota"
	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/throttle"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/internal/zonerecovery"
	"amberdeal.example/amberdeal/wire"
)

// jobState is what the holder remembers of a job beside its placements.
type jobState struct {
	failedMachines  map[string]bool // machines on which it failed
	notBefore       time.Time       // back-off
	failures        int
	finished        *store.TaskSet // tasks that were reported done
	storedFinished  *store.TaskSet // and are in the store
	endedAt         time.Time      // when it was cancelled or done
	liveRevision    uint64         // the last revision at which it was seen live
	waitingSince    time.Time      // when tasks of it first waited here
	coAllocation    coAllocation   // of a gang
	starvedSince    time.Time      // since when no task of it is anywhere and some could be
	failedAttempts  map[int]int    // times that a task was stopped before its image had come
	timedOutAttempt uint64         // the attempt of a gang of which a task waited for the others in vain
}

// JobIndex is what is known of jobs, be they over.
type JobIndex interface {
	Job(id string) (store.JobRecord, bool)
	// Compacted reports whether no task of a job can be anywhere any more.
	Compacted(id string) bool
	// Uncompacted reports whether jobs are over that may be folded.
	Uncompacted() bool
	// Migrated reports whether a part needs the ledgers of earlier groupings no more.
	Migrated(part string) bool
	// PreviousLedgerSlots names the slots of these.
	PreviousLedgerSlots() []string
}

// Leader holds one part of the fleet under one term. Its methods are pure but
// for the lock: times and events come in, commands and transactions go out.
type Leader struct {
	cfg      *config.Config
	lease    leadership.Tenure
	log      *slog.Logger
	jobIndex JobIndex

	mu                    sync.Mutex
	fleet                 *fleet.Fleet
	types                 []wire.MachineType
	ledger                *store.Ledger
	timeouts              timeouts
	lastRound             uint64
	sizes                 commit.SizeBackoff
	conflicts             commit.ConflictBackoff
	stalls                stallDetector
	lastDecided           time.Time // when a round was last decided
	lastPauseEnd          time.Time // when the holder last went on after it had stood still
	lastReconciled        time.Time // when the placements were last compared with the jobs
	viewCurrentAt         time.Time // every end of a job that was in the store by then is taken in
	attemptSequence       uint64    // of attempts and asks within the term
	sharding              *fleet.Sharding
	peerShards            map[string]ShardStatus // of the parts that siblings hold, as last told
	ingestPeers           int                    // siblings that pass reports on to here
	lastStatus            ShardStatus            // that was last told
	lastStatusAt          time.Time
	forecast              forecast
	recentHandovers       map[string]recentHandovers // tasks that were lately given to other parts
	ledgerTasks           ledgerTasks                // what the own ledger names
	quota                 *quota.Quota
	clearedWritten        uint64 // up to which revision the ledger says that nothing is left of ended jobs
	shardingNumber        uint64 // of the grouping
	previous              *reshard.Previous
	migration             ledgerMigration
	inferredShares        map[string]cachedRanges // shares of jobs whose records don't say them
	jobStates             map[string]*jobState
	scaleOutRequests      *autoscale.RequestLog
	scaleOutWake          chan struct{}
	requestsToDrop        map[string]bool           // asks to drop from the store
	machinesToDrop        map[string]bool           // machine records to drop
	machinesToRelease     map[string]bool           // machines to release
	unstored              commit.CompletionQueue    // jobs with tasks that are done but not stored
	liveJobs              map[string]*store.LiveJob // of the last snapshot
	wakeLoop              chan struct{}
	wakeCalls             chan struct{}
	callStates            map[string]callState
	throttle              *throttle.Limiter // of calls that can wait
	fencingCallsOpen      int               // machines that are called now only to be heard
	pendingFencingCalls   []*fleet.Machine  // that siblings may call, as of a time
	pendingFencingCallsAt time.Time
	callResults           []callResult  // of the last calls
	lastCallAnswered      time.Time     // when a call from here was last answered
	rebuilt               bool          // every machine is accounted for
	rebuiltReachable      bool          // every one but those that are silent
	zoneStates            *zone.Tracker // of zones
	zoneObservers         map[string]zone.Observer
	lastZoneHeartbeat     map[string]time.Time               // when a machine of each zone was last heard
	orphans               map[string]time.Time               // and one that is of the fleet no more
	evictedUnreachable    []eviction                         // machines that were given up for their silence
	freeCapacity          zonerecovery.FreeCapacity          // that the last plan has left
	idleCapacity          map[string]*scheduler.IdleCapacity // by machine
	unreachableZones      map[string]time.Time               // zones of which hardly a machine is heard here, and since when
	zoneRecoveries        map[string]*zonerecovery.Plan
	unbalanced            bool                 // services are to be moved, by the last plan
	recoveredZones        map[string]time.Time // zones of which a machine was heard again, and when
	typesChanged          bool
	preemptions           preemptions
	rejectedHeartbeats    RejectedHeartbeats
	taskCounts            map[string]TaskCount
	taskCountsAt          time.Time
}

// timeouts holds what the holder waits for, as it follows from how often workers
// report: give or take a quarter of that, and a second or more for the way.
type timeouts struct {
	launchWithin          time.Duration // age of a report up to which a machine is launched on
	directLaunchWithin    time.Duration // and up to which the launch goes straight to it
	suspectAfter          time.Duration // age from which on a machine is asked by a direct call
	unreachableAfter      time.Duration // age from which on a machine is given up
	missingHeartbeatAfter time.Duration // for which one that answers calls may send no report
}

func timeoutsOf(c *config.Config) timeouts {
	late := c.Workers.HeartbeatInterval * 5 / 4
	return timeouts{launchWithin: late + 2250*time.Millisecond, directLaunchWithin: late + 1250*time.Millisecond,
		suspectAfter: c.Workers.HeartbeatInterval * 7 / 5, unreachableAfter: c.HeartbeatTimeout(),
		missingHeartbeatAfter: late + 5*time.Second} // a report may be lost, which takes 4 s and another
}

// maxAnswerTime bounds how long after its last confirmed renewal a holder answers at all. Siblings
// may end its lease at any time after that renewal, so that a claim may follow at once.
func maxAnswerTime(c *config.Config) time.Duration {
	return max(c.Workers.MaxCancelStaleness(), c.Tuning.Lease)
}

// New gives the holder of a claim, from a snapshot and the part's ledgers, which are not
// older.
func New(cfg *config.Config, lease leadership.Tenure, snap store.Snapshot, ledgers store.ShardLedgers, types []wire.MachineType,
	jobIndex JobIndex, now time.Time, log *slog.Logger) *Leader {
	ledger, last := store.NewLedger(ledgers.Name, cfg.Store.ValueBytes, ledgers.Own)
	h := &Leader{
		cfg: cfg, lease: lease, log: log.With("part", lease.Shard, "term", lease.FencingToken), jobIndex: jobIndex,
		fleet:  fleet.New(lease.FencingToken, now, cfg.Workers.Lease, maxAnswerTime(cfg), cfg.Cloud.ListLag),
		ledger: ledger, timeouts: timeoutsOf(cfg), types: types, lastRound: last.Round, lastDecided: now,
		jobStates: map[string]*jobState{}, scaleOutRequests: autoscale.New(cfg.Cloud.RPS), scaleOutWake: make(chan struct{}, 1), requestsToDrop: map[string]bool{}, machinesToDrop: map[string]bool{},
		machinesToRelease: map[string]bool{}, unstored: commit.CompletionQueue{}, stalls: stallDetector{lastProgress: now},
		sharding: cfg.Sharding(), recentHandovers: map[string]recentHandovers{}, shardingNumber: ledgers.Generation, inferredShares: map[string]cachedRanges{},
		wakeLoop: make(chan struct{}, 1), wakeCalls: make(chan struct{}, 1), callStates: map[string]callState{}, throttle: throttle.New(),
		lastZoneHeartbeat: map[string]time.Time{}, orphans: map[string]time.Time{}, recoveredZones: map[string]time.Time{}, unreachableZones: map[string]time.Time{},
	}
	h.quota = quota.New(lease.Shard, h.sharding, cfg.Tuning.BeginWithin, h.log)
	h.previous = reshard.NewPrevious(h.sharding, ledgers)
	h.startMigration(ledgers.Migrated, &last)
	h.recoverZones(now, &last)
	h.recoverZoneRecoveries(now, &last)
	h.recoverPreemptions(last.Preemptions)
	for _, id := range sortedKeys(last.Machines) { // in order, each is added at the end
		m := last.Machines[id]
		if h.sharding.ShardOf(m.Zone, m.Type) == lease.Shard {
			h.fleet.RestoreMachine(now, id, m.Addr, m.Type, m.Zone, m.Spot, m.Incarnation, unsettled(m.Tasks, jobIndex))
		}
	}
	for name, a := range last.ScaleOuts {
		h.scaleOutRequests.Recover(name, scheduler.ScaleOut{Offer: scheduler.Offer{Type: a.Type, Zone: a.Zone, Spot: a.Spot}, Count: a.Count})
	}
	for id, done := range last.FinishedTasks {
		if snap.LiveJobs[id] == nil {
			ledger.DiscardJob(id, wire.MaxTasks)
			continue
		}
		j := h.jobState(id)
		for _, i := range done.Difference(store.NewTaskSet(0)) {
			j.finished.Add(i)
			j.storedFinished.Add(i)
		}
		if !h.sharding.IsSingle() {
			h.unstored.Add(id, h.lastRound) // the rest may have been given away since
		}
	}
	h.liveJobs, h.viewCurrentAt = snap.LiveJobs, snap.CurrentAt
	h.migrateFinished()
	for id, l := range h.liveJobs {
		if l.Record.CoAllocation >= store.CoAllocationFirstAttempt { // whether it was started here, nobody knows
			h.jobState(id).coAllocation.started = l.Record.CoAllocation
		}
	}
	h.log.Info("recalled", "machines", len(last.Machines), "asks", len(last.ScaleOuts), "ledger", ledger.String())
	return h
}

// unsettled leaves out the tasks of jobs that were folded: an earlier holder had
// proof that they are gone, whatever a machine's record, which is not written for
// that, still says.
func unsettled(tasks map[string]uint64, jobIndex JobIndex) map[string]uint64 {
	out := make(map[string]uint64, len(tasks))
	for name, attempt := range tasks {
		if t, err := wire.ParseTaskID(name); err == nil && !jobIndex.Compacted(t.Job) {
			out[name] = attempt
		}
	}
	return out
}

// UnfinishedJobs names the jobs of which a task is or may be on a machine, or whose end
// this holder has not taken in. Until the fleet is rebuilt, but for silent machines,
// nobody can tell: what may be on those is known by their records.
func (h *Leader) UnfinishedJobs() (jobs map[string]bool, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	jobs = make(map[string]bool)
	for _, m := range h.fleet.Machines() {
		for _, p := range m.Placements() {
			if !p.IsTombstone() {
				jobs[p.Task.Job] = true
			}
		}
	}
	for id, j := range h.jobStates {
		if j.endedAt.IsZero() {
			jobs[id] = true
		}
	}
	return jobs, h.rebuiltReachable
}

// FencingToken is the holder's term.
func (h *Leader) FencingToken() uint64 { return h.lease.FencingToken }

// Wake asks for a round soon.
func (h *Leader) Wake() {
	select {
	case h.wakeLoop <- struct{}{}:
	default:
	}
}

// MayAnswer reports whether reports may be answered: while the claim surely lasts or for
// a while after its last renewal, and for a while after the last time that this holder
// surely knew of every cancellation. A renewal says nothing of what is known: each answer
// lets a worker's tasks live for another lease, also those of a job of which a holder that
// is refused by the store, or whose view stands still, does not know that it was cancelled.
func (h *Leader) MayAnswer(now time.Time, valid bool, confirmed time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	linger := h.cfg.Workers.MaxCancelStaleness()
	return (valid || now.Sub(confirmed) < linger) && now.Sub(h.viewCurrentAt) < linger
}

func (h *Leader) jobState(job string) *jobState {
	j := h.jobStates[job]
	if j == nil {
		j = &jobState{failedMachines: map[string]bool{}, finished: store.NewTaskSet(0), storedFinished: store.NewTaskSet(0)}
		h.jobStates[job] = j
	}
	return j
}

// SetTypes takes in the cloud's machine types.
func (h *Leader) SetTypes(t []wire.MachineType) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.types, h.typesChanged = t, true
}

// HandleHeartbeat takes in a worker's report and gives the answer to it; ok is false where there
// must be none. launch says whether the claim surely lasts.
func (h *Leader) HandleHeartbeat(now time.Time, r *wire.Heartbeat, launch bool) (a wire.HeartbeatResponse, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.observe(now, r, true) || h.fleet.MustLapse(now, r.Machine) {
		return a, false
	}
	cmds := h.fleet.HeartbeatCommands(now, r, launch)
	for _, c := range cmds {
		h.log.Debug("command", "verb", c.Verb, "task", c.Task, "attempt", c.Attempt, "machine", r.Machine)
	}
	return wire.HeartbeatResponse{FencingToken: h.lease.FencingToken, Commands: cmds}, true
}

// HandleInspection takes in a report that came as the body of a direct call.
func (h *Leader) HandleInspection(now time.Time, r *wire.Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observe(now, r, false)
}

// observe takes in a report, whichever way it came. One that is older than what is known
// shows nothing, and one that can't be is not even answered: what made it up may make up more.
func (h *Leader) observe(now time.Time, r *wire.Heartbeat, own bool) (ok bool) {
	if why := h.impossibleReason(r); why != "" {
		h.rejectedHeartbeats.Impossible++
		h.log.Warn("impossible report", "machine", r.Machine, "session", r.Incarnation, "number", r.Seq, "why", why)
		return false
	}
	if !h.fleet.IsNewer(r) {
		h.rejectedHeartbeats.Stale++
		return true
	}
	h.noteHeartbeat(now, r.Machine)
	h.noteZoneHeartbeat(now, r)
	h.applyEvents(now, h.fleet.ApplyHeartbeat(now, r, own))
	return true
}

// impossibleReason says what a report can't say, or nothing. Attempts are of terms up to this one;
// where the fleet is in parts, the holder of another may have given a gang's.
func (h *Leader) impossibleReason(r *wire.Heartbeat) string {
	if r.FencingToken > h.lease.FencingToken {
		return fmt.Sprintf("term %d, which nobody has claimed below this one", r.FencingToken)
	}
	for _, t := range r.Tasks {
		token, n := t.Attempt>>24, t.Attempt&(1<<24-1)
		if h.sharding.IsSingle() && token > h.lease.FencingToken || token == h.lease.FencingToken && n > h.attemptSequence {
			return fmt.Sprintf("task %s of attempt %d, which was never given", t.ID, t.Attempt)
		}
	}
	return ""
}

// RejectedHeartbeats counts reports that changed nothing.
type RejectedHeartbeats struct{ Stale, Impossible uint64 }

// RejectedHeartbeats tells how many reports changed nothing.
func (h *Leader) RejectedHeartbeats() RejectedHeartbeats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rejectedHeartbeats
}

// applyEvents deals with what reports and proofs have shown.
func (h *Leader) applyEvents(now time.Time, events []fleet.Event) {
	for _, e := range events {
		p := e.Placement
		if e.Gone {
			h.log.Info("task gone", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine)
		} else if p.State == fleet.Ended && !p.EndHandled {
			h.taskEnded(now, p)
		} else if p.State == fleet.Running {
			h.log.Debug("task running", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "after", now.Sub(p.PlacedAt))
		}
		// What a report shows for the first time, of a job that is known to be over, is
		// stopped by the answer to that report, which may be the last one for long.
		if m := h.fleet.Machine(p.Machine); m != nil && !e.Gone && p.Active() && p.Stop == nil && h.liveJobs[p.Task.Job] == nil {
			h.reconcileEnded(now, m, p)
		}
	}
	if len(events) > 0 || !h.rebuilt {
		h.Wake()
	}
}

func (h *Leader) taskEnded(now time.Time, p *fleet.Placement) {
	j, m := h.jobState(p.Task.Job), h.fleet.Machine(p.Machine)
	h.log.Debug("task ended", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "cause", p.Cause, "saved", p.Saved)
	if p.Cause == wire.CauseDone {
		clear(m.JobFailures)
		h.markFinished(p.Task, j)
		return
	}
	p.EndHandled = true
	switch p.Cause {
	case wire.CauseError:
		// Evidence about the machine and about the job: other jobs failing
		// here condemn the machine, this job failing elsewhere makes it wait.
		h.log.Info("task failed", "task", p.Task, "machine", p.Machine)
		m.JobFailures[p.Task.Job]++
		j.failedMachines[p.Machine] = true
		j.failures++
		if len(m.JobFailures) >= 2 && m.DrainReason == "" {
			m.DrainReason = "different jobs fail on it"
			h.log.Warn("machine condemned", "machine", m.ID, "why", m.DrainReason)
		}
		if n := len(j.failedMachines); n >= 3 {
			j.notBefore = now.Add(min(maxJobBackoff, time.Second<<min(n, 7)))
		}
	case wire.CauseAlone:
		j.timedOutAttempt = p.Attempt
	case wire.CauseNoRoom, wire.CauseBusy, wire.CauseUnknown:
		h.log.Info("launch refused", "task", p.Task, "machine", p.Machine, "cause", p.Cause)
		j.notBefore = now.Add(time.Second)
	}
}

// maxJobBackoff bounds how long a job that fails again and again waits for its next try: it must not be
// left waiting beside machines on which it may do.
const maxJobBackoff = 45 * time.Second

// markFinished marks a task as done; the tasks of a gang complete together.
func (h *Leader) markFinished(t wire.TaskID, j *jobState) {
	j.finished.Add(t.Index)
	l := h.liveJobs[t.Job]
	gang := l != nil && l.Record.Job.Shape == wire.Gang
	h.withdrawLaterAttempt(t, gang)
	if gang {
		for i := range l.Record.Tasks {
			j.finished.Add(i)
			h.withdrawLaterAttempt(wire.TaskID{Job: t.Job, Index: i}, true)
		}
	}
	h.unstored.Add(t.Job, h.lastRound)
}

// TaskCount is how many tasks of a job run and are done, for display.
type TaskCount struct{ Running, Done int }

// statusInterval is how old the counts may be: users expect no more of them than to
// follow within a few seconds.
const statusInterval = time.Second

// TaskCounts gives the counts of all live jobs that have any. The map is shared and
// never changed.
func (h *Leader) TaskCounts(now time.Time) map[string]TaskCount {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.taskCounts != nil && now.Sub(h.taskCountsAt) < statusInterval {
		return h.taskCounts
	}
	out := make(map[string]TaskCount, len(h.liveJobs))
	for id, j := range h.jobStates {
		if n := j.storedFinished.Count(); n > 0 && h.liveJobs[id] != nil {
			out[id] = TaskCount{Done: n}
		}
	}
	for _, m := range h.fleet.Machines() {
		for _, p := range m.Placements() {
			if (p.State == fleet.Running || p.State == fleet.Saving) && h.liveJobs[p.Task.Job] != nil {
				c := out[p.Task.Job]
				c.Running++
				out[p.Task.Job] = c
			}
		}
	}
	h.taskCounts, h.taskCountsAt = out, now
	return out
}
