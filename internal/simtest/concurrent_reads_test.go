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

// Users ask at all controllers within milliseconds after a job was accepted, ended or cancelled,
// while one of these hears the state service late.

// lookDay says how such a day is: how many controllers there are, in how many parts, and what of one
// of them is late by up to 1.5 s: the state service's answers, its own requests, the answers on
// every other connection, or those to what is read.
type lookDay struct {
	count    int
	by, late string
	writers  int // that write for all; 0 stands for each by itself
}

// looks is the users of such a day, and what met.
type looks struct {
	*world
	late  string
	order load.Judge
	slow  atomic.Int64 // who hears late, -1 for nobody

	mu    sync.Mutex
	luck  *rand.Rand
	conns int
	open  []int // calls under way, by controller
	jobs  map[string]*looked
	back  map[int]time.Time // when a controller came back
	met   map[string]int
}

// looked is a job that users look at.
type looked struct {
	job                  *wire.Job
	stage                wire.Stage // the last that anybody was told
	at                   time.Time  // when it was told first
	by                   int        // and by whom
	asked                bool       // to cancel it
	submits, looks, ends int        // calls under way
}

const mostLate = 1500 * time.Millisecond

// tardy is a controller's connection to the state service.
type tardy struct {
	transport.Stream
	of         *looks
	node, conn int
	reads      bool // something is read, not written
}

func (s *tardy) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	if n > 0 {
		s.reads = bytes.HasPrefix(p[:n], []byte("GET "))
		s.of.wait(s.node, "requests")
	}
	return n, err
}

func (s *tardy) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("HTTP/1.1 410")) {
		s.of.meets("a view was too old", true)
	}
	s.of.wait(s.node, "answers", map[bool]string{true: "one connection"}[s.conn%2 == 1], map[bool]string{true: "reads"}[s.reads])
	return s.Stream.Write(p)
}

// wait takes as long as what a controller asks, or hears, is under way.
func (l *looks) wait(node int, what ...string) {
	l.mu.Lock()
	d := time.Duration(1+l.luck.IntN(6)) * time.Millisecond
	if node == int(l.slow.Load()) && slices.Contains(what, l.late) {
		d = time.Duration(l.luck.Int64N(int64(mostLate)))
	}
	l.mu.Unlock()
	time.Sleep(d)
}

func (l *looks) meets(what string, does bool) {
	if does {
		l.mu.Lock()
		l.met[what]++
		l.mu.Unlock()
	}
}

func tardyDoor(i int) string { return simulator.Address(stateHost, 2500+i) }

func newLooks(t *testing.T, x lookDay, seed uint64) *looks {
	l := &looks{late: x.late, luck: rand.New(rand.NewPCG(seed, 31)), jobs: map[string]*looked{}, back: map[int]time.Time{}, met: map[string]int{}, open: make([]int, x.count)}
	l.slow.Store(-1)
	l.world = newWorldOf(t, x.count, seed, 0, func(c *config.Config) {
		c.StoreAddr = tardyDoor(numberOf(c.Name))
		c.Zone = []string{"a", "b"}[numberOf(c.Name)%2]
		c.Tuning.Parts.By = x.by
		c.Tuning.Writers = x.writers
	})
	for i := range x.count {
		serve := l.store.ServeTo(fmt.Sprint("c-", i))
		go l.net.Host(stateHost).Listen(l.ctx, tardyDoor(i), 0, func(ctx context.Context, s transport.Stream) {
			l.mu.Lock()
			l.conns++
			conn := l.conns
			l.mu.Unlock()
			serve(ctx, &tardy{Stream: s, of: l, node: i, conn: conn})
		})
	}
	l.store.Stage(func(s *simulator.Store) { s.Took = l.took })
	return l
}

// took sees the writes in which a job goes from its home to the history while it is asked about.
func (l *looks) took(puts []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := 0
	for _, n := range l.open {
		open += n
	}
	for _, key := range puts {
		if kind := store.Kind(key); open > 0 {
			l.met["asked while "+kind+" is written"]++
		}
	}
}

// body gives the submission again, as it was or in other words.
func (l *looks) body(j *wire.Job) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	other := *j
	whole := wire.Encode(j)
	switch l.luck.IntN(8) {
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
		return append(whole, whole...)
	case 6:
		return wire.Encode(map[string]any{"uid": j.ID, "cells": 1.5, "frames": "g4"})
	}
	return wire.Encode(&other)
}

