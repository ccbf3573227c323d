package simtest

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/load"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// The tests in this file send requests to all controllers within milliseconds after a job was accepted,
// ended or cancelled, while messages between one controller and the state service are delayed.

// readCase describes a simulation: the number of controllers, their sharding, and which link of one
// controller is delayed by up to 1.5 s: "answers" for the responses of the state service, "requests" for
// the controller's own requests, "one connection" for the responses on every other connection, or "reads"
// for the responses to reads.
type readCase struct {
	count                 int
	sharding, delayedLink string
	writers               int // number of controllers that write for all others; 0: each writes for itself
}

// concurrentReads is a simulation of users who send concurrent requests. It counts which overlaps of
// requests occurred.
type concurrentReads struct {
	*simulation
	delayedLink    string
	answers        load.LinearizabilityChecker
	slowController atomic.Int64 // the controller whose link is delayed, -1 for none

	mu          sync.Mutex
	faultRNG    *rand.Rand
	conns       int
	openCalls   []int // by controller
	jobs        map[string]*readJob
	restartedAt map[int]time.Time // by controller
	overlaps    map[string]int
}

// readJob is a job that users read.
type readJob struct {
	job                                 *wire.Job
	stage                               wire.Stage // the last one reported to any user
	firstReportedAt                     time.Time  // when that stage was first reported
	reportedBy                          int        // the controller that reported it first
	cancelRequested                     bool       // whether a user has asked to cancel it
	openSubmits, openReads, openCancels int        // calls in flight, by kind
}

// maxLinkDelay is the upper bound for the delay of a message on the delayed link.
const maxLinkDelay = 1500 * time.Millisecond

// slowStream delays the messages of a controller's connection to the state service.
type slowStream struct {
	transport.Stream
	run        *concurrentReads
	node, conn int
	reads      bool // the last request is a read
}

func (s *slowStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	if n > 0 {
		s.reads = bytes.HasPrefix(p[:n], []byte("GET "))
		s.run.delayFor(s.node, "requests")
	}
	return n, err
}

func (s *slowStream) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("HTTP/1.1 410")) {
		s.run.noteOverlap("a view was too old", true)
	}
	s.run.delayFor(s.node, "answers", map[bool]string{true: "one connection"}[s.conn%2 == 1], map[bool]string{true: "reads"}[s.reads])
	return s.Stream.Write(p)
}

// delayFor sleeps for the transit time of a message that belongs to the given kinds of links.
func (r *concurrentReads) delayFor(node int, links ...string) {
	r.mu.Lock()
	d := time.Duration(1+r.faultRNG.IntN(6)) * time.Millisecond
	if node == int(r.slowController.Load()) && slices.Contains(links, r.delayedLink) {
		d = time.Duration(r.faultRNG.Int64N(int64(maxLinkDelay)))
	}
	r.mu.Unlock()
	time.Sleep(d)
}

// noteOverlap counts an overlap if it occurred.
func (r *concurrentReads) noteOverlap(what string, occurred bool) {
	if occurred {
		r.mu.Lock()
		r.overlaps[what]++
		r.mu.Unlock()
	}
}

// slowProxyAddr returns the address at which controller i reaches the state service.
func slowProxyAddr(i int) string { return simulator.Address(stateHost, 2500+i) }

// newConcurrentReads starts the simulation of a case.
func newConcurrentReads(t *testing.T, x readCase, seed uint64) *concurrentReads {
	l := &concurrentReads{delayedLink: x.delayedLink, faultRNG: rand.New(rand.NewPCG(seed, 31)), jobs: map[string]*readJob{}, restartedAt: map[int]time.Time{}, overlaps: map[string]int{}, openCalls: make([]int, x.count)}
	l.slowController.Store(-1)
	l.simulation = newSimulationOf(t, x.count, seed, 0, func(c *config.Config) {
		c.StoreAddr = slowProxyAddr(controllerNumber(c.Name))
		c.Zone = []string{"a", "b"}[controllerNumber(c.Name)%2]
		c.Tuning.Shards.By = x.sharding
		c.Tuning.Writers = x.writers
	})
	for i := range x.count {
		serve := l.store.ServeCaller(fmt.Sprint("c-", i))
		go l.net.Host(stateHost).Listen(l.ctx, slowProxyAddr(i), 0, func(ctx context.Context, s transport.Stream) {
			l.mu.Lock()
			l.conns++
			conn := l.conns
			l.mu.Unlock()
			serve(ctx, &slowStream{Stream: s, run: l, node: i, conn: conn})
		})
	}
	l.store.Configure(func(s *simulator.StateService) { s.OnCommit = l.noteCommit })
	return l
}

