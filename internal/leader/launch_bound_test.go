package leader

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

// lateCallWindow is how long an unanswered call may be executed after the attempt that it launched has ended.
const lateCallWindow = 20 * time.Minute

// newTinyTasksTest returns a driver whose machines have room for more tiny tasks than the record of a machine may name.
func newTinyTasksTest(t *testing.T) *traceDriver {
	driver := newTraceDriver(t)
	driver.cfg.Store = config.Store{TxnOps: 20, ValueBytes: 8192}
	driver.step("claim term=2")
	driver.leader.types = []wire.MachineType{{Name: "g4", CPUs: 200, GPUs: 4, MemoryGB: 200, Price: 4, SpotPrice: 1, BootS: 30, Zones: []string{"a"}}}
	return driver
}

// listTasks returns the tasks that are on a machine, as its heartbeats list them in a state such as "running" or "ended done".
func (driver *traceDriver) listTasks(machine, state string) string {
	var out []string
	for _, p := range driver.leader.fleet.Machine(machine).Placements() {
		out = append(out, fmt.Sprintf("%v%s %s", p.Task, formatAttempt(p.Attempt), state))
	}
	return strings.Join(out, ",")
}

// countLaunches decides a round and returns how many tasks it launches.
func (driver *traceDriver) countLaunches() int {
	return strings.Count(strings.Join(driver.step("round"), "\n"), "launch ")
}

// TestUnansweredCallLeavesMachineUsable guards against an empty machine on which nothing is launched: tasks of a call that
// was never answered have ended there, and counted as tasks that may be on it for as long as its session lasted.
func TestUnansweredCallLeavesMachineUsable(t *testing.T) {
	driver := newTinyTasksTest(t)
	driver.step("job wk-1 sweep team=blue tasks=60 gpus=0")
	driver.step("report n-1 1/1 term=2")
	first := driver.countLaunches()
	if first == 0 || first == 60 {
		t.Fatalf("%d of 60 tasks are launched at first; their number is not bounded", first)
	}
	driver.step("direct open")
	driver.now = driver.now.Add(time.Second)
	driver.step("report n-1 1/2 term=2") // none is listed, so they are launched by the response as well
	driver.step("report n-1 1/3 term=2: " + driver.listTasks("n-1", "running"))
	driver.now = driver.now.Add(time.Second)
	driver.step("report n-1 1/4 term=2: " + driver.listTasks("n-1", "ended done"))
	if rest := driver.countLaunches(); rest != 60-first {
		t.Errorf("%d of the other %d tasks are launched on the empty machine", rest, 60-first)
	}
}

// TestUnansweredCallOfEndedJob guards against a job that is never compacted because a call with one of its launches was
// never answered: a task that its machine lists as ended is not started again by that call.
func TestUnansweredCallOfEndedJob(t *testing.T) {
	driver := newTinyTasksTest(t)
	driver.step("job wk-1 sweep team=blue tasks=1")
	driver.step("report n-1 1/1 term=2")
	driver.step("round")
	driver.step("direct open")
	driver.step("report n-1 1/2 term=2: " + driver.listTasks("n-1", "running"))
	driver.step("report n-1 1/3 term=2: " + driver.listTasks("n-1", "ended done"))
	driver.step("round")
	driver.now = driver.now.Add(time.Second)
	driver.step("round")
	if jobs, ok := driver.leader.UnfinishedJobs(); !ok || len(jobs) > 0 {
		t.Errorf("%v count as unfinished, known %v", jobs, ok)
	}
	if tasks := machineRecord(driver.leader.fleet.Machine("n-1")).Tasks; len(tasks) > 0 {
		t.Errorf("the machine's record names %v, which has ended", tasks)
	}
	if p := driver.leader.fleet.Machine("n-1").Placements()[0]; p.State != fleet.Ended || !p.CallPending() {
		t.Errorf("the task is %v, its call pending: %v", p.State, p.CallPending())
	}
}

// TestUnansweredCallIsForgotten guards against a list of ended tasks that grows with each unanswered call: they are cleared
// once the call can't be executed any more, and not before.
func TestUnansweredCallIsForgotten(t *testing.T) {
	driver := newTinyTasksTest(t)
	driver.step("job wk-1 sweep team=blue tasks=1")
	driver.step("report n-1 1/1 term=2")
	driver.step("round")
	driver.step("direct open")
	listed := driver.listTasks("n-1", "ended done")
	heartbeats := 1
	clearedAfter := func(d time.Duration) bool {
		for end := driver.now.Add(d); driver.now.Before(end); driver.now = driver.now.Add(2 * time.Second) {
			heartbeats++
			response := driver.step(fmt.Sprintf("report n-1 1/%d term=2: %s", heartbeats, listed))
			if strings.Contains(strings.Join(response, " "), "clear ") {
				return true
			}
			driver.step("round")
		}
		return false
	}
	if clearedAfter(lateCallWindow - time.Minute) {
		t.Error("the task is cleared while the call may still be executed")
	}
	if !clearedAfter(2 * time.Minute) {
		t.Errorf("the task is still listed %v after its end", lateCallWindow+time.Minute)
	}
}

// TestTasksBeyondMachineRecordGoElsewhere guards against tasks that wait for as long as the leader leads, because the
// scheduler places them on a machine whose record may name no more tasks, and launching refuses them in each round.
func TestTasksBeyondMachineRecordGoElsewhere(t *testing.T) {
	for _, shape := range []string{"sweep", "gang", "service"} {
		t.Run(shape+" on two machines", func(t *testing.T) {
			driver := newTinyTasksTest(t)
			driver.step("job wk-1 " + shape + " team=blue tasks=60 gpus=0")
			driver.step("report n-1 1/1 term=2")
			driver.step("report n-2 1/1 term=2")
			if n := driver.countLaunches(); n != 60 {
				t.Errorf("%d of 60 tasks are launched", n)
			}
			for _, m := range driver.leader.fleet.Machines() {
				if n, most := m.CountActive(), driver.leader.maxTasksPerMachine(); n > most {
					t.Errorf("%s gets %d tasks, and its record may name %d", m.ID, n, most)
				}
			}
		})
		t.Run(shape+" on one machine", func(t *testing.T) {
			driver := newTinyTasksTest(t)
			driver.step("job wk-1 " + shape + " team=blue tasks=60 gpus=0")
			driver.step("report n-1 1/1 term=2")
			driver.step("round")
			if len(driver.leader.scaler.Pending()) == 0 {
				t.Error("no machine is requested for the tasks that the record of the only machine may not name")
			}
		})
	}
}
