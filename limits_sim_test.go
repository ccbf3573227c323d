package amberdeal

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/standin"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// Days on which every team is at its limit while jobs are cancelled whose machines can't be asked,
// and the leader changes.

// limits of GPUs: a machine has 4, so that machines never bind.
var limits = map[string]float64{"red": 6, "blue": 8}

// limited makes a world in which every team has a limit.
func limited(t *testing.T, count int, seed uint64, tamper func(*config.Config)) *world {
	w := worldOfDoors(t, count, seed, func(c *config.Config) {
		c.Teams = []config.Team{{Name: "red", GPUs: 4, GPUsMax: limits["red"]}, {Name: "blue", GPUsMax: limits["blue"]}}
		tamper(c)
	})
	w.check.Limits = limits
	return w
}

// onMachine is what a machine says that it runs.
type onMachine struct {
	host   string
	worker *standin.Worker
	jobs   map[string]int // tasks that have not ended, by job
}

// look asks every machine that can be reached what it runs.
func (w *world) look() (out []onMachine) {
	caller := &transport.Caller{Limit: 8 << 20, Dial: w.net.Host("10.3.0.9").Dial}
	type at struct {
		addr   string
		worker *standin.Worker
	}
	var all []at
	w.cloud.Each(func(l wire.ListedMachine, m standin.Machine) { all = append(all, at{l.Addr, m.(*standin.Worker)}) })
	for _, m := range all {
		ctx, cancel := context.WithTimeout(w.ctx, time.Second)
		resp, err := caller.Call(ctx, m.addr, "GET", wire.PathInspect, nil)
		cancel()
		var r wire.Report
		if err != nil || wire.Decode(resp.Body, &r) != nil {
			continue
		}
		on := onMachine{standin.HostOf(m.addr), m.worker, map[string]int{}}
		for _, t := range r.Tasks {
			if job, _, _ := strings.Cut(t.Task, "/"); t.State != wire.TaskEnded {
				on.jobs[job]++
			}
		}
		out = append(out, on)
	}
	return out
}

// unasked are the ways in which machines can't be asked for a while.
var unasked = []struct {
	name string
	cast func(w *world, m onMachine, d time.Duration)
}{
	{"cut off", func(w *world, m onMachine, d time.Duration) { lasting(d, func(on bool) { w.net.Down(m.host, on) }) }},
	{"hanging", func(_ *world, m onMachine, d time.Duration) { m.worker.Hang(d) }},
	{"deaf", func(_ *world, m onMachine, d time.Duration) { lasting(d, m.worker.Deaf) }},
	{"mute", func(w *world, m onMachine, d time.Duration) { lasting(d, func(on bool) { w.net.Mute(m.host, on) }) }},
	{"held up", func(w *world, m onMachine, d time.Duration) { w.net.Hold(m.host, d) }},
}

// handover has whoever holds something lose it.
type handover struct {
	name string
	cast func(w *world, holder int, luck *rand.Rand)
}

// handovers are after the holder's end, on purpose, and because it is cut off.
var handovers = []handover{
	{"crashes and is back at once", func(w *world, i int, luck *rand.Rand) { w.crash(i, soon(luck), 0) }},
	{"crashes, its last words are held up", func(w *world, i int, luck *rand.Rand) { w.crash(i, soon(luck), 20*time.Second) }},
	{"crashes and is back later", func(w *world, i int, _ *rand.Rand) { w.crash(i, 25*time.Second, 0) }},
	{"hands over", func(w *world, i int, _ *rand.Rand) { w.quit(i, time.Second) }},
	{"is refused by the state service", func(w *world, i int, _ *rand.Rand) {
		lasting(25*time.Second, func(on bool) { w.store.Refuse(fmt.Sprint("c-", i), on) })
	}},
	{"is cut from the state service and its siblings", func(w *world, i int, _ *rand.Rand) {
		lasting(25*time.Second, func(on bool) { w.apart(on, i) })
	}},
	{"stands still", func(w *world, i int, _ *rand.Rand) { w.net.Still(w.ip(i), 15*time.Second) }},
	{"crashes, and so does the next", func(w *world, i int, luck *rand.Rand) {
		term := w.term()
		w.crash(i, soon(luck), 0)
		for try := 0; w.term() == term && try < 200; try++ {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Duration(luck.IntN(3000)) * time.Millisecond)
		w.changeHands(func(w *world, i int, luck *rand.Rand) { w.crash(i, 10*time.Second, 0) }, luck)
	}},
}

// quit has a controller end as its operator asks it to: it gives up what it holds.
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

