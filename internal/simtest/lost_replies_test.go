package simtest

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// replyLoss describes how the reply to a committed write is lost, and which faults its sender sees afterwards.
type replyLoss struct {
	name                  string
	reply                 int           // what the sender gets: noReply or connClosed
	repeatStatus          int           // status of retries of the write for a while; 0 passes on that of the service
	senderRefused, outage time.Duration // how long the sender alone, or every controller, is refused
	crash                 bool          // the sender crashes and restarts soon afterwards
}

var replyLosses = []replyLoss{
	{name: "closed at once", reply: connClosed},
	{name: "silence", reply: noReply},
	{name: "the sender crashes", reply: noReply, crash: true},
	{name: "repeats get 503", reply: connClosed, repeatStatus: 503},
	{name: "the sender alone is refused", reply: connClosed, senderRefused: 12 * time.Second},
	{name: "repeats get 429", reply: noReply, repeatStatus: 429},
	{name: "an outage for longer than cancel_s", reply: connClosed, outage: 50 * time.Second},
}

// maxReplies is how often a write that its sender keeps retrying may be answered: one answer
// suffices, unless it arrives too late.
const maxReplies = 3

// replyLossProxy is a proxy between controllers and the state service. It loses the replies to
// some committed writes, and hides the result of each from its sender until another controller has
// read it.
type replyLossProxy struct {
	*delayProxy
	sim             *simulation
	seed            int
	writes          map[string]*trackedWrite // by sender, path and body
	unknownToSender []*trackedWrite          // writes whose sender does not know their result yet
	refusedUntil    map[string]time.Time     // by controller
	lastOutageStart time.Time
	observed        map[string]*observedJob
	tallies         map[string]replyLossTally
}

// trackedWrite is a write together with its retries.
type trackedWrite struct {
	kind, sender string
	sentAt       time.Time
	loss         *replyLoss // nil if the reply was delivered
	revision     uint64
	readByOther  bool // another controller read it before its sender knew the result
	finalReplies int  // number of final replies to its retries
}

// replyLossTally counts the writes of a kind whose replies were lost.
type replyLossTally struct {
	lost, readByOther int
	byLoss            map[string]int // by name of the loss
}

// observedJob is what users have been told about a job.
type observedJob struct {
	finalStage             wire.Stage // the first final stage that was reported
	knownSince, finalSince time.Time  // when it was first reported as known, and as final
}

// newReplyLossProxy returns a proxy that loses the replies to a share of the writes.
func newReplyLossProxy(w *simulation, seed uint64, share float64) *replyLossProxy {
	a := &replyLossProxy{delayProxy: newDelayProxy(w.t, w.net, "10.2.0.1:2379", seed, share), sim: w, seed: int(seed), writes: map[string]*trackedWrite{},
		refusedUntil: map[string]time.Time{}, observed: map[string]*observedJob{}, tallies: map[string]replyLossTally{}}
	a.serveInstead = a.serve
	return a
}

// isInvisibleToReaders reports whether writes of this kind change nothing that controllers read.
func isInvisibleToReaders(kind string) bool { return kind == "new lease" || kind == "renewal" }

// serve handles a request of a controller.
func (a *replyLossProxy) serve(ctx context.Context, caller *transport.Client, from, method, target string, body []byte) (int, []byte) {
	if a.isRefused(from) {
		return 503, nil
	}
	kind := a.requestKind(from, method, target, body)
	if kind == "" {
		status, answer := a.forward(ctx, caller, method, target, body)
		var page wire.WatchResponse // a list response has a revision, too
		if status == 200 && wire.Decode(answer, &page) == nil {
			a.recordRead(from, page.Revision)
		}
		if a.isRefused(from) {
			return 503, nil
		}
		return status, answer
	}
	id := from + " " + target + " " + string(body)
	s := a.findWrite(id)
	if s != nil && s.loss != nil {
		a.awaitRead(s)
		if s.loss.repeatStatus != 0 && time.Since(s.sentAt) < copyFaultTime {
			return s.loss.repeatStatus, nil
		}
	}
	status, answer := a.forward(ctx, caller, method, target, body)
	return a.decideReply(id, kind, from, body, status), answer
}

