package simtest

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// Days on which machines are up as soon as they are rented, and on which some can only be called.

// births keeps when machines came up and when tasks started on them.
type births struct {
	*simulator.Checker
	mu     sync.Mutex
	up     map[string]time.Time
	starts []birth
}

type birth struct {
	at      time.Time
	machine string
	task    wire.TaskID
}

// On is told of a start.
func (b *births) On(t wire.TaskID, machine, typ, zone string, spot bool) (time.Duration, bool) {
	b.mu.Lock()
	b.starts = append(b.starts, birth{time.Now(), machine, t})
	b.mu.Unlock()
	return b.Checker.On(t, machine, typ, zone, spot)
}

// started counts the starts that are picked.
func (b *births) started(pick func(birth) bool) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.starts {
		if pick(s) {
			n++
		}
	}
	return n
}

// births has the machines that come up from now on be up so long after they were rented.
func (w *world) births(boot time.Duration) *births {
	b := &births{Checker: w.check, up: map[string]time.Time{}}
	w.ground = b
	start := w.machine(2*sec, nil)
	w.cloud.Fail(func(*simulator.CloudFaults) {
		w.cloud.Boot = boot
		w.cloud.Start = func(id, addr, typ, zone string, spot bool) simulator.Machine {
			b.mu.Lock()
			b.up[id] = time.Now()
			b.mu.Unlock()
			return start(id, addr, typ, zone, spot)
		}
	})
	return b
}

// wide reports whether all cases are asked for, and not a few.
func wide(variable string) bool { return os.Getenv(variable) != "" }

// parted divides the fleet by zones, or not.
func parted(by string) func(*config.Config) {
	return func(c *config.Config) { c.Tuning.Parts.By, c.Tuning.Idle = by, time.Hour }
}

// The offsets around what lasts for a report, for what an answer is waited for, and for a worker's lease.
var mutes = []time.Duration{3 * sec, 8 * sec, 12 * sec, 19 * sec, 21 * sec, 26 * sec, 60 * sec, 100 * sec}

// muteGrace is after how long without a report nothing is started any more on a machine that is
// called: a report may be lost for other reasons.
const muteGrace = 11 * sec

// TestMachinesThatCanOnlyBeCalled: half of the machines open no connection for a while, and answer
// calls all the same. What they run is told to stop at once when its job is cancelled, and what
// was lost with their leases runs elsewhere soon; they get nothing that would be lost so. Once
// they are heard again their room is used. The leader ends in between, or does not.
func TestMachinesThatCanOnlyBeCalled(t *testing.T) {
	for n, d := range mutes {
		for k, ends := range []time.Duration{-1, 0, 2 * sec, 15 * sec} { // when the leader does
			if !wide("AMBERDEAL_NEWMACHINES") && (k != (n+1)%4 || n%2 == 0 && n != 4) {
				continue
			}
			by, count := []string{"off", "zone"}[(n/2+k)%2], []int{3, 5}[(n+k/2)%2]
			t.Run(fmt.Sprint("for ", d, ", the leader ends after ", ends, ", parts ", by, ", ", count), func(t *testing.T) {
				muteDay(t, uint64(10*n+k), d, ends, by, count)
			})
		}
	}
}

