package archive

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

var traceLimits = Limits{ValueBytes: 8192, TxnOps: 12}

// runStep executes a line of a trace: a write by another client, which is delayed if the line ends
// with "held", or a step of the compactor or the harness.
func (h *harness) runStep(line string) []string {
	words, _ := simulator.ParseStep(line)
	h.writeLog = nil
	held := words[len(words)-1] == "held"
	if held {
		words = words[:len(words)-1]
	}
	txn, isWrite := h.parseWrite(words)
	switch {
	case !isWrite:
		return h.runHarnessStep(line, words)
	case held:
		h.delayed = append(h.delayed, txn)
	default:
		h.mustCommit(txn)
		_ = h.Barrier(context.Background())
	}
	return nil
}

// parseWrite returns the transaction of a line that is a write by another client.
func (h *harness) parseWrite(words []string) (txn wire.Txn, isWrite bool) {
	switch words[0] {
	case "submit":
		return h.submission(words[1], words[2:]...), true
	case "odd": // a batch with an inconsistent record: its job is neither live nor ended
		return wire.Txn{Then: []wire.Operation{{Put: store.BatchKey(words[1]), Value: store.BatchRecord{Jobs: map[string]store.JobRecord{words[2]: {}}}}}}, true
	case "own":
		return h.standaloneJob(words[1], wire.Stage(words[2])), true
	case "cancel":
		return h.endJob(words[1], wire.Cancelled), true
	case "done":
		return h.endJob(words[1], wire.Done), true
	case "marked": // the state was upgraded from an older format so long ago
		ago, _ := time.ParseDuration(words[1])
		return wire.Txn{Then: []wire.Operation{{Put: store.FormatKey, Value: store.FormatRecord{Format: store.Format, Since: time.Now().Add(-ago).UnixMilli()}}}}, true
	}
	return wire.Txn{}, false
}

// runHarnessStep executes a line that is not a write by another client, and returns its output.
func (h *harness) runHarnessStep(line string, words []string) []string {
	switch words[0] {
	case "ending": // jobs that may still have a task on some machine
		clear(h.jobsWithTasks)
		for _, id := range words[1:] {
			h.jobsWithTasks[id] = true
		}
	case "settle", "merge":
		return h.compact(words[0], words[1:])
	case "deliver": // delayed writes arrive; with an argument, they are kept to arrive again
		return h.deliver(words[1:])
	case "claim": // another controller becomes the leader, unknown to this one
		h.mustCommit(wire.Txn{Then: []wire.Operation{{Put: store.LeaderKey("fleet"), Value: store.LeaderRecord{Leader: "other", FencingToken: 9, Format: store.Format}}}})
	case "start":
		h.start(traceLimits)
	case "spoil": // a record in the format of a newer version
		rec := jobblock.Pack("", nil)
		rec.Format++
		h.mustCommit(wire.Txn{Then: []wire.Operation{{Put: words[1], Value: rec}}})
		_ = h.Barrier(context.Background())
	case "ask":
		return []string{h.lookUp(words[1])}
	case "keys":
		return h.keys()
	default:
		h.t.Fatalf("no such step: %s", line)
	}
	return nil
}

// keys returns all keys of the state service.
func (h *harness) keys() (out []string) {
	for _, item := range h.store.Page(store.CommonPrefix, "", 0).Items {
		out = append(out, shortKeys([]string{item.Key})[0])
	}
	return out
}

// compact runs one step of the compactor. The compactor may crash at a write, which is then
// committed or delayed.
func (h *harness) compact(operation string, crash []string) []string {
	h.writesUntilCrash = -1
	if len(crash) > 0 { // for example "crash 1 taken": crash at the second write, which is committed
		h.writesUntilCrash, h.crashOutcome = int(crash[1][0]-'0'), ""
		if len(crash) > 2 {
			h.crashOutcome = crash[2]
		}
	}
	ctx := context.Background()
	var err error
	if operation == "settle" {
		_, err = h.compactor.stage(ctx)
	} else {
		for more := true; more && err == nil; {
			blocks := mergeCandidates(h.view.RecentBlocks(), h.compactor.Limits, 0)
			if len(blocks) == 0 || !h.compactor.safeToArchive() {
				break
			}
			more, err = h.compactor.merge(ctx, blocks)
		}
	}
	if err != nil && !errors.Is(err, errStale) {
		h.writeLog = append(h.writeLog, err.Error())
	}
	if err == nil {
		_ = h.Barrier(ctx)
	}
	return h.writeLog
}

// deliver commits the delayed writes. They are kept for another delivery if words is not empty.
func (h *harness) deliver(words []string) []string {
	var out []string
	for _, txn := range h.delayed {
		status, res := h.store.Commit(txn)
		line := strings.Join(describeTxn(txn), ", ")
		if status == 200 {
			out = append(out, line+": taken")
		} else {
			out = append(out, line+": refused on "+strings.Join(shortKeys(res.Failed), ", "))
		}
	}
	if len(words) == 0 {
		h.delayed = nil
	}
	_ = h.Barrier(context.Background())
	return out
}

// TestTraces replays the recorded compaction traces in testdata.
func TestTraces(t *testing.T) {
	simulator.RunTraces(t, func(t *testing.T) func(string) []string { return newHarness(t, traceLimits).runStep })
}