// isRefused reports whether a controller is refused at present.
func (a *replyLossProxy) isRefused(from string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.refusedUntil[from])
}

// findWrite returns the write that a request retries, or nil if the request is new.
func (a *replyLossProxy) findWrite(id string) *trackedWrite {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.writes[id]
}

// awaitRead waits until another controller has read a write, for 2 s at most.
func (a *replyLossProxy) awaitRead(s *trackedWrite) {
	for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(5 * time.Millisecond) {
		a.mu.Lock()
		read := s.readByOther || isInvisibleToReaders(s.kind)
		a.mu.Unlock()
		if read {
			return
		}
	}
}

// recordRead records that a controller is about to see everything up to a revision.
func (a *replyLossProxy) recordRead(from string, revision uint64) {
	a.mu.Lock()
	var own []*trackedWrite
	a.unknownToSender = slices.DeleteFunc(a.unknownToSender, func(s *trackedWrite) bool {
		if s.revision > revision {
			return false
		}
		if s.sender == from {
			own = append(own, s)
			return false
		}
		s.readByOther = true
		return false
	})
	a.mu.Unlock()
	for _, s := range own {
		a.awaitRead(s)
		a.recordResultKnown(s)
	}
}

// recordResultKnown records that the sender of a write has learned its result.
func (a *replyLossProxy) recordResultKnown(s *trackedWrite) {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.unknownToSender, s)
	if i < 0 {
		return
	}
	a.unknownToSender = slices.Delete(a.unknownToSender, i, i+1)
	if s.readByOther {
		n := a.tallies[s.kind]
		n.readByOther++
		a.tallies[s.kind] = n
	}
}

// decideReply returns the status that the sender of a write gets, given the one of the state service.
func (a *replyLossProxy) decideReply(id, kind, from string, body []byte, status int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.writes[id]
	lease := slices.Contains(leaseKinds, kind) // two of these by one sender have the same body
	if s != nil && !lease {
		if status == 200 && s.revision > 0 && kind != "new jobs" {
			a.t.Errorf("%s: %s was committed twice", from, kind)
		}
		if answered := status == 200 || status == 409; answered {
			if s.finalReplies++; s.finalReplies > maxReplies {
				a.t.Errorf("%s: %s sent at %v was answered %d times", from, kind, s.sentAt, s.finalReplies)
			}
		}
		go a.recordResultKnown(s)
		return status
	}
	s = &trackedWrite{kind: kind, sender: from, sentAt: time.Now()}
	if !lease && status != 0 {
		a.writes[id] = s
	}
	if status != 200 {
		return status
	}
	s.revision = a.sim.store.Page(store.FencingTokenKey, "", 1).Revision
	n := a.kindCounts[kind]
	a.kindCounts[kind]++
	switch at := slices.IndexFunc(writeKinds, func(k writeKind) bool { return k.name == kind }); {
	case n < 2*len(replyLosses) && n%2 == 0: // so that rare kinds get another loss with each seed
		s.loss = &replyLosses[(n/2+1+at+a.seed)%len(replyLosses)]
	case a.rng.Float64() < a.share:
		s.loss = &replyLosses[a.rng.IntN(len(replyLosses)-1)]
	}
	if s.loss != nil && s.loss.outage > 0 {
		if time.Since(a.lastOutageStart) < 4*time.Minute { // more frequent outages would leave users without answers for too long
			s.loss = &replyLosses[a.rng.IntN(2)]
		} else {
			a.lastOutageStart = time.Now()
		}
	}
	if s.loss == nil {
		return status
	}
	a.unknownToSender = append(a.unknownToSender, s)
	t := a.tallies[kind]
	if t.byLoss == nil {
		t.byLoss = map[string]int{}
	}
	t.lost++
	t.byLoss[s.loss.name]++
	a.tallies[kind] = t
	if os.Getenv("SIM_LOG") != "" {
		fmt.Fprintln(os.Stderr, time.Now().Format("15:04:05.000"), "===== taken, no answer:", kind, "of", from, "revision", s.revision, s.loss.name)
	}
	a.applyConsequences(s, body)
	return s.loss.reply
}

