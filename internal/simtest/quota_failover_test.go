package simtest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// Days on which every team is at its limit while jobs are cancelled whose machines can't be asked,
// and the leader changes.

// limits of GPUs: a machine has 4, so that machines never bind.
var limits = map[string]float64{"red": 6, "blue": 8}

// teams are those of the limits, in order.
var teams = []string{"red", "blue"}

// limited makes a world in which every team has a limit.
func limited(t *testing.T, count int, seed uint64, by string) *world {
	w := worldOfDoors(t, count, seed, func(c *config.Config) {
		c.Teams = []config.Team{{Name: "red", GPUs: 4, GPUsMax: limits["red"]}, {Name: "blue", GPUsMax: limits["blue"]}}
		c.Tuning.Parts.By, c.Zone = by, []string{"a", "b"}[numberOf(c.Name)%2]
	})
	w.check.Limits = limits
	return w
}

// uses tells how many GPUs a team uses.
func (w *world) uses(team string) (sum float64) {
	for _, id := range w.check.Jobs() {
		if j, _ := w.check.Describe(id); j.Team == team {
			sum += j.GPUs * float64(w.check.Running(id))
		}
	}
	return sum
}

// full tells whether every team uses all that it may.
func (w *world) full() bool {
	return !slices.ContainsFunc(teams, func(team string) bool { return w.uses(team) < limits[team] })
}

// awaits waits until something is so, for a time at the most.
func awaits(most time.Duration, is func() bool) bool {
	for begun := time.Now(); !is(); time.Sleep(200 * time.Millisecond) {
		if time.Since(begun) > most {
			return false
		}
	}
	return true
}

// unasked are the ways in which a machine can't be asked for a while.
var unasked = []struct {
	name string
	cast func(w *world, m upMachine, d time.Duration)
}{
	{"cut off", func(w *world, m upMachine, d time.Duration) { lasting(d, func(on bool) { w.net.Down(m.host, on) }) }},
	{"hanging", func(_ *world, m upMachine, d time.Duration) { m.Hang(d) }},
	{"deaf", func(_ *world, m upMachine, d time.Duration) { deaf(d, m) }},
	{"mute", func(w *world, m upMachine, d time.Duration) { lasting(d, func(on bool) { w.net.Mute(m.host, on) }) }},
	{"held up", func(w *world, m upMachine, d time.Duration) { w.net.Hold(m.host, d) }},
}

// handover is how a controller loses what it holds.
type handover struct {
	name string
	cast func(w *world, holder int, luck *rand.Rand)
}

// handovers are after the holder's end, on purpose, and because it is cut off.
var handovers = []handover{
	{"crashes and is back at once", func(w *world, i int, luck *rand.Rand) { w.crash(i, soon(luck), 0) }},
	{"crashes, its last words are held up", func(w *world, i int, luck *rand.Rand) { w.crash(i, soon(luck), 20*time.Second) }},
	{"crashes and is back later", func(w *world, i int, _ *rand.Rand) { w.crash(i, 25*time.Second, 0) }},
	{"ends as it is asked to", func(w *world, i int, _ *rand.Rand) { w.quit(i, time.Second) }},
	{"is refused by the state service", func(w *world, i int, _ *rand.Rand) {
		lasting(25*time.Second, func(on bool) { w.refuse(i, on) })
	}},
	{"is cut from the state service and its siblings", func(w *world, i int, _ *rand.Rand) {
		lasting(25*time.Second, func(on bool) { w.apart(on, i) })
	}},
	{"stands still", func(w *world, i int, _ *rand.Rand) { w.net.Still(w.ip(i), 15*time.Second) }},
	{"crashes, and so does the next", func(w *world, i int, luck *rand.Rand) {
		term := w.term()
		w.crash(i, soon(luck), 0)
		awaits(20*time.Second, func() bool { return w.term() > term })
		time.Sleep(time.Duration(luck.IntN(3000)) * time.Millisecond)
		w.handOver(func(w *world, i int, _ *rand.Rand) { w.crash(i, 10*time.Second, 0) }, luck)
	}},
}

// quit has a controller end as its operator asks it to: it gives back what it holds.
func (w *world) quit(i int, back time.Duration) {
	n := w.nodes[i]
	if n.down.Swap(true) {
		return
	}
	n.stop()
	<-n.done
	n.host.End()
	w.group.Go(func() {
		time.Sleep(back)
		w.start(i)
		n.down.Store(false)
	})
}

// handOver has all who hold something lose it.
func (w *world) handOver(cast func(w *world, holder int, luck *rand.Rand), luck *rand.Rand) {
	holders := map[int]bool{}
	for _, name := range w.holders() {
		holders[numberOf(name)] = true
	}
	for i := range w.count {
		if each := rand.New(rand.NewPCG(uint64(i), luck.Uint64())); holders[i] {
			w.group.Go(func() { cast(w, i, each) })
		}
	}
}

// atLimit is a day: some machines of the jobs that are cancelled can't be asked for a while, the
// leader changes so long after that has begun, and they are cancelled before or after.
type atLimit struct {
	seed           uint64
	by             string
	count          int
	way, change    int           // in which machines can't be asked, and the leader changes
	lasts          time.Duration // that they can't
	after, cancels time.Duration // when the leader changes, and when jobs are cancelled, since then
	keeps, uneven  bool          // the cloud takes nothing back meanwhile; a gang is over two zones
	some           bool          // only one machine
}

func (d atLimit) String() string {
	return fmt.Sprintf("%s, %d controllers, machines are %s for %v (some: %v), %v later the leader %s, jobs are cancelled at %v, releases are refused: %v",
		d.by, d.count, unasked[d.way].name, d.lasts, d.some, d.after, handovers[d.change].name, d.cancels, d.keeps)
}