func muteDay(t *testing.T, seed uint64, d, ends time.Duration, by string, count int) {
	var b *births
	var long *client
	var term uint64
	mute, replicas, tasks, all := map[string]upMachine{}, 0, 0, 0
	var begun, over time.Time
	var claimed chan time.Time
	day{seed: seed, count: count, set: parted(by), begin: func(w *world) {
		b, claimed = w.births(2*sec), make(chan time.Time, 1)
		w.submitter(seed, jobOf("wk-1", wire.Array, 8, 20*sec, func(j *wire.Job) { j.GPUs = 4 }), 5*sec, 0, 20*sec) // has eight machines rented
		w.submitter(seed, jobOf("wk-2", wire.Service, 4, 0, func(j *wire.Job) { j.GPUs = 2 }), 50*sec, 65*sec+d+3*time.Minute, forever)
		long = w.client(jobOf("wk-3", wire.Array, 8, 10*time.Minute), luckOf(seed, "wk-3"), 10*time.Minute)
		w.submitter(seed, jobOf("wk-4", wire.Array, 8, 40*sec), 65*sec+muteGrace, 0, 40*sec)
	}, steps: []step{
		{50 * sec, "a long job", func(*world) { long.until(long.submit) }},
		{65 * sec, "half of the machines can only be called", func(w *world) {
			replicas, tasks, begun, term = w.check.Running("wk-2"), w.check.Running("wk-3"), time.Now(), w.term()
			for i, m := range w.workers() {
				if all++; i%2 == 0 || i < 2 {
					mute[m.id] = m
					lasting(d, func(on bool) { w.net.Mute(m.host, on) })
				}
			}
			if ends >= 0 {
				w.group.Go(func() {
					time.Sleep(ends)
					w.crash(w.leader(), 400*time.Millisecond, 0)
					for w.term() == term {
						time.Sleep(50 * time.Millisecond)
					}
					claimed <- time.Now()
				})
			}
		}},
		{66500 * time.Millisecond, "a cancellation", func(*world) { long.until(long.cancel) }},
		{70 * sec, "which has stopped all", func(w *world) {
			if n := w.check.Running("wk-3"); n > 0 {
				w.t.Errorf("%d tasks of a cancelled job go on", n)
			}
		}},
		{65*sec + d, "they are heard again", func(w *world) {
			over = time.Now()
			if n := w.check.Running("wk-2"); d > workerLease+10*sec && n < 4 {
				w.t.Errorf("%d of 4 replicas run", n)
			}
			lost := 0
			for _, m := range mute {
				lost += m.Lost()
			}
			if all < 6 || len(mute) < 3 || replicas != 4 || tasks != 8 || d > workerLease && lost < len(mute) {
				w.t.Errorf("%d machines, %d of them were called only, %d leases ran out, %d replicas and %d tasks ran", all, len(mute), lost, replicas, tasks)
			}
		}},
		{71*sec + d, "a gang for all of them", func(w *world) {
			w.submitter(seed, jobOf("wk-5", wire.Gang, 10, 20*sec, func(j *wire.Job) { j.GPUs = 2 }), 0, 0, 20*sec)
			for w.check.Running("wk-5") < 10 && time.Since(over) < 2*time.Minute {
				time.Sleep(sec)
			}
			if late := time.Since(over); late > 60*sec {
				w.t.Errorf("a gang has begun %v after all troubles", late)
			}
		}},
	}, came: func(w *world) {
		anew := begun
		if ends >= 0 {
			anew = <-claimed
		}
		if n := b.started(func(s birth) bool {
			return mute[s.machine].Worker != nil && s.at.After(begun.Add(muteGrace)) && s.at.Before(over) && (s.at.Before(anew) || s.at.After(anew.Add(muteGrace)))
		}); n > 0 {
			w.t.Errorf("%d tasks were started on machines that can only be called", n)
		}
	}}.play(t)
}

// newAt are the instants after the write of a launch on a new machine at which its leader ends.
var newAt = []time.Duration{0, 15 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond, 3 * sec}

// newMeets is what becomes of new machines when the leader ends.
var newMeets = []struct {
	name string
	cast func(w *world, m upMachine)
}{
	{"live on", func(*world, upMachine) {}},
	{"are deaf", func(_ *world, m upMachine) { deaf(15*sec, m) }},
	{"are cut off", func(w *world, m upMachine) {
		lasting(17*sec, func(on bool) { w.net.Down(m.host, on) })
	}},
	{"can only be called", func(w *world, m upMachine) {
		lasting(12*sec, func(on bool) { w.net.Mute(m.host, on) })
	}},
	{"are gone", func(w *world, m upMachine) { w.cloud.TakeBack(m.id, 0) }},
}

