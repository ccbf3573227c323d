package simtest

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// market is the users of a day on which much is asked, and what became of it.
type market struct {
	*world
	seed    uint64
	closing atomic.Bool // whoever has not cancelled yet, and must, does so now

	vain, told, repeats atomic.Int64
}

// customer is a user who asks about one job at all controllers, repeats its submission with
// whatever body, and may cancel it.
type customer struct {
	*client
	of *market
}

// comes has a user come with a job.
func (m *market) comes(j *wire.Job, run time.Duration) *customer {
	var n uint64
	_, _ = fmt.Sscanf(j.ID, "wk-%d", &n)
	c := m.client(j, rand.New(rand.NewPCG(m.seed, n)), run)
	c.vain = &m.vain
	return &customer{c, m}
}

// replica has a user come with a service of one replica, and submit it.
func (m *market) replica(id string) *customer {
	c := m.comes(jobOf(id, wire.Service, 1, forever), forever)
	for try := 0; m.check.Stage(id) == "" && try < 10; try++ {
		c.submit(try % m.count)
	}
	m.follow(id)
	return c
}

// end cancels a job at one controller that can.
func (c *customer) end(i int) {
	for try := 0; try < 5 && !c.check.Stage(c.job.ID).Final(); try++ {
		c.cancel(i)
	}
	if c.of.told.Add(1); c.check.Stage(c.job.ID) != wire.Cancelled {
		c.t.Errorf("%s can't be cancelled at %d", c.job.ID, i)
	}
}

func (c *customer) question(i int) { c.ask(i, 5*time.Second, "GET", c.path(), nil) }

func (c *customer) repeat(i int) {
	c.of.repeats.Add(1)
	c.ask(i, 5*time.Second, "POST", wire.PathJobs, c.body())
}

// cancels asks for it at one controller, and, once told, at once at all others for all that can be asked.
func (c *customer) cancels() {
	if c.cancel(c.any()) != 200 {
		return
	}
	c.of.told.Add(1)
	var all sync.WaitGroup
	for k := range c.count {
		all.Go(func() {
			if c.repeat(k); c.draw(c.luck, 2) == 0 {
				c.question(k)
			}
		})
	}
	all.Wait()
}

// live is what the customer does from its first submission until its job is over, cancels not
// after which time it cancels if that is not 0.
func (c *customer) live(cancels time.Duration) {
	for c.ctx.Err() == nil && c.check.Stage(c.job.ID) == "" {
		c.submit(c.any())
		time.Sleep(time.Duration(c.draw(c.luck, 500)) * time.Millisecond)
	}
	c.follow(c.job.ID)
	for begun := time.Now(); c.ctx.Err() == nil; {
		over := c.check.Stage(c.job.ID).Final()
		if c.of.closing.Load() && over {
			return
		}
		time.Sleep(time.Duration(200+c.draw(c.luck, 3000)) * time.Millisecond)
		i := c.any()
		switch must := cancels > 0 && (time.Since(begun) > cancels || c.of.closing.Load()); {
		case must && !over:
			c.cancels()
		case c.draw(c.luck, 3) == 0:
			c.repeat(i)
		default:
			c.question(i)
		}
	}
}

