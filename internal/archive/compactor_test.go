package archive

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// tinyLimits makes blocks split and recent blocks fill up with few jobs, and keeps each write
// small.
var tinyLimits = Limits{ValueBytes: 1024, TxnOps: 4}

// submitAndEnd submits jobs and ends most of them. It records the final stages that users were
// told.
func (h *harness) submitAndEnd(random *rand.Rand, name string, ids []string) {
	for i := 0; i < len(ids); i += 3 {
		h.mustCommit(h.submission(fmt.Sprintf("%s-%d", name, i), ids[i:min(i+3, len(ids))]...))
	}
	_ = h.Barrier(context.Background())
	for _, id := range ids {
		stage := wire.Done
		switch random.IntN(8) {
		case 0:
			continue // stays live
		case 1, 2:
			stage = wire.Cancelled
		}
		h.mustCommit(h.endJob(id, stage))
		_ = h.Barrier(context.Background())
		h.reportedStages[id] = stage
	}
}

// checkAnswers looks up every job whose final stage its user was told, and some ids that nobody
// submitted.
func (h *harness) checkAnswers(when string) {
	h.t.Helper()
	for id, stage := range h.reportedStages {
		if got := h.lookUp(id); got != string(stage) {
			h.t.Fatalf("%s: job %s was %s, now reported as %s", when, id, stage, got)
		}
	}
	for _, id := range []string{"wk-x", "wk-0", "wk-99999999999"} {
		if got := h.lookUp(id); h.reportedStages[id] == "" && got != "not known" {
			h.t.Fatalf("%s: job %s, which nobody submitted, is reported as %s", when, id, got)
		}
	}
}

// compactAll compacts until there is nothing to do or the compactor crashes.
func (h *harness) compactAll() error {
	for {
		more, err := h.compactor.Step(context.Background())
		if errors.Is(err, errStale) {
			continue
		}
		if err != nil || !more {
			return err
		}
	}
}

// TestCompactorCrashAtEveryWrite crashes the compactor at each of its writes in turn. The write is
// then committed without a response, or arrives after the next compactor has started. No reported
// stage is lost or changed, also when late copies of submissions arrive, and in the end Verify
// finds no problem.
func TestCompactorCrashAtEveryWrite(t *testing.T) {
	for _, outcome := range []string{"taken", "held"} {
		for crashAt := 0; ; crashAt++ {
			h := newHarness(t, tinyLimits)
			h.compactor.MergeThreshold = 1
			random := rand.New(rand.NewPCG(uint64(crashAt), 1))
			h.writesUntilCrash, h.crashOutcome = crashAt, outcome
			crashed := false
			var late []wire.Txn
			for i := range 12 {
				var ids []string
				for k := range 20 {
					ids = append(ids, fmt.Sprintf("wk-%06d", (random.IntN(4000)*12+i)*20+k))
				}
				h.submitAndEnd(random, fmt.Sprintf("b-%d", i), ids)
				late = append(late, h.submission(fmt.Sprintf("late-%d", i), ids[0])) // a copy that is still in flight
				if err := h.compactAll(); err != nil {
					crashed = true
					h.checkAnswers(fmt.Sprintf("crash at write %d, %s", crashAt, outcome))
					h.start(tinyLimits)
					h.compactor.MergeThreshold = 1
					h.checkAnswers("after the restart")
				}
				if i == 9 {
					h.deliver(nil)
					h.delayed = late
					h.deliver(nil)
				}
			}
			for range 3 {
				if err := h.compactAll(); err != nil {
					t.Fatal(err)
				}
			}
			h.checkAnswers("in the end")
			h.start(tinyLimits)
			h.checkAnswers("read anew")
			if problems := Verify(context.Background(), h.items()).Problems; len(problems) > 0 {
				t.Fatalf("crash at write %d, %s: %v", crashAt, outcome, problems)
			}
			if !crashed {
				if crashAt < 20 {
					t.Fatalf("the compactor made only %d writes", crashAt)
				}
				break
			}
		}
	}
}

func (h *harness) items() []wire.KeyValue { return h.store.Page(store.CommonPrefix, "", 0).Items }

