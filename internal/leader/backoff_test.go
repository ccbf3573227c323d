package leader

import (
	"fmt"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

// TestBackOffEnds: a job that has failed on many machines is tried again soon enough that nobody finds it
// left waiting beside room.
func TestBackOffEnds(t *testing.T) {
	b := newTraceDriver(t)
	b.step("job wk-1 sweep team=blue tasks=1 gpus=1")
	b.step("claim term=1")
	for i := range 9 {
		id := fmt.Sprintf("n-%d", i+1)
		b.step("report " + id + " 1/1 term=1:")
		b.leader.taskEnded(b.now, &fleet.Placement{Task: wire.TaskID{Job: "wk-1"}, Attempt: 1<<24 | uint64(i+1), Machine: id, State: fleet.Ended, Cause: wire.CauseError})
	}
	if wait := b.leader.jobState("wk-1").notBefore.Sub(b.now); wait < 10*time.Second || wait > 45*time.Second {
		t.Errorf("the next try is in %v", wait)
	}
}
