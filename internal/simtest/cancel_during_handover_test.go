package simtest

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// The tests in this file cancel jobs within seconds of a handover, in which another controller takes
// over the shards of a leader.

// commitObserver observes the transactions that the state service commits, in order. It records
// elections, and launches of jobs that are already cancelled.
type commitObserver struct {
	*simulation
	mu                  sync.Mutex
	pendingValues       map[string]wire.Raw  // the puts of the transaction that is being committed
	recordedAttempts    map[string]string    // task attempts that a committed ledger has named
	cancelledJobs       map[string]bool      // jobs that the state service holds as cancelled
	launchesAfterCancel []string             // attempts of these jobs that were first recorded after their cancellation
	launched            map[string]time.Time // first launch, by job
	claims              []time.Time
	claimed             chan struct{}        // closed at the next election
	lastJob             string               // the job whose first launch triggers the handover
	fate                simulator.TxnOutcome // of the write that records that launch
	onLastLaunch        func()               // called after that launch is committed
}

// newCommitObserver attaches an observer to the state service.
func (w *simulation) newCommitObserver() *commitObserver {
	r := &commitObserver{simulation: w, recordedAttempts: map[string]string{}, cancelledJobs: map[string]bool{}, launched: map[string]time.Time{}, claimed: make(chan struct{})}
	w.store.Configure(func(s *simulator.StateService) {
		s.OutcomeOf = func(puts map[string]wire.Raw) simulator.TxnOutcome {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.pendingValues = puts
			for key, raw := range puts {
				if r.lastJob != "" && r.launched[r.lastJob].IsZero() && strings.HasPrefix(key, store.StatePrefix+"ledger/") && strings.Contains(string(raw), r.lastJob+"/") {
					return r.fate
				}
			}
			return simulator.TxnAnswered
		}
		s.OnCommit = r.noteCommit
	})
	return r
}

// noteCommit processes a committed transaction, given its keys. OutcomeOf received its values just before.
func (o *commitObserver) noteCommit(keys []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	puts := map[string]wire.Raw{}
	for _, key := range keys {
		if raw, ok := o.pendingValues[key]; ok {
			puts[key] = raw
		}
		if strings.HasPrefix(key, store.LeaderKey("")) {
			o.claims = append(o.claims, time.Now())
			close(o.claimed)
			o.claimed = make(chan struct{})
		}
	}
	for key, raw := range puts {
		var batch store.BatchRecord
		var segment store.SegmentRecord
		switch {
		case strings.HasPrefix(key, store.BatchKey("")) && wire.DecodeValue(raw, &batch) == nil:
			for id, rec := range batch.Jobs {
				o.cancelledJobs[id] = o.cancelledJobs[id] || rec.Stage == wire.Cancelled
			}
		case strings.HasPrefix(key, store.StatePrefix+"ledger/") && wire.DecodeValue(raw, &segment) == nil:
			o.noteLedgerSegment(segment)
		}
	}
}

// noteLedgerSegment processes the task attempts that a ledger segment names for the first time.
func (o *commitObserver) noteLedgerSegment(segment store.SegmentRecord) {
	for entry, raw := range segment.Entries {
		var machine store.MachineRecord
		if !strings.HasPrefix(entry, "m/") || wire.DecodeValue(raw, &machine) != nil {
			continue
		}
		for task, attempt := range machine.Tasks {
			name := fmt.Sprint(entry, task, "#", attempt)
			if o.recordedAttempts[name] != "" {
				continue
			}
			o.recordedAttempts[name] = "named"
			job, _, _ := strings.Cut(task, "/")
			if o.cancelledJobs[job] && attempt>>24 > 0 {
				o.launchesAfterCancel = append(o.launchesAfterCancel, name)
			}
			if o.launched[job].IsZero() {
				if o.launched[job] = time.Now(); job == o.lastJob {
					o.group.Go(o.onLastLaunch)
				}
			}
		}
	}
}

