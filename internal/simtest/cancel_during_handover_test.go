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
	known               map[string]string
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
	r := &commitObserver{simulation: w, known: map[string]string{}, cancelledJobs: map[string]bool{}, launched: map[string]time.Time{}, claimed: make(chan struct{})}
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
			r.noteLedgerSlot(slot)
		}
	}
}

// noteLedgerSlot handles the tasks that a ledger slot names for the first time.
func (r *commitObserver) noteLedgerSlot(slot store.SegmentRecord) {
	for entry, raw := range slot.Entries {
		var m store.MachineRecord
		if !strings.HasPrefix(entry, "m/") || wire.DecodeValue(raw, &m) != nil {
			continue
		}
		for task, attempt := range m.Tasks {
			name := fmt.Sprint(entry, task, "#", attempt)
			if r.known[name] != "" {
				continue
			}
			r.known[name] = "named"
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
	{"is reached by no machine, and heard by no sibling", func(w *simulation, i int, _ *rand.Rand) {
		for _, m := range w.runningMachines() {
			during(50*time.Second, func(on bool) { w.net.Partition(w.ip(i), m.host, on) })
		}
		for k := range w.count { // nor by what its siblings pass on
			if k != i {
				during(50*time.Second, func(on bool) { w.net.DropOneWay(w.ip(i), w.ip(k), on) })
			}
		}
	}},
	{"has another process of its name", func(w *simulation, i int, luck *rand.Rand) { w.twin(i, 3*time.Second, finalHoldTime(luck)) }},
	{"crashes, and the next one stands still at its claim", func(w *simulation, i int, luck *rand.Rand) {
		term := w.token()
		w.crash(i, restartDelay(luck), 0)
		waitUntil(20*time.Second, func() bool { return w.token() > term })
		for _, name := range w.leaders() {
			w.net.Pause(w.ip(controllerNumber(name)), []time.Duration{time.Second, 5 * time.Second, 15 * time.Second, 21 * time.Second, 30 * time.Second}[luck.IntN(5)])
		}
	}},
	{"crashes, the next one does, and the first one leads again", func(w *simulation, i int, luck *rand.Rand) {
		for range 2 {
			term := w.token()
			w.handOverAll(func(w *simulation, i int, luck *rand.Rand) { w.crash(i, restartDelay(luck), 0) }, luck)
			waitUntil(20*time.Second, func() bool { return w.token() > term })
			time.Sleep(time.Duration(luck.IntN(2500)) * time.Millisecond)
		}
	}},
}, handovers...)

// handoverByReshard and handoverByRelease are two kinds that concern the whole fleet.
const handoverByReshard, handoverByRelease = -1, -2

// cancelHandoverCase is a day on which jobs are cancelled at some time after a handover begins, or
// after the election that completes it, at the previous leader, at a controller that leads
// nothing, or at any.
type cancelHandoverCase struct {
	seed       uint64
	sharding   string
	count      int
	kind       int // of handover, or handoverByReshard or handoverByRelease
	afterClaim bool
	cancelAt   time.Duration
	controller int
	lastRound  int // 0: a job is launched in the last round, 1: the answer to that is lost, 2: its direct calls are delayed too, 3: there is none
}

func (d cancelHandoverCase) String() string {
	way := map[int]string{handoverByReshard: "state is divided anew", handoverByRelease: "part is given back"}[d.kind]
	if d.kind >= 0 {
		way = "leader " + handoverKinds[d.kind].name
	}
	return fmt.Sprintf("%s, %d controllers, the %s, jobs are cancelled %v after that (after the claim: %v) at %s, %s", d.sharding, d.count, way, d.cancelAt, d.afterClaim,
		[]string{"any", "the one that led", "another"}[d.controller], []string{"a job is launched just before", "a job is launched just before, without an answer", "a job is launched just before, by calls that are held up", "no launch"}[d.lastRound])
}

// The times of cancellations: since the start of the handover, which takes up to a lease of the
// leader, and since the election, after which the view is read, machines are called and the first
// round is written, all within a second if nothing fails.
var (
	sinceEvent = []time.Duration{-2 * time.Second, -300 * time.Millisecond, -20 * time.Millisecond, 0, 5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second}
	sinceClaim = []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond, 700 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 6 * time.Second}
)

