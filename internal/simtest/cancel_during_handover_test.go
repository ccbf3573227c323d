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

// Days on which jobs are cancelled in the seconds in which the work of a controller changes hands.

// commitObserver sees what the state service commits, in order: elections, and which launches name
// a job that is already cancelled.
type commitObserver struct {
	*simulation
	mu                  sync.Mutex
	pendingValues       map[string]wire.Raw // of the transaction that is being committed
	recordedAttempts    map[string]string
	cancelledJobs       map[string]bool // according to the state service
	launchesAfterCancel []string        // launches of these after that
	launched            map[string]time.Time
	claims              []time.Time
	claimed             chan struct{}  // closed by the next election
	lastJob             string         // the job whose first launch triggers the handover
	fate                simulator.Fate // of the write of that launch
	onLastLaunch        func()         // called then
}

// newCommitObserver attaches an observer to the state service.
func (w *simulation) newCommitObserver() *commitObserver {
	r := &commitObserver{simulation: w, recordedAttempts: map[string]string{}, cancelledJobs: map[string]bool{}, launched: map[string]time.Time{}, claimed: make(chan struct{})}
	w.store.Configure(func(s *simulator.StateService) {
		s.FateOf = func(puts map[string]wire.Raw) simulator.Fate {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.pendingValues = puts
			for key, raw := range puts {
				if r.lastJob != "" && r.launched[r.lastJob].IsZero() && strings.HasPrefix(key, store.StatePrefix+"ledger/") && strings.Contains(string(raw), r.lastJob+"/") {
					return r.fate
				}
			}
			return simulator.FateAnswered
		}
		s.OnCommit = r.noteCommit
	})
	return r
}

// noteCommit handles a committed transaction, given its keys; its values were seen just before.
func (r *commitObserver) noteCommit(keys []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	puts := map[string]wire.Raw{}
	for _, key := range keys {
		if raw, ok := r.pendingValues[key]; ok {
			puts[key] = raw
		}
		if strings.HasPrefix(key, store.LeaderKey("")) {
			r.claims = append(r.claims, time.Now())
			close(r.claimed)
			r.claimed = make(chan struct{})
		}
	}
	for key, raw := range puts {
		var batch store.BatchRecord
		var slot store.SegmentRecord
		switch {
		case strings.HasPrefix(key, store.BatchKey("")) && wire.DecodeValue(raw, &batch) == nil:
			for id, rec := range batch.Jobs {
				r.cancelledJobs[id] = r.cancelledJobs[id] || rec.Stage == wire.Cancelled
			}
		case strings.HasPrefix(key, store.StatePrefix+"ledger/") && wire.DecodeValue(raw, &slot) == nil:
			r.noteLedgerSegment(slot)
		}
	}
}

// noteLedgerSegment handles the tasks that a ledger slot names for the first time.
func (r *commitObserver) noteLedgerSegment(slot store.SegmentRecord) {
	for entry, raw := range slot.Entries {
		var m store.MachineRecord
		if !strings.HasPrefix(entry, "m/") || wire.DecodeValue(raw, &m) != nil {
			continue
		}
		for task, attempt := range m.Tasks {
			name := fmt.Sprint(entry, task, "#", attempt)
			if r.recordedAttempts[name] != "" {
				continue
			}
			r.recordedAttempts[name] = "named"
			job, _, _ := strings.Cut(task, "/")
			if r.cancelledJobs[job] && attempt>>24 > 0 {
				r.launchesAfterCancel = append(r.launchesAfterCancel, name)
			}
			if r.launched[job].IsZero() {
				if r.launched[job] = time.Now(); job == r.lastJob {
					r.group.Go(r.onLastLaunch)
				}
			}
		}
	}
}

// handoverKinds are the ways in which work changes its leader, in addition to handovers.
var handoverKinds = append([]handover{
	{"is reached by no machine, and by no peer", func(w *simulation, i int, _ *rand.Rand) {
		for _, m := range w.runningMachines() {
			during(50*time.Second, func(on bool) { w.net.Partition(w.ip(i), m.host, on) })
		}
		for k := range w.count { // nor by what its peers pass on
			if k != i {
				during(50*time.Second, func(on bool) { w.net.DropOneWay(w.ip(i), w.ip(k), on) })
			}
		}
	}},
	{"has another process of its name", func(w *simulation, i int, rng *rand.Rand) { w.twin(i, 3*time.Second, finalHoldTime(rng)) }},
	{"crashes, and the next one stands still at its claim", func(w *simulation, i int, rng *rand.Rand) {
		token := w.token()
		w.crash(i, restartDelay(rng), 0)
		waitUntil(20*time.Second, func() bool { return w.token() > token })
		for _, name := range w.leaders() {
			w.net.Pause(w.ip(controllerNumber(name)), []time.Duration{time.Second, 5 * time.Second, 15 * time.Second, 21 * time.Second, 30 * time.Second}[rng.IntN(5)])
		}
	}},
	{"crashes, the next one does, and the first one leads again", func(w *simulation, i int, rng *rand.Rand) {
		for range 2 {
			token := w.token()
			w.handOverAll(func(w *simulation, i int, rng *rand.Rand) { w.crash(i, restartDelay(rng), 0) }, rng)
			waitUntil(20*time.Second, func() bool { return w.token() > token })
			time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
		}
	}},
}, handovers...)