// open has users come, one every gap.
func (w *world) open(seed uint64, n int, gap time.Duration) *market {
	m := &market{world: w, seed: seed}
	w.group.Go(func() {
		luck := rand.New(rand.NewPCG(seed, 12))
		for k := range n {
			j := jobOf(fmt.Sprintf("wk-%06d", 1000*k+luck.IntN(1000)), wire.Array, 1+luck.IntN(3), 10*time.Second)
			j.Team, j.Image = []string{"red", "blue"}[k%2], fmt.Sprintf("img-%d", k%2)
			run, cancels := time.Duration(5+luck.IntN(60))*time.Second, time.Duration(0)
			switch k % 4 {
			case 1:
				cancels = time.Duration(1+luck.IntN(3000)) * time.Millisecond // before it has begun
			case 2:
				cancels = time.Duration(10+luck.IntN(100)) * time.Second
			case 3:
				j.Shape, j.Priority, run, cancels = wire.Service, wire.Production, 24*time.Hour, time.Duration(20+luck.IntN(150))*time.Second
			}
			c := m.comes(j, run)
			w.group.Go(func() { c.live(cancels) })
			time.Sleep(time.Duration(luck.IntN(int(2*gap/time.Millisecond))) * time.Millisecond)
		}
	})
	// Nobody has ever submitted these.
	w.asking.Go(func() {
		for k := 0; w.ctx.Err() == nil; k++ {
			id := fmt.Sprintf("wk-9%05d", k)
			for _, path := range []string{"/" + id, "/" + id + "/" + wire.CancelWord} {
				method := map[bool]string{true: "GET", false: "POST"}[path == "/"+id]
				if resp, err := w.reach(k%w.count, 5*time.Second, method, wire.PathJobs+path, nil); err == nil && resp.Status != 404 && resp.Status != 503 {
					w.t.Errorf("%s, which nobody has submitted, is answered %d", id, resp.Status)
				}
			}
			time.Sleep(3 * time.Second)
		}
	})
	return m
}

// close has all that is asked for come to its end, and judges the day.
func (m *market) close(cancels, repeats int64) {
	m.t.Helper()
	m.closing.Store(true)
	m.world.close(0, 15*time.Minute)
	if m.told.Load() < cancels || m.repeats.Load() < repeats {
		m.t.Errorf("%d were told that their jobs are cancelled, %d submissions came again", m.told.Load(), m.repeats.Load())
	}
}

// TestRefusedAloneThenAll: the state service answers slowly, refuses the leader alone, and then
// everybody for longer than cancel_s, while users cancel, ask and submit again at all controllers.
// What was told holds: a final stage is told from memory for ever, all else is read behind a barrier
// or answered 503. AMBERDEAL_REFUSALS sets how many days, AMBERDEAL_REFUSAL plays one.
func TestRefusedAloneThenAll(t *testing.T) {
	stallDays(t, 2, "AMBERDEAL_REFUSAL", func(t *testing.T, seed uint64) {
		w := worldOfDoors(t, []int{3, 5}[seed%2], seed, nil)
		luck := rand.New(rand.NewPCG(seed, 13))
		time.Sleep(8 * time.Second)
		m := w.open(seed, 16, 6*time.Second)
		first, second, last := m.replica("wk-1"), m.replica("wk-2"), m.replica("wk-3")
		time.Sleep(time.Duration(30+luck.IntN(10)) * time.Second)
		slow := time.Duration(luck.IntN(1200)) * time.Millisecond
		w.store.Stage(func(s *simulator.Store) { s.Delay = func() time.Duration { return slow } })
		time.Sleep(time.Duration(luck.IntN(5000)) * time.Millisecond)
		leader := w.leader()
		other := (leader + 1) % w.count
		if leader < 0 || w.check.Running("wk-1")+w.check.Running("wk-2")+w.check.Running("wk-3") != 3 {
			t.Errorf("%d leads, and not all run that are to be cancelled", leader)
		}
		w.refuse(max(0, leader), true)
		time.Sleep(time.Duration(luck.IntN(3000)) * time.Millisecond)
		first.end(other)
		time.Sleep(time.Duration(luck.IntN(20)) * time.Second)
		second.end(other)
		time.Sleep(time.Duration(luck.IntN(10)) * time.Second)
		last.end(other)
		time.Sleep(time.Duration(luck.IntN(300)) * time.Millisecond)
		w.store.Outage(true)
		time.Sleep(slow + 100*time.Millisecond)
		told, vain := m.told.Load(), m.vain.Load()
		time.Sleep(w.check.Cancel + time.Duration(5+luck.IntN(20))*time.Second)
		if m.told.Load() > told || m.vain.Load() < vain+20 {
			t.Errorf("%d cancellations were told in the outage, in which %d questions were not answered", m.told.Load()-told, m.vain.Load()-vain)
		}
		if luck.IntN(2) == 0 { // the leader is served again only after the others
			time.AfterFunc(20*time.Second, func() { w.refuse(max(0, leader), false) })
		} else {
			w.refuse(max(0, leader), false)
		}
		w.store.Outage(false)
		w.store.Stage(func(s *simulator.Store) { s.Delay = nil })
		time.Sleep(time.Minute)
		m.close(6, 40)
	})
}

