package archive

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// harness is a state service and a controller that compacts, driven step by step. It
// implements what a Compactor and a Reader need of a store.
type harness struct {
	t                testing.TB
	store            *simulator.StateService
	view             *store.View
	reader           *Reader
	compactor        *Compactor
	jobsWithTasks    map[string]bool
	delayed          []wire.Txn // under way, to be delivered late
	crashOutcome     string     // of the next writes of the compactor
	writesUntilCrash int        // writes of the compactor until it crashes, below 0 for none
	storeError       error      // what the state service answers, if it is set
	elections        int
	writeLog         []string
	reportedStages   map[string]wire.Stage
}

var errCrash = errors.New("crashed")

func newHarness(t testing.TB, lim Limits) *harness {
	w := &harness{t: t, store: simulator.NewStateService(1, 0), jobsWithTasks: map[string]bool{}, writesUntilCrash: -1, reportedStages: map[string]wire.Stage{}}
	w.store.Limits = simulator.StateLimits{ValueBytes: lim.ValueBytes, TxnOps: lim.TxnOps}
	w.start(lim)
	return w
}

// start starts the controller again: its view is read, and it becomes the leader.
func (w *harness) start(lim Limits) {
	log := slog.New(slog.DiscardHandler)
	w.elections++
	w.mustCommit(wire.Txn{Then: []wire.Operation{{Put: store.LeaderKey("fleet"), Value: store.LeaderRecord{Leader: "me", FencingToken: uint64(w.elections), Format: store.Format}}}})
	w.reader = NewReader(w, 64, log)
	w.view = store.NewView(log)
	w.view.Archive = w.reader
	page := w.store.Page(store.StatePrefix, "", 0)
	w.view.Load(page.Items, page.Revision, &wire.WatchResponse{Revision: page.Revision})
	leader, _ := w.view.Leader("fleet")
	w.compactor = &Compactor{Store: w, View: w.view, Follower: w, Reader: w.reader, Limits: lim, Log: log,
		Fence: wire.Condition{Key: store.LeaderKey("fleet"), Version: leader.Version}, Interval: time.Microsecond, MergeThreshold: 4,
		JobsWithTasks: func() (map[string]bool, bool) { return w.jobsWithTasks, true }, LeaseValid: func() bool { return true }}
}

func (w *harness) mustCommit(txn wire.Txn) uint64 {
	status, res := w.store.Commit(txn)
	if status != 200 {
		w.t.Fatalf("%d, failed %v", status, res.Failed)
	}
	return res.Revision
}

// Barrier brings the view up to date.
func (w *harness) Barrier(context.Context) error {
	ch, ok := w.store.Since(store.CommonPrefix, w.view.Revision())
	if !ok {
		w.t.Fatal("a watch is too old")
	}
	w.view.Apply(ch)
	return nil
}

func (w *harness) WaitForSpareWrites(context.Context, int) error { return nil }
func (w *harness) WriteBurst() int                               { return 2 * w.compactor.Limits.TxnOps }

func (w *harness) List(_ context.Context, prefix, after string, limit int) (*wire.KeyValueList, error) {
	if w.storeError != nil {
		return nil, w.storeError
	}
	return w.store.Page(prefix, after, limit), nil
}