// handoverByReshard and handoverByRelease are two kinds that concern the whole fleet.
const handoverByReshard, handoverByRelease = -1, -2

// cancelHandoverCase is a day on which jobs are cancelled at some time after a handover begins, or
// after the election that completes it, at the previous leader, at a controller that leads
// nothing, or at any.
type cancelHandoverCase struct {
	seed            uint64
	sharding        string
	controllerCount int
	kind            int // of handover, or handoverByReshard or handoverByRelease
	afterClaim      bool
	cancelAt        time.Duration
	cancelTarget    int
	lastRound       int // 0: a job is launched in the last round, 1: the answer to that is lost, 2: its direct calls are delayed too, 3: there is none
}

func (d cancelHandoverCase) String() string {
	way := map[int]string{handoverByReshard: "state is resharded", handoverByRelease: "shard is released"}[d.kind]
	if d.kind >= 0 {
		way = "leader " + handoverKinds[d.kind].name
	}
	return fmt.Sprintf("%s, %d controllers, the %s, jobs are cancelled %v after that (after the claim: %v) at %s, %s", d.sharding, d.controllerCount, way, d.cancelAt, d.afterClaim,
		[]string{"any", "the one that led", "another"}[d.cancelTarget], []string{"a job is launched just before", "a job is launched just before, without an answer", "a job is launched just before, by calls that are delayed", "no launch"}[d.lastRound])
}

// The times of cancellations: since the start of the handover, which takes up to a lease of the
// leader, and since the election, after which the view is read, machines are called and the first
// round is written, all within a second if nothing fails.
var (
	offsetsFromHandover = []time.Duration{-2 * time.Second, -300 * time.Millisecond, -20 * time.Millisecond, 0, 5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second}
	offsetsFromElection = []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond, 700 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 6 * time.Second}
)

// drawCancelHandoverCase draws a day. Each kind, time and launch comes in turn, in steps that have no
// common divisor.
func drawCancelHandoverCase(seed uint64) cancelHandoverCase {
	n := int(seed)
	d := cancelHandoverCase{seed: seed, sharding: []string{"off", "zone"}[n%2], controllerCount: []int{3, 5}[n/2%2], kind: n*5%(len(handoverKinds)+2) - 2, cancelTarget: n / 3 % 3, lastRound: n * 3 / 2 % 4}
	if d.afterClaim = n/2%3 > 0 || d.kind == handoverByRelease; d.afterClaim {
		d.cancelAt = offsetsFromElection[(n*4+n/15)%len(offsetsFromElection)]
	} else {
		d.cancelAt = offsetsFromHandover[(n*3+n/11)%len(offsetsFromHandover)]
	}
	if d.kind == handoverByRelease {
		d.sharding, d.lastRound = "zone", 3
	}
	return d
}

// confirmationCounts counts the cancellations that were confirmed before the election, in the second
// after it, and later, and lastRoundLaunches the launches in a last round, over all days.
var confirmationCounts [3]atomic.Int64
var lastRoundLaunches, cancelHandoversPlayed atomic.Int64

// run simulates the day.
func (d cancelHandoverCase) run(t *testing.T) {
	r := newCancelHandoverRun(t, d)
	log(d)
	defer func() {
		if t.Failed() {
			t.Log(d)
		}
	}()
	r.observer = r.newCommitObserver()
	r.reconfigureMachines(2*time.Second, func() time.Duration { return time.Duration(r.callDelay.Load()) })
	time.Sleep(8 * time.Second)
	r.startJobs()
	if d.kind == handoverByRelease {
		r.prepareRelease()
	}
	token, leaders := r.token(), r.leaders()
	r.previousLeader = r.anyLeader()

	r.observer.mu.Lock()
	claimed := r.observer.claimed
	r.observer.mu.Unlock()
	r.triggerHandover()
	if d.lastRound == 3 && !d.afterClaim && d.cancelAt < 0 {
		time.Sleep(3*time.Second + d.cancelAt)
		r.cancel()
	}
	var begun time.Time
	select {
	case begun = <-r.handoverStarted:
	case <-time.After(30 * time.Second):
		t.Error("nothing was launched")
		begun = time.Now()
		r.group.Go(r.handOver)
	}
	if !d.afterClaim && (d.cancelAt >= 0 || d.lastRound < 3) {
		time.Sleep(max(0, d.cancelAt))
		r.cancel()
	}
	var at time.Time
	select {
	case <-claimed:
		at = time.Now()
	case <-time.After(time.Minute):
		t.Errorf("nobody claimed anything: %v, %v before", r.leaders(), leaders)
		at = time.Now()
	}
	if d.afterClaim {
		time.Sleep(d.cancelAt)
		r.cancel()
	}
	time.Sleep(time.Until(begun.Add(20 * time.Second)))
	r.callDelay.Store(0)
	r.finish(token, at)
}

