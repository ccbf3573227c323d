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

// userPopulation is the set of users of a simulation, with counts of the responses that they got.
type userPopulation struct {
	*simulation
	seed      uint64
	cancelAll atomic.Bool // tells the users that have yet to cancel their jobs to do so now

	unanswered, confirmedCancellations, repeatedSubmissions atomic.Int64
}

// populationUser is a user who sends requests about one job to all controllers, resubmits it with
// various contents, and may cancel it.
type populationUser struct {
	*client
	population *userPopulation
}

// addUser adds a user with a job, which is not submitted yet.
func (m *userPopulation) addUser(j *wire.Job, run time.Duration) *populationUser {
	var number uint64
	_, _ = fmt.Sscanf(j.ID, "wk-%d", &number)
	c := m.client(j, rand.New(rand.NewPCG(m.seed, number)), run)
	c.unanswered = &m.unanswered
	return &populationUser{c, m}
}

// addService adds a user with a service of one replica, and submits the service.
func (m *userPopulation) addService(id string) *populationUser {
	c := m.addUser(jobOf(id, wire.Service, 1, serviceRunTime), serviceRunTime)
	for try := 0; m.checker.Stage(id) == "" && try < 10; try++ {
		c.submit(try % m.count)
	}
	m.pollUntilFinal(id)
	return c
}

// cancelOnce cancels the job at one controller, which has to confirm it within five attempts.
func (c *populationUser) cancelOnce(i int) {
	for try := 0; try < 5 && !c.checker.Stage(c.job.ID).Final(); try++ {
		c.cancel(i)
	}
	if c.population.confirmedCancellations.Add(1); c.checker.Stage(c.job.ID) != wire.Cancelled {
		c.t.Errorf("%s can't be cancelled at c-%d", c.job.ID, i)
	}
}

// pollOnce polls the job at one controller.
func (c *populationUser) pollOnce(i int) { c.ask(i, 5*time.Second, "GET", c.path(), nil) }

// resubmit submits the job to one controller again.
func (c *populationUser) resubmit(i int) {
	c.population.repeatedSubmissions.Add(1)
	c.ask(i, 5*time.Second, "POST", wire.PathJobs, c.body())
}

// cancelAndVerify cancels the job at one controller and, if that is confirmed, concurrently resubmits
// it to all controllers and polls it at some.
func (c *populationUser) cancelAndVerify() {
	if c.cancel(c.anyController()) != 200 {
		return
	}
	c.population.confirmedCancellations.Add(1)
	var all sync.WaitGroup
	for k := range c.count {
		all.Go(func() {
			if c.resubmit(k); c.draw(c.rng, 2) == 0 {
				c.pollOnce(k)
			}
		})
	}
	all.Wait()
}

// run submits the job, and polls and resubmits it until it is over. It cancels the job after a delay
// unless that is 0.
func (c *populationUser) run(cancelAfter time.Duration) {
	for c.ctx.Err() == nil && c.checker.Stage(c.job.ID) == "" {
		c.submit(c.anyController())
		time.Sleep(time.Duration(c.draw(c.rng, 500)) * time.Millisecond)
	}
	c.pollUntilFinal(c.job.ID)
	for start := time.Now(); c.ctx.Err() == nil; {
		over := c.checker.Stage(c.job.ID).Final()
		if c.population.cancelAll.Load() && over {
			return
		}
		time.Sleep(time.Duration(200+c.draw(c.rng, 3000)) * time.Millisecond)
		i := c.anyController()
		switch cancelDue := cancelAfter > 0 && (time.Since(start) > cancelAfter || c.population.cancelAll.Load()); {
		case cancelDue && !over:
			c.cancelAndVerify()
		case c.draw(c.rng, 3) == 0:
			c.resubmit(i)
		default:
			c.pollOnce(i)
		}
	}
}