// applyConsequences injects the faults that accompany a loss, and has users poll the jobs that the
// write changed.
func (a *replyLossProxy) applyConsequences(s *trackedWrite, body []byte) {
	if s.loss.senderRefused > 0 {
		a.refusedUntil[s.sender] = time.Now().Add(s.loss.senderRefused)
	}
	if s.loss.outage > 0 {
		during(s.loss.outage, a.sim.store.SetOutage)
	}
	if s.loss.crash {
		back := restartDelay(a.rng)
		go a.sim.crash(int(s.sender[2]-'0'), back, 0)
	}
	var t receivedTxn
	_ = wire.Decode(body, &t)
	for _, c := range t.Then {
		var batch store.BatchRecord
		if store.Kind(c.Put) != "batch" || wire.DecodeValue(c.Value, &batch) != nil {
			continue
		}
		for id := range batch.Jobs {
			for _, d := range []time.Duration{0, 5, 50, 300, 1000, 3000, 10_000} {
				for i := range a.sim.count {
					a.sim.pollGroup.Go(func() { a.pollAfter(id, i, d*time.Millisecond) })
				}
			}
		}
	}
}

// pollAfter has a user poll a job at a controller after a delay. The answer may not be older than
// any answer that a controller gave before the poll was sent.
func (a *replyLossProxy) pollAfter(id string, node int, delay time.Duration) {
	ctx, cancel := context.WithTimeout(a.sim.ctx, delay+2*time.Second)
	defer cancel()
	caller := &transport.Client{MaxBody: wire.MaxBodyBytes, Dial: a.net.Host("10.3.0.4").Dial}
	time.Sleep(delay)
	asked := time.Now()
	resp, err := caller.Call(ctx, simulator.Address(a.sim.ip(node), 8080), "GET", wire.PathJobs+"/"+id, nil)
	var st wire.JobStatus
	if err != nil || a.sim.ctx.Err() != nil || resp.Status != 404 && (resp.Status != 200 || wire.Decode(resp.Body, &st) != nil) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.observed[id]
	if t == nil {
		t = &observedJob{}
		a.observed[id] = t
	}
	switch {
	case resp.Status == 404:
		if !t.knownSince.IsZero() && t.knownSince.Before(asked) {
			a.t.Errorf("%s was known at %v; c-%d, polled at %v, does not know it", id, t.knownSince, node, asked)
		}
		return
	case !t.finalSince.IsZero() && t.finalStage != st.Stage && (t.finalSince.Before(asked) || st.Stage.Final()):
		a.t.Errorf("%s was %s at %v; c-%d, polled at %v, reports %s", id, t.finalStage, t.finalSince, node, asked, st.Stage)
	}
	if t.knownSince.IsZero() {
		t.knownSince = time.Now()
	}
	if t.finalSince.IsZero() && st.Stage.Final() {
		t.finalStage, t.finalSince = st.Stage, time.Now()
		if st.Stage == wire.Cancelled {
			a.sim.checker.ObserveAnswer(id, 200, st.Stage, true) // starts the time within which its tasks must be gone
		}
	}
}

// runReplyLossScenario simulates a day on which writes of each kind are committed and their senders
// get no reply.
func runReplyLossScenario(t *testing.T, seed uint64, share float64) (a *replyLossProxy) {
	simulateAllWrites(t, seed, []int{3, 5}[seed%2], func(w *simulation) *delayProxy {
		a = newReplyLossProxy(w, seed, share)
		return a.delayProxy
	})
	return a
}

