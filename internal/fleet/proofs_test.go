package fleet

import (
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestProofsOfAbsence checks that an attempt that was sent to a machine counts as present until one of
// the proofs of absence in the package comment applies.
func TestProofsOfAbsence(t *testing.T) {
	const lease = 30 * time.Second
	start := time.Unix(1e9, 0)
	task := wire.TaskID{Job: "wk-1"}
	heartbeat := func(incarnation, seq, token uint64, tasks ...wire.ReportedTask) *wire.Heartbeat {
		return &wire.Heartbeat{Machine: "n-1", Type: "g4", Zone: "a", Incarnation: incarnation, Seq: seq, FencingToken: token, Tasks: tasks}
	}
	for _, c := range []struct {
		name  string
		seen  bool // the machine was seen at the token and the attempt was launched by a response
		apply func(f *Fleet)
		gone  bool
	}{
		{"nothing", true, func(f *Fleet) {}, false},
		{"1: a newer heartbeat without it", true, func(f *Fleet) {
			f.ApplyHeartbeat(start, heartbeat(1, 2, 5, wire.ReportedTask{ID: task, Attempt: 7, State: wire.TaskRunning}), true)
			f.ApplyHeartbeat(start, heartbeat(1, 3, 5), true)
		}, true},
		{"a heartbeat at an older token", true, func(f *Fleet) { f.ApplyHeartbeat(start, heartbeat(1, 2, 4), true) }, false},
		{"an older heartbeat", true, func(f *Fleet) { f.ApplyHeartbeat(start, heartbeat(1, 1, 5), true) }, false},
		{"2: a later incarnation", true, func(f *Fleet) { f.ApplyHeartbeat(start, heartbeat(2, 1, 5), true) }, true},
		{"3: the lease ran out", true, func(f *Fleet) { f.ExpireLeases(start.Add(lease + 2*proofMargin)) }, true},
		{"the lease may not have run out", true, func(f *Fleet) { f.ExpireLeases(start.Add(lease)) }, false},
		{"4: the cloud no longer has it", true, func(f *Fleet) { f.RemoveMachine("n-1") }, true},
		{"5: earlier leaders have stopped responding, and the lease ran out", false, func(f *Fleet) { f.ExpireLeases(start.Add(time.Minute + lease + 2*proofMargin)) }, true},
		{"an earlier leader may still respond", false, func(f *Fleet) { f.ExpireLeases(start.Add(lease + 2*proofMargin)) }, false},
	} {
		f := New(5, start, lease, time.Minute, 0)
		if c.seen {
			f.ApplyHeartbeat(start, heartbeat(1, 1, 5), true)
			p := f.Place(start, f.Machine("n-1"), task, 7)
			p.Committed = true
			if cmds := f.HeartbeatCommands(start, heartbeat(1, 1, 5), true); len(cmds) != 1 || cmds[0].Verb != wire.Launch {
				t.Fatalf("%s: commands %+v", c.name, cmds)
			}
		} else {
			f.RestoreMachine(start, "n-1", "addr", "g4", "a", false, 1, map[string]uint64{task.String(): 7})
		}
		c.apply(f)
		if gone := f.ActivePlacement(task) == nil; gone != c.gone {
			t.Errorf("%s: gone: %v", c.name, gone)
		}
	}
}

// TestCloudList checks that a list proves a missing machine gone only once every up-to-date list must
// contain it, and that an older list does not add a removed machine again.
func TestCloudList(t *testing.T) {
	start := time.Unix(1e9, 0)
	f := New(1, start, time.Minute, 0, time.Second)
	list := []wire.ListedMachine{{ID: "n-1", Stage: wire.MachineRunning}, {ID: "n-2", Stage: wire.MachineFailed}}
	if gone := f.ApplyCloudList(start, start, list); len(gone) != 1 || gone[0] != "n-2" {
		t.Errorf("gone: %v", gone)
	}
	if gone := f.ApplyCloudList(start.Add(4*time.Second), start, nil); len(gone) != 0 {
		t.Errorf("gone too early: %v", gone)
	}
	if gone := f.ApplyCloudList(start.Add(5*time.Second), start, nil); len(gone) != 1 || gone[0] != "n-1" {
		t.Errorf("gone: %v", gone)
	}
	f.RemoveMachine("n-1")
	f.ApplyCloudList(start, start, list)
	if f.Machine("n-1") != nil {
		t.Error("an old list has added a removed machine again")
	}
}