// ask asks one controller, has the answer judged, and asks all if it tells what nobody was told before.
func (l *looks) ask(i int, x *looked, method, word string, body []byte) (status int, stage wire.Stage) {
	path := wire.PathJobs
	if method == "GET" || word != "" {
		path += "/" + x.job.ID
	}
	if word != "" {
		path += "/" + word
	}
	under := &x.looks
	if word != "" {
		under = &x.ends
	} else if method == "POST" {
		under = &x.submits
	}
	l.mu.Lock()
	sent, slow, told, at, by := time.Now(), int(l.slow.Load()) == i, x.stage, x.at, x.by
	back := l.back[i]
	others := l.open[i]
	l.open[i]++
	*under++
	x.asked = x.asked || word != ""
	if x.submits > 0 && x.looks > 0 && x.ends > 0 {
		l.met["submission, question and cancellation under way"]++
	}
	l.mu.Unlock()

	call := l.order.Call()
	resp, err := l.reach(i, 5*time.Second, method, path, body)
	var s wire.JobStatus
	if err == nil {
		status = resp.Status
		_ = wire.Decode(resp.Body, &s)
	}
	switch {
	case word != "":
		l.order.Cancelled(x.job.ID, call, status, s.Stage)
	case method == "POST":
		l.order.Submitted(x.job.ID, call, status, s.Stage)
	default:
		l.order.Asked(x.job.ID, call, status, s.Stage)
	}
	known := status == 200 || status == 201

	l.mu.Lock()
	l.open[i]--
	*under--
	news := known && (x.stage == "" || s.Stage.Final() && !x.stage.Final())
	if news {
		x.stage, x.at, x.by = s.Stage, time.Now(), i
	}
	if known && (s.Stage.Final() || !x.stage.Final()) {
		l.check.Told(x.job.ID, status, s.Stage, x.asked)
	}
	l.mu.Unlock()

	soon := told != "" && by != i && sent.Sub(at) <= 5*time.Millisecond
	where := map[bool]string{true: "late", false: "another"}[slow]
	l.meets(fmt.Sprintf("%s is asked within 5 ms of %s", where, told), soon && known)
	l.meets("answered late and not alone", slow && others > 0 && known && sent.Before(time.Now()))
	l.meets("known in other words", known && method == "POST" && word == "" && told != "" && !bytes.Equal(body, wire.Encode(x.job)))
	l.meets("refused while not known", status == 400 || status == 422)
	l.meets("vain at a new one", !known && status != 404 && sent.Sub(back) < 200*time.Millisecond)
	l.meets("answered by a new one", known && sent.Sub(back) < 2*time.Second)
	l.meets(where+" answers", known || status == 404)
	l.meets(where+" is asked in vain", status == 0 || status >= 429)
	if news {
		l.all(x)
	}
	return status, s.Stage
}

// all has users ask all controllers within milliseconds.
func (l *looks) all(x *looked) {
	for i := range l.count {
		for _, ms := range []time.Duration{0, 1, 5} {
			l.group.Go(func() {
				time.Sleep(ms * time.Millisecond)
				l.ask(i, x, "GET", "", nil)
			})
		}
		l.group.Go(func() { l.ask(i, x, "POST", "", l.body(x.job)) })
		l.group.Go(func() {
			time.Sleep(2 * time.Millisecond)
			l.ask(i, x, "POST", "", l.body(x.job))
		})
	}
}

// until asks again and again, each time another controller, until one tells it.
func (l *looks) until(i int, x *looked, method, word string, body []byte) {
	for l.ctx.Err() == nil {
		if status, _ := l.ask(i%l.count, x, method, word, body); status == 200 || status == 201 {
			return
		}
		time.Sleep(time.Second)
		i++
	}
}

// live is a job's day: it is submitted at one controller, and, so much later, cancelled at another,
// -1 for not, while a third is asked. Once it is over all are asked until it is in the history.
func (l *looks) live(n, first int, cancel, run time.Duration) {
	nodes := make([]int, l.count)
	for i := range nodes {
		nodes[i] = (first + i) % l.count
	}
	l.liveAt(n, nodes, cancel, run)
}