// drawCancelHandover draws a day. Each kind, time and launch comes in turn, in steps that have no
// common divisor.
func drawCancelHandover(seed uint64) cancelHandoverCase {
	n := int(seed)
	d := cancelHandoverCase{seed: seed, sharding: []string{"off", "zone"}[n%2], count: []int{3, 5}[n/2%2], kind: n*5%(len(handoverKinds)+2) - 2, controller: n / 3 % 3, lastRound: n * 3 / 2 % 4}
	if d.afterClaim = n/2%3 > 0 || d.kind == handoverByRelease; d.afterClaim {
		d.cancelAt = sinceClaim[(n*4+n/15)%len(sinceClaim)]
	} else {
		d.cancelAt = sinceEvent[(n*3+n/11)%len(sinceEvent)]
	}
	if d.kind == handoverByRelease {
		d.sharding, d.lastRound = "zone", 3
	}
	return d
}

// confirmedAt counts the cancellations that were confirmed before the election, in the second
// after it, and later, and lastLaunches the launches in a last round, over all days.
var confirmedAt [3]atomic.Int64
var lastLaunches, cancelHandoversPlayed atomic.Int64

// run simulates the day.
func (d cancelHandoverCase) run(t *testing.T) {
	rng := rand.New(rand.NewPCG(d.seed, 32))
	var set sync.Map
	w := newProxiedSimulation(t, d.count, d.seed, func(c *config.Config) {
		by, _ := set.LoadOrStore(c.Name, d.sharding)
		c.Tuning.Shards.By, c.Zone = by.(string), []string{"a", "b"}[controllerNumber(c.Name)%2]
	})
	log(d)
	defer func() {
		if t.Failed() {
			t.Log(d)
		}
	}()
	r := w.newCommitObserver()
	var hold atomic.Int64
	w.reconfigureMachines(2*time.Second, func() time.Duration { return time.Duration(hold.Load()) })
	time.Sleep(8 * time.Second)
	const long = 10 * time.Minute
	var ended []*client
	for i, j := range []*wire.Job{jobOf("wk-1", wire.Array, 3, long), jobOf("wk-2", wire.Gang, 2, long, saves, oneZone), jobOf("wk-3", wire.Gang, 2, long, spread),
		jobOf("wk-4", wire.Service, 3, forever, spread), jobOf("wk-5", wire.Array, 2, long, saves, red)} {
		if i%3 != int(d.seed)%3 { // or there would be much of everything on each day
			ended = append(ended, w.submitter(d.seed, j, 0, 0, forever))
		}
	}
	w.submitter(d.seed, jobOf("wk-6", wire.Array, 4, time.Minute), 0, 0, time.Minute) // which stays
	if !waitUntil(45*time.Second, func() bool {
		for _, c := range ended {
			if w.checker.Running(c.job.ID) < c.job.Tasks {
				return false
			}
		}
		return true
	}) {
		t.Error("not all run that is to be cancelled")
	}
	if d.kind == handoverByRelease { // by the one that is left, once the others are back
		for i := range w.count {
			if i != w.leaderOf("a") {
				w.kill(i, 25*time.Second)
			}
		}
		waitUntil(20*time.Second, func() bool { return w.leaderOf("b") == w.leaderOf("a") })
		time.Sleep(8 * time.Second)
	}
	term, holders := w.token(), w.leaders()
	old := w.anyLeader()

	r.mu.Lock()
	claimed := r.claimed
	r.mu.Unlock()
	event := make(chan time.Time, 1)
	cast := func() {
		event <- time.Now()
		switch d.kind {
		case handoverByRelease:
		case handoverByReshard:
			to := map[string]string{"off": "zone", "zone": "off"}[d.sharding]
			for i := range w.count {
				set.Store(fmt.Sprint("c-", i), to)
			}
			for _, i := range rng.Perm(w.count) {
				w.crash(i, restartDelay(rng), 0)
			}
		default:
			w.handOverAll(handoverKinds[d.kind].apply, rng)
		}
	}
	var told []time.Time
	var mu sync.Mutex
	cancel := func() {
		log("cancelled")
		for _, c := range ended {
			w.group.Go(func() {
				status := 0
				switch d.controller {
				case 1:
					status = c.cancel(max(0, old))
				case 2:
					status = c.cancel((max(0, old) + 1 + int(d.seed)%(w.count-1)) % w.count)
				}
				if status != 200 {
					c.untilAnswered(c.cancel)
				}
				mu.Lock()
				defer mu.Unlock()
				told = append(told, time.Now())
			})
		}
	}
	if d.lastRound < 3 { // the work changes hands with a launch, which is to be cancelled too
		if d.lastRound == 2 {
			hold.Store(int64(40*time.Second + time.Duration(rng.IntN(15000))*time.Millisecond))
		}
		r.mu.Lock()
		r.lastJob, r.fate, r.onLastLaunch = "wk-9", []simulator.Fate{simulator.FateAnswered, simulator.FateReplyLost, simulator.FateAnswered}[d.lastRound], cast
		r.mu.Unlock()
		ended = append(ended, w.submitter(d.seed, jobOf("wk-9", wire.Array, 3, long), 0, 0, forever))
	} else {
		w.group.Go(func() {
			time.Sleep(3 * time.Second)
			cast()
		})
	}
	if d.lastRound == 3 && !d.afterClaim && d.cancelAt < 0 {
		time.Sleep(3*time.Second + d.cancelAt)
		cancel()
	}
	var begun time.Time
	select {
	case begun = <-event:
	case <-time.After(30 * time.Second):
		t.Error("nothing was launched")
		begun = time.Now()
		w.group.Go(cast)
	}
	if !d.afterClaim && (d.cancelAt >= 0 || d.lastRound < 3) {
		time.Sleep(max(0, d.cancelAt))
		cancel()
	}
	var at time.Time
	select {
	case <-claimed:
		at = time.Now()
	case <-time.After(time.Minute):
		t.Errorf("nobody claimed anything: %v, %v before", w.leaders(), holders)
		at = time.Now()
	}
	if d.afterClaim {
		time.Sleep(d.cancelAt)
		cancel()
	}
	time.Sleep(time.Until(begun.Add(20 * time.Second)))
	hold.Store(0)
	for _, c := range ended {
		if !waitUntil(40*time.Second, func() bool { return w.checker.Stage(c.job.ID) == wire.Cancelled }) {
			t.Errorf("%s is %s", c.job.ID, w.checker.Stage(c.job.ID))
		}
	}
	time.Sleep(30 * time.Second) // what is to hold up the leader is over
	if w.token() == term {
		t.Error("nothing changed hands")
	}
	w.finishQuietly(0, 10*time.Minute)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range r.launchesAfterCancel {
		t.Errorf("%s is decided on after its job is cancelled", name)
	}
	for _, when := range told {
		confirmedAt[map[bool]int{false: 0, true: 1}[!when.Before(at)]+map[bool]int{true: 1}[when.Sub(at) > time.Second]].Add(1)
	}
	if cancelHandoversPlayed.Add(1); d.lastRound < 3 && !r.launched["wk-9"].IsZero() {
		lastLaunches.Add(1)
	}
}

// TestCancelDuringHandover simulates such days. AMBERDEAL_HANDS sets their number, AMBERDEAL_HAND
// plays one.
func TestCancelDuringHandover(t *testing.T) {
	playSeeds(t, 14, "AMBERDEAL_HAND", func(t *testing.T, seed uint64) { drawCancelHandover(seed).run(t) })
	if n := cancelHandoversPlayed.Load(); n > 10 {
		t.Logf("%d days, %d launches in a last round; cancellations confirmed before the claim, within a second of it, and later: %d, %d, %d", n, lastLaunches.Load(), confirmedAt[0].Load(), confirmedAt[1].Load(), confirmedAt[2].Load())
		if confirmedAt[0].Load() == 0 || confirmedAt[1].Load() == 0 || confirmedAt[2].Load() == 0 || lastLaunches.Load() == 0 {
			t.Error("not all came about")
		}
	}
}
