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

// registrar sees what the state service takes, in order: claims, and which launches name a job that
// is cancelled by then.
type registrar struct {
	*world
	mu       sync.Mutex
	wrote    map[string]wire.Raw // by the transaction that is being taken
	known    map[string]string
	over     map[string]bool // jobs that are cancelled by the state service
	decided  []string        // launches of these after that
	launched map[string]time.Time
	claims   []time.Time
	claimed  chan struct{}  // closed by the next claim
	last     string         // the job with whose first launch the work changes hands
	fate     simulator.Fate // of the write of that
	upon     func()         // is called then
}

func (w *world) registrar() *registrar {
	r := &registrar{world: w, known: map[string]string{}, over: map[string]bool{}, launched: map[string]time.Time{}, claimed: make(chan struct{})}
	w.store.Stage(func(s *simulator.Store) {
		s.Meets = func(puts map[string]wire.Raw) simulator.Fate {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.wrote = puts
			for key, raw := range puts {
				if r.last != "" && r.launched[r.last].IsZero() && strings.HasPrefix(key, store.Root+"ledger/") && strings.Contains(string(raw), r.last+"/") {
					return r.fate
				}
			}
			return simulator.Answered
		}
		s.Took = r.took
	})
	return r
}

// took takes in the keys that a transaction has written, whose values were seen just before.
func (r *registrar) took(keys []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	puts := map[string]wire.Raw{}
	for _, key := range keys {
		if raw, ok := r.wrote[key]; ok {
			puts[key] = raw
		}
		if strings.HasPrefix(key, store.PartKey("")) {
			r.claims = append(r.claims, time.Now())
			close(r.claimed)
			r.claimed = make(chan struct{})
		}
	}
	for key, raw := range puts {
		var batch store.BatchRecord
		var slot store.SlotRecord
		switch {
		case strings.HasPrefix(key, store.BatchKey("")) && wire.DecodeValue(raw, &batch) == nil:
			for id, rec := range batch.Jobs {
				r.over[id] = r.over[id] || rec.Stage == wire.Cancelled
			}
		case strings.HasPrefix(key, store.Root+"ledger/") && wire.DecodeValue(raw, &slot) == nil:
			r.slot(slot)
		}
	}
}

// slot takes in what a ledger names anew.
func (r *registrar) slot(slot store.SlotRecord) {
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
			if r.over[job] && attempt>>24 > 0 {
				r.decided = append(r.decided, name)
			}
			if r.launched[job].IsZero() {
				if r.launched[job] = time.Now(); job == r.last {
					r.group.Go(r.upon)
				}
			}
		}
	}
}

// hands are how work changes hands, beside those of handovers.
var hands = append([]handover{
	{"is reached by no machine, and heard by no sibling", func(w *world, i int, _ *rand.Rand) {
		for _, m := range w.workers() {
			lasting(50*time.Second, func(on bool) { w.net.Cut(w.ip(i), m.host, on) })
		}
		for k := range w.count { // nor by what its siblings pass on
			if k != i {
				lasting(50*time.Second, func(on bool) { w.net.Lose(w.ip(i), w.ip(k), on) })
			}
		}
	}},
	{"has another process of its name", func(w *world, i int, luck *rand.Rand) { w.twin(i, 3*time.Second, held(luck)) }},
	{"crashes, and the next one stands still at its claim", func(w *world, i int, luck *rand.Rand) {
		term := w.term()
		w.crash(i, soon(luck), 0)
		awaits(20*time.Second, func() bool { return w.term() > term })
		for _, name := range w.holders() {
			w.net.Still(w.ip(numberOf(name)), []time.Duration{time.Second, 5 * time.Second, 15 * time.Second, 21 * time.Second, 30 * time.Second}[luck.IntN(5)])
		}
	}},
	{"crashes, the next one does, and the first one leads again", func(w *world, i int, luck *rand.Rand) {
		for range 2 {
			term := w.term()
			w.handOver(func(w *world, i int, luck *rand.Rand) { w.crash(i, soon(luck), 0) }, luck)
			awaits(20*time.Second, func() bool { return w.term() > term })
			time.Sleep(time.Duration(luck.IntN(2500)) * time.Millisecond)
		}
	}},
}, handovers...)

