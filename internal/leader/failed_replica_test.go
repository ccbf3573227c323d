package leader

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

// refuseScaleOuts has the cloud refuse all pending scale-out requests.
func (driver *traceDriver) refuseScaleOuts() {
	driver.step("send")
	for _, request := range driver.leader.scaler.Pending() {
		driver.step("rented " + request.Name)
	}
}

// TestFailedTaskReturnsToOnlyMachine guards against a replica that is never started again, because it has failed once on the
// only machine that has room for it, and an array that loses that machine for good in the same way.
func TestFailedTaskReturnsToOnlyMachine(t *testing.T) {
	for _, shape := range []string{"service", "sweep"} {
		t.Run(shape, func(t *testing.T) {
			driver := newTraceDriver(t)
			driver.step("job wk-1 " + shape + " team=blue tasks=2")
			driver.step("claim term=2")
			driver.step("report n-1 1/1 term=2: wk-1/0#1.1 running,wk-1/1#1.2 running")
			driver.step("round")
			driver.step("report n-1 1/2 term=2: wk-1/0#1.1 running,wk-1/1#1.2 ended error")
			failedAt := driver.now
			for i := 3; ; i++ {
				launched := strings.Contains(strings.Join(driver.step("round"), "\n"), "launch wk-1/1")
				driver.refuseScaleOuts()
				waited := driver.now.Sub(failedAt)
				if launched && waited < failureDelay {
					t.Fatalf("the task is launched again on its machine after %v", waited)
				}
				if launched {
					return
				}
				if waited >= starvationBound {
					t.Fatalf("the task is on no machine for %v, though its machine has room", waited)
				}
				driver.now = driver.now.Add(time.Second)
				driver.step(fmt.Sprintf("report n-1 1/%d term=2: wk-1/0#1.1 running", i))
			}
		})
	}
}

// TestOldFailuresAreForgotten guards against a job that is delayed, and returns to faulty machines at once, for as long as the
// leader leads, because it has failed on three machines at some time.
func TestOldFailuresAreForgotten(t *testing.T) {
	driver := newTraceDriver(t)
	driver.step("job wk-1 service team=blue tasks=2")
	driver.step("claim term=1")
	driver.step("round")
	fail := func(machine string) {
		driver.step("report " + machine + " 1/1 term=1:")
		driver.leader.handleTaskEnd(driver.now, &fleet.Placement{Task: wire.TaskID{Job: "wk-1"}, Machine: machine, State: fleet.Ended, Cause: wire.CauseError})
	}
	fail("n-1")
	fail("n-2")
	driver.now = driver.now.Add(failureRetention)
	fail("n-3")
	if j := driver.leader.jobState("wk-1"); j.notBefore.After(driver.now) {
		t.Errorf("the job is delayed by %v for failures that are %v old", j.notBefore.Sub(driver.now), failureRetention)
	}
}