// TestNewMachinesAsLeaderEnds: machines are up before the rental's answer and before any list shows them,
// and get work at once: an array up to its team's limit, a gang and an array in one zone, a service that
// is spread. The write of a launch there is answered, or carried out and not answered, at once or
// late, and the leader ends then; some of the machines are not to be asked. Whoever leads next
// goes by the launch's own record of machine and tasks: nothing starts twice or where it must not.
func TestNewMachinesAsLeaderEnds(t *testing.T) {
	for n, at := range newAt {
		for k, x := range newMeets {
			for f, fate := range []simulator.Fate{simulator.Answered, simulator.Taken, simulator.Late} {
				if !wide("AMBERDEAL_NEWMACHINES") && (k != n%len(newMeets) || f != (n+n/3)%3) {
					continue
				}
				by, count, late := []string{"off", "zone"}[(n+f)%2], []int{3, 5}[(n+k)%2], (n+k+f)%3 == 0
				t.Run(fmt.Sprint(at, " after a write that is ", []string{"answered", "taken", "late"}[f], ", new machines ", x.name, ", parts ", by, ", ", count, ", rentals late: ", late), func(t *testing.T) {
					newDay(t, uint64(300+20*n+4*k+f), at, x.cast, fate, by, count, late)
				})
			}
		}
	}
}

func newDay(t *testing.T, seed uint64, at time.Duration, cast func(*world, upMachine), fate simulator.Fate, by string, count int, late bool) {
	var b *births
	var met chan string
	var term uint64
	young := 0
	day{seed: seed, count: count, set: func(c *config.Config) { c.Tuning.Parts.By, c.Cloud.ListLag = by, 4*sec }, begin: func(w *world) {
		b, met = w.births(300*time.Millisecond), make(chan string, 1)
		w.cloud.Fail(func(f *simulator.CloudFaults) {
			if w.cloud.Lag = 4 * sec; late { // carried out without an answer
				f.Late = 700 * time.Millisecond
			}
		})
		known, over := map[string]string{}, false
		w.store.Stage(func(s *simulator.Store) {
			s.Meets = func(puts map[string]wire.Raw) simulator.Fate {
				is, part := launches(known, puts)
				if !is || over {
					return simulator.Answered
				}
				over = true
				met <- part
				return fate
			}
		})
		w.submitter(seed, jobOf("wk-1", wire.Array, 9, 40*sec, red), 6*sec, 0, 40*sec)
		w.submitter(seed, jobOf("wk-2", wire.Gang, 3, 40*sec, oneZone, saves), 6*sec, 0, 40*sec)
		w.submitter(seed, jobOf("wk-3", wire.Service, 4, 0, spread), 6*sec, 2*time.Minute, forever)
		w.submitter(seed, jobOf("wk-4", wire.Array, 3, 30*sec, oneZone), 6*sec, 0, 30*sec)
		w.submitter(seed, jobOf("wk-5", wire.Array, 2, 30*sec), 6*sec, 45*sec, 10*time.Minute)
	}, steps: []step{
		{6 * sec, "a launch on a new machine, and the leader ends", func(w *world) {
			part := ""
			select {
			case part = <-met:
			case <-time.After(time.Minute):
				w.t.Error("no launch was written")
				return
			}
			time.Sleep(at)
			term = w.term()
			b.mu.Lock()
			for _, up := range b.up {
				if time.Since(up) < 2*w.cloud.Lag {
					young++ // no list has to show it yet
				}
			}
			b.mu.Unlock()
			for i, m := range w.workers() {
				if i%2 == 0 {
					cast(w, m)
				}
			}
			w.crash(max(w.holder(part), w.leader()), 300*time.Millisecond, 0)
			time.Sleep(10 * sec)
			w.cloud.Fail(func(f *simulator.CloudFaults) { f.Late = 0 })
			time.Sleep(45 * sec)
			if n := w.check.Running("wk-3"); n != 4 {
				w.t.Errorf("%d of 4 replicas run", n)
			}
		}},
	}, came: func(w *world) {
		if young == 0 || w.term() == term {
			w.t.Errorf("%d machines were new, term %d after %d", young, w.term(), term)
		}
	}, quiet: 60 * sec}.play(t)
}