// TestArchiveOfManyJobs compacts 40,000 jobs whose ids are spread at random over ten times as many,
// some with 12 digits. The number of keys, of the keys that a starting controller reads, of the
// changes for compaction and of the reads for lookups must stay low, and each job must be found.
func TestArchiveOfManyJobs(t *testing.T) {
	limits := Limits{ValueBytes: 8192, TxnOps: 20}
	h := newHarness(t, limits)
	random := rand.New(rand.NewPCG(3, 3))
	const jobs, batchSize = 40_000, 16
	ids := random.Perm(jobs * 10)
	_, changesBefore, _ := h.store.Counts()
	for i := 0; i < jobs; i += batchSize {
		rec := store.BatchRecord{Jobs: map[string]store.JobRecord{}}
		for k := range batchSize {
			id := fmt.Sprintf("wk-%06d", ids[i+k])
			if k == 0 {
				id = fmt.Sprintf("wk-%012d", ids[i]*1_000_003)
			}
			stage := []wire.Stage{wire.Done, wire.Cancelled}[k%2]
			rec.Jobs[id] = store.JobRecord{Stage: stage, Tasks: 1 + k, Ended: 1}
			h.reportedStages[id] = stage
		}
		h.mustCommit(wire.Txn{Then: []wire.Operation{{Put: store.BatchKey(fmt.Sprint(i)), Value: rec}}})
		if i%(batchSize*64) == 0 {
			_ = h.Barrier(t.Context())
			if err := h.compactAll(); err != nil {
				t.Fatal(err)
			}
		}
	}
	_ = h.Barrier(t.Context())
	if err := h.compactAll(); err != nil {
		t.Fatal(err)
	}
	_, changes, keys := h.store.Counts()
	compactionChanges := changes - changesBefore - jobs/batchSize
	if keys > jobs/100 || compactionChanges > jobs/8 {
		t.Errorf("%d keys and %d compaction changes for %d jobs", keys, compactionChanges, jobs)
	}
	h.start(limits)
	if n := len(h.store.Page(store.StatePrefix, "", 0).Items); n > 20 {
		t.Errorf("a starting controller reads %d keys", n)
	}
	asked := 0
	for id, stage := range h.reportedStages {
		if asked++; asked > 2000 {
			break
		}
		if got := h.lookUp(id); got != string(stage) {
			t.Fatalf("job %s was %s, now reported as %s", id, stage, got)
		}
	}
	if c := h.reader.Stats(); c.Reads > 40 {
		t.Errorf("%d reads for %d cached blocks", c.Reads, c.Cached)
	}
	if r := Verify(t.Context(), h.items()); len(r.Problems) > 0 || r.Ended != jobs {
		t.Errorf("%d ended jobs, problems %v", r.Ended, r.Problems)
	}
}

// TestJobCancelledDuringStaging guards against staging a job that may still have a running task.
// The job is launched and cancelled just after JobsWithTasks has returned without it and before the
// compactor reads the ended batches. It may be compacted only after another call of JobsWithTasks.
func TestJobCancelledDuringStaging(t *testing.T) {
	h := newHarness(t, tinyLimits)
	h.mustCommit(h.submission("a", "wk-1"))
	h.mustCommit(h.submission("b", "wk-2"))
	_ = h.Barrier(t.Context())
	h.mustCommit(h.endJob("wk-1", wire.Done))
	_ = h.Barrier(t.Context())
	asked := 0
	h.compactor.JobsWithTasks = func() (map[string]bool, bool) {
		if asked++; asked > 1 {
			return map[string]bool{"wk-2": true}, true
		}
		defer func() {
			h.mustCommit(h.endJob("wk-2", wire.Cancelled))
			_ = h.Barrier(t.Context())
		}()
		return nil, true
	}
	for range 2 {
		if err := h.compactAll(); err != nil {
			t.Fatal(err)
		}
	}
	if h.view.Compacted("wk-2") || !h.view.Compacted("wk-1") || asked < 2 {
		t.Errorf("compacted: wk-1 %v, wk-2 %v, after %d calls of JobsWithTasks", h.view.Compacted("wk-1"), h.view.Compacted("wk-2"), asked)
	}
}

