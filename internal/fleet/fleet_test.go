package fleet

import (
	"slices"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// duplicateCallFixture is the fleet of a leader with one machine, whose worker sends heartbeats.
type duplicateCallFixture struct {
	*Fleet
	machine *Machine
	now     time.Time
	seq     uint64
}

func newDuplicateCallFixture() *duplicateCallFixture {
	now := time.Unix(1e9, 0)
	f := &duplicateCallFixture{Fleet: New(1, now, time.Minute, 0, 0), now: now}
	f.machine = f.EnsureMachine(now, "n-1", "g4", "a", false)
	f.heartbeat(false)
	return f
}

// heartbeat applies a heartbeat that lists the given tasks, marks the ends of these as handled and
// returns the commands of the response.
func (f *duplicateCallFixture) heartbeat(launch bool, tasks ...wire.ReportedTask) []wire.Command {
	f.seq++
	hb := &wire.Heartbeat{Machine: "n-1", Type: "g4", Zone: "a", Incarnation: 1, Seq: f.seq, FencingToken: 1, Tasks: tasks}
	for _, e := range f.ApplyHeartbeat(f.now, hb, true) {
		e.Placement.EndHandled = e.Placement.State == Ended
	}
	return f.HeartbeatCommands(f.now, hb, launch)
}

// place plans a committed attempt and returns it as the worker will list it once it has ended.
func (f *duplicateCallFixture) place(job string, index int, cause wire.Cause) wire.ReportedTask {
	p := f.Place(f.now, f.machine, wire.TaskID{Job: job, Index: index}, 7)
	p.Committed = true
	return wire.ReportedTask{ID: p.Task, Attempt: 7, State: wire.TaskEnded, Cause: cause}
}

// call sends the planned launches by a direct call that is answered and returns how many it carried.
func (f *duplicateCallFixture) call() int {
	_, launched := f.DirectCommands(f.machine, true)
	f.CallFinished(launched, Executed)
	return len(launched)
}

// countVerb counts the commands with a verb.
func countVerb(commands []wire.Command, verb wire.Verb) (n int) {
	for _, c := range commands {
		if c.Verb == verb {
			n++
		}
	}
	return n
}

// TestDuplicateCalls checks that an attempt that was launched by a direct call stays on its machine's
// list for duplicateCallWindow after its end, even if its task is done: a late duplicate of the call
// would start a cleared attempt again. An attempt that was launched by a response is cleared at once.
func TestDuplicateCalls(t *testing.T) {
	f := newDuplicateCallFixture()
	ended := []wire.ReportedTask{f.place("wk-1", 0, wire.CauseStopped), f.place("wk-1", 1, wire.CauseDone)}
	f.call()
	if cmds := f.heartbeat(false, ended...); len(cmds) != 0 {
		t.Errorf("commands %+v, want none", cmds)
	}
	f.now = f.now.Add(duplicateCallWindow - time.Second)
	if cmds := f.heartbeat(false, ended...); len(cmds) != 0 {
		t.Errorf("commands %+v at the end of the window, want none", cmds)
	}
	f.now = f.now.Add(time.Second)
	if cmds := f.heartbeat(false, ended...); len(cmds) != 2 || countVerb(cmds, wire.Clear) != 2 {
		t.Errorf("commands %+v, want two clears", cmds)
	}
	byResponse := f.place("wk-2", 0, wire.CauseDone)
	if cmds := f.heartbeat(true); countVerb(cmds, wire.Launch) != 1 {
		t.Fatalf("commands %+v, want a launch", cmds)
	}
	if cmds := f.heartbeat(false, byResponse); len(cmds) != 1 || cmds[0].Verb != wire.Clear {
		t.Errorf("commands %+v, want a clear of the attempt that a response launched", cmds)
	}
}

// TestTombstonesAreBounded checks that a machine's list holds at most maxTombstones attempts that were
// launched by direct calls, and that none of them is cleared early. Further launches are sent in the
// responses to heartbeats. An attempt whose call is unanswered counts towards the limit as long as the
// incarnation lasts.
func TestTombstonesAreBounded(t *testing.T) {
	f := newDuplicateCallFixture()
	var ended []wire.ReportedTask
	for i := range maxTombstones + 3 {
		ended = append(ended, f.place("wk-1", i, wire.CauseDone))
	}
	_, unanswered := f.DirectCommands(f.machine, true)
	if len(unanswered) != maxTombstones {
		t.Errorf("%d launches by a call, want %d", len(unanswered), maxTombstones)
	}
	f.CallFinished(unanswered[1:], Executed)
	if cmds := f.heartbeat(true, ended[:maxTombstones]...); len(cmds) != 3 || countVerb(cmds, wire.Launch) != 3 {
		t.Errorf("commands %+v, want a launch of each remaining attempt", cmds)
	}
	if cmds := f.heartbeat(true, ended...); len(cmds) != 3 || countVerb(cmds, wire.Clear) != 3 {
		t.Errorf("commands %+v, want a clear of each attempt that a response launched", cmds)
	}
	ended = ended[:maxTombstones]
	f.place("wk-2", 0, wire.CauseDone)
	if n := f.call(); n != 0 {
		t.Errorf("%d launches by a call on a full list", n)
	}
	f.now = f.now.Add(duplicateCallWindow)
	if cmds := f.heartbeat(false, ended...); countVerb(cmds, wire.Clear) != maxTombstones-1 {
		t.Errorf("%d clears after the window, want all but the one whose call was not answered", countVerb(cmds, wire.Clear))
	}
	f.heartbeat(false, ended[:1]...)
	if n := f.call(); n != 1 {
		t.Errorf("%d launches by a call when the list has room, want 1", n)
	}
}

// TestUnlaunchedAttempts checks that an attempt that a machine lists without a launch, or that is active
// again after its end, is marked as unlaunched and kept like one that was launched by a direct call.
func TestUnlaunchedAttempts(t *testing.T) {
	f := newDuplicateCallFixture()
	apply := func(task wire.ReportedTask) Event {
		t.Helper()
		f.seq++
		hb := &wire.Heartbeat{Machine: "n-1", Type: "g4", Zone: "a", Incarnation: 1, Seq: f.seq, FencingToken: 1, Tasks: []wire.ReportedTask{task}}
		events := f.ApplyHeartbeat(f.now, hb, true)
		if len(events) != 1 {
			t.Fatalf("events %+v, want one", events)
		}
		return events[0]
	}
	task := f.place("wk-1", 0, wire.CauseDone)
	f.call()
	if e := apply(task); e.Unlaunched {
		t.Error("an attempt that a call launched counts as not launched")
	}
	task.State = wire.TaskFetching
	if e := apply(task); !e.Unlaunched {
		t.Error("an attempt that is active again after its end counts as launched")
	}
	unlaunched := wire.ReportedTask{ID: wire.TaskID{Job: "wk-2"}, Attempt: 3, State: wire.TaskEnded, Cause: wire.CauseNoCapacity}
	f.heartbeat(false)
	e := apply(unlaunched)
	if !e.Unlaunched {
		t.Error("an attempt without a launch counts as launched")
	}
	e.Placement.EndHandled = true
	if cmds := f.heartbeat(false, unlaunched); len(cmds) != 0 {
		t.Errorf("commands %+v, want none: more duplicates may arrive", cmds)
	}
}

// TestImageCache checks that a machine is expected to hold the most recently used images that fit in its
// cache. A task that is placed for an image that has been evicted would wait until it is fetched.
func TestImageCache(t *testing.T) {
	now := time.Unix(1e9, 0)
	m := New(1, now, time.Minute, 0, 0).EnsureMachine(now, "n-1", "g4", "a", false)
	check := func(want ...string) {
		t.Helper()
		for _, image := range []string{"old", "mid", "new"} {
			if m.HasImage(image) != slices.Contains(want, image) {
				t.Errorf("%s: %v, of %v", image, m.HasImage(image), want)
			}
		}
	}
	m.UseImage(now, "old", 20, 50, true)
	m.UseImage(now.Add(time.Second), "mid", 20, 50, true)
	check("old", "mid")
	m.UseImage(now.Add(2*time.Second), "old", 20, 50, true)
	m.UseImage(now.Add(3*time.Second), "new", 20, 50, true)
	check("old", "new")
}

// TestWithdrawnTerminationNotice guards against a machine that gets no work for as long as the leader leads, because the cloud
// had once announced to take it.
func TestWithdrawnTerminationNotice(t *testing.T) {
	f := newDuplicateCallFixture()
	notice := 30.0
	hb := &wire.Heartbeat{Machine: "n-1", Type: "g4", Zone: "a", Incarnation: 1, Seq: 100, FencingToken: 1, TerminationNoticeS: &notice}
	f.ApplyHeartbeat(f.now, hb, true)
	if at := f.Machine("n-1").TerminationTime; !at.Equal(f.now.Add(30 * time.Second)) {
		t.Errorf("the machine is to be taken at %v", at)
	}
	withdrawn := *hb
	withdrawn.Seq, withdrawn.TerminationNoticeS = 101, nil
	f.ApplyHeartbeat(f.now, &withdrawn, true)
	if m := f.Machine("n-1"); !m.TerminationTime.IsZero() || !m.launchable() {
		t.Errorf("the machine is to be taken at %v after its notice was withdrawn", m.TerminationTime)
	}
}