// cancelHandoverRun is the simulation of a cancelHandoverCase.
type cancelHandoverRun struct {
	*simulation
	cancelHandoverCase
	rng             *rand.Rand
	shardings       shardingSettings
	observer        *commitObserver
	callDelay       atomic.Int64 // delay of direct calls
	clients         []*client    // of the jobs to cancel
	previousLeader  int          // leader before the handover
	handoverStarted chan time.Time

	mu        sync.Mutex
	confirmed []time.Time // cancellations
}

func newCancelHandoverRun(t *testing.T, d cancelHandoverCase) *cancelHandoverRun {
	r := &cancelHandoverRun{cancelHandoverCase: d, shardings: shardingSettings{initial: d.sharding}, rng: rand.New(rand.NewPCG(d.seed, 32)), handoverStarted: make(chan time.Time, 1)}
	r.simulation = newProxiedSimulation(t, d.controllerCount, d.seed, func(c *config.Config) {
		c.Tuning.Shards.By, c.Zone = r.shardings.of(c.Name), []string{"a", "b"}[controllerNumber(c.Name)%2]
	})
	return r
}

// longRun is the run time of the jobs that are cancelled.
const longRun = 10 * time.Minute

// startJobs submits jobs of every shape and waits until those that are to be cancelled run.
func (r *cancelHandoverRun) startJobs() {
	for i, j := range []*wire.Job{jobOf("wk-1", wire.Array, 3, longRun), jobOf("wk-2", wire.Gang, 2, longRun, saves, oneZone), jobOf("wk-3", wire.Gang, 2, longRun, spread),
		jobOf("wk-4", wire.Service, 3, forever, spread), jobOf("wk-5", wire.Array, 2, longRun, saves, red)} {
		if i%3 != int(r.seed)%3 { // or there would be much of everything on each day
			r.clients = append(r.clients, r.submitter(r.seed, j, 0, 0, forever))
		}
	}
	r.submitter(r.seed, jobOf("wk-6", wire.Array, 4, time.Minute), 0, 0, time.Minute) // which stays
	if !waitUntil(45*time.Second, func() bool {
		for _, c := range r.clients {
			if r.checker.Running(c.job.ID) < c.job.Tasks {
				return false
			}
		}
		return true
	}) {
		r.t.Error("not all run that is to be cancelled")
	}
}

// prepareRelease kills all controllers but one, which releases a shard once the others are back.
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

// triggerHandover has the handover start with the launch of a job that is to be cancelled too, or
// after three seconds.
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
	r.observer.fate = []simulator.Fate{simulator.FateAnswered, simulator.FateReplyLost, simulator.FateAnswered}[r.lastRound]
	r.observer.mu.Unlock()
	r.clients = append(r.clients, r.submitter(r.seed, jobOf("wk-9", wire.Array, 3, longRun), 0, 0, forever))
}

// cancel has all users cancel their jobs.
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

// finish waits for the end of the cancelled jobs and checks the day. The token is that before the
// handover, claimed the time of the election.
func (r *cancelHandoverRun) finish(token uint64, claimed time.Time) {
	for _, c := range r.clients {
		if !waitUntil(40*time.Second, func() bool { return r.checker.Stage(c.job.ID) == wire.Cancelled }) {
			r.t.Errorf("%s is %s", c.job.ID, r.checker.Stage(c.job.ID))
		}
	}
	time.Sleep(30 * time.Second) // what is to delay the leader is over
	if r.token() == token {
		r.t.Error("nothing changed hands")
	}
	r.finishQuietly(0, 10*time.Minute)
	r.observer.mu.Lock()
	defer r.observer.mu.Unlock()
	for _, name := range r.observer.launchesAfterCancel {
		r.t.Errorf("%s is decided on after its job is cancelled", name)
	}
	for _, when := range r.confirmed {
		switch {
		case when.Before(claimed):
			confirmationCounts[0].Add(1)
		case when.Sub(claimed) <= time.Second:
			confirmationCounts[1].Add(1)
		default:
			confirmationCounts[2].Add(1)
		}
	}
	if cancelHandoversPlayed.Add(1); r.lastRound < 3 && !r.observer.launched["wk-9"].IsZero() {
		lastRoundLaunches.Add(1)
	}
}

// TestCancelDuringHandover simulates such days. AMBERDEAL_HANDS sets their number, AMBERDEAL_HAND
// plays one.
func TestCancelDuringHandover(t *testing.T) {
	playSeeds(t, 14, "AMBERDEAL_HAND", func(t *testing.T, seed uint64) { drawCancelHandoverCase(seed).run(t) })
	if n := cancelHandoversPlayed.Load(); n > 10 {
		t.Logf("%d days, %d launches in a last round; cancellations confirmed before the claim, within a second of it, and later: %d, %d, %d", n, lastRoundLaunches.Load(), confirmationCounts[0].Load(), confirmationCounts[1].Load(), confirmationCounts[2].Load())
		if confirmationCounts[0].Load() == 0 || confirmationCounts[1].Load() == 0 || confirmationCounts[2].Load() == 0 || lastRoundLaunches.Load() == 0 {
			t.Error("not all came about")
		}
	}
}