// handoverKinds are the ways in which leadership moves to another controller: those listed here, and
// handovers.
var handoverKinds = append([]handover{
	{"is reached by no machine, and by no peer", func(w *simulation, i int, _ *rand.Rand) {
		for _, m := range w.runningMachines() {
			during(50*time.Second, func(on bool) { w.net.Partition(w.ip(i), m.host, on) })
		}
		for k := range w.count { // nor do its peers relay anything to it
			if k != i {
				during(50*time.Second, func(on bool) { w.net.DropOneWay(w.ip(i), w.ip(k), on) })
			}
		}
	}},
	{"has another process of its name", func(w *simulation, i int, rng *rand.Rand) {
		w.startDuplicateProcess(i, 3*time.Second, finalHoldTime(rng))
	}},
	{"crashes, and the next one stands still at its claim", func(w *simulation, i int, rng *rand.Rand) {
		token := w.lastFencingToken()
		w.crash(i, restartDelay(rng), 0)
		waitUntil(20*time.Second, func() bool { return w.lastFencingToken() > token })
		for _, name := range w.leaders() {
			w.net.Pause(w.ip(controllerNumber(name)), []time.Duration{time.Second, 5 * time.Second, 15 * time.Second, 21 * time.Second, 30 * time.Second}[rng.IntN(5)])
		}
	}},
	{"crashes, the next one does, and the first one leads again", func(w *simulation, i int, rng *rand.Rand) {
		for range 2 {
			token := w.lastFencingToken()
			w.handOverAll(func(w *simulation, i int, rng *rand.Rand) { w.crash(i, restartDelay(rng), 0) }, rng)
			waitUntil(20*time.Second, func() bool { return w.lastFencingToken() > token })
			time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
		}
	}},
}, handovers...)

// handoverByReshard and handoverByRelease are the two kinds that affect the whole fleet.
const handoverByReshard, handoverByRelease = -1, -2

// cancelHandoverCase describes a simulation in which jobs are cancelled some time after a handover
// starts, or after the election that completes it. The cancellations are sent to the previous leader,
// to a controller that leads no shard, or to any controller.
type cancelHandoverCase struct {
	seed            uint64
	sharding        string
	controllerCount int
	kind            int           // an index into handoverKinds, handoverByReshard or handoverByRelease
	afterClaim      bool          // whether cancelAt counts from the election instead of the start of the handover
	cancelAt        time.Duration // may be negative
	cancelTarget    int           // 0: any controller, 1: the previous leader, 2: a controller that leads no shard
	lastRound       int           // last round before the handover; 0: launches a job, 1: as 0, and the response to its write is lost, 2: as 0, with delayed direct calls, 3: launches nothing
}

func (c cancelHandoverCase) String() string {
	way := map[int]string{handoverByReshard: "state is resharded", handoverByRelease: "shard is released"}[c.kind]
	if c.kind >= 0 {
		way = "leader " + handoverKinds[c.kind].name
	}
	return fmt.Sprintf("%s, %d controllers, the %s, jobs are cancelled %v after that (after the claim: %v) at %s, %s", c.sharding, c.controllerCount, way, c.cancelAt, c.afterClaim,
		[]string{"any", "the one that led", "another"}[c.cancelTarget], []string{"a job is launched just before", "a job is launched just before, without an answer", "a job is launched just before, by calls that are delayed", "no launch"}[c.lastRound])
}

// The times of cancellations, relative to the start of the handover, which takes up to the length of the
// leader's lease, and relative to the election. After the election the new leader reads the view, calls
// machines and writes the first round, all within a second if nothing fails.
var (
	offsetsFromHandover = []time.Duration{-2 * time.Second, -300 * time.Millisecond, -20 * time.Millisecond, 0, 5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second}
	offsetsFromElection = []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond, 700 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 6 * time.Second}
)

// drawCancelHandoverCase derives a case from a seed. The kinds, times and launches take turns, in steps
// that have no common divisor.
func drawCancelHandoverCase(seed uint64) cancelHandoverCase {
	n := int(seed)
	c := cancelHandoverCase{seed: seed, sharding: []string{"off", "zone"}[n%2], controllerCount: []int{3, 5}[n/2%2], kind: n*5%(len(handoverKinds)+2) - 2, cancelTarget: n / 3 % 3, lastRound: n * 3 / 2 % 4}
	if c.afterClaim = n/2%3 > 0 || c.kind == handoverByRelease; c.afterClaim {
		c.cancelAt = offsetsFromElection[(n*4+n/15)%len(offsetsFromElection)]
	} else {
		c.cancelAt = offsetsFromHandover[(n*3+n/11)%len(offsetsFromHandover)]
	}
	if c.kind == handoverByRelease {
		c.sharding, c.lastRound = "zone", 3
	}
	return c
}

// confirmationCounts counts the cancellations that were confirmed before the election, within a second
// after it, and later. lastRoundLaunches counts the launches in the last round before a handover. Both
// are totals over all cases.
var confirmationCounts [3]atomic.Int64
var lastRoundLaunches, cancelHandoversPlayed atomic.Int64