// liveAt is the same at some controllers alone.
func (l *looks) liveAt(n int, nodes []int, cancel, run time.Duration) {
	j := &wire.Job{ID: fmt.Sprintf("wk-%06d", (n*7919)%1_000_000), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 1, CPUs: 1, GPUs: 1, MemoryGB: 4,
		Image: "img", ImageGB: 1, EstimateS: 1}
	x := &looked{job: j}
	l.mu.Lock()
	l.jobs[j.ID] = x
	l.mu.Unlock()
	l.check.Submitted(j, run)
	l.group.Go(func() { l.until(nodes[0], x, "POST", "", wire.Encode(j)) })
	if cancel >= 0 {
		l.group.Go(func() {
			time.Sleep(cancel)
			l.until(nodes[1], x, "POST", wire.CancelWord, []byte{})
		})
	}
	for _, ms := range []time.Duration{0, 1, 3, 10, 30, 100, 300, 1000} {
		for k, i := range nodes {
			l.group.Go(func() {
				time.Sleep(ms * time.Millisecond)
				if k == 2 {
					l.ask(i, x, "POST", "", l.body(j))
				}
				l.ask(i, x, "GET", "", nil)
			})
		}
	}
	l.group.Go(func() {
		over := time.Time{}
		for i := 0; l.ctx.Err() == nil && (over.IsZero() || time.Since(over) < 8*time.Second); i++ {
			time.Sleep(120 * time.Millisecond)
			if _, stage := l.ask(nodes[i%len(nodes)], x, "GET", "", nil); stage.Final() && over.IsZero() {
				over = time.Now()
			}
		}
	})
}

// lookCancels are how long after its submission was sent a job is cancelled.
var lookCancels = []time.Duration{0, 1, 2, 5, 10, 20, 50, 150, 400, 1000, 3000}

// play plays a day on which who hears late is first asked to accept, then to cancel, then for all else.
// In between the state service forgets its changes, and a controller ends and is back at once.
func (l *looks) play(seed uint64) {
	time.Sleep(8 * time.Second)
	l.live(999, 0, 45*time.Second, forever) // it keeps a machine there
	time.Sleep(10 * time.Second)
	n := 0
	for role := range 3 {
		leader := max(0, l.leader())
		slow := (leader + int(seed/2)%2*l.count/2) % l.count
		l.slow.Store(int64(slow))
		l.meets("who leads hears late", slow == leader)
		l.meets("another leads", slow != leader)
		for k, ms := range lookCancels {
			first := (slow + l.count - role) % l.count
			l.live(n, first, ms*time.Millisecond, time.Minute)
			if n++; k%3 == 0 {
				l.live(n, first, -1, time.Duration(200*k)*time.Millisecond)
				n++
			}
			time.Sleep(time.Duration(150+l.draw(l.rand, 300)) * time.Millisecond)
		}
		l.store.Forget()
		time.Sleep(6 * time.Second)
		l.restart((slow + role/2) % l.count) // or who hears late
	}
	l.slow.Store(-1)
	l.close(0, 5*time.Minute)
	for _, b := range l.order.Broken() {
		l.t.Error(b)
	}
}

// restart ends a controller, which is back at once and asked about all jobs before and while it reads the
// state.
func (l *looks) restart(i int) {
	const gone = 50 * time.Millisecond
	l.mu.Lock()
	l.back[i] = time.Now().Add(gone)
	l.mu.Unlock()
	l.crash(i, gone, 0)
	for range 6 {
		time.Sleep(20 * time.Millisecond)
		for _, x := range l.jobs {
			l.group.Go(func() { l.ask(i, x, "GET", "", nil) })
		}
	}
	time.Sleep(4 * time.Second)
}

// lookMet is what must have met on the days that are played by default, at least so often.
var lookMet = map[string]int{
	"late is asked within 5 ms of pending": 100, "late is asked within 5 ms of done": 20, "late is asked within 5 ms of withdrawn": 100,
	"another is asked within 5 ms of pending": 300, "another is asked within 5 ms of done": 100, "another is asked within 5 ms of withdrawn": 300,
	"submission, question and cancellation under way": 300, "known in other words": 500, "refused while not known": 20, "answered late and not alone": 300,
	"asked while batch is written": 100, "asked while recent is written": 10, "asked while gate is written": 10, "asked while history is written": 10,
	"a view was too old": 10, "vain at a new one": 100, "answered by a new one": 50, "who leads hears late": 1, "another leads": 1,
}

