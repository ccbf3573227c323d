package leader

import (
	"bytes"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestBrokenGangIsLogged checks that the log gives the reason when the remaining tasks of a gang that has lost a task
// are stopped. These stops used not to be logged at all, so that operators could not find out why the tasks ended.
func TestBrokenGangIsLogged(t *testing.T) {
	f := newLargeFleet(t, 10, 1)
	for f.runRound() > 0 {
	}
	var logged bytes.Buffer
	f.log = slog.New(slog.NewTextHandler(&logged, nil))
	live := f.view.Snapshot().LiveJobs
	inGang := func(task wire.ReportedTask) bool { return live[task.ID.Job].Record.Job.Shape == wire.Gang }
	machine := slices.IndexFunc(f.heartbeats, func(hb *wire.Heartbeat) bool { return slices.ContainsFunc(hb.Tasks, inGang) })
	if machine < 0 {
		t.Fatal("no gang was started")
	}
	f.heartbeats[machine].Tasks = slices.DeleteFunc(f.heartbeats[machine].Tasks, inGang)
	f.heartbeatAll()
	f.now = f.now.Add(time.Second)
	f.Reconcile(f.now, f.view.Snapshot())
	if !strings.Contains(logged.String(), `reason="gang is broken"`) {
		t.Errorf("no stop of a broken gang in the log:\n%s", logged.String())
	}
}
