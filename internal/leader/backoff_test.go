package leader

import (
	"fmt"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

// TestBackoffIsBounded checks that the retry delay of a job that failed on many machines stays short. Otherwise the job
// would seem to be stuck while capacity is free.
func TestBackoffIsBounded(t *testing.T) {
	driver := newTraceDriver(t)
	driver.step("job wk-1 sweep team=blue tasks=1 gpus=1")
	driver.step("claim term=1")
	for i := range 9 {
		id := fmt.Sprintf("n-%d", i+1)
		driver.step("report " + id + " 1/1 term=1:")
		driver.leader.handleTaskEnd(driver.now, &fleet.Placement{Task: wire.TaskID{Job: "wk-1"}, Attempt: 1<<24 | uint64(i+1), Machine: id, State: fleet.Ended, Cause: wire.CauseError})
	}
	if wait := driver.leader.jobState("wk-1").notBefore.Sub(driver.now); wait < 10*time.Second || wait > 45*time.Second {
		t.Errorf("the next retry is in %v, want 10s to 45s", wait)
	}
}