// addUsers adds n users, one after the other with the given mean interval, and has requests about
// unknown jobs sent until the end of the simulation.
func (w *simulation) addUsers(seed uint64, n int, interval time.Duration) *userPopulation {
	m := &userPopulation{simulation: w, seed: seed}
	w.group.Go(func() {
		rng := rand.New(rand.NewPCG(seed, 12))
		for k := range n {
			j := jobOf(fmt.Sprintf("wk-%06d", 1000*k+rng.IntN(1000)), wire.Array, 1+rng.IntN(3), 10*time.Second)
			j.Team, j.Image = []string{"red", "blue"}[k%2], fmt.Sprintf("img-%d", k%2)
			run, cancelAfter := time.Duration(5+rng.IntN(60))*time.Second, time.Duration(0)
			switch k % 4 {
			case 1:
				cancelAfter = time.Duration(1+rng.IntN(3000)) * time.Millisecond // before it has started
			case 2:
				cancelAfter = time.Duration(10+rng.IntN(100)) * time.Second
			case 3:
				j.Shape, j.Priority, run, cancelAfter = wire.Service, wire.Production, 24*time.Hour, time.Duration(20+rng.IntN(150))*time.Second
			}
			c := m.addUser(j, run)
			w.group.Go(func() { c.run(cancelAfter) })
			time.Sleep(time.Duration(rng.IntN(int(2*interval/time.Millisecond))) * time.Millisecond)
		}
	})
	// These jobs have never been submitted.
	w.pollGroup.Go(func() {
		for k := 0; w.ctx.Err() == nil; k++ {
			id := fmt.Sprintf("wk-9%05d", k)
			for _, path := range []string{"/" + id, "/" + id + "/" + wire.CancelPathSuffix} {
				method := map[bool]string{true: "GET", false: "POST"}[path == "/"+id]
				if resp, err := w.request(k%w.count, 5*time.Second, method, wire.PathJobs+path, nil); err == nil && resp.Status != 404 && resp.Status != 503 {
					w.t.Errorf("request about %s, which was never submitted: status %d, want 404 or 503", id, resp.Status)
				}
			}
			time.Sleep(3 * time.Second)
		}
	})
	return m
}

// finish waits for all jobs to end, and checks the results. It requires at least the given numbers of
// confirmed cancellations and resubmissions.
func (m *userPopulation) finish(cancellations, resubmissions int64) {
	m.t.Helper()
	m.cancelAll.Store(true)
	m.simulation.finishQuietly(0, 15*time.Minute)
	if m.confirmedCancellations.Load() < cancellations || m.repeatedSubmissions.Load() < resubmissions {
		m.t.Errorf("too few requests: %d cancellations were confirmed, %d submissions were repeated", m.confirmedCancellations.Load(), m.repeatedSubmissions.Load())
	}
}

// TestStoreRefusesLeaderThenAll has the state service answer slowly, refuse the leader alone, and
// then refuse all controllers for longer than cancel_s, while users cancel, poll and resubmit at all
// controllers. Every answer has to remain true: final stages are always answered from memory,
// everything else is read behind a barrier or answered 503. AMBERDEAL_REFUSALS sets the number of
// days, AMBERDEAL_REFUSAL runs one.
func TestStoreRefusesLeaderThenAll(t *testing.T) {
	runSeeds(t, 2, "AMBERDEAL_REFUSAL", func(t *testing.T, seed uint64) {
		w := newProxiedSimulation(t, []int{3, 5}[seed%2], seed, nil)
		rng := rand.New(rand.NewPCG(seed, 13))
		time.Sleep(8 * time.Second)
		m := w.addUsers(seed, 16, 6*time.Second)
		first, second, last := m.addService("wk-1"), m.addService("wk-2"), m.addService("wk-3")
		time.Sleep(time.Duration(30+rng.IntN(10)) * time.Second)
		slow := time.Duration(rng.IntN(1200)) * time.Millisecond
		w.store.Configure(func(s *simulator.StateService) { s.ResponseDelay = func() time.Duration { return slow } })
		time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
		leader := w.anyLeader()
		other := (leader + 1) % w.count
		if leader < 0 || w.checker.RunningTasks("wk-1")+w.checker.RunningTasks("wk-2")+w.checker.RunningTasks("wk-3") != 3 {
			t.Errorf("leader c-%d; want a leader, and all three services running", leader)
		}
		w.refuseByStore(max(0, leader), true)
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
		first.cancelOnce(other)
		time.Sleep(time.Duration(rng.IntN(20)) * time.Second)
		second.cancelOnce(other)
		time.Sleep(time.Duration(rng.IntN(10)) * time.Second)
		last.cancelOnce(other)
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		w.store.SetOutage(true)
		time.Sleep(slow + 100*time.Millisecond)
		confirmedBefore, unansweredBefore := m.confirmedCancellations.Load(), m.unanswered.Load()
		time.Sleep(w.checker.CancelWithin + time.Duration(5+rng.IntN(20))*time.Second)
		if m.confirmedCancellations.Load() > confirmedBefore || m.unanswered.Load() < unansweredBefore+20 {
			t.Errorf("%d cancellations were confirmed in the outage, want 0; %d requests were not answered, want 20 at least", m.confirmedCancellations.Load()-confirmedBefore, m.unanswered.Load()-unansweredBefore)
		}
		if rng.IntN(2) == 0 { // the leader is served again only after the others
			time.AfterFunc(20*time.Second, func() { w.refuseByStore(max(0, leader), false) })
		} else {
			w.refuseByStore(max(0, leader), false)
		}
		w.store.SetOutage(false)
		w.store.Configure(func(s *simulator.StateService) { s.ResponseDelay = nil })
		time.Sleep(time.Minute)
		m.finish(6, 40)
	})
}

