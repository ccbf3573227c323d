package simtest

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// TestCheckerFindsInjectedViolations injects two violations: a host that is not a controller starts
// a task of a job whose user was told that it is cancelled, and the checker is told of an accepted
// job that no controller knows while machines have free capacity. The checkers have to report both
// and nothing else.
func TestCheckerFindsInjectedViolations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 51, 0, nil)
		w.startService("wk-1", 4*time.Minute)
		w.startUser(&wire.Job{ID: "wk-2", Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 2, CPUs: 2, GPUs: 1, MemoryGB: 8, Image: "img", ImageGB: 1, EstimateS: 300},
			5*time.Minute, 20*time.Second)
		time.Sleep(40 * time.Second)
		if w.checker.Stage("wk-2") != wire.Cancelled {
			t.Fatal("wk-2 was not cancelled")
		}
		w.declareQuiet()
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		resp, err := (&transport.Client{MaxBody: 1 << 20, Dial: w.net.Host("10.5.0.1").Dial}).Call(ctx, w.cloud.AddrOfNth(0), "POST", wire.PathCommands,
			wire.Encode(wire.CommandRequest{FencingToken: w.lastFencingToken(), Incarnation: 1, Commands: []wire.Command{{Verb: wire.Launch, Task: "wk-2/1", Attempt: 99}}}))
		if err != nil || resp.Status != 200 {
			t.Fatal(resp, err)
		}
		w.checker.Submitted(&wire.Job{ID: "wk-3", Team: "blue", Shape: wire.Array, Priority: wire.Low, Tasks: 1, CPUs: 1, GPUs: 1, MemoryGB: 1}, time.Minute)
		w.checker.ObserveAnswer("wk-3", 201, wire.Pending, false)
		time.Sleep(100 * time.Second)
		w.finish(5 * time.Minute)
		broken := w.checker.Violations()
		if all := strings.Join(broken, "\n"); len(broken) != 2 || !strings.Contains(all, "launched_cancelled: wk-2/1#99 by 10.5.0.1") || !strings.Contains(all, "left_waiting: wk-3") {
			t.Errorf("reported violations:\n%s", all)
		}
		if starts, launches := w.checker.Launches.AfterCancellation(); len(starts) != 1 || len(launches) != 1 {
			t.Errorf("after the cancellation: starts %v, launches %v; want one of each", starts, launches)
		}
	})
}
