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

// runStep plays a line of a trace: a write of somebody, which is held where the line ends so,
// or a step of the compactor or of the test itself.
func (w *harness) runStep(line string) []string {
	words, _ := simulator.Words(line)
	w.writeLog = nil
	held := words[len(words)-1] == "held"
	if held {
		words = words[:len(words)-1]
	}
	txn, isWrite := w.parseWrite(words)
	switch {
	case !isWrite:
		return w.runHarnessStep(line, words)
	case held:
		w.delayed = append(w.delayed, txn)
	default:
		w.mustCommit(txn)
		_ = w.Barrier(context.Background())
	}
	return nil
}

// parseWrite returns the write that a line is about, if it is about one.
func (w *harness) parseWrite(words []string) (txn wire.Txn, isWrite bool) {
	switch words[0] {
	case "submit":
		return w.submission(words[1], words[2:]...), true
	case "odd": // a batch whose job is neither live nor ended
		return wire.Txn{Then: []wire.Operation{{Put: store.BatchKey(words[1]), Value: store.BatchRecord{Jobs: map[string]store.JobRecord{words[2]: {}}}}}}, true
	case "own":
		return w.standaloneJob(words[1], wire.Stage(words[2])), true
	case "cancel":
		return w.endJob(words[1], wire.Cancelled), true
	case "done":
		return w.endJob(words[1], wire.Done), true
	case "marked": // the state was in an older format until so long ago
		ago, _ := time.ParseDuration(words[1])
		return wire.Txn{Then: []wire.Operation{{Put: store.FormatKey, Value: store.FormatRecord{Format: store.Format, Since: time.Now().Add(-ago).UnixMilli()}}}}, true
	}
	return wire.Txn{}, false
}

// runHarnessStep makes a step that is no write of others.
func (w *harness) runHarnessStep(line string, words []string) []string {
	switch words[0] {
	case "ending": // jobs that may still have a task somewhere
		clear(w.jobsWithTasks)
		for _, id := range words[1:] {
			w.jobsWithTasks[id] = true
		}
	case "settle", "merge":
		return w.compact(words[0], words[1:])
	case "deliver": // what was under way arrives, again if the step says so
		return w.deliver(words[1:])
	case "claim": // another controller leads the fleet now; this one does not know
		w.mustCommit(wire.Txn{Then: []wire.Operation{{Put: store.LeaderKey("fleet"), Value: store.LeaderRecord{Leader: "other", FencingToken: 9, Format: store.Format}}}})
	case "start":
		w.start(traceLimits)
	case "spoil": // a record as a newer version might write it
		rec := jobblock.Pack("", nil)
		rec.Format++
		w.mustCommit(wire.Txn{Then: []wire.Operation{{Put: words[1], Value: rec}}})
		_ = w.Barrier(context.Background())
	case "ask":
		return []string{w.lookUp(words[1])}
	case "keys":
		return w.keys()
	default:
		w.t.Fatalf("no such step: %s", line)
	}
	return nil
}

// keys lists all keys of the state service.
func (w *harness) keys() (out []string) {
	for _, it := range w.store.Page(store.CommonPrefix, "", 0).Items {
		out = append(out, shortKeys([]string{it.Key})[0])
	}
	return out
}

// compact has the compactor make one step. It may crash at a write, which is committed all
// the same or is delayed.
func (w *harness) compact(what string, fate []string) []string {
	w.writesUntilCrash = -1
	if len(fate) > 0 { // such as "crash 1 taken": after one write
		w.writesUntilCrash, w.crashOutcome = int(fate[1][0]-'0'), ""
		if len(fate) > 2 {
			w.crashOutcome = fate[2]
		}
	}
	ctx := context.Background()
	var err error
	if what == "settle" {
		_, err = w.compactor.stage(ctx)
	} else {
		for more := true; more && err == nil; {
			blocks := mergeCandidates(w.view.RecentBlocks(), w.compactor.Limits, 0)
			if len(blocks) == 0 || !w.compactor.safeToArchive() {
				break
			}
			more, err = w.compactor.merge(ctx, blocks)
		}
	}
	if err != nil && !errors.Is(err, errStale) {
		w.writeLog = append(w.writeLog, err.Error())
	}
	if err == nil {
		_ = w.Barrier(ctx)
	}
	return w.writeLog
}

func (w *harness) deliver(words []string) []string {
	var out []string
	for _, txn := range w.delayed {
		status, res := w.store.Commit(txn)
		line := strings.Join(describeTxn(txn), ", ")
		if status == 200 {
			out = append(out, line+": taken")
		} else {
			out = append(out, line+": refused on "+strings.Join(shortKeys(res.Failed), ", "))
		}
	}
	if len(words) == 0 {
		w.delayed = nil
	}
	_ = w.Barrier(context.Background())
	return out
}

// TestTraces plays the kept traces of compaction.
func TestTraces(t *testing.T) {
	simulator.Traces(t, func(t *testing.T) func(string) []string { return newHarness(t, traceLimits).runStep })
}