// TestOutageDuringCompaction lets the state service refuse requests now and then. A refusal ends
// the step with an error, and later steps finish the work.
func TestOutageDuringCompaction(t *testing.T) {
	h := newHarness(t, tinyLimits)
	h.compactor.MergeThreshold = 1
	random := rand.New(rand.NewPCG(5, 5))
	for i := range 40 {
		var ids []string
		for k := range 10 {
			ids = append(ids, fmt.Sprintf("wk-%d", i*100+k))
		}
		h.submitAndEnd(random, fmt.Sprintf("b-%d", i), ids)
		if i%3 == 0 {
			h.storeError = fmt.Errorf("%w: status 429", store.ErrRefused)
			if err := h.compactAll(); !errors.Is(err, store.ErrRefused) {
				t.Fatalf("step returned %v, want ErrRefused", err)
			}
			h.storeError = nil
		}
	}
	if err := h.compactAll(); err != nil {
		t.Fatal(err)
	}
	h.checkAnswers("in the end")
	_, ended, _, _ := h.view.Size()
	if batches := h.view.EndedBatches(99, func(*store.Batch) bool { return true }); len(batches) > 0 {
		t.Errorf("%d ended batches are left, %d ended jobs", len(batches), ended)
	}
}

// TestReaderDoesNotCacheStaleBlocks guards against caching a block whose read began before a change
// to it that is already known, or before a reset. Such a block may serve the current lookup, but
// the next one must read it again.
func TestReaderDoesNotCacheStaleBlocks(t *testing.T) {
	old := jobblock.Pack("", []jobblock.Entry{{ID: "wk-1", Stage: wire.Done, Tasks: 1}})
	updated := jobblock.Pack("", []jobblock.Entry{{ID: "wk-1", Stage: wire.Done, Tasks: 1}, {ID: "wk-2", Stage: wire.Done, Tasks: 1}})
	key := store.ArchivePrefix + lastBlockKey
	for _, duringRead := range []func(r *Reader){
		func(r *Reader) { r.BlockChanged(key, wire.Encode(updated), 9) },
		func(r *Reader) { r.BlockChanged(key, wire.Encode(updated), 9); r.cache.recency.Remove(lastBlockKey) }, // and is evicted
		func(r *Reader) { r.Reset() },
	} {
		lister := &hookedLister{page: &wire.KeyValueList{Revision: 5, Items: []wire.KeyValue{{Key: key, Value: wire.Encode(old), Version: 4}}}}
		r := NewReader(lister, 8, slog.New(slog.DiscardHandler))
		lister.beforeReply = func() { duringRead(r) }
		if _, known, err := r.Find(t.Context(), "wk-1"); !known || err != nil {
			t.Errorf("wk-1: %v, %v", known, err)
		}
		lister.beforeReply = func() {}
		lister.page = &wire.KeyValueList{Revision: 9, Items: []wire.KeyValue{{Key: key, Value: wire.Encode(updated), Version: 9}}}
		if _, known, err := r.Find(t.Context(), "wk-2"); !known || err != nil {
			t.Errorf("wk-2 is not found, the stale block was cached: %v, %v", known, err)
		}
	}
}

// hookedLister returns a fixed page after calling a hook.
type hookedLister struct {
	page        *wire.KeyValueList
	beforeReply func()
}

func (s *hookedLister) List(context.Context, string, string, int) (*wire.KeyValueList, error) {
	page := s.page
	s.beforeReply() // while the response is in flight
	return page, nil
}