// changeHands has all who hold something lose it.
func (w *world) changeHands(cast func(w *world, holder int, luck *rand.Rand), luck *rand.Rand) {
	var holders []int
	for _, name := range w.holders() {
		if i := int(name[2] - '0'); !slices.Contains(holders, i) {
			holders = append(holders, i)
		}
	}
	slices.Sort(holders)
	for _, i := range holders {
		w.group.Go(func() { cast(w, i, rand.New(rand.NewPCG(uint64(i), luck.Uint64()))) })
	}
}

// atLimit is a day: some machines of the jobs that are cancelled can't be asked from a moment on
// and for a while, and the leader loses what it holds some time after or before.
type atLimit struct {
	seed    uint64
	by      string
	count   int
	way     int           // in which machines can't be asked
	for_    time.Duration // and for how long
	changes int           // how the leader changes
	after   time.Duration // from when machines can't be asked until it does
	cancels time.Duration // from when the leader changes until jobs are cancelled
	cloud   bool          // the cloud takes nothing back meanwhile
}

func (d atLimit) String() string {
	return fmt.Sprintf("%d %s of %d, %s for %v, %v later the leader %s, cancelled at %v, no releases %v", d.seed, d.by, d.count, unasked[d.way].name, d.for_, d.after, handovers[d.changes].name, d.cancels, d.cloud)
}

// limitDay draws a day: each moment is just before, at or just after a bound.
func limitDay(seed uint64) atLimit {
	luck := rand.New(rand.NewPCG(seed, 30))
	return atLimit{seed: seed, by: []string{"off", "zone"}[seed%2], count: []int{3, 5}[seed/2%2], way: int(seed) % len(unasked), for_: near(luck, 2*time.Second, 70*time.Second),
		changes: int(seed/3) % len(handovers), after: near(luck, 0, 46*time.Second), cancels: time.Duration(luck.IntN(10000)-4000) * time.Millisecond, cloud: luck.IntN(2) == 0}
}

// full tells whether a team is at its limit.
func (w *world) full(team string) bool {
	used := 0.0
	for _, id := range w.check.Jobs() {
		if j, _ := w.check.Describe(id); j.Team == team {
			used += j.GPUs * float64(w.check.Running(id))
		}
	}
	return used >= limits[team]
}

