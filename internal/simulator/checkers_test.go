package simulator

import (
	"context"
	"maps"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// TestLaunchesAfterCancellation checks that a start whose command was sent before the answer is
// counted, that a launch first sent after it is counted too, and that the latter is a violation
// once no fault is active.
func TestLaunchesAfterCancellation(t *testing.T) {
	task := wire.TaskID{Job: "wk-1", Index: 3}
	told := time.Unix(1000, 0)
	for name, x := range map[string]struct {
		sent, again, over   time.Duration // from the answer on; over below 0: never
		late, starts, fault int
	}{
		"sent before, started after":         {-time.Second, time.Second, 0, 0, 1, 0},
		"sent after, in trouble":             {time.Second, 0, -1, 1, 1, 0},
		"sent after, in quiet":               {5 * time.Second, 0, 0, 1, 1, 1},
		"sent after, quiet since a moment":   {5 * time.Second, 0, 4 * time.Second, 1, 1, 0},
		"sent after, while nobody need know": {time.Second, 0, 0, 1, 1, 0},
	} {
		l := LaunchChecker{}
		if x.over >= 0 {
			l.SetQuietSince(told.Add(x.over))
		}
		sends := func(at time.Duration) {
			l.InspectMessage(told.Add(at), "c-0", append([]byte("POST /do HTTP/1.1\r\n\r\n"), wire.Encode(wire.CommandRequest{FencingToken: 1, Commands: []wire.Command{{Verb: wire.Launch, Task: task.String(), Attempt: 2}}})...))
		}
		if x.sent < 0 {
			sends(x.sent)
		}
		l.Cancelled(told, task.Job)
		sends(max(x.sent, x.again))
		l.TaskStarted(told.Add(10*time.Second), task)
		l.TaskStarted(told.Add(10*time.Second), wire.TaskID{Job: "wk-2"})
		starts, late := l.AfterCancellation()
		if len(late) != x.late || len(starts) != x.starts || len(l.Violations()) != x.fault {
			t.Errorf("%s: launches %v, starts %v, %v", name, late, starts, l.Violations())
		}
	}
}

// starvationJob is a job of the team red whose tasks take a quarter of a machine.
func starvationJob(shape wire.Shape, tasks int, change func(*wire.Job)) *wire.Job {
	j := &wire.Job{ID: "wk-1", Team: "red", Shape: shape, Priority: wire.Low, Tasks: tasks, CPUs: 2, GPUs: 1, MemoryGB: 8, ImageGB: 5}
	if change != nil {
		change(j)
	}
	return j
}

// freeMachine is a machine with free GPUs.
func freeMachine(id, zone string, gpus float64) MachineState {
	return MachineState{Machine: id, Type: "g4", Zone: zone, FreeCPUs: 16, FreeGPUs: gpus, FreeMemoryGB: 64, CacheGB: 20}
}

// starvationCase is a job that waits beside free machines, or does not.
type starvationCase struct {
	job    *wire.Job
	places []MachineState
	on     map[int]string
	used   float64 // of the team's 6 GPUs
	gone   bool    // for a moment there is no room
	turns  int     // for how many samples each machine has room in turn, with those before it
	want   string  // none, idle or partly
}

// starvationCases are cases by name.
func starvationCases() map[string]starvationCase {
	two := []MachineState{freeMachine("n-1", "a", 1), freeMachine("n-2", "b", 2)}
	spot := freeMachine("n-3", "a", 4)
	spot.Spot = true
	return map[string]starvationCase{
		"an array":                         {job: starvationJob(wire.Array, 9, nil), places: two, want: "idle"},
		"a machine is away for a moment":   {job: starvationJob(wire.Array, 9, nil), places: two, gone: true},
		"machines take turns":              {job: starvationJob(wire.Array, 9, nil), places: two, turns: 12, want: "idle"},
		"they do so fast":                  {job: starvationJob(wire.Array, 9, nil), places: two, turns: 3},
		"full":                             {job: starvationJob(wire.Array, 9, nil), places: []MachineState{freeMachine("n-1", "a", 0.5)}},
		"another zone":                     {job: starvationJob(wire.Array, 1, func(j *wire.Job) { j.Zone = "b" }), places: two[:1]},
		"its zone":                         {job: starvationJob(wire.Array, 1, func(j *wire.Job) { j.Zone = "b" }), places: two, want: "idle"},
		"another type":                     {job: starvationJob(wire.Array, 1, func(j *wire.Job) { j.Types = []string{"g8"} }), places: two},
		"a spot machine":                   {job: starvationJob(wire.Array, 1, nil), places: []MachineState{spot}},
		"a spot machine that is allowed":   {job: starvationJob(wire.Array, 1, func(j *wire.Job) { j.Spot = true }), places: []MachineState{spot}, want: "idle"},
		"an image that is too large":       {job: starvationJob(wire.Array, 1, func(j *wire.Job) { j.ImageGB = 30 }), places: two},
		"its team is at its limit":         {job: starvationJob(wire.Array, 9, nil), places: two, used: 5.5},
		"a gang":                           {job: starvationJob(wire.Gang, 3, nil), places: two, want: "idle"},
		"a gang that is too large":         {job: starvationJob(wire.Gang, 4, nil), places: two},
		"a gang over the limit":            {job: starvationJob(wire.Gang, 3, nil), places: two, used: 4},
		"a gang in one zone":               {job: starvationJob(wire.Gang, 2, func(j *wire.Job) { j.OneZone = true }), places: two, want: "idle"},
		"one that fits no zone":            {job: starvationJob(wire.Gang, 3, func(j *wire.Job) { j.OneZone = true }), places: two},
		"a gang that is spread":            {job: starvationJob(wire.Gang, 2, func(j *wire.Job) { j.Spread = true }), places: two, want: "idle"},
		"one that would be in one zone":    {job: starvationJob(wire.Gang, 2, func(j *wire.Job) { j.Spread = true }), places: two[1:]},
		"replicas that are missing":        {job: starvationJob(wire.Service, 4, nil), places: two, on: map[int]string{1: "a"}, want: "partly"},
		"the zone of the others is full":   {job: starvationJob(wire.Array, 4, func(j *wire.Job) { j.OneZone = true }), places: two[1:], on: map[int]string{1: "a"}},
		"half of them are there already":   {job: starvationJob(wire.Array, 4, func(j *wire.Job) { j.Spread = true }), places: two[:1], on: map[int]string{1: "a", 2: "a"}},
		"all are somewhere":                {job: starvationJob(wire.Array, 2, nil), places: two, on: map[int]string{0: "a", 1: "b"}},
		"a gang of which a task is on yet": {job: starvationJob(wire.Gang, 2, nil), places: two, on: map[int]string{0: "a"}},
	}
}

// TestStarvation checks that a job is reported for which the same machines have had capacity for
// 90 s without faults, and none for which a rule, a limit or a sample without capacity is in the
// way.
func TestStarvation(t *testing.T) {
	for name, x := range starvationCases() {
		r := StarvationChecker{Limits: map[string]TeamLimit{"red": {GPUs: 6}}}
		begun := time.Unix(1000, 0)
		r.SetQuietSince(begun.Add(30 * time.Second))
		for at := time.Duration(0); at <= 123*time.Second; at += 3 * time.Second {
			places := x.places
			if n := int(at / (3 * time.Second)); x.turns > 0 && n%x.turns > 6 || x.turns > 0 && x.turns < 6 {
				places = places[n/x.turns%2:][:1] // else both have it
			}
			if x.gone && at == time.Minute {
				places = places[:0]
			}
			if at == 117*time.Second && len(r.Violations())+len(r.PartiallyStarved()) > 0 {
				t.Errorf("%s: too soon", name)
			}
			r.Sample(begun.Add(at), places, []PendingJob{{Job: x.job, Placed: maps.Clone(x.on), Finished: func(int) bool { return false }}}, map[string]TeamLimit{"red": {GPUs: x.used}})
		}
		got := map[[2]int]string{{1, 0}: "idle", {0, 1}: "partly", {0, 0}: ""}[[2]int{len(r.Violations()), len(r.PartiallyStarved())}]
		if got != x.want {
			t.Errorf("%s: %v %v, not %q", name, r.Violations(), r.PartiallyStarved(), x.want)
		}
	}
}

// TestSubmissionRules judges submissions by the protocol's table: each field that is missing or
// wrong, and what can never run.
func TestSubmissionRules(t *testing.T) {
	s, good := submissionRules(), validSubmission()
	check := func(name string, want int, changes map[string]any) {
		m := maps.Clone(good)
		for k, v := range changes {
			if m[k] = v; v == "absent" {
				delete(m, k)
			}
		}
		if got, why := s.Verdict(wire.Encode(m)); got != want {
			t.Errorf("%s: %d (%s), not %d", name, got, why, want)
		}
	}
	check("as it should be", 0, nil)
	for _, f := range fieldsOfJobs {
		check("no "+f.name, map[bool]int{true: 0, false: 400}[f.null], map[string]any{f.name: "absent"})
		check("null as "+f.name, map[bool]int{true: 0, false: 400}[f.null], map[string]any{f.name: nil})
		check("a map as "+f.name, 400, map[string]any{f.name: map[string]any{}})
	}
	for name, x := range map[string]struct {
		want    int
		changes map[string]any
	}{
		"an id of another form":         {400, map[string]any{"uid": "job-1"}},
		"no tasks":                      {400, map[string]any{"cells": 0}},
		"half a task":                   {400, map[string]any{"cells": 1.5}},
		"less than nothing":             {400, map[string]any{"mem_gb": -1.0}},
		"another shape":                 {400, map[string]any{"shape": "ring"}},
		"another rank":                  {400, map[string]any{"rank": "urgent"}},
		"a word for a flag":             {400, map[string]any{"spread": "yes"}},
		"nobody's team":                 {422, map[string]any{"keeper": "green"}},
		"a task that is too large":      {422, map[string]any{"accelerators": 9.0}},
		"too large for what is allowed": {422, map[string]any{"frames": []string{"c4"}}},
		"too large for the zone":        {422, map[string]any{"apiary": "b", "frames": nil}},
		"a zone that is nowhere":        {422, map[string]any{"apiary": "z"}},
		"a gang over the limit":         {422, map[string]any{"cells": 21}},
		"an array of as many":           {0, map[string]any{"cells": 21, "shape": "sweep"}},
		"a team without a limit":        {0, map[string]any{"cells": 21, "keeper": "blue"}},
	} {
		check(name, x.want, x.changes)
	}
	if got, _ := s.Verdict([]byte{0x01}); got != 400 {
		t.Errorf("not a map: %d", got)
	}
	checkSubmissionAnswers(t, s, good)
}

// submissionRules are those of a site with two machine types and two teams.
func submissionRules() SubmissionRules {
	return SubmissionRules{Types: []wire.MachineType{{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, Zones: []string{"a"}}, {Name: "c4", CPUs: 4, MemoryGB: 16, Zones: []string{"b"}}},
		Teams: map[string]TeamLimit{"red": {GPUs: 20}, "blue": {}}}
}

// validSubmission is a submission that the rules accept.
func validSubmission() map[string]any {
	return map[string]any{"uid": "wk-000412", "breed": "train", "keeper": "red", "shape": "gang", "rank": "high", "cells": 16, "vcpus": 8, "accelerators": 1.0, "mem_gb": 64.0,
		"comb": "img-07", "image_gb": 6.2, "frames": []string{"g8"}, "apiary": nil, "one_zone": true, "spread": false, "borrowed": true, "expect_s": 240.0, "capping_s": 30.0, "seal_s": 4.0, "due_s": nil}
}

// checkSubmissionAnswers checks which answers to submissions a checker takes as violations.
func checkSubmissionAnswers(t *testing.T, s SubmissionRules, good map[string]any) {
	t.Helper()
	c := NewChecker(time.Minute, nil)
	c.Submissions = s
	odd := func(id string, change string) []byte {
		m := maps.Clone(good)
		m["uid"] = id
		delete(m, change)
		return wire.Encode(m)
	}
	c.ObserveSubmission(odd("wk-1", "breed"), 400)
	c.ObserveSubmission(odd("wk-2", ""), 201)
	c.ObserveSubmission(odd("wk-2", "breed"), 200) // it is known
	if b := c.Violations(); len(b) > 0 {
		t.Errorf("%v", b)
	}
	c.ObserveSubmission(odd("wk-3", "breed"), 201)
	c.ObserveSubmission(odd("wk-4", ""), 422)
	if b := strings.Join(c.Violations(), "; "); b != "accepted_wrong: wk-3 is answered 201: breed is missing; refused_valid: wk-4 is answered 422" {
		t.Error(b)
	}
}

// TestPauseDelaysTasks checks that the tasks of a paused machine make no progress and continue
// afterwards, that commands received meanwhile are executed then, that the other members of its
// gang exit and itself when it notices, and that a cancelled task which continues is reported.
func TestPauseDelaysTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPauseBench(t)
		begun := time.Now()
		at := func(s float64, want map[string]int) {
			t.Helper()
			time.Sleep(time.Until(begun.Add(wire.Seconds(s))))
			for id, n := range want {
				if got := p.check.Running(id); got != n {
					t.Errorf("after %v s %d tasks of %s are on machines, not %d", s, got, id, n)
				}
			}
		}
		at(2, map[string]int{"wk-1": 1, "wk-2": 1, "wk-4": 2, "wk-5": 0})
		p.check.ObserveAnswer("wk-1", 200, wire.Cancelled, true)
		p.check.ObserveAnswer("wk-2", 200, wire.Cancelled, true)
		p.paused.Pause(14 * time.Second)
		if _, ok := p.paused.State(); ok {
			t.Error("a machine that hangs is said to have room")
		}
		p.send(p.paused, wire.Stop, "wk-2/0") // nobody waits for the answer any more when it is done
		at(4.9, map[string]int{"wk-4": 2})
		at(5.1, map[string]int{"wk-4": 1, "wk-5": 0})
		at(15.9, map[string]int{"wk-1": 1, "wk-2": 1, "wk-3": 1, "wk-4": 1, "wk-5": 0})
		at(16.1, map[string]int{"wk-1": 1, "wk-2": 0, "wk-3": 1, "wk-4": 0, "wk-5": 0})
		at(17.9, map[string]int{"wk-5": 0})
		at(18.1, map[string]int{"wk-5": 1})
		at(23.9, map[string]int{"wk-1": 1, "wk-3": 1})
		at(24.1, map[string]int{"wk-1": 1, "wk-3": 0})
		if b := strings.Join(p.check.Violations(), "\n"); !strings.Contains(b, "ran_cancelled: wk-1/0") || !strings.Contains(b, "ran_cancelled: wk-2/0") {
			t.Errorf("not seen: %q", b)
		}
		p.paused.Kill()
		p.other.Kill()
		p.stop()
		p.net.Close()
		time.Sleep(time.Minute)
	})
}

