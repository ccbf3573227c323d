package fleet

import (
	"slices"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestDuplicateCalls: an attempt that was launched by a direct call and did not complete stays on its
// machine's list, since a late copy of the call would start it again after a clear, beside the task's
// next attempt. What is done, or was launched by a response, is cleared at once.
func TestDuplicateCalls(t *testing.T) {
	now := time.Unix(1e9, 0)
	f := New(1, now, time.Minute, 0, 0)
	m := f.EnsureMachine(now, "n-1", "g4", "a", false)
	seq := uint64(0)
	heartbeat := func(tasks ...wire.ReportedTask) []wire.Command {
		seq++
		r := &wire.Heartbeat{Machine: "n-1", Type: "g4", Zone: "a", Incarnation: 1, Seq: seq, FencingToken: 1, Tasks: tasks}
		for _, e := range f.ApplyHeartbeat(now, r, true) {
			e.Placement.EndHandled = e.Placement.State == Ended
		}
		return f.HeartbeatCommands(now, r, false)
	}
	heartbeat()
	var ended []wire.ReportedTask
	for i, cause := range []wire.Cause{wire.CauseStopped, wire.CauseDone} {
		p := f.Place(now, m, wire.TaskID{Job: "wk-1", Index: i}, 7)
		p.Committed = true
		_, launched := f.DirectCommands(m, true)
		f.CallFinished(launched, Executed)
		ended = append(ended, wire.ReportedTask{ID: p.Task, Attempt: 7, State: wire.TaskEnded, Cause: cause})
	}
	if cmds := heartbeat(ended...); len(cmds) != 1 || cmds[0].Task != "wk-1/1" {
		t.Errorf("commands %+v, want a clear of what is done", cmds)
	}
	now = now.Add(duplicateCallWindow)
	if cmds := heartbeat(ended[:1]...); len(cmds) != 1 || cmds[0].Verb != wire.Clear {
		t.Errorf("commands %+v, want a clear", cmds)
	}
	ended = nil
	for i := range maxTombstones + 3 {
		p := f.Place(now, m, wire.TaskID{Job: "wk-2", Index: i}, 8)
		p.Committed = true
		ended = append(ended, wire.ReportedTask{ID: p.Task, Attempt: 8, State: wire.TaskEnded, Cause: wire.CauseStopped})
	}
	f.DirectCommands(m, true)
	for _, p := range m.Placements() {
		p.callPending = false
	}
	if cmds := heartbeat(ended...); len(cmds) != 3 {
		t.Errorf("%d commands, want clears of what is too much for its heartbeats", len(cmds))
	}
}

// TestImageCache: a machine keeps the most recently used images that fit its cache: counting on one
// that has been evicted would make a task wait for its fetch.
func TestPossibleAttempts(t *testing.T) {
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