func playAtLimit(t *testing.T, d atLimit) {
	luck := rand.New(rand.NewPCG(d.seed, 31))
	w := limited(t, d.count, d.seed, func(c *config.Config) {
		c.Tuning.Parts.By = d.by
		c.Zone = []string{"a", "b"}[int(c.Name[2]-'0')%2]
	})
	defer func() {
		if t.Failed() {
			t.Log(d)
		}
	}()
	var cancelled []string
	submit := func(n int, team string, shape wire.Shape, tasks int, gpus float64, run, cancel time.Duration, change func(*wire.Job)) {
		j := &wire.Job{ID: fmt.Sprintf("wk-%s%d", map[string]string{"red": "1", "blue": "2"}[team], n), Class: "c", Team: team, Shape: shape, Priority: wire.Normal, Tasks: tasks,
			CPUs: 1, GPUs: gpus, MemoryGB: 4, Image: "img", ImageGB: 1, EstimateS: run.Seconds()}
		if change != nil {
			change(j)
		}
		if w.patron(j, run, cancel); cancel == never {
			cancelled = append(cancelled, j.ID)
		}
	}
	time.Sleep(8 * time.Second)
	for _, team := range []string{"red", "blue"} { // as much as the limit allows, of which most is cancelled
		submit(1, team, wire.Array, 2, 1, 10*time.Minute, never, nil)
		submit(2, team, wire.Gang, 2, 1, 10*time.Minute, never, func(j *wire.Job) { j.OneZone, j.CheckpointS, j.SaveS = luck.IntN(2) == 0, 5, 1; j.Spread = !j.OneZone })
		submit(3, team, wire.Service, 2, 1, 24*time.Hour, 4*time.Minute, func(j *wire.Job) { j.Priority, j.EstimateS = wire.Production, 0 })
	}
	submit(4, "blue", wire.Array, 2, 1, 10*time.Minute, never, func(j *wire.Job) { j.Zone = "a" })
	for begun := time.Now(); !w.full("red") || !w.full("blue"); time.Sleep(time.Second) {
		if time.Since(begun) > 50*time.Second {
			t.Error("the teams are not at their limits")
			break
		}
	}
	for _, team := range []string{"red", "blue"} { // and what waits for room
		submit(5, team, wire.Array, 1, 3, 15*time.Second, 0, nil)
		submit(6, team, wire.Gang, 2, 2, 15*time.Second, 0, func(j *wire.Job) { j.Spread = true })
		submit(7, team, wire.Array, 40, 1, 25*time.Second, 0, nil)
	}
	time.Sleep(5 * time.Second)

	// Some machines that run what is to be cancelled can't be asked.
	begun, lost := time.Now(), 0
	for k, m := range w.look() {
		of := 0
		for _, id := range cancelled {
			of += m.jobs[id]
		}
		if of > 0 && (lost == 0 || k%2 == int(d.seed/5)%2) {
			lost++
			unasked[d.way].cast(w, m, d.for_)
		}
	}
	if d.cloud {
		w.cloud.Fail(func(f *standin.CloudFaults) { f.Trouble = true })
	}
	at := func(after time.Duration) { time.Sleep(time.Until(begun.Add(after))) }
	term, held := w.term(), w.holders()
	cancel := func() {
		for i, id := range cancelled {
			w.group.Go(func() {
				w.askAt(i, "POST", id, wire.PathJobs+"/"+id+"/"+wire.CancelWord, []byte{}, true)
			})
		}
	}
	if d.cancels < 0 {
		at(max(0, d.after+d.cancels))
		cancel()
	}
	at(d.after)
	if len(held) == 0 || lost == 0 {
		t.Errorf("%v hold anything, %d machines can't be asked", held, lost)
	}
	if !(w.full("red") && w.full("blue")) && d.cancels >= 0 && d.for_ < 18*time.Second {
		t.Error("the teams are below their limits when the leader changes")
	}
	w.changeHands(handovers[d.changes].cast, luck)
	if d.cancels >= 0 {
		at(d.after + d.cancels)
		cancel()
	}
	at(max(d.for_, d.after+30*time.Second))
	w.cloud.Fail(func(f *standin.CloudFaults) { f.Trouble = false })
	for _, id := range cancelled {
		for try := 0; w.check.Stage(id) != wire.Cancelled && try < 30; try++ {
			time.Sleep(time.Second)
		}
		if w.check.Stage(id) != wire.Cancelled {
			t.Errorf("%s is %s", id, w.check.Stage(id))
		}
	}
	if w.term() == term {
		t.Error("the leader did not change")
	}
	// The room is used again: while anything waits, each team comes to its limit.
	over := time.Now()
	for _, team := range []string{"red", "blue"} {
		for !w.full(team) && time.Since(over) < time.Minute && w.check.Running("wk-"+map[string]string{"red": "1", "blue": "2"}[team]+"7") < 6 {
			time.Sleep(500 * time.Millisecond)
		}
		if !w.full(team) && !w.check.Stage("wk-17").Final() {
			t.Errorf("%s does not use its limit %v after all troubles", team, time.Since(over))
		}
	}
	w.calm()
	w.finish(15 * time.Minute)
	w.judge()
}

// never is after how long the user of a job cancels it which the day cancels.
const never = 24 * time.Hour

// patron is a user who submits a job, asks about it, and cancels it after a while if that is not 0.
func (w *world) patron(j *wire.Job, run, cancel time.Duration) {
	w.check.Submitted(j, run)
	w.group.Go(func() {
		path := wire.PathJobs + "/" + j.ID
		w.askAt(0, "POST", j.ID, wire.PathJobs, wire.Encode(j), cancel > 0)
		w.follow(j.ID)
		for begun := time.Now(); w.ctx.Err() == nil && !w.check.Stage(j.ID).Final(); {
			if time.Sleep(3 * time.Second); cancel > 0 && time.Since(begun) > cancel {
				w.askAt(0, "POST", j.ID, path+"/"+wire.CancelWord, []byte{}, true)
			} else {
				w.askAt(0, "GET", j.ID, path, nil, cancel > 0)
			}
		}
	})
}

// askAt makes a request as a user at all controllers in turn, from one on, until it is answered.
func (w *world) askAt(first int, method, job, path string, body []byte, asked bool) {
	for try := first; w.ctx.Err() == nil; try++ {
		resp, err := w.reach(try%w.count, 5*time.Second, method, path, body)
		if err == nil && resp.Status < 429 {
			var s wire.JobStatus
			_ = wire.Decode(resp.Body, &s)
			w.check.Told(job, resp.Status, s.Stage, asked)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// TestLimitsHoldWhoeverLeads plays such days. AMBERDEAL_LIMITS sets how many, AMBERDEAL_LIMIT plays
// one.
func TestLimitsHoldWhoeverLeads(t *testing.T) {
	stallDays(t, 8, "AMBERDEAL_LIMIT", func(t *testing.T, seed uint64) {
		d := limitDay(seed)
		if os.Getenv("SIM_LOG") != "" {
			fmt.Fprintln(os.Stderr, "=====", d)
		}
		playAtLimit(t, d)
	})
}