// pauseBench is two machines with tasks of every kind, of which one is to be paused.
type pauseBench struct {
	ctx           context.Context
	stop          context.CancelFunc
	net           *Network
	check         *Checker
	paused, other *Worker
}

func newPauseBench(t *testing.T) *pauseBench {
	p := &pauseBench{net: NewNetwork(), check: NewChecker(8*time.Second, nil)}
	p.ctx, p.stop = context.WithCancel(t.Context())
	a := &recordingController{got: map[string][]wire.Heartbeat{}}
	go p.net.Host("10.0.0.1").Listen(p.ctx, "10.0.0.1:8080", 0, a.serve("c-0"))
	runtime := NewTaskRuntime(p.check, time.Minute, 3*time.Second)
	machine := func(ip string) *Worker {
		return NewWorker(WorkerConfig{ID: ip, Addr: Address(ip, 9000), Type: "g4", Zone: "a", Net: p.net.Host(ip), TakeDown: func() {}, Spec: wire.MachineType{CPUs: 9, GPUs: 9, MemoryGB: 9, FetchGBps: 1},
			Runtime: runtime, Controllers: map[string]string{"c-0": "10.0.0.1:8080"}, Lease: 30 * time.Second, HeartbeatInterval: 2 * time.Second})
	}
	time.Sleep(time.Second)
	p.paused, p.other = machine("10.1.0.1"), machine("10.1.0.2")
	time.Sleep(time.Second)
	for id, j := range map[string]wire.Job{"wk-1": {Shape: wire.Array}, "wk-2": {Shape: wire.Array}, "wk-3": {Shape: wire.Array}, "wk-4": {Shape: wire.Gang, Tasks: 2}, "wk-5": {Shape: wire.Array, ImageGB: 4}} {
		j.ID, j.Tasks, j.CPUs, j.Image = id, max(j.Tasks, 1), 1, id
		p.check.Submitted(&j, map[string]time.Duration{"wk-1": 10 * time.Second}[id]+10*time.Second)
		p.check.ObserveAnswer(id, 201, wire.Pending, false)
	}
	p.send(p.other, wire.Launch, "wk-4/1")
	p.send(p.paused, wire.Launch, "wk-1/0", "wk-2/0", "wk-3/0", "wk-4/0", "wk-5/0")
	return p
}