// run simulates the case.
func (c cancelHandoverCase) run(t *testing.T) {
	r := newCancelHandoverRun(t, c)
	log(c)
	defer func() {
		if t.Failed() {
			t.Log(c)
		}
	}()
	r.observer = r.newCommitObserver()
	r.reconfigureMachines(2*time.Second, func() time.Duration { return time.Duration(r.callDelay.Load()) })
	time.Sleep(8 * time.Second)
	r.startJobs()
	if c.kind == handoverByRelease {
		r.prepareRelease()
	}
	token, leaders := r.lastFencingToken(), r.leaders()
	r.previousLeader = r.anyLeader()

	r.observer.mu.Lock()
	claimed := r.observer.claimed
	r.observer.mu.Unlock()
	r.triggerHandover()
	if c.lastRound == 3 && !c.afterClaim && c.cancelAt < 0 {
		time.Sleep(3*time.Second + c.cancelAt)
		r.cancel()
	}
	var startedAt time.Time
	select {
	case startedAt = <-r.handoverStarted:
	case <-time.After(30 * time.Second):
		t.Error("the last job was not launched within 30 s")
		startedAt = time.Now()
		r.group.Go(r.handOver)
	}
	if !c.afterClaim && (c.cancelAt >= 0 || c.lastRound < 3) {
		time.Sleep(max(0, c.cancelAt))
		r.cancel()
	}
	var electedAt time.Time
	select {
	case <-claimed:
		electedAt = time.Now()
	case <-time.After(time.Minute):
		t.Errorf("no controller claimed a shard: leaders are %v, were %v", r.leaders(), leaders)
		electedAt = time.Now()
	}
	if c.afterClaim {
		time.Sleep(c.cancelAt)
		r.cancel()
	}
	time.Sleep(time.Until(startedAt.Add(20 * time.Second)))
	r.callDelay.Store(0)
	r.finish(token, electedAt)
}

// cancelHandoverRun is the simulation of a cancelHandoverCase.
type cancelHandoverRun struct {
	*simulation
	cancelHandoverCase
	rng             *rand.Rand
	shardings       shardingSettings
	observer        *commitObserver
	callDelay       atomic.Int64 // of direct calls
	clients         []*client    // submitters of the jobs to cancel
	previousLeader  int          // the leader before the handover
	handoverStarted chan time.Time

	mu        sync.Mutex
	confirmed []time.Time // when cancellations were confirmed
}

func newCancelHandoverRun(t *testing.T, d cancelHandoverCase) *cancelHandoverRun {
	r := &cancelHandoverRun{cancelHandoverCase: d, shardings: shardingSettings{initial: d.sharding}, rng: rand.New(rand.NewPCG(d.seed, 32)), handoverStarted: make(chan time.Time, 1)}
	r.simulation = newProxiedSimulation(t, d.controllerCount, d.seed, func(c *config.Config) {
		c.Tuning.Shards.By, c.Zone = r.shardings.forController(c.Name), []string{"a", "b"}[controllerNumber(c.Name)%2]
	})
	return r
}

// longRun is the run time of the jobs that are cancelled.
const longRun = 10 * time.Minute

// startJobs submits jobs of every shape and waits until all tasks of those to be cancelled are running.
func (r *cancelHandoverRun) startJobs() {
	for i, j := range []*wire.Job{jobOf("wk-1", wire.Array, 3, longRun), jobOf("wk-2", wire.Gang, 2, longRun, withCheckpoints, inOneZone), jobOf("wk-3", wire.Gang, 2, longRun, spreadOverZones),
		jobOf("wk-4", wire.Service, 3, serviceRunTime, spreadOverZones), jobOf("wk-5", wire.Array, 2, longRun, withCheckpoints, teamRed)} {
		if i%3 != int(r.seed)%3 { // leaves out a third of the jobs to limit the load of one simulation
			r.clients = append(r.clients, r.startClient(r.seed, j, 0, 0, serviceRunTime))
		}
	}
	r.startClient(r.seed, jobOf("wk-6", wire.Array, 4, time.Minute), 0, 0, time.Minute) // is not cancelled
	if !waitUntil(45*time.Second, func() bool {
		for _, c := range r.clients {
			if r.checker.RunningTasks(c.job.ID) < c.job.Tasks {
				return false
			}
		}
		return true
	}) {
		r.t.Error("not all tasks of the jobs to cancel are running after 45 s")
	}
}

// prepareRelease kills all controllers but one. That one takes over both shards, and releases one of
// them once the others have restarted.
func (r *cancelHandoverRun) prepareRelease() {
	for i := range r.simulation.count {
		if i != r.leaderOf("a") {
			r.kill(i, 25*time.Second)
		}
	}
	waitUntil(20*time.Second, func() bool { return r.leaderOf("b") == r.leaderOf("a") })
	time.Sleep(8 * time.Second)
}

