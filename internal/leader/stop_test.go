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

// TestBrokenGangIsLogged: what is left of a gang that has lost a task is stopped, and the log says why. What
// happened before: the tasks stopped without a line, and whoever looked for their end found none.
func TestBrokenGangIsLogged(t *testing.T) {
	f := newLargeFleet(t, 10, 1)
	for f.runRound() > 0 {
	}
	var text bytes.Buffer
	f.log = slog.New(slog.NewTextHandler(&text, nil))
	live := f.view.Snapshot().LiveJobs
	inGang := func(task wire.ReportedTask) bool { return live[task.ID.Job].Record.Job.Shape == wire.Gang }
	lost := slices.IndexFunc(f.heartbeats, func(hb *wire.Heartbeat) bool { return slices.ContainsFunc(hb.Tasks, inGang) })
	if lost < 0 {
		t.Fatal("no gang was started")
	}
	f.heartbeats[lost].Tasks = slices.DeleteFunc(f.heartbeats[lost].Tasks, inGang)
	f.heartbeatAll()
	f.now = f.now.Add(time.Second)
	f.Reconcile(f.now, f.view.Snapshot())
	if !strings.Contains(text.String(), `reason="gang is broken"`) {
		t.Errorf("no stop of a broken gang in the log:\n%s", text.String())
	}
}
