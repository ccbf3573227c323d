package leader

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

// cordonTest is a leader with machines on each of which a replica of a service runs, so that none is released.
type cordonTest struct {
	*traceDriver
	machines   []string
	heartbeats int
	attempts   uint64
}

func newCordonTest(t *testing.T, machines int) *cordonTest {
	test := &cordonTest{traceDriver: newTraceDriver(t)}
	test.step(fmt.Sprintf("job wk-100 service team=blue tasks=%d", machines))
	test.step("claim term=2")
	for i := range machines {
		test.machines = append(test.machines, fmt.Sprintf("n-%d", i+1))
	}
	test.pass(0)
	return test
}

// fail has a job fail on machines, one after the other.
func (test *cordonTest) fail(job string, machines ...string) {
	for _, machine := range machines {
		test.attempts++
		test.leader.handleTaskEnd(test.now, &fleet.Placement{Task: wire.TaskID{Job: job}, Attempt: 1<<attemptBits | (1000 + test.attempts), Machine: machine,
			State: fleet.Ended, Cause: wire.CauseError})
	}
}

// pass lets time pass, in which the machines send heartbeats and the leader decides rounds. It returns what was launched.
func (test *cordonTest) pass(d time.Duration) (launched []string) {
	for end := test.now.Add(d); ; test.now = test.now.Add(time.Second) {
		test.sendHeartbeats(func(int) string { return "running" })
		for _, line := range test.step("round") {
			if strings.HasPrefix(line, "launch ") {
				launched = append(launched, line)
			}
		}
		if !test.now.Before(end) {
			return launched
		}
	}
}

// sendHeartbeats has each machine send a heartbeat that lists its replica as running, and all other tasks in a state that depends
// on the index of the machine, such as "running" or "ended done".
func (test *cordonTest) sendHeartbeats(stateOn func(machine int) string) {
	test.heartbeats++
	for i, id := range test.machines {
		report := fmt.Sprintf("report %s 1/%d term=2: wk-100/%d#1.%d running", id, test.heartbeats, i, i+1)
		if m := test.leader.fleet.Machine(id); m != nil {
			for _, p := range m.Placements() {
				if p.Task.Job != "wk-100" && p.State != fleet.Planned {
					report += fmt.Sprintf(",%v%s %s", p.Task, formatAttempt(p.Attempt), stateOn(i))
				}
			}
		}
		test.step(report)
	}
}

// cordoned lists the machines that get no work.
func (test *cordonTest) cordoned() (machines []string) {
	for _, m := range test.leader.fleet.Machines() {
		if m.Cordoned {
			machines = append(machines, m.ID)
		}
	}
	return machines
}

// starvationBound is the time for which the users allow a job to wait beside a machine that has room for it.
const starvationBound = 90 * time.Second

// TestMistakenJobsCordonNoMachineForever guards against a sound job that waits as long as the leader leads, because jobs
// that were submitted with a mistake have failed on every machine.
func TestMistakenJobsCordonNoMachineForever(t *testing.T) {
	for _, machines := range []int{1, 2, 3, 5} {
		for _, fate := range []string{"cancelled", "kept"} {
			t.Run(fmt.Sprintf("%d machines, %s", machines, fate), func(t *testing.T) {
				test := newCordonTest(t, machines)
				mistaken := []string{"wk-1", "wk-2"}
				for _, job := range mistaken {
					test.step("job " + job + " sweep team=blue tasks=1 gpus=4") // fits nowhere beside the replicas: its failures are played
				}
				test.pass(time.Second)
				for _, job := range mistaken {
					test.fail(job, test.machines...)
				}
				if fate == "cancelled" {
					for _, job := range mistaken {
						test.step("cancel " + job)
					}
					test.pass(2 * time.Second)
					if cordoned := test.cordoned(); len(cordoned) > 0 {
						t.Errorf("%v are cordoned after the jobs that failed there were cancelled", cordoned)
					}
				}
				test.step("job wk-3 sweep team=blue tasks=1")
				if launched := test.pass(starvationBound); len(launched) == 0 {
					t.Errorf("the sound job is not launched within %v; %v of %d machines are cordoned", starvationBound, test.cordoned(), machines)
				}
			})
		}
	}
}