// noteCommit counts the writes committed while requests are in flight, by kind: among others those that
// move a job from its batch to the archive.
func (r *concurrentReads) noteCommit(puts []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	inFlight := 0
	for _, n := range r.openCalls {
		inFlight += n
	}
	for _, key := range puts {
		if kind := store.Kind(key); inFlight > 0 {
			r.overlaps["asked while "+kind+" is written"]++
		}
	}
}

// body returns a repeated submission of the job: unchanged, with different content, or malformed.
func (r *concurrentReads) body(j *wire.Job) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	other := *j
	encoded := wire.Encode(j)
	switch r.faultRNG.IntN(8) {
	case 0:
		other.Priority, other.Image = wire.Low, "img-9"
	case 1:
		other.Team = "nobody"
	case 2:
		other.CPUs = 900
	case 3:
		other.Shape = "none"
	case 4:
		return wire.Encode(map[string]any{"uid": j.ID, "cells": -1, "breed": nil})
	case 5:
		return append(encoded, encoded...)
	case 6:
		return wire.Encode(map[string]any{"uid": j.ID, "cells": 1.5, "frames": "g4"})
	}
	return wire.Encode(&other)
}

// requestAndCheck sends a request to one controller and checks the answer. If the answer is the first to
// report that the job is known, or that it has ended, it sends requests to all controllers.
func (r *concurrentReads) requestAndCheck(i int, x *readJob, method, word string, body []byte) (status int, stage wire.Stage) {
	path := wire.PathJobs
	if method == "GET" || word != "" {
		path += "/" + x.job.ID
	}
	if word != "" {
		path += "/" + word
	}
	before := r.beginRequest(i, x, method, word)
	call := r.answers.BeginCall()
	resp, err := r.request(i, 5*time.Second, method, path, body)
	var s wire.JobStatus
	if err == nil {
		status = resp.Status
		_ = wire.Decode(resp.Body, &s)
	}
	switch {
	case word != "":
		r.answers.ObserveCancellation(x.job.ID, call, status, s.Stage)
	case method == "POST":
		r.answers.ObserveSubmission(x.job.ID, call, status, s.Stage)
	default:
		r.answers.ObserveStatus(x.job.ID, call, status, s.Stage)
	}
	known := status == 200 || status == 201
	isNew := r.endRequest(i, x, before, status, s.Stage)
	acceptedOtherBody := known && method == "POST" && word == "" && before.stage != "" && !bytes.Equal(body, wire.Encode(x.job))
	r.noteOverlaps(i, before, status, acceptedOtherBody)
	if isNew {
		r.requestAllControllers(x)
	}
	return status, s.Stage
}

// requestSnapshot is the state of the simulation when a request was sent.
type requestSnapshot struct {
	open        *int // number of calls of its kind in flight
	sent        time.Time
	slow        bool       // the request goes to the controller with the delayed link
	stage       wire.Stage // the last one reported to any user
	reportedAt  time.Time
	reportedBy  int
	restartedAt time.Time // of the controller
	others      int       // other calls in flight at the controller
}