// TestLooks plays days of looks. AMBERDEAL_LOOKS sets how many, of which sixteen hold all there are
// of controllers, parts and what is late; AMBERDEAL_LOOK plays one.
func TestLooks(t *testing.T) {
	all, played := map[string]int{}, 0
	stallDays(t, 4, "AMBERDEAL_LOOK", func(t *testing.T, seed uint64) {
		n := 5 * seed % 16
		x := lookDay{[]int{3, 5}[n%2], []string{"off", "zone"}[n/2%2], []string{"answers", "requests", "one connection", "reads"}[n/4], 0}
		l := newLooks(t, x, seed)
		l.play(seed)
		for what, n := range l.met {
			all[what] += n
		}
		played++
		if t.Failed() {
			t.Log(x)
		}
	})
	for what, n := range lookMet {
		if played >= 4 && all[what] < n {
			t.Errorf("%s: %d times", what, all[what])
		}
	}
	for _, what := range slices.Sorted(maps.Keys(all)) {
		log(what, all[what])
	}
}

// endOffsets are how long after its last task has ended a job is cancelled.
var endOffsets = []time.Duration{-300, -20, -2, -1, 0, 1, 2, 5, 20, 100, 300, 600, 900, 1500, 2500}

// atEnd has a job be cancelled, asked about and submitted again at three controllers so long after
// its last task has ended, with no other trouble, and tells how it became.
func (l *looks) atEnd(n, first int, offset time.Duration, shape wire.Shape, tasks int) {
	const run = 4 * time.Second
	j := jobOf(fmt.Sprintf("wk-%06d", n), shape, tasks, run)
	j.CPUs, j.GPUs, j.MemoryGB = 0.5, 0.25, 1
	x := &looked{job: j}
	l.check.Submitted(j, run)
	l.group.Go(func() {
		l.until(first, x, "POST", "", wire.Encode(j))
		for l.ctx.Err() == nil && l.check.Running(j.ID) < tasks {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(run + offset)
		ended := l.check.Running(j.ID) == 0
		l.group.Go(func() { l.ask((first+1)%l.count, x, "GET", "", nil) })
		l.group.Go(func() { l.ask((first+2)%l.count, x, "POST", "", l.body(j)) })
		l.until(first, x, "POST", wire.CancelWord, []byte{})
		l.mu.Lock()
		stage := x.stage
		l.mu.Unlock()
		l.meets(fmt.Sprintf("ended %v, %s", ended, stage), true)
		for i := range 2 * l.count {
			time.Sleep(700 * time.Millisecond)
			l.ask((first+i)%l.count, x, "GET", "", nil)
		}
		l.until(first+1, x, "POST", wire.CancelWord, []byte{}) // again, also of what is done
	})
}

// TestCancelMeetsEnd: a cancellation, a question and a repeated submission come around the end of a
// job's last task, its report and the round that writes it, at each controller: the job is done or
// cancelled, once, whoever is asked.
func TestCancelMeetsEnd(t *testing.T) {
	met := map[string]int{}
	for seed, x := range []lookDay{{3, "off", "", 0}, {5, "zone", "", 0}} {
		synctest.Test(t, func(t *testing.T) {
			l := newLooks(t, x, uint64(seed))
			time.Sleep(8 * time.Second)
			l.live(999, 0, 90*time.Second, forever)
			time.Sleep(12 * time.Second)
			for n, offset := range endOffsets {
				for first := range 3 {
					l.atEnd(3*n+first, first, offset*time.Millisecond, []wire.Shape{wire.Array, wire.Gang, wire.Array}[(n+first)%3], 1+(n+first)%3)
				}
				time.Sleep(1700 * time.Millisecond)
			}
			l.close(0, 5*time.Minute)
			for _, b := range l.order.Broken() {
				t.Error(b)
			}
			for what, n := range l.met {
				met[what] += n
			}
		})
	}
	for _, what := range []string{"ended false, withdrawn", "ended true, withdrawn", "ended true, done"} {
		if met[what] < 5 {
			t.Errorf("%s: %d times", what, met[what])
		}
	}
}