// TestLostReplies commits writes of each kind and loses only their replies, while other controllers
// read the writes and act on them, and users poll at all controllers. AMBERDEAL_ATONCES=N simulates
// more days outside of CI, of which all but the first two have other faults, too, and lose up to one
// reply in ten. AMBERDEAL_ATONCE simulates one.
func TestLostReplies(t *testing.T) {
	all := map[string]replyLossTally{}
	var mu sync.Mutex
	runSeeds(t, 2, "AMBERDEAL_ATONCE", func(t *testing.T, seed uint64) {
		share := 0.02
		if seed >= 2 {
			share = []float64{0.02, 0.05, 0.1}[seed%3]
		}
		a := runReplyLossScenario(t, seed, share)
		mu.Lock()
		defer mu.Unlock()
		for kind, n := range a.tallies {
			sum := all[kind]
			sum.lost, sum.readByOther = sum.lost+n.lost, sum.readByOther+n.readByOther
			if sum.byLoss == nil {
				sum.byLoss = map[string]int{}
			}
			for how, k := range n.byLoss {
				sum.byLoss[how] += k
			}
			all[kind] = sum
		}
	})
	for _, kind := range slices.Sorted(maps.Keys(all)) {
		t.Logf("%s: %d committed without a reply, %d of them read by another controller before the sender knew; %v", kind, all[kind].lost, all[kind].readByOther, all[kind].byLoss)
	}
	for _, kind := range append(slices.Clone(leaseKinds), kindNames(func(name string) bool { return !strings.Contains(name, "import") })...) {
		if n := all[kind]; os.Getenv("AMBERDEAL_ATONCE") == "" && (n.lost == 0 || n.readByOther == 0 && !isInvisibleToReaders(kind)) {
			t.Errorf("%q: %d were committed without a reply, and %d read by another controller before the sender knew", kind, n.lost, n.readByOther)
		}
	}
}

// TestElectionsWithLostReplies has the only controller win five shards while it gets no reply to any
// election transaction. Its lease is renewed meanwhile, so it may not win any shard a second time.
func TestElectionsWithLostReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulationOf(t, 1, 91, 0, func(c *config.Config) {
			c.Zones, c.Tuning.Shards.By = []string{"a", "b", "c", "d", "e"}, "zone"
			c.StoreAddr = simulator.Address("10.2.1.0", 2379)
		})
		l := newDelayProxy(t, w.net, "10.2.0.1:2379", 91, 0)
		var claims atomic.Int64
		l.serveInstead = func(ctx context.Context, caller *transport.Client, from, method, target string, body []byte) (int, []byte) {
			status, answer := l.forward(ctx, caller, method, target, body)
			if l.requestKind(from, method, target, body) == "claim" && status == 200 {
				claims.Add(1)
				return noReply, nil
			}
			return status, answer
		}
		l.listen(w.ctx, "c-0", "10.2.1.0")
		time.Sleep(time.Minute)
		if held := w.leaders(); len(held) != 5 || claims.Load() != 5 {
			t.Errorf("after %d committed claims the leaders are %v", claims.Load(), held)
		}
		w.finish(time.Minute)
	})
}