// TestFaultyMachineGetsOneTaskAtATime guards against work that fails in large numbers on a faulty machine each time its cordon
// lapses, because a replica keeps the machine from being released.
func TestFaultyMachineGetsOneTaskAtATime(t *testing.T) {
	test := newCordonTest(t, 3)
	const seconds = 300
	onFaulty, elsewhere := 0, 0
	for i := range seconds {
		test.step(fmt.Sprintf("job wk-%d sweep team=blue tasks=6", 1000+i)) // more than two machines can start at once
		for _, line := range test.step("round") {
			switch {
			case !strings.HasPrefix(line, "launch "):
			case strings.HasSuffix(line, " on n-1"):
				onFaulty++
			default:
				elsewhere++
			}
		}
		test.step("direct executed")
		test.now = test.now.Add(time.Second)
		test.sendHeartbeats(func(machine int) string {
			if machine == 0 {
				return "ended error"
			}
			return "ended done"
		})
	}
	// Until the first cordon, two jobs may fill the machine; after that there is one trial in each cordonDuration.
	const freeSlots = 3 // on a machine, beside its replica
	if most := cordonAfterJobs*freeSlots + seconds/int(cordonDuration.Seconds()); onFaulty > most || elsewhere < seconds {
		t.Errorf("%d tasks are launched on the faulty machine, want at most %d; %d elsewhere", onFaulty, most, elsewhere)
	}
}

// TestFaultyMachineIsCordoned guards against work for a machine on which different jobs fail: it is cordoned, and each
// later failure renews the cordon, until a task is done there.
func TestFaultyMachineIsCordoned(t *testing.T) {
	test := newCordonTest(t, 3)
	for _, job := range []string{"wk-1", "wk-2", "wk-3"} {
		test.step("job " + job + " sweep team=blue tasks=1 gpus=4")
	}
	test.pass(0)
	expect := func(when string, want ...string) {
		t.Helper()
		if got := test.cordoned(); !slices.Equal(got, want) {
			t.Errorf("%s: %v are cordoned, not %v", when, got, want)
		}
	}
	test.fail("wk-1", "n-1")
	expect("one job has failed")
	test.fail("wk-1", "n-1")
	expect("the same job has failed twice")
	test.fail("wk-2", "n-1")
	expect("two jobs have failed", "n-1")
	test.step("job wk-4 sweep team=blue tasks=9")
	for _, line := range test.pass(cordonDuration / 2) {
		if strings.HasSuffix(line, " on n-1") {
			t.Errorf("a cordoned machine gets work: %s", line)
		}
	}
	test.pass(cordonDuration/2 + time.Second)
	expect("the cordon has lapsed")
	test.fail("wk-3", "n-1")
	expect("a third job has failed", "n-1")
	test.pass(cordonDuration + time.Second)
	test.leader.handleTaskEnd(test.now, &fleet.Placement{Task: wire.TaskID{Job: "wk-1"}, Machine: "n-1", State: fleet.Ended, Cause: wire.CauseDone})
	test.fail("wk-3", "n-1")
	expect("a job has failed after another was done")
}

// TestTrialAfterCordon guards against a machine that is filled at once when its cordon lapses, and against one that gets one task at
// a time for good.
func TestTrialAfterCordon(t *testing.T) {
	test := newCordonTest(t, 1)
	for _, job := range []string{"wk-1", "wk-2"} {
		test.step("job " + job + " sweep team=blue tasks=1 gpus=4")
		test.pass(0)
		test.fail(job, "n-1")
	}
	test.step("job wk-4 service team=blue tasks=3")
	if launched := test.pass(cordonDuration - time.Second); len(launched) > 0 {
		t.Errorf("launched on a cordoned machine: %v", launched)
	}
	if launched := test.pass(trialDuration - 2*time.Second); len(launched) != 1 {
		t.Errorf("launched on a machine on trial: %v, want one task", launched)
	}
	if launched := test.pass(4 * time.Second); len(launched) != 2 {
		t.Errorf("launched after the trial: %v, want two tasks", launched)
	}
}

// TestJobThatFailsEverywhereCordonsNothing guards against cordons of sound machines: a job that has failed on three
// machines does not count against any of them, until one of its tasks is done.
func TestJobThatFailsEverywhereCordonsNothing(t *testing.T) {
	test := newCordonTest(t, 5)
	for _, job := range []string{"wk-1", "wk-2"} {
		test.step("job " + job + " sweep team=blue tasks=1 gpus=4")
		test.pass(0)
		test.fail(job, "n-1", "n-2", "n-3")
	}
	if test.pass(0); len(test.cordoned()) > 0 {
		t.Errorf("%v are cordoned though both jobs fail everywhere", test.cordoned())
	}
	test.leader.jobState("wk-1").lastSuccess = test.now
	test.leader.jobState("wk-2").lastSuccess = test.now
	if test.pass(0); len(test.cordoned()) != 3 {
		t.Errorf("%v are cordoned after both jobs have succeeded elsewhere", test.cordoned())
	}
}