// drawLimit draws a day: what lasts does so for about as long as a bound, and what follows does so
// before, at or after one. As many days as there are ways to change hold each way.
func drawLimit(seed uint64) atLimit {
	luck := rand.New(rand.NewPCG(seed, 30))
	d := atLimit{seed: seed, by: []string{"off", "zone"}[seed%2], count: []int{3, 5}[seed/2%2], way: int(seed) % len(unasked), change: int(seed*5+seed/8) % len(handovers),
		lasts: near(luck, 2*time.Second, 70*time.Second), keeps: luck.IntN(2) == 0, uneven: luck.IntN(2) == 0, some: luck.IntN(2) == 0}
	d.after = near(luck, 0, 30*time.Second)
	d.cancels = max(-d.after, time.Duration(luck.IntN(10000)-4000)*time.Millisecond)
	return d
}

// limitDays counts the days, and fullDays those on which every team is at its limit as the leader changes.
var limitDays, fullDays atomic.Int64

func (d atLimit) play(t *testing.T) {
	luck := rand.New(rand.NewPCG(d.seed, 31))
	w := limited(t, d.count, d.seed, d.by)
	log(d)
	defer func() {
		if t.Failed() {
			t.Log(d)
		}
	}()
	var ended []*client
	submit := func(n int, team string, shape wire.Shape, tasks int, gpus float64, run, cancel time.Duration, change ...func(*wire.Job)) *client {
		j := jobOf(fmt.Sprintf("wk-%d%d", 1+slices.Index(teams, team), n), shape, tasks, run, append(change, func(j *wire.Job) { j.Team, j.GPUs, j.CPUs, j.MemoryGB = team, gpus, 1, 4 })...)
		return w.submitter(d.seed, j, 0, cancel, run)
	}
	time.Sleep(8 * time.Second)
	const long, short = 10 * time.Minute, 25 * time.Second
	zones := map[bool]func(*wire.Job){false: oneZone, true: spread}[d.uneven]
	for _, team := range teams { // as much as the limit allows, of which most is cancelled
		ended = append(ended, submit(1, team, wire.Array, 2, 1, long, 0), submit(2, team, wire.Gang, 2, 1, long, 0, saves, zones))
		submit(3, team, wire.Service, 2, 1, forever, 4*time.Minute)
	}
	ended = append(ended, submit(4, "blue", wire.Array, 2, 1, long, 0, func(j *wire.Job) { j.Zone = "a" }))
	if !awaits(50*time.Second, w.full) {
		t.Error("the teams don't come to their limits")
	}
	for _, team := range teams { // and what waits for room
		submit(5, team, wire.Array, 1, 3, short, 0)
		submit(6, team, wire.Gang, 2, 2, short, 0, spread)
		submit(7, team, wire.Array, 30, 1, short, 0)
	}
	time.Sleep(3 * time.Second)

	begun, lost := time.Now(), 0
	for _, m := range w.workers() {
		if has := slices.ContainsFunc(ended, func(c *client) bool { return w.floor.on(m.id, c.job) }); has && (lost == 0 || !d.some) {
			lost++
			unasked[d.way].cast(w, m, d.lasts)
		}
	}
	if d.keeps {
		lasting(max(d.lasts, d.after+30*time.Second), func(on bool) { w.cloud.Fail(func(f *simulator.CloudFaults) { f.Trouble = on }) })
	}
	at := func(after time.Duration) { time.Sleep(time.Until(begun.Add(after))) }
	cancel := func() {
		at(d.after + d.cancels)
		log("cancelled")
		for _, c := range ended {
			w.group.Go(func() { c.until(c.cancel) })
		}
	}
	if d.cancels < 0 {
		cancel()
	}
	at(d.after)
	term := w.term()
	if limitDays.Add(1); w.full() {
		fullDays.Add(1)
	}
	if lost == 0 {
		t.Error("all machines can be asked")
	}
	w.handOver(handovers[d.change].cast, luck)
	if d.cancels >= 0 {
		cancel()
	}
	at(max(d.lasts, d.after+30*time.Second))
	for _, c := range ended {
		if !awaits(30*time.Second, func() bool { return w.check.Stage(c.job.ID) == wire.Cancelled }) {
			t.Errorf("%s is %s", c.job.ID, w.check.Stage(c.job.ID))
		}
	}
	if w.term() == term {
		t.Error("the leader did not change")
	}
	// What is proven to be gone leaves room that is used: more than enough small tasks wait. In several
	// parts some of it may be held for a gang that is co-allocated, for 90 s at the most.
	over, most := time.Now(), map[string]time.Duration{"off": time.Minute, "zone": 150 * time.Second}[d.by]
	for k, team := range teams {
		small := fmt.Sprintf("wk-%d7", k+1)
		if !awaits(most, func() bool { return w.uses(team) == limits[team] || w.check.Stage(small).Final() }) {
			t.Errorf("%s uses %v of %v %v after all troubles", team, w.uses(team), limits[team], time.Since(over))
		}
	}
	w.close(0, 15*time.Minute)
}

// TestLimitsHoldWhoeverLeads plays such days. AMBERDEAL_LIMITS sets how many, AMBERDEAL_LIMIT plays
// one.
func TestLimitsHoldWhoeverLeads(t *testing.T) {
	stallDays(t, 8, "AMBERDEAL_LIMIT", func(t *testing.T, seed uint64) { drawLimit(seed).play(t) })
	t.Logf("every team was at its limit as the leader changed on %d of %d days", fullDays.Load(), limitDays.Load())
	if n := limitDays.Load(); n > 7 && fullDays.Load()*3 < n {
		t.Error("the teams are mostly below their limits by then")
	}
}