// TestCutLeaderTurnsUsersAway: a leader is cut from the state service and from the other controllers
// while users and machines still reach it, and jobs are cancelled through the others. It tells what is final
// from memory, and turns all else away: at once, with when to come back, and so that the user comes to
// another. It calls itself ready no more as soon as it can know, and is so again soon after the cut.
func TestCutLeaderTurnsUsersAway(t *testing.T) {
	for _, cut := range []struct{ of, also int }{{3, 0}, {5, 0}, {5, 2}} { // the leader, and the one so many after it
		count := cut.of
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorldOf(t, count, 61, 0, nil)
				time.Sleep(8 * time.Second)
				m := w.open(61, 16, 2*time.Second)
				early, late, stays := m.replica("wk-1"), m.replica("wk-2"), m.replica("wk-3")
				time.Sleep(30 * time.Second)
				leader := w.leader()
				early.end(leader)
				cutOff := []int{leader}
				if cut.also > 0 {
					cutOff = append(cutOff, (leader+cut.also)%count)
				}
				w.apart(true, cutOff...)
				since := time.Now()
				var unready time.Duration
				for time.Since(since) < 2*time.Minute {
					resp, err := w.reach(leader, 5*time.Second, "GET", wire.PathReady, nil)
					if err != nil {
						t.Fatal(err)
					}
					if resp.Status == 200 && unready > 0 {
						t.Errorf("it is ready %v after the cut", time.Since(since))
					} else if resp.Status != 200 && unready == 0 {
						unready = time.Since(since)
					}
					if time.Since(since) > 20*time.Second && !w.check.Stage("wk-2").Final() {
						late.end((leader + 1) % count)
					}
					early.question(leader) // judged: it is final
					for _, ask := range []struct {
						method, path string
						body         []byte
					}{
						{"POST", "", wire.Encode(map[string]string{"uid": "wk-3"})}, // which is malformed
						{"GET", "/wk-3", nil}, {"GET", "/wk-2", nil}, {"GET", "/wk-8", nil}, {"POST", "/wk-3/" + wire.CancelWord, []byte{}}, {"POST", "", stays.body()},
					} {
						if strings.HasSuffix(ask.path, wire.CancelWord) && unready == 0 {
							continue // or it may be written
						}
						begun := time.Now()
						resp, err := w.reach(leader, 5*time.Second, ask.method, wire.PathJobs+ask.path, ask.body)
						took := time.Since(begun)
						switch {
						case err != nil || resp.Status != 503 || resp.RetryAfter == 0:
							t.Errorf("%s %s is answered %+v, %v, %v after the cut", ask.method, ask.path, resp, err, time.Since(since))
						case took > 2*time.Second, unready > 0 && !resp.Close, time.Since(since) > 7*time.Second && took > 50*time.Millisecond:
							t.Errorf("%s %s is answered after %v, closing: %v, %v after the cut", ask.method, ask.path, took, resp.Close, time.Since(since))
						}
					}
					time.Sleep(500 * time.Millisecond)
				}
				if unready == 0 || unready > 7*time.Second {
					t.Errorf("it is not ready from %v after the cut on", unready)
				}
				if holder := w.leader(); holder == leader || w.check.Stage("wk-2") != wire.Cancelled {
					t.Errorf("%d leads after %d, and wk-2 is %s", holder, leader, w.check.Stage("wk-2"))
				}
				w.apart(false, cutOff...)
				over := time.Now()
				for {
					if resp, err := w.reach(leader, 5*time.Second, "GET", wire.PathReady, nil); err == nil && resp.Status == 200 {
						break
					}
					if time.Sleep(100 * time.Millisecond); time.Since(over) > 10*time.Second {
						t.Error("it is not ready 10 s after the cut")
						break
					}
				}
				for i := range count {
					late.question(i)
					late.repeat(i)
					stays.question(i)
				}
				stays.end(leader)
				m.close(3, 20)
			})
		})
	}
}