// TestPartitionedLeaderTurnsUsersAway partitions a leader from the state service and the other
// controllers while users and machines still reach it and jobs are cancelled through the others. The
// leader has to answer polls of final jobs from memory and to refuse everything else at once, with a
// Retry-After, so that users reach another controller. It has to report that it is not ready as soon
// as it can know, and ready again soon after the partition.
func TestPartitionedLeaderTurnsUsersAway(t *testing.T) {
	for _, cut := range []struct{ of, also int }{{3, 0}, {5, 0}, {5, 2}} { // of that many controllers the leader is cut off, and the one that many after it
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { partitionLeader(t, cut.of, cut.also) })
		})
	}
}

// partitionLeader isolates the leader of count controllers for two minutes, in which it has to refuse
// users. Unless otherOffset is 0, it also isolates the controller whose number is that much higher.
func partitionLeader(t *testing.T, count, otherOffset int) {
	w := newSimulationOf(t, count, 61, 0, nil)
	time.Sleep(8 * time.Second)
	m := w.addUsers(61, 16, 2*time.Second)
	cancelledBefore, cancelledDuring, cancelledAfter := m.addService("wk-1"), m.addService("wk-2"), m.addService("wk-3")
	time.Sleep(30 * time.Second)
	leader := w.anyLeader()
	cancelledBefore.cancelOnce(leader)
	cutOff := []int{leader}
	if otherOffset > 0 {
		cutOff = append(cutOff, (leader+otherOffset)%count)
	}
	w.isolate(true, cutOff...)
	since := time.Now()
	var unready time.Duration
	for time.Since(since) < 2*time.Minute {
		resp, err := w.request(leader, 5*time.Second, "GET", wire.PathReady, nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Status == 200 && unready > 0 {
			t.Errorf("the leader is ready %v after the start of the partition", time.Since(since))
		} else if resp.Status != 200 && unready == 0 {
			unready = time.Since(since)
		}
		if time.Since(since) > 20*time.Second && !w.checker.Stage("wk-2").Final() {
			cancelledDuring.cancelOnce((leader + 1) % count)
		}
		cancelledBefore.pollOnce(leader) // has to be answered, since its stage is final
		w.checkRequestsRejected(leader, cancelledAfter.body(), since, unready)
		time.Sleep(500 * time.Millisecond)
	}
	if unready == 0 || unready > 7*time.Second {
		t.Errorf("the leader became unready %v after the start of the partition (0s for never), want 7s at most", unready)
	}
	if next := w.anyLeader(); next == leader || w.checker.Stage("wk-2") != wire.Cancelled {
		t.Errorf("leader c-%d after c-%d, want another one; wk-2 is %s, want cancelled", next, leader, w.checker.Stage("wk-2"))
	}
	w.isolate(false, cutOff...)
	w.awaitReady(leader, 10*time.Second)
	for i := range count {
		cancelledDuring.pollOnce(i)
		cancelledDuring.resubmit(i)
		cancelledAfter.pollOnce(i)
	}
	cancelledAfter.cancelOnce(leader)
	m.finish(3, 20)
}

// checkRequestsRejected sends every kind of request whose answer is not final to a partitioned leader, and
// checks that each is refused at once. unready is how long after the start of the partition, since, the
// leader was first unready, or 0 if it is still ready.
func (w *simulation) checkRequestsRejected(leader int, submission []byte, since time.Time, unready time.Duration) {
	for _, ask := range []struct {
		method, path string
		body         []byte
	}{
		{"POST", "", wire.Encode(map[string]string{"uid": "wk-3"})}, // malformed
		{"GET", "/wk-3", nil}, {"GET", "/wk-2", nil}, {"GET", "/wk-8", nil}, {"POST", "/wk-3/" + wire.CancelPathSuffix, []byte{}}, {"POST", "", submission},
	} {
		if strings.HasSuffix(ask.path, wire.CancelPathSuffix) && unready == 0 {
			continue // the leader may still be able to write it
		}
		start := time.Now()
		resp, err := w.request(leader, 5*time.Second, ask.method, wire.PathJobs+ask.path, ask.body)
		took := time.Since(start)
		switch {
		case err != nil || resp.Status != 503 || resp.RetryAfter == 0:
			w.t.Errorf("%s %s: response %+v, error %v, %v after the start of the partition; want 503 with Retry-After", ask.method, ask.path, resp, err, time.Since(since))
		case took > 2*time.Second, unready > 0 && !resp.Close, time.Since(since) > 7*time.Second && took > 50*time.Millisecond:
			w.t.Errorf("%s %s: response after %v, connection closed: %v, %v after the start of the partition", ask.method, ask.path, took, resp.Close, time.Since(since))
		}
	}
}

// awaitReady waits until a controller reports that it is ready, and fails the test at the timeout.
func (w *simulation) awaitReady(i int, timeout time.Duration) {
	for start := time.Now(); ; {
		if resp, err := w.request(i, 5*time.Second, "GET", wire.PathReady, nil); err == nil && resp.Status == 200 {
			return
		}
		if time.Sleep(100 * time.Millisecond); time.Since(start) > timeout {
			w.t.Errorf("the controller is not ready %v after the end of the partition", timeout)
			return
		}
	}
}

// allControllersRestart stops all controllers, of which one restarts before the others.
var allControllersRestart = fault{"all end, and one returns", func(w *simulation, rng *rand.Rand, d time.Duration) {
	first := rng.IntN(w.count)
	for i := range w.count {
		if i != first {
			w.kill(i, min(d, 20*time.Second))
		}
	}
	w.crash(first, restartDelay(rng), finalHoldTime(rng))
}}

// stateAccessFaults are faults that accompany restarts: for a while, the state service refuses a controller
// or is slow or out, or a controller is partitioned.
var stateAccessFaults = []fault{
	{"the leader is refused", func(w *simulation, _ *rand.Rand, d time.Duration) {
		leader := max(0, w.anyLeader())
		during(d, func(on bool) { w.refuseByStore(leader, on) })
	}},
	{"the leader is cut from the state service and from the others", func(w *simulation, _ *rand.Rand, d time.Duration) {
		leader := max(0, w.anyLeader())
		during(d, func(on bool) { w.isolate(on, leader) })
	}},
	{"the leader is cut off, and the next one crashes", func(w *simulation, rng *rand.Rand, d time.Duration) {
		leader := max(0, w.anyLeader())
		during(d, func(on bool) { w.isolate(on, leader) })
		for try := 0; try < 40 && (w.anyLeader() == leader || w.anyLeader() < 0); try++ {
			time.Sleep(500 * time.Millisecond)
		}
		if next := w.anyLeader(); next >= 0 && next != leader {
			w.crash(next, restartDelay(rng), finalHoldTime(rng))
		}
	}},
	{"the leader is cut off, and all others crash", func(w *simulation, rng *rand.Rand, d time.Duration) {
		leader := max(0, w.anyLeader())
		during(d, func(on bool) { w.isolate(on, leader) })
		for i := range w.count {
			if i != leader {
				w.crash(i, restartDelay(rng), 0)
			}
		}
	}},
	allControllersRestart,
	{"the leader's other process is cut off", func(w *simulation, rng *rand.Rand, d time.Duration) {
		leader := max(0, w.anyLeader())
		w.startDuplicateProcess(leader, min(d, 20*time.Second), finalHoldTime(rng))
		during(min(d, 25*time.Second), func(on bool) { w.isolate(on, leader) })
	}},
	{"the state service is slow, and takes some transactions late", func(w *simulation, rng *rand.Rand, d time.Duration) {
		slow := time.Duration(rng.IntN(1500)) * time.Millisecond
		during(d, func(on bool) {
			w.store.Configure(func(s *simulator.StateService) {
				if s.ResponseDelay, s.LossShare = nil, 0; on {
					s.ResponseDelay, s.LossShare = func() time.Duration { return slow }, 0.2
				}
			})
		})
	}},
	{"the state service is out", func(w *simulation, _ *rand.Rand, d time.Duration) { during(d, w.store.SetOutage) }},
}

// TestUsersThroughRestarts simulates days on which leadership changes back and forth, all controllers
// restart at once, and two processes run under one name, while the leader is refused by the state
// service or partitioned, and users cancel, poll and resubmit at all controllers. AMBERDEAL_ASKEDS sets
// the number of days, AMBERDEAL_ASKED runs one.
func TestUsersThroughRestarts(t *testing.T) {
	runSeeds(t, 3, "AMBERDEAL_ASKED", func(t *testing.T, seed uint64) {
		w := newProxiedSimulation(t, []int{3, 5}[seed%2], seed, nil)
		rng := rand.New(rand.NewPCG(seed, 13))
		time.Sleep(5 * time.Second)
		m := w.addUsers(seed, 16, 7*time.Second)
		token := w.lastFencingToken()
		w.injectFaults(rng, 10, 12*time.Second, func(k int) (fault, time.Duration) {
			injected, d := drawFault(rng, [][]fault{stateAccessFaults, restartFaults, stateAccessFaults, stallFaults}[k%4], 60)
			if k == 5 {
				injected = allControllersRestart // on every day
			}
			return injected, d
		})
		time.Sleep(time.Minute) // until the last fault is over
		if w.lastFencingToken() <= token {
			t.Errorf("the fencing token rose by %d, want 1 at least", w.lastFencingToken()-token)
		}
		m.finish(5, 60)
	})
}