// regrouped and givenBack are two that concern the whole fleet.
const regrouped, givenBack = -1, -2

// ofHands is a day on which jobs are cancelled so long after the work is about to change hands, or
// after the claim by which it does, at the controller that had it, one that had nothing, or any.
type ofHands struct {
	seed    uint64
	by      string
	count   int
	way     int // of hands, or regrouped or givenBack
	claim   bool
	cancels time.Duration
	at      int
	last    int // 0: a job is launched in the last round, 1: of which the answer is lost, 2: and its calls are held up, 3: there is none
}

func (d ofHands) String() string {
	way := map[int]string{regrouped: "state is divided anew", givenBack: "part is given back"}[d.way]
	if d.way >= 0 {
		way = "leader " + hands[d.way].name
	}
	return fmt.Sprintf("%s, %d controllers, the %s, jobs are cancelled %v after that (after the claim: %v) at %s, %s", d.by, d.count, way, d.cancels, d.claim,
		[]string{"any", "the one that led", "another"}[d.at], []string{"a job is launched just before", "a job is launched just before, without an answer", "a job is launched just before, by calls that are held up", "no launch"}[d.last])
}

// Moments of cancellations: since the work is about to change hands, which takes up to a lease of
// the holder, and since the claim, after which the view is read, machines are called and the first round
// is written, all within a second if nothing is in the way.
var (
	sinceEvent = []time.Duration{-2 * time.Second, -300 * time.Millisecond, -20 * time.Millisecond, 0, 5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second}
	sinceClaim = []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond, 700 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 6 * time.Second}
)

// drawHands draws a day. Each way, each moment and each launch come in turn, in steps that have
// no common divisor.
func drawHands(seed uint64) ofHands {
	n := int(seed)
	d := ofHands{seed: seed, by: []string{"off", "zone"}[n%2], count: []int{3, 5}[n/2%2], way: n*5%(len(hands)+2) - 2, at: n / 3 % 3, last: n * 3 / 2 % 4}
	if d.claim = n/2%3 > 0 || d.way == givenBack; d.claim {
		d.cancels = sinceClaim[(n*4+n/15)%len(sinceClaim)]
	} else {
		d.cancels = sinceEvent[(n*3+n/11)%len(sinceEvent)]
	}
	if d.way == givenBack {
		d.by, d.last = "zone", 3
	}
	return d
}

// told counts the cancellations that were confirmed before the claim, in the second after it, and
// later, and the launches in a last round, in all days that were played.
var toldAt [3]atomic.Int64
var lastLaunches, handsPlayed atomic.Int64

