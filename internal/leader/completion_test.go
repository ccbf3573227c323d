package leader

import (
	"slices"
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// TestHandedOverTaskIsNotInTwoLedgers guards against a task that runs twice after resharding. The task failed in shard
// a, whose leader has the higher fencing token, and was handed over to shard b, which runs it with a lower attempt.
// Resharding assigns tasks by the attempts in the ledgers: shard a must not claim the task and start it again.
//
// The call that launched it in shard a was executed, or has no answer yet and may still be executed.
func TestHandedOverTaskIsNotInTwoLedgers(t *testing.T) {
	for _, callOutcome := range []string{"executed", "open"} {
		t.Run(callOutcome, func(t *testing.T) { testHandedOverTask(t, callOutcome) })
	}
}

func testHandedOverTask(t *testing.T, callOutcome string) {
	driver := newTraceDriver(t)
	runSteps := func(lines string) (out []string) {
		for _, line := range strings.Split(strings.TrimSpace(lines), "\n") {
			out = append(out, driver.step(strings.TrimSpace(line))...)
		}
		return out
	}
	out := runSteps(`
		parts a b
		job wk-1 sweep team=blue tasks=1 gpus=4
		claim term=9
		report n-1 1/1 term=9
		others b now=3
		round
		direct ` + callOutcome + `
		report n-1 1/2 term=9: wk-1/0#9.1 running`)
	if !slices.Contains(out, "launch wk-1/0#9.1 on n-1") {
		t.Fatal(out)
	}
	// The task fails. Its machine is avoided, and the shard has no other.
	out = runSteps(`
		wait 1s
		report n-1 1/3 term=9: wk-1/0#9.1 ended error
		round
		wait 2s
		report n-1 1/4 term=9: wk-1/0#9.1 ended error
		round
		wait 2s
		report n-1 1/5 term=9: wk-1/0#9.1 ended error
		round
		wait 2s
		report n-1 1/6 term=9: wk-1/0#9.1 ended error
		round`)
	t.Log(strings.Join(out, "\n"))
	if !slices.Contains(out, "put batch/wk-1 wk-1=pending 0-1/b") {
		t.Fatalf("the task was not handed over")
	}
	driver.apply(wire.Operation{Put: store.SegmentKey("b", 0), Value: store.SegmentRecord{FencingToken: 5, Entries: map[string]wire.Raw{
		"m/n-2": wire.Encode(store.MachineRecord{Addr: "10.1.0.2:9000", Type: "g4", Zone: "b", Incarnation: 1, Tasks: map[string]uint64{"wk-1/0": 5<<24 | 1}})}}})
	driver.apply(wire.Operation{Delete: store.LeaderKey("a")}, wire.Operation{Delete: store.LeaderKey("b")})
	out = runSteps(`
		divided a b
		claim term=12
		report n-1 1/8 term=12
		others b now=9
		round
		wait 6s
		report n-1 1/9 term=12
		round
		wait 1s
		report n-1 1/10 term=12
		round`)
	t.Log(strings.Join(out, "\n"))
	if job, _ := driver.view.LiveJob("wk-1"); driver.leader.assignment.Ranges(job)[0].Shard != "b" {
		t.Errorf("the task runs in shard b, but is assigned to shard %s", driver.leader.assignment.Ranges(job)[0].Shard)
	}
	for _, line := range out {
		if strings.HasPrefix(line, "launch wk-1/0") {
			t.Errorf("%s while the task runs in shard b", line)
		}
	}
}

// TestGangFinishedAcrossShards guards against restarting a finished gang. One of two shards has recorded its tasks of
// the gang as done, and then the state is resharded into one shard. The machine of the remaining task is gone, so
// nothing reports that task as done. The tasks of a gang complete together: the gang is done, and none of its tasks is
// started.
func TestGangFinishedAcrossShards(t *testing.T) {
	driver := newTraceDriver(t)
	driver.step("job wk-1 gang team=blue tasks=3")
	driver.step("machine n-1 a holds=wk-1/0#1.1,wk-1/1#1.1")
	driver.step("shares wk-1 0-2/a,done 2-3/b")
	driver.cfg.Tuning.Shards.By = "off"
	state := driver.view.ShardingState()
	txn, err := reshard.Transaction(&state, driver.cfg.Sharding(), func(string) (store.TaskDemand, bool) { return store.TaskDemand{}, false })
	if err != nil {
		t.Fatal(err)
	}
	driver.apply(txn.Then...)
	var out []string
	for _, line := range []string{"claim term=5", "report n-1 1/1 term=1", "report n-1 1/2 term=5", "round", "report n-1 1/3 term=5", "round"} {
		out = append(out, driver.step(line)...)
	}
	t.Log(strings.Join(out, "\n"))
	if !slices.Contains(out, "put batch/wk-1 wk-1=done 0-2/a,done 2-3/b") && !slices.Contains(out, "put batch/wk-1 wk-1=done") {
		t.Error("the gang is not recorded as done")
	}
	for _, line := range out {
		if strings.HasPrefix(line, "launch") {
			t.Errorf("%s of a gang that is done", line)
		}
	}
}