// TestCancelWhileLaunchUnknown commits the round that launches a job and loses the reply, so that the
// leader learns of the commit only by retrying the round. Before the retry is forwarded, another
// controller confirms the cancellation of the job to a user. The data that the leader reads to learn
// the result of its own write includes this cancellation, so no task may start. In one case its reads
// are refused for a while first, and it may not retry the round meanwhile.
func TestCancelWhileLaunchUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 92, 0, func(c *config.Config) { c.StoreAddr = simulator.Address("10.2.1."+c.Name[2:], 2379) })
		l := newUnknownLaunchProxy(w)
		for i := range w.count {
			l.listen(w.ctx, fmt.Sprint("c-", i), fmt.Sprint("10.2.1.", i))
		}
		w.startService("wk-1", 2*time.Minute)
		time.Sleep(40 * time.Second)
		_, before := w.checker.Counts()
		for i := range 4 {
			j := &wire.Job{ID: fmt.Sprint("wk-", 2+i), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimateS: 5}
			w.checker.Submitted(j, 5*time.Second)
			l.mu.Lock()
			l.currentJob = j.ID
			l.mu.Unlock()
			if status := l.call(0, wire.PathJobs, wire.Encode(j)); status != 201 {
				t.Errorf("submission of %s: status %d, want 201", j.ID, status)
			}
			time.Sleep(15 * time.Second)
		}
		for id, n := range l.roundCopies {
			if n != 2 {
				t.Errorf("the round that launches %s was sent %d times, want 2", id, n)
			}
		}
		if _, after := w.checker.Counts(); len(l.roundCopies) != 4 || after != before {
			t.Errorf("%d jobs were cancelled while the leader did not know the result of their launch, want 4; %d tasks started, want 0", len(l.roundCopies), after-before)
		}
		w.finish(10 * time.Minute)
		w.checkResults()
	})
}

// unknownLaunchProxy loses the reply to the first copy of the round that launches a job, and has
// the job cancelled at another controller before it forwards the second copy.
type unknownLaunchProxy struct {
	*delayProxy
	sim    *simulation
	caller *transport.Client // of the user who cancels

	mu                sync.Mutex
	currentJob        string
	roundCopies       map[string]int       // how often the round that launches each job was sent
	roundBodies       map[string]string    // body of the round that launches each job
	readsRefusedUntil map[string]time.Time // by controller
}

// newUnknownLaunchProxy returns a proxy for the controllers of a simulation.
func newUnknownLaunchProxy(w *simulation) *unknownLaunchProxy {
	l := &unknownLaunchProxy{delayProxy: newDelayProxy(w.t, w.net, "10.2.0.1:2379", 92, 0), sim: w,
		caller:     &transport.Client{MaxBody: wire.MaxBodyBytes, Dial: w.net.Host("10.3.0.4").Dial},
		currentJob: "none", roundCopies: map[string]int{}, roundBodies: map[string]string{}, readsRefusedUntil: map[string]time.Time{}}
	l.serveInstead = l.serveRound
	return l
}

// call sends a user's request to a controller and returns the status, or 0 if there was no response.
func (l *unknownLaunchProxy) call(to int, path string, body []byte) int {
	resp, err := l.caller.Call(l.sim.ctx, simulator.Address(l.sim.ip(to), 8080), "POST", path, body)
	if err != nil {
		return 0
	}
	return resp.Status
}

// serveRound handles a request of a controller to the state service.
func (l *unknownLaunchProxy) serveRound(ctx context.Context, via *transport.Client, from, method, target string, body []byte) (int, []byte) {
	l.mu.Lock()
	id, n := l.currentJob, 0
	if target == wire.PathTxn && bytes.Contains(body, []byte(id+"/0")) && (l.roundCopies[id] == 0 || l.roundBodies[id] == string(body)) {
		l.roundBodies[id] = string(body)
		l.roundCopies[id]++
		n = l.roundCopies[id]
	}
	refused := method == "GET" && time.Now().Before(l.readsRefusedUntil[from])
	l.mu.Unlock()
	if refused {
		return 503, nil
	}
	if n == 2 {
		if status := l.call((int(from[2]-'0')+1)%3, wire.PathJobs+"/"+id+"/"+wire.CancelPathSuffix, []byte{}); status != 200 {
			l.t.Errorf("cancellation of %s: status %d, want 200", id, status)
		}
	}
	status, answer := l.forward(ctx, via, method, target, body)
	if n == 1 && status == 200 {
		return noReply, nil
	}
	if n == 2 && id == "wk-2" {
		l.mu.Lock()
		l.readsRefusedUntil[from] = time.Now().Add(4 * time.Second)
		l.mu.Unlock()
	}
	return status, answer
}