func (d ofHands) play(t *testing.T) {
	luck := rand.New(rand.NewPCG(d.seed, 32))
	var set sync.Map
	w := worldOfDoors(t, d.count, d.seed, func(c *config.Config) {
		by, _ := set.LoadOrStore(c.Name, d.by)
		c.Tuning.Parts.By, c.Zone = by.(string), []string{"a", "b"}[numberOf(c.Name)%2]
	})
	log(d)
	defer func() {
		if t.Failed() {
			t.Log(d)
		}
	}()
	r := w.registrar()
	var hold atomic.Int64
	w.machines(2*time.Second, func() time.Duration { return time.Duration(hold.Load()) })
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
	if !awaits(45*time.Second, func() bool {
		for _, c := range ended {
			if w.check.Running(c.job.ID) < c.job.Tasks {
				return false
			}
		}
		return true
	}) {
		t.Error("not all run that is to be cancelled")
	}
	if d.way == givenBack { // by the one that is left, once the others are back
		for i := range w.count {
			if i != w.holder("a") {
				w.kill(i, 25*time.Second)
			}
		}
		awaits(20*time.Second, func() bool { return w.holder("b") == w.holder("a") })
		time.Sleep(8 * time.Second)
	}
	term, holders := w.term(), w.holders()
	old := w.leader()

	r.mu.Lock()
	claimed := r.claimed
	r.mu.Unlock()
	event := make(chan time.Time, 1)
	cast := func() {
		event <- time.Now()
		switch d.way {
		case givenBack:
		case regrouped:
			to := map[string]string{"off": "zone", "zone": "off"}[d.by]
			for i := range w.count {
				set.Store(fmt.Sprint("c-", i), to)
			}
			for _, i := range luck.Perm(w.count) {
				w.crash(i, soon(luck), 0)
			}
		default:
			w.handOver(hands[d.way].cast, luck)
		}
	}
	var told []time.Time
	var mu sync.Mutex
	cancel := func() {
		log("cancelled")
		for _, c := range ended {
			w.group.Go(func() {
				status := 0
				switch d.at {
				case 1:
					status = c.cancel(max(0, old))
				case 2:
					status = c.cancel((max(0, old) + 1 + int(d.seed)%(w.count-1)) % w.count)
				}
				if status != 200 {
					c.until(c.cancel)
				}
				mu.Lock()
				defer mu.Unlock()
				told = append(told, time.Now())
			})
		}
	}
	if d.last < 3 { // the work changes hands with a launch, which is to be cancelled too
		if d.last == 2 {
			hold.Store(int64(40*time.Second + time.Duration(luck.IntN(15000))*time.Millisecond))
		}
		r.mu.Lock()
		r.last, r.fate, r.upon = "wk-9", []simulator.Fate{simulator.Answered, simulator.Taken, simulator.Answered}[d.last], cast
		r.mu.Unlock()
		ended = append(ended, w.submitter(d.seed, jobOf("wk-9", wire.Array, 3, long), 0, 0, forever))
	} else {
		w.group.Go(func() {
			time.Sleep(3 * time.Second)
			cast()
		})
	}
	if d.last == 3 && !d.claim && d.cancels < 0 {
		time.Sleep(3*time.Second + d.cancels)
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
	if !d.claim && (d.cancels >= 0 || d.last < 3) {
		time.Sleep(max(0, d.cancels))
		cancel()
	}
	var at time.Time
	select {
	case <-claimed:
		at = time.Now()
	case <-time.After(time.Minute):
		t.Errorf("nobody claimed anything: %v, %v before", w.holders(), holders)
		at = time.Now()
	}
	if d.claim {
		time.Sleep(d.cancels)
		cancel()
	}
	time.Sleep(time.Until(begun.Add(20 * time.Second)))
	hold.Store(0)
	for _, c := range ended {
		if !awaits(40*time.Second, func() bool { return w.check.Stage(c.job.ID) == wire.Cancelled }) {
			t.Errorf("%s is %s", c.job.ID, w.check.Stage(c.job.ID))
		}
	}
	time.Sleep(30 * time.Second) // what is to hold up the leader is over
	if w.term() == term {
		t.Error("nothing changed hands")
	}
	w.close(0, 10*time.Minute)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range r.decided {
		t.Errorf("%s is decided on after its job is cancelled", name)
	}
	for _, when := range told {
		toldAt[map[bool]int{false: 0, true: 1}[!when.Before(at)]+map[bool]int{true: 1}[when.Sub(at) > time.Second]].Add(1)
	}
	if handsPlayed.Add(1); d.last < 3 && !r.launched["wk-9"].IsZero() {
		lastLaunches.Add(1)
	}
}

// TestCancelledAsWorkChangesHands plays such days. AMBERDEAL_HANDS sets how many, AMBERDEAL_HAND
// plays one.
func TestCancelledAsWorkChangesHands(t *testing.T) {
	stallDays(t, 14, "AMBERDEAL_HAND", func(t *testing.T, seed uint64) { drawHands(seed).play(t) })
	if n := handsPlayed.Load(); n > 10 {
		t.Logf("%d days, %d launches in a last round; cancellations confirmed before the claim, within a second of it, and later: %d, %d, %d", n, lastLaunches.Load(), toldAt[0].Load(), toldAt[1].Load(), toldAt[2].Load())
		if toldAt[0].Load() == 0 || toldAt[1].Load() == 0 || toldAt[2].Load() == 0 || lastLaunches.Load() == 0 {
			t.Error("not all came about")
		}
	}
}
