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

// harness is a state service and a controller with a Compactor and a Reader, driven step by step.
// It implements the Store, the Follower and the Lister that they use.
type harness struct {
	t                testing.TB
	store            *simulator.StateService
	view             *store.View
	reader           *Reader
	compactor        *Compactor
	jobsWithTasks    map[string]bool
	delayed          []wire.Txn // in flight, to be delivered late
	crashOutcome     string     // of the write at which it crashes: "taken", "lost", or else delayed
	writesUntilCrash int        // writes that succeed before the compactor crashes; negative for no crash
	storeError       error      // if set, the response to all requests
	elections        int
	writeLog         []string
	reportedStages   map[string]wire.Stage
}

var errCrash = errors.New("crashed")

func newHarness(t testing.TB, limits Limits) *harness {
	h := &harness{t: t, store: simulator.NewStateService(1, 0), jobsWithTasks: map[string]bool{}, writesUntilCrash: -1, reportedStages: map[string]wire.Stage{}}
	h.store.Limits = simulator.StateLimits{ValueBytes: limits.ValueBytes, TxnOps: limits.TxnOps}
	h.start(limits)
	return h
}

// start restarts the controller: it becomes the leader and loads its view.
func (h *harness) start(limits Limits) {
	log := slog.New(slog.DiscardHandler)
	h.elections++
	h.mustCommit(wire.Txn{Then: []wire.Operation{{Put: store.LeaderKey("fleet"), Value: store.LeaderRecord{Leader: "me", FencingToken: uint64(h.elections), Format: store.Format}}}})
	h.reader = NewReader(h, 64, log)
	h.view = store.NewView(log)
	h.view.Archive = h.reader
	page := h.store.Page(store.StatePrefix, "", 0)
	h.view.Load(page.Items, page.Revision, &wire.WatchResponse{Revision: page.Revision})
	leader, _ := h.view.Leader("fleet")
	h.compactor = &Compactor{Store: h, View: h.view, Follower: h, Reader: h.reader, Limits: limits, Log: log,
		Fence: wire.Condition{Key: store.LeaderKey("fleet"), Version: leader.Version}, Interval: time.Microsecond, MergeThreshold: 4,
		JobsWithTasks: func() (map[string]bool, bool) { return h.jobsWithTasks, true }, LeaseValid: func() bool { return true }}
}

func (h *harness) mustCommit(txn wire.Txn) uint64 {
	status, res := h.store.Commit(txn)
	if status != 200 {
		h.t.Fatalf("status %d, failed conditions %v", status, res.Failed)
	}
	return res.Revision
}

// Barrier applies all changes of the state service to the view.
func (h *harness) Barrier(context.Context) error {
	changes, ok := h.store.Since(store.CommonPrefix, h.view.Revision())
	if !ok {
		h.t.Fatal("the changes since the revision of the view are gone")
	}
	h.view.Apply(changes)
	return nil
}

func (h *harness) WaitForSpareWrites(context.Context, int) error { return nil }
func (h *harness) WriteBurst() int                               { return 2 * h.compactor.Limits.TxnOps }

func (h *harness) List(_ context.Context, prefix, after string, limit int) (*wire.KeyValueList, error) {
	if h.storeError != nil {
		return nil, h.storeError
	}
	return h.store.Page(prefix, after, limit), nil
}

// Txn commits a transaction of the compactor, or lets the compactor crash at it.
func (h *harness) Txn(_ context.Context, txn wire.Txn) (uint64, error) {
	if h.storeError != nil {
		return 0, h.storeError
	}
	h.writeLog = append(h.writeLog, describeTxn(txn)...)
	switch {
	case h.writesUntilCrash == 0 && h.crashOutcome == "taken": // committed, but the compactor crashes before the response
		h.writesUntilCrash = -1
		h.store.Commit(txn)
		return 0, errCrash
	case h.writesUntilCrash == 0 && h.crashOutcome == "lost": // delayed; the compactor sends it again
		h.writesUntilCrash = -1
		h.delayed = append(h.delayed, txn)
		return 0, store.ErrUnknownOutcome
	case h.writesUntilCrash == 0: // delayed, and the compactor crashes
		h.writesUntilCrash = -1
		h.delayed = append(h.delayed, txn)
		return 0, errCrash
	case h.writesUntilCrash > 0:
		h.writesUntilCrash--
	}
	status, res := h.store.Commit(txn)
	switch status {
	case 200:
		return res.Revision, nil
	case 409:
		h.writeLog = append(h.writeLog, "refused on "+strings.Join(shortKeys(res.Failed), ", "))
		return 0, &store.ConflictError{Keys: res.Failed}
	}
	h.t.Fatalf("status %d for %v", status, describeTxn(txn))
	return 0, nil
}

// shortKeys returns the sorted keys without their common prefixes.
func shortKeys(keys []string) (out []string) {
	for _, k := range keys {
		out = append(out, strings.TrimPrefix(strings.TrimPrefix(k, store.StatePrefix), store.CommonPrefix+"-"))
	}
	slices.Sort(out)
	return out
}

// describeTxn returns a line of a trace for each operation of a transaction.
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

// submission returns the transaction that submits a batch, conditional on the submission fence in
// the view.
func (h *harness) submission(name string, ids ...string) wire.Txn {
	rec := store.BatchRecord{Jobs: map[string]store.JobRecord{}}
	for _, id := range ids {
		rec.Jobs[id] = store.JobRecord{Stage: wire.Pending, Tasks: 2, Job: &wire.Job{ID: id, Tasks: 2, Team: "red"}}
	}
	return wire.Txn{If: []wire.Condition{{Key: store.BatchKey(name)}, {Key: store.SubmissionFenceKey, Version: h.view.SubmissionFence().Version}},
		Then: []wire.Operation{{Put: store.BatchKey(name), Value: rec}}}
}

// standaloneJob returns the transaction that stores a job under a key of its own, as version 1 did.
func (h *harness) standaloneJob(id string, stage wire.Stage) wire.Txn {
	rec := store.JobRecord{Stage: wire.Pending, Tasks: 2, Job: &wire.Job{ID: id, Tasks: 2, Team: "red"}}
	if stage.Final() {
		rec = rec.End(stage, time.Unix(1e9, 0))
	}
	return wire.Txn{Then: []wire.Operation{{Put: store.JobKey(id), Value: rec}}}
}

// endJob returns the transaction that ends a live job.
func (h *harness) endJob(id string, stage wire.Stage) wire.Txn {
	l, ok := h.view.LiveJob(id)
	if !ok {
		h.t.Fatalf("%s is not live", id)
	}
	r := l.Batch.Update()
	r.EndJob(id, stage, time.Unix(1e9, 0))
	return wire.Txn{If: []wire.Condition{r.Condition()}, Then: []wire.Operation{r.Operation()}}
}

// lookUp returns the response of a controller to a user's query for a job, in the words of the
// traces.
func (h *harness) lookUp(id string) string {
	if rec, known := h.view.Job(id); known {
		return string(rec.Stage)
	}
	unreadable, _ := h.view.UnreadableRecordFor(id)
	e, known, err := h.reader.Find(context.Background(), id)
	switch {
	case err != nil:
		return "come back: " + strings.TrimPrefix(err.Error(), store.CommonPrefix+"-")
	case !known && unreadable != "":
		return "come back: " + shortKeys([]string{unreadable})[0]
	case !known:
		return "not known"
	}
	return string(e.Stage)
}