// send sends commands for tasks to a machine.
func (p *pauseBench) send(w *Worker, verb wire.Verb, tasks ...string) {
	var d wire.CommandRequest
	for _, id := range tasks {
		d.Commands = append(d.Commands, wire.Command{Verb: verb, Task: id, Attempt: 1})
	}
	d.FencingToken, d.Incarnation = 1, 1
	call, cancel := context.WithTimeout(p.ctx, time.Second)
	defer cancel()
	_, _ = (&transport.Caller{MaxBody: 1 << 20, Dial: p.net.Host("10.0.0.1").Dial}).Call(call, w.addr, "POST", wire.PathCommands, wire.Encode(d))
}

// TestOverlappingAnswers checks that of overlapping answers either may be the older one, in
// whatever order they arrive, and that one whose request left after an end was reported has to
// report it.
func TestOverlappingAnswers(t *testing.T) {
	type told struct {
		stage      wire.Stage
		sent, back int64
	}
	for name, x := range map[string]struct {
		told   []told
		broken bool
	}{
		"in flight over the end":             {[]told{{wire.Cancelled, 5, 6}, {wire.Running, 4, 9}}, false},
		"asked after it":                     {[]told{{wire.Cancelled, 5, 6}, {wire.Running, 7, 9}}, true},
		"asked after it, told before it":     {[]told{{wire.Running, 7, 8}, {wire.Cancelled, 5, 6}}, true},
		"asked before, told before, overlap": {[]told{{wire.Running, 4, 9}, {wire.Cancelled, 5, 6}}, false},
		"two ends":                           {[]told{{wire.Cancelled, 5, 9}, {wire.Done, 5, 9}}, true},
	} {
		c := NewChecker(time.Minute, nil)
		c.Submitted(&wire.Job{ID: "wk-1", Shape: wire.Array}, time.Second)
		tell := func(x told) {
			c.ObserveAnswerAt("wk-1", 200, x.stage, true, time.Unix(0, x.sent), time.Unix(0, x.back))
		}
		tell(told{wire.Pending, 1, 2})
		for _, a := range x.told {
			tell(a)
		}
		if got := strings.Join(c.Violations(), "; "); strings.Contains(got, "went_back") != x.broken {
			t.Errorf("%s: %q", name, got)
		}
	}
}