var allEnd = trouble{"all end, and one returns", func(w *world, luck *rand.Rand, d time.Duration) {
	first := luck.IntN(w.count)
	for i := range w.count {
		if i != first {
			w.kill(i, min(d, 20*time.Second))
		}
	}
	w.crash(first, soon(luck), held(luck))
}}

// asks are troubles beside those of returns: a controller is refused or cut off for a while.
var asks = []trouble{
	{"the leader is refused", func(w *world, _ *rand.Rand, d time.Duration) {
		leader := max(0, w.leader())
		lasting(d, func(on bool) { w.refuse(leader, on) })
	}},
	{"the leader is cut from the state service and from the others", func(w *world, _ *rand.Rand, d time.Duration) {
		leader := max(0, w.leader())
		lasting(d, func(on bool) { w.apart(on, leader) })
	}},
	{"the leader is cut off, and the next one crashes", func(w *world, luck *rand.Rand, d time.Duration) {
		leader := max(0, w.leader())
		lasting(d, func(on bool) { w.apart(on, leader) })
		for try := 0; try < 40 && (w.leader() == leader || w.leader() < 0); try++ {
			time.Sleep(500 * time.Millisecond)
		}
		if next := w.leader(); next >= 0 && next != leader {
			w.crash(next, soon(luck), held(luck))
		}
	}},
	{"the leader is cut off, and all others crash", func(w *world, luck *rand.Rand, d time.Duration) {
		leader := max(0, w.leader())
		lasting(d, func(on bool) { w.apart(on, leader) })
		for i := range w.count {
			if i != leader {
				w.crash(i, soon(luck), 0)
			}
		}
	}},
	allEnd,
	{"the leader's other process is cut off", func(w *world, luck *rand.Rand, d time.Duration) {
		leader := max(0, w.leader())
		w.twin(leader, min(d, 20*time.Second), held(luck))
		lasting(min(d, 25*time.Second), func(on bool) { w.apart(on, leader) })
	}},
	{"the state service is slow, and takes some transactions late", func(w *world, luck *rand.Rand, d time.Duration) {
		slow := time.Duration(luck.IntN(1500)) * time.Millisecond
		lasting(d, func(on bool) {
			w.store.Stage(func(s *simulator.Store) {
				if s.Delay, s.Lossy = nil, 0; on {
					s.Delay, s.Lossy = func() time.Duration { return slow }, 0.2
				}
			})
		})
	}},
	{"the state service is out", func(w *world, _ *rand.Rand, d time.Duration) { lasting(d, w.store.Outage) }},
}

// TestAskedThroughReturns plays days on which controllers hand over and back, all end and one returns,
// also at once, and two processes of one name run, while the leader is refused or cut off and users cancel, ask and
// submit again at all of them. AMBERDEAL_ASKEDS sets how many, AMBERDEAL_ASKED plays one.
func TestAskedThroughReturns(t *testing.T) {
	stallDays(t, 3, "AMBERDEAL_ASKED", func(t *testing.T, seed uint64) {
		w := worldOfDoors(t, []int{3, 5}[seed%2], seed, nil)
		luck := rand.New(rand.NewPCG(seed, 13))
		time.Sleep(5 * time.Second)
		m := w.open(seed, 16, 7*time.Second)
		terms := w.term()
		for k := range 10 {
			from := [][]trouble{asks, returns, asks, troubles}[k%4]
			x, d := from[luck.IntN(len(from))], time.Duration(1+luck.IntN(60))*time.Second
			if k == 5 {
				x = allEnd // on every day
			}
			log(x.name, d)
			x.cast(w, luck, d)
			time.Sleep(time.Duration(luck.IntN(12000)) * time.Millisecond)
		}
		time.Sleep(time.Minute) // the last of them is over
		if w.term() <= terms {
			t.Errorf("the fleet changed hands %d times", w.term()-terms)
		}
		m.close(5, 60)
	})
}