// TestVerifyFindsFaults adds one inconsistency of each kind to a consistent state.
func TestVerifyFindsFaults(t *testing.T) {
	entry := func(id string) jobblock.Entry { return jobblock.Entry{ID: id, Stage: wire.Done, Tasks: 1} }
	block := func(to, from string, entries ...jobblock.Entry) wire.KeyValue {
		return wire.KeyValue{Key: store.ArchivePrefix + to, Value: wire.Encode(jobblock.Pack(from, entries)), Version: 3}
	}
	put := func(key string, v any) wire.KeyValue {
		return wire.KeyValue{Key: key, Value: wire.Encode(v), Version: 3}
	}
	consistent := []wire.KeyValue{put(store.FormatKey, store.FormatRecord{Format: store.Format}), put(store.FencingTokenKey, uint64(4)),
		block("0250", "", entry("wk-7")), block(lastBlockKey, "0250", entry("wk-60"))}
	if r := Verify(t.Context(), consistent); len(r.Problems) > 0 {
		t.Fatalf("problems in a consistent state: %v", r.Problems)
	}
	newer, damaged := jobblock.Pack("", nil), jobblock.Pack("", []jobblock.Entry{entry("wk-1")})
	newer.Format++
	damaged.Checksum = "0"
	for name, test := range map[string]struct {
		want string
		item wire.KeyValue
	}{
		"a gap":                 {"covered", block("0250", "03")},
		"out of order":          {"does not cover", block("0250", "", entry("wk-99"))},
		"no last block":         {"covered", wire.KeyValue{}},
		"a newer block":         {"newer", put(store.ArchivePrefix+"0250", newer)},
		"a damaged block":       {"damaged", put(store.ArchivePrefix+"0250", damaged)},
		"a differing answer":    {"is called", put(store.RecentKey(0), jobblock.Pack("", []jobblock.Entry{{ID: "wk-7", Stage: wire.Cancelled, Tasks: 1}}))},
		"a job that came back":  {"live", put(store.BatchKey("b"), store.BatchRecord{Jobs: map[string]store.JobRecord{"wk-7": {Stage: wire.Pending, Job: &wire.Job{ID: "wk-7"}}}})},
		"a fencing token above": {"term", put(store.LeaderKey("fleet"), store.LeaderRecord{FencingToken: 5, Format: 2})},
		"an unknown key":        {"unknown", put(store.StatePrefix+"what/1", 1)},
		"a newer state":         {"newer", put(store.FormatKey, store.FormatRecord{Format: store.FormatSharded + 1})},
	} {
		items := map[string]wire.KeyValue{}
		for _, item := range consistent {
			items[item.Key] = item
		}
		if test.item.Key == "" {
			delete(items, store.ArchivePrefix+lastBlockKey)
		} else {
			items[test.item.Key] = test.item
		}
		var list []wire.KeyValue
		for _, item := range items {
			list = append(list, item)
		}
		if got := strings.Join(Verify(t.Context(), list).Problems, "\n"); !strings.Contains(got, test.want) {
			t.Errorf("%s: %q", name, got)
		}
	}
}

// countingLister counts the reads, and how many of them are concurrent at most.
type countingLister struct {
	Lister
	total, current, peak atomic.Int64
}

func (c *countingLister) List(ctx context.Context, prefix, after string, limit int) (*wire.KeyValueList, error) {
	c.total.Add(1)
	c.peak.Store(max(c.peak.Load(), c.current.Add(1)))
	defer c.current.Add(-1)
	time.Sleep(40 * time.Millisecond)
	return c.Lister.List(ctx, prefix, after, limit)
}

// TestColdReaderLimitsConcurrentReads looks up all ended jobs at once with an empty cache, as after
// a start. There must be no more reads than blocks, and no more than two at a time, because the
// read barriers of all other requests need the same request rate.
func TestColdReaderLimitsConcurrentReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, tinyLimits)
		h.compactor.MergeThreshold = 0
		ids := rand.New(rand.NewPCG(1, 1)).Perm(900_000)
		for i := range 300 {
			rec := store.BatchRecord{Jobs: map[string]store.JobRecord{}}
			for k := range 10 {
				id := fmt.Sprintf("wk-%06d", ids[i*10+k])
				rec.Jobs[id] = store.JobRecord{Stage: wire.Done, Tasks: 1 + k, Ended: 1}
				h.reportedStages[id] = wire.Done
			}
			h.mustCommit(wire.Txn{Then: []wire.Operation{{Put: store.BatchKey(fmt.Sprint(i)), Value: rec}}})
			_ = h.Barrier(t.Context())
			if err := h.compactAll(); err != nil {
				t.Fatal(err)
			}
		}
		lister := &countingLister{Lister: h}
		r := NewReader(lister, 1000, slog.New(slog.DiscardHandler))
		var group sync.WaitGroup
		for id, stage := range h.reportedStages {
			if _, known := h.view.Job(id); known {
				continue
			}
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 1700*time.Millisecond)
				defer cancel()
				if e, known, err := r.Find(ctx, id); !known || e.Stage != stage {
					t.Errorf("job %s was %s, now reported as %s (%v)", id, stage, e.Stage, err)
				}
			})
		}
		group.Wait()
		if blocks := int64(len(h.store.Page(store.ArchivePrefix, store.ArchivePrefix, 1000).Items)); blocks < 8 || lister.total.Load() > blocks || lister.peak.Load() > maxConcurrentReads {
			t.Errorf("%d reads of %d blocks, at most %d concurrent", lister.total.Load(), blocks, lister.peak.Load())
		}
	})
}