// beginRequest counts a request as in flight.
func (r *concurrentReads) beginRequest(i int, x *readJob, method, word string) requestSnapshot {
	open := &x.openReads
	if word != "" {
		open = &x.openCancels
	} else if method == "POST" {
		open = &x.openSubmits
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := requestSnapshot{open, time.Now(), int(r.slowController.Load()) == i, x.stage, x.firstReportedAt, x.reportedBy, r.restartedAt[i], r.openCalls[i]}
	r.openCalls[i]++
	*open++
	x.cancelRequested = x.cancelRequested || word != ""
	if x.openSubmits > 0 && x.openReads > 0 && x.openCancels > 0 {
		r.overlaps["submission, question and cancellation under way"]++
	}
	return b
}

// endRequest checks an answer, and reports whether it is the first one to any user that reports the job
// as known, or as ended.
func (r *concurrentReads) endRequest(i int, x *readJob, b requestSnapshot, status int, stage wire.Stage) (isNew bool) {
	known := status == 200 || status == 201
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openCalls[i]--
	*b.open--
	isNew = known && (x.stage == "" || stage.Final() && !x.stage.Final())
	if isNew {
		x.stage, x.firstReportedAt, x.reportedBy = stage, time.Now(), i
	}
	if known && (stage.Final() || !x.stage.Final()) {
		r.checker.ObserveAnswer(x.job.ID, status, stage, x.cancelRequested)
	}
	return isNew
}

// noteOverlaps counts the overlaps of a request to a controller. acceptedOtherBody reports whether the
// request was a submission with different content that was answered as a known job.
func (r *concurrentReads) noteOverlaps(i int, b requestSnapshot, status int, acceptedOtherBody bool) {
	known := status == 200 || status == 201
	soon := b.stage != "" && b.reportedBy != i && b.sent.Sub(b.reportedAt) <= 5*time.Millisecond
	target := map[bool]string{true: "late", false: "another"}[b.slow]
	r.noteOverlap(fmt.Sprintf("%s is asked within 5 ms of %s", target, b.stage), soon && known)
	r.noteOverlap("answered late and not alone", b.slow && b.others > 0 && known && b.sent.Before(time.Now()))
	r.noteOverlap("known in other words", acceptedOtherBody)
	r.noteOverlap("refused while not known", status == 400 || status == 422)
	r.noteOverlap("vain at a new one", !known && status != 404 && b.sent.Sub(b.restartedAt) < 200*time.Millisecond)
	r.noteOverlap("answered by a new one", known && b.sent.Sub(b.restartedAt) < 2*time.Second)
	r.noteOverlap(target+" answers", known || status == 404)
	r.noteOverlap(target+" is asked in vain", status == 0 || status >= 429)
}

// requestAllControllers sends status requests and repeated submissions to all controllers within
// milliseconds.
func (r *concurrentReads) requestAllControllers(x *readJob) {
	for i := range r.count {
		for _, ms := range []time.Duration{0, 1, 5} {
			r.group.Go(func() {
				time.Sleep(ms * time.Millisecond)
				r.requestAndCheck(i, x, "GET", "", nil)
			})
		}
		r.group.Go(func() { r.requestAndCheck(i, x, "POST", "", r.body(x.job)) })
		r.group.Go(func() {
			time.Sleep(2 * time.Millisecond)
			r.requestAndCheck(i, x, "POST", "", r.body(x.job))
		})
	}
}

// requestUntilAnswered sends a request to one controller after the other until one reports success.
func (r *concurrentReads) requestUntilAnswered(i int, x *readJob, method, word string, body []byte) {
	for r.ctx.Err() == nil {
		if status, _ := r.requestAndCheck(i%r.count, x, method, word, body); status == 200 || status == 201 {
			return
		}
		time.Sleep(time.Second)
		i++
	}
}

// runJob submits a job to one controller, cancels it after a delay at another one (not at all if cancel
// is negative), and polls it at all controllers meanwhile. After the job's end it continues polling until
// the job is in the archive.
func (r *concurrentReads) runJob(n, first int, cancel, run time.Duration) {
	nodes := make([]int, r.count)
	for i := range nodes {
		nodes[i] = (first + i) % r.count
	}
	r.runJobAt(n, nodes, cancel, run)
}

// runJobAt is like runJob, but uses the given controllers only.
func (r *concurrentReads) runJobAt(n int, nodes []int, cancel, run time.Duration) {
	j := &wire.Job{ID: fmt.Sprintf("wk-%06d", (n*7919)%1_000_000), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 1, CPUs: 1, GPUs: 1, MemoryGB: 4,
		Image: "img", ImageGB: 1, EstimateS: 1}
	x := &readJob{job: j}
	r.mu.Lock()
	r.jobs[j.ID] = x
	r.mu.Unlock()
	r.checker.Submitted(j, run)
	r.group.Go(func() { r.requestUntilAnswered(nodes[0], x, "POST", "", wire.Encode(j)) })
	if cancel >= 0 {
		r.group.Go(func() {
			time.Sleep(cancel)
			r.requestUntilAnswered(nodes[1], x, "POST", wire.CancelPathSuffix, []byte{})
		})
	}
	for _, ms := range []time.Duration{0, 1, 3, 10, 30, 100, 300, 1000} {
		for k, i := range nodes {
			r.group.Go(func() {
				time.Sleep(ms * time.Millisecond)
				if k == 2 {
					r.requestAndCheck(i, x, "POST", "", r.body(j))
				}
				r.requestAndCheck(i, x, "GET", "", nil)
			})
		}
	}
	r.group.Go(func() {
		endedAt := time.Time{}
		for i := 0; r.ctx.Err() == nil && (endedAt.IsZero() || time.Since(endedAt) < 8*time.Second); i++ {
			time.Sleep(120 * time.Millisecond)
			if _, stage := r.requestAndCheck(nodes[i%len(nodes)], x, "GET", "", nil); stage.Final() && endedAt.IsZero() {
				endedAt = time.Now()
			}
		}
	})
}

// cancelDelays are the delays, in milliseconds, between the submission of a job and its cancellation.
var cancelDelays = []time.Duration{0, 1, 2, 5, 10, 20, 50, 150, 400, 1000, 3000}

// run simulates a case. The controller with the delayed link is first the one that accepts jobs, then
// the one that cancels them, then one that receives only polls and repeated submissions. In between, the
// state service drops its watch history and a controller restarts.
func (r *concurrentReads) run(seed uint64) {
	time.Sleep(8 * time.Second)
	r.runJob(999, 0, 45*time.Second, serviceRunTime) // keeps one machine rented
	time.Sleep(10 * time.Second)
	n := 0
	for role := range 3 {
		leader := max(0, r.anyLeader())
		slow := (leader + int(seed/2)%2*r.count/2) % r.count
		r.slowController.Store(int64(slow))
		r.noteOverlap("who leads hears late", slow == leader)
		r.noteOverlap("another leads", slow != leader)
		for k, ms := range cancelDelays {
			first := (slow + r.count - role) % r.count
			r.runJob(n, first, ms*time.Millisecond, time.Minute)
			if n++; k%3 == 0 {
				r.runJob(n, first, -1, time.Duration(200*k)*time.Millisecond)
				n++
			}
			time.Sleep(time.Duration(150+r.draw(r.rng, 300)) * time.Millisecond)
		}
		r.store.DropHistory()
		time.Sleep(6 * time.Second)
		r.restart((slow + role/2) % r.count) // the slow controller or the next one
	}
	r.slowController.Store(-1)
	r.finishQuietly(0, 5*time.Minute)
	for _, b := range r.answers.Violations() {
		r.t.Error(b)
	}
}

// restart restarts a controller and polls it for all jobs before and while it reads the state.
func (r *concurrentReads) restart(i int) {
	const restartAfter = 50 * time.Millisecond
	r.mu.Lock()
	r.restartedAt[i] = time.Now().Add(restartAfter)
	r.mu.Unlock()
	r.crash(i, restartAfter, 0)
	for range 6 {
		time.Sleep(20 * time.Millisecond)
		for _, x := range r.jobs {
			r.group.Go(func() { r.requestAndCheck(i, x, "GET", "", nil) })
		}
	}
	time.Sleep(4 * time.Second)
}

// requiredOverlaps is how often each overlap has to occur in the simulations that run by default. In the
// names, "late" is the controller with the delayed link, "another" any other controller, and "a new one"
// a controller that has just restarted.
var requiredOverlaps = map[string]int{
	"late is asked within 5 ms of pending": 100, "late is asked within 5 ms of done": 20, "late is asked within 5 ms of withdrawn": 100,
	"another is asked within 5 ms of pending": 300, "another is asked within 5 ms of done": 100, "another is asked within 5 ms of withdrawn": 300,
	"submission, question and cancellation under way": 300, "known in other words": 500, "refused while not known": 20, "answered late and not alone": 300,
	"asked while batch is written": 100, "asked while recent is written": 10, "asked while gate is written": 10, "asked while history is written": 10,
	"a view was too old": 10, "vain at a new one": 100, "answered by a new one": 50, "who leads hears late": 1, "another leads": 1,
}

// TestConcurrentReads checks that concurrent answers of all controllers about a job are linearizable
// while one controller receives changes late. AMBERDEAL_LOOKS sets the number of simulations, sixteen of
// which contain every combination of controllers, sharding and delayed link; AMBERDEAL_LOOK selects a
// single one.
func TestConcurrentReads(t *testing.T) {
	all, played := map[string]int{}, 0
	runSeeds(t, 4, "AMBERDEAL_LOOK", func(t *testing.T, seed uint64) {
		n := 5 * seed % 16
		x := readCase{[]int{3, 5}[n%2], []string{"off", "zone"}[n/2%2], []string{"answers", "requests", "one connection", "reads"}[n/4], 0}
		l := newConcurrentReads(t, x, seed)
		l.run(seed)
		for what, n := range l.overlaps {
			all[what] += n
		}
		played++
		if t.Failed() {
			t.Log(x)
		}
	})
	for what, n := range requiredOverlaps {
		if played >= 4 && all[what] < n {
			t.Errorf("%q occurred %d times, fewer than required", what, all[what])
		}
	}
	for _, what := range slices.Sorted(maps.Keys(all)) {
		log(what, all[what])
	}
}

// endOffsets are the times of cancellations, in milliseconds after the end of a job's last task.
var endOffsets = []time.Duration{-300, -20, -2, -1, 0, 1, 2, 5, 20, 100, 300, 600, 900, 1500, 2500}

// runJobCancelledAtEnd cancels, polls and resubmits a job at three controllers, at an offset from the
// end of its last task, without other faults.
func (r *concurrentReads) runJobCancelledAtEnd(n, first int, offset time.Duration, shape wire.Shape, tasks int) {
	const run = 4 * time.Second
	j := jobOf(fmt.Sprintf("wk-%06d", n), shape, tasks, run)
	j.CPUs, j.GPUs, j.MemoryGB = 0.5, 0.25, 1
	x := &readJob{job: j}
	r.checker.Submitted(j, run)
	r.group.Go(func() {
		r.requestUntilAnswered(first, x, "POST", "", wire.Encode(j))
		for r.ctx.Err() == nil && r.checker.RunningTasks(j.ID) < tasks {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(run + offset)
		ended := r.checker.RunningTasks(j.ID) == 0
		r.group.Go(func() { r.requestAndCheck((first+1)%r.count, x, "GET", "", nil) })
		r.group.Go(func() { r.requestAndCheck((first+2)%r.count, x, "POST", "", r.body(j)) })
		r.requestUntilAnswered(first, x, "POST", wire.CancelPathSuffix, []byte{})
		r.mu.Lock()
		stage := x.stage
		r.mu.Unlock()
		r.noteOverlap(fmt.Sprintf("ended %v, %s", ended, stage), true)
		for i := range 2 * r.count {
			time.Sleep(700 * time.Millisecond)
			r.requestAndCheck((first+i)%r.count, x, "GET", "", nil)
		}
		r.requestUntilAnswered(first+1, x, "POST", wire.CancelPathSuffix, []byte{}) // again, even if the job is done
	})
}

// TestCancelAtCompletion sends a cancellation, a poll and a repeated submission to each controller
// around the end of a job's last task, the heartbeat that reports it and the round that writes it. The
// job must end exactly once, as done or cancelled, and all controllers must agree on which.
func TestCancelAtCompletion(t *testing.T) {
	occurred := map[string]int{}
	for seed, x := range []readCase{{3, "off", "", 0}, {5, "zone", "", 0}} {
		synctest.Test(t, func(t *testing.T) {
			l := newConcurrentReads(t, x, uint64(seed))
			time.Sleep(8 * time.Second)
			l.runJob(999, 0, 90*time.Second, serviceRunTime)
			time.Sleep(12 * time.Second)
			for n, offset := range endOffsets {
				for first := range 3 {
					l.runJobCancelledAtEnd(3*n+first, first, offset*time.Millisecond, []wire.Shape{wire.Array, wire.Gang, wire.Array}[(n+first)%3], 1+(n+first)%3)
				}
				time.Sleep(1700 * time.Millisecond)
			}
			l.finishQuietly(0, 5*time.Minute)
			for _, b := range l.answers.Violations() {
				t.Error(b)
			}
			for what, n := range l.overlaps {
				occurred[what] += n
			}
		})
	}
	for _, what := range []string{"ended false, withdrawn", "ended true, withdrawn", "ended true, done"} {
		if occurred[what] < 5 {
			t.Errorf("%q occurred %d times, want at least 5", what, occurred[what])
		}
	}
}
