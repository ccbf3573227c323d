package leader

import (
	"slices"
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// TestHandedOverTaskIsNotInTwoLedgers: a task ran in shard a, whose leader has the higher fencing token, ended
// without being done, and was handed over to shard b, which runs it with a lower attempt. Then the
// state is divided anew, which goes by the attempts that the ledgers name: shard a must
// not take for its own, and start again, what runs in shard b.
//
// The call that launched it is answered, or may yet be carried out.
func TestHandedOverTaskIsNotInTwoLedgers(t *testing.T) {
	for _, fate := range []string{"executed", "open"} {
		t.Run(fate, func(t *testing.T) { testHandedOverTask(t, fate) })
	}
}

func testHandedOverTask(t *testing.T, fate string) {
	driver := newTraceDriver(t)
	play := func(lines string) (out []string) {
		for _, line := range strings.Split(strings.TrimSpace(lines), "\n") {
			out = append(out, driver.step(strings.TrimSpace(line))...)
		}
		return out
	}
	out := play(`
		parts a b
		job wk-1 sweep team=blue tasks=1 gpus=4
		claim term=9
		report n-1 1/1 term=9
		others b now=3
		round
		direct ` + fate + `
		report n-1 1/2 term=9: wk-1/0#9.1 running`)
	if !slices.Contains(out, "launch wk-1/0#9.1 on n-1") {
		t.Fatal(out)
	}
	// It fails, the machine is avoided, and there is no other.
	out = play(`
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
		t.Fatalf("it was not handed over")
	}
	driver.apply(wire.Operation{Put: store.SegmentKey("b", 0), Value: store.SegmentRecord{FencingToken: 5, Entries: map[string]wire.Raw{
		"m/n-2": wire.Encode(store.MachineRecord{Addr: "10.1.0.2:9000", Type: "g4", Zone: "b", Incarnation: 1, Tasks: map[string]uint64{"wk-1/0": 5<<24 | 1}})}}})
	driver.apply(wire.Operation{Delete: store.LeaderKey("a")}, wire.Operation{Delete: store.LeaderKey("b")})
	out = play(`
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
	if job, _ := driver.view.Live("wk-1"); driver.leader.assignment.Ranges(job)[0].Shard != "b" {
		t.Errorf("its task, which runs in b, is taken for one of %s", driver.leader.assignment.Ranges(job)[0].Shard)
	}
	for _, line := range out {
		if strings.HasPrefix(line, "launch wk-1/0") {
			t.Errorf("%s while it runs in shard b", line)
		}
	}
}

// TestGangFinishedAcrossShards: one of two shards has said that its tasks of a gang are done, and the
// state becomes one shard. The other task's machine is gone with what it knew: the gang is done
// all the same, since its tasks complete together, and nothing of it is started.
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
		t.Error("it is not called done")
	}
	for _, line := range out {
		if strings.HasPrefix(line, "launch") {
			t.Errorf("%s, which is done", line)
		}
	}
}