// Txn takes a write of the compactor.
func (w *harness) Txn(_ context.Context, txn wire.Txn) (uint64, error) {
	if w.storeError != nil {
		return 0, w.storeError
	}
	w.writeLog = append(w.writeLog, describeTxn(txn)...)
	switch {
	case w.writesUntilCrash == 0 && w.crashOutcome == "taken": // it is committed, and the compactor gets no answer
		w.writesUntilCrash = -1
		w.store.Commit(txn)
		return 0, errCrash
	case w.writesUntilCrash == 0 && w.crashOutcome == "lost": // no answer, and it is sent again
		w.writesUntilCrash = -1
		w.delayed = append(w.delayed, txn)
		return 0, store.ErrUnknownOutcome
	case w.writesUntilCrash == 0:
		w.writesUntilCrash = -1
		w.delayed = append(w.delayed, txn)
		return 0, errCrash
	case w.writesUntilCrash > 0:
		w.writesUntilCrash--
	}
	status, res := w.store.Commit(txn)
	switch status {
	case 200:
		return res.Revision, nil
	case 409:
		w.writeLog = append(w.writeLog, "refused on "+strings.Join(shortKeys(res.Failed), ", "))
		return 0, &store.ConflictError{Failed: res.Failed}
	}
	w.t.Fatalf("status %d for %v", status, describeTxn(txn))
	return 0, nil
}

func shortKeys(keys []string) (out []string) {
	for _, k := range keys {
		out = append(out, strings.TrimPrefix(strings.TrimPrefix(k, store.StatePrefix), store.CommonPrefix+"-"))
	}
	slices.Sort(out)
	return out
}

func describeTxn(txn wire.Txn) (out []string) {
	for _, c := range txn.Then {
		switch rec := c.Value.(type) {
		case jobblock.Record:
			line := fmt.Sprintf("put %s with %d jobs", shortKeys([]string{c.Put})[0], rec.Count)
			if rec.From != "" {
				line += " from " + rec.From
			}
			out = append(out, line)
		default:
			if c.Delete != "" {
				out = append(out, "drop "+shortKeys([]string{c.Delete})[0])
			} else {
				out = append(out, "put "+shortKeys([]string{c.Put})[0])
			}
		}
	}
	return out
}

// submission returns the transaction of a batch, on the submission fence that the view has.
func (w *harness) submission(name string, ids ...string) wire.Txn {
	rec := store.BatchRecord{Jobs: map[string]store.JobRecord{}}
	for _, id := range ids {
		rec.Jobs[id] = store.JobRecord{Stage: wire.Pending, Tasks: 2, Job: &wire.Job{ID: id, Tasks: 2, Team: "red"}}
	}
	return wire.Txn{If: []wire.Condition{{Key: store.BatchKey(name)}, {Key: store.SubmissionFenceKey, Version: w.view.SubmissionFence().Version}},
		Then: []wire.Operation{{Put: store.BatchKey(name), Value: rec}}}
}

// standaloneJob gives a job a key of its own, as version 1 did.
func (w *harness) standaloneJob(id string, stage wire.Stage) wire.Txn {
	rec := store.JobRecord{Stage: wire.Pending, Tasks: 2, Job: &wire.Job{ID: id, Tasks: 2, Team: "red"}}
	if stage.Final() {
		rec = rec.End(stage, time.Unix(1e9, 0))
	}
	return wire.Txn{Then: []wire.Operation{{Put: store.JobKey(id), Value: rec}}}
}

// endJob gives the transaction that ends a live job.
func (w *harness) endJob(id string, stage wire.Stage) wire.Txn {
	l, ok := w.view.Live(id)
	if !ok {
		w.t.Fatalf("%s is not live", id)
	}
	r := l.Batch.Update()
	r.EndJob(id, stage, time.Unix(1e9, 0))
	return wire.Txn{If: []wire.Condition{r.Condition()}, Then: []wire.Operation{r.Change()}}
}

// lookUp returns what a user is answered about a job, as every controller finds it.
func (w *harness) lookUp(id string) string {
	if rec, known := w.view.Job(id); known {
		return string(rec.Stage)
	}
	doubt, _ := w.view.UnreadableRecordFor(id)
	e, known, err := w.reader.Find(context.Background(), id)
	switch {
	case err != nil:
		return "come back: " + strings.TrimPrefix(err.Error(), store.CommonPrefix+"-")
	case !known && doubt != "":
		return "come back: " + shortKeys([]string{doubt})[0]
	case !known:
		return "not known"
	}
	return string(e.Stage)
}