// handOver starts the handover.
func (r *cancelHandoverRun) handOver() {
	r.handoverStarted <- time.Now()
	switch r.kind {
	case handoverByRelease:
	case handoverByReshard:
		to := map[string]string{"off": "zone", "zone": "off"}[r.sharding]
		for i := range r.simulation.count {
			r.shardings.set(i, to)
		}
		for _, i := range r.rng.Perm(r.simulation.count) {
			r.crash(i, restartDelay(r.rng), 0)
		}
	default:
		r.handOverAll(handoverKinds[r.kind].apply, r.rng)
	}
}

// triggerHandover makes the handover start at the launch of another job that is to be cancelled, or
// after three seconds if the last round launches nothing.
func (r *cancelHandoverRun) triggerHandover() {
	if r.lastRound == 3 {
		r.group.Go(func() {
			time.Sleep(3 * time.Second)
			r.handOver()
		})
		return
	}
	if r.lastRound == 2 {
		r.callDelay.Store(int64(40*time.Second + time.Duration(r.rng.IntN(15000))*time.Millisecond))
	}
	r.observer.mu.Lock()
	r.observer.lastJob, r.observer.onLastLaunch = "wk-9", r.handOver
	r.observer.fate = []simulator.TxnOutcome{simulator.TxnAnswered, simulator.TxnReplyLost, simulator.TxnAnswered}[r.lastRound]
	r.observer.mu.Unlock()
	r.clients = append(r.clients, r.startClient(r.seed, jobOf("wk-9", wire.Array, 3, longRun), 0, 0, serviceRunTime))
}

// cancel cancels all jobs in clients, each until the cancellation is confirmed.
func (r *cancelHandoverRun) cancel() {
	log("cancelled")
	for _, c := range r.clients {
		r.group.Go(func() {
			status := 0
			switch r.cancelTarget {
			case 1:
				status = c.cancel(max(0, r.previousLeader))
			case 2:
				status = c.cancel((max(0, r.previousLeader) + 1 + int(r.seed)%(r.simulation.count-1)) % r.simulation.count)
			}
			if status != 200 {
				c.untilAnswered(c.cancel)
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.confirmed = append(r.confirmed, time.Now())
		})
	}
}

// finish waits until the jobs are cancelled and checks the results. token is the fencing token before
// the handover, claimed the time of the election.
func (r *cancelHandoverRun) finish(token uint64, claimed time.Time) {
	for _, c := range r.clients {
		if !waitUntil(40*time.Second, func() bool { return r.checker.Stage(c.job.ID) == wire.Cancelled }) {
			r.t.Errorf("%s should be cancelled, but is %s", c.job.ID, r.checker.Stage(c.job.ID))
		}
	}
	time.Sleep(30 * time.Second) // faults that delay the leader are over by then
	if r.lastFencingToken() == token {
		r.t.Error("no leadership changed: the fencing token is the same as before the handover")
	}
	r.finishQuietly(0, 10*time.Minute)
	r.observer.mu.Lock()
	defer r.observer.mu.Unlock()
	for _, name := range r.observer.launchesAfterCancel {
		r.t.Errorf("%s was launched after its job was cancelled", name)
	}
	for _, confirmedAt := range r.confirmed {
		switch {
		case confirmedAt.Before(claimed):
			confirmationCounts[0].Add(1)
		case confirmedAt.Sub(claimed) <= time.Second:
			confirmationCounts[1].Add(1)
		default:
			confirmationCounts[2].Add(1)
		}
	}
	if cancelHandoversPlayed.Add(1); r.lastRound < 3 && !r.observer.launched["wk-9"].IsZero() {
		lastRoundLaunches.Add(1)
	}
}

// TestCancelDuringHandover checks that no task is launched after the cancellation of its job was
// committed, while leadership moves from one controller to another. AMBERDEAL_HANDS sets the number of
// cases, AMBERDEAL_HAND selects a single one.
func TestCancelDuringHandover(t *testing.T) {
	runSeeds(t, 14, "AMBERDEAL_HAND", func(t *testing.T, seed uint64) { drawCancelHandoverCase(seed).run(t) })
	if n := cancelHandoversPlayed.Load(); n > 10 {
		t.Logf("%d cases, %d launches in a last round; cancellations confirmed before the election, within a second after it, and later: %d, %d, %d", n, lastRoundLaunches.Load(), confirmationCounts[0].Load(), confirmationCounts[1].Load(), confirmationCounts[2].Load())
		if confirmationCounts[0].Load() == 0 || confirmationCounts[1].Load() == 0 || confirmationCounts[2].Load() == 0 || lastRoundLaunches.Load() == 0 {
			t.Error("the cases have no launch in a last round, or no confirmation in one of the three periods")
		}
	}
}
