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

// tinyLimits makes everything happen with few jobs: blocks split, recent blocks fill,
// and each write is small.
var tinyLimits = Limits{ValueBytes: 1024, TxnOps: 4}

// submitAndEnd submits jobs and ends most of them; what users were told is kept.
func (w *harness) submitAndEnd(random *rand.Rand, name string, ids []string) {
	for i := 0; i < len(ids); i += 3 {
		w.mustCommit(w.submission(fmt.Sprintf("%s-%d", name, i), ids[i:min(i+3, len(ids))]...))
	}
	_ = w.Barrier(context.Background())
	for _, id := range ids {
		stage := wire.Done
		switch random.IntN(8) {
		case 0:
			continue // goes on
		case 1, 2:
			stage = wire.Cancelled
		}
		w.mustCommit(w.endJob(id, stage))
		_ = w.Barrier(context.Background())
		w.reportedStages[id] = stage
	}
}

// checkAnswers asks about every job whose end its user was told.
func (w *harness) checkAnswers(when string) {
	w.t.Helper()
	for id, stage := range w.reportedStages {
		if got := w.lookUp(id); got != string(stage) {
			w.t.Fatalf("%s: %s was %s, is called %s", when, id, stage, got)
		}
	}
	for _, id := range []string{"wk-x", "wk-0", "wk-99999999999"} {
		if got := w.lookUp(id); w.reportedStages[id] == "" && got != "not known" {
			w.t.Fatalf("%s: %s, which nobody submitted, is called %s", when, id, got)
		}
	}
}

// compactAll compacts until there is nothing to do or the compactor crashes.
func (w *harness) compactAll() error {
	for {
		more, err := w.compactor.Step(context.Background())
		if errors.Is(err, errStale) {
			continue
		}
		if err != nil || !more {
			return err
		}
	}
}

// TestCompactorCrashAtEveryWrite ends the compactor at each of its writes in turn. The write
// is then committed without an answer, or arrives after the next compactor has begun: no answer is
// ever lost or changed, and in the end everything is where it belongs.
func TestCompactorCrashAtEveryWrite(t *testing.T) {
	for _, fate := range []string{"taken", "held"} {
		for at := 0; ; at++ {
			w := newHarness(t, tinyLimits)
			w.compactor.MergeThreshold = 1
			random := rand.New(rand.NewPCG(uint64(at), 1))
			w.writesUntilCrash, w.crashOutcome = at, fate
			crashed := false
			var late []wire.Txn
			for i := range 12 {
				var ids []string
				for k := range 20 {
					ids = append(ids, fmt.Sprintf("wk-%06d", (random.IntN(4000)*12+i)*20+k))
				}
				w.submitAndEnd(random, fmt.Sprintf("b-%d", i), ids)
				late = append(late, w.submission(fmt.Sprintf("late-%d", i), ids[0])) // a copy, on its way
				if err := w.compactAll(); err != nil {
					crashed = true
					w.checkAnswers(fmt.Sprintf("crash at write %d, %s", at, fate))
					w.start(tinyLimits)
					w.compactor.MergeThreshold = 1
					w.checkAnswers("after the restart")
				}
				if i == 9 {
					w.deliver(nil)
					w.delayed = late
					w.deliver(nil)
				}
			}
			for range 3 {
				if err := w.compactAll(); err != nil {
					t.Fatal(err)
				}
			}
			w.checkAnswers("in the end")
			w.start(tinyLimits)
			w.checkAnswers("read anew")
			if problems := Verify(context.Background(), w.items()).Problems; len(problems) > 0 {
				t.Fatalf("crash at write %d, %s: %v", at, fate, problems)
			}
			if !crashed {
				if at < 20 {
					t.Fatalf("only %d writes", at)
				}
				break
			}
		}
	}
}

func (w *harness) items() []wire.KeyValue { return w.store.Page(store.CommonPrefix, "", 0).Items }

// TestArchiveOfManyJobs compacts 40,000 jobs, their ids spread at random over ten times as
// many and some of 12 digits: keys and the list of a start stay few, each job is
// found by one look, and changes are counted.
func TestArchiveOfManyJobs(t *testing.T) {
	lim := Limits{ValueBytes: 8192, TxnOps: 20}
	w := newHarness(t, lim)
	random := rand.New(rand.NewPCG(3, 3))
	const jobs, each = 40_000, 16
	ids := random.Perm(jobs * 10)
	_, before, _ := w.store.Counts()
	for i := 0; i < jobs; i += each {
		rec := store.BatchRecord{Jobs: map[string]store.JobRecord{}}
		for k := range each {
			id := fmt.Sprintf("wk-%06d", ids[i+k])
			if k == 0 {
				id = fmt.Sprintf("wk-%012d", ids[i]*1_000_003)
			}
			stage := []wire.Stage{wire.Done, wire.Cancelled}[k%2]
			rec.Jobs[id] = store.JobRecord{Stage: stage, Tasks: 1 + k, Ended: 1}
			w.reportedStages[id] = stage
		}
		w.mustCommit(wire.Txn{Then: []wire.Operation{{Put: store.BatchKey(fmt.Sprint(i)), Value: rec}}})
		if i%(each*64) == 0 {
			_ = w.Barrier(t.Context())
			if err := w.compactAll(); err != nil {
				t.Fatal(err)
			}
		}
	}
	_ = w.Barrier(t.Context())
	if err := w.compactAll(); err != nil {
		t.Fatal(err)
	}
	_, changes, keys := w.store.Counts()
	compaction := changes - before - jobs/each
	if keys > jobs/100 || compaction > jobs/8 {
		t.Errorf("%d keys, %d changes of compaction for %d jobs", keys, compaction, jobs)
	}
	w.start(lim)
	if n := len(w.store.Page(store.StatePrefix, "", 0).Items); n > 20 {
		t.Errorf("a start reads %d keys", n)
	}
	asked := 0
	for id, stage := range w.reportedStages {
		if asked++; asked > 2000 {
			break
		}
		if got := w.lookUp(id); got != string(stage) {
			t.Fatalf("%s was %s, is called %s", id, stage, got)
		}
	}
	if c := w.reader.Stats(); c.Reads > 40 {
		t.Errorf("%d reads for %d blocks", c.Reads, c.Cached)
	}
	if r := Verify(t.Context(), w.items()); len(r.Problems) > 0 || r.Ended != jobs {
		t.Errorf("%d jobs, problems %v", r.Ended, r.Problems)
	}
}

// TestJobCancelledDuringStaging: the leader says which jobs may have a task somewhere, and just after that
// another is launched and cancelled, before the compactor looks which jobs have ended. Its task may
// run: it is compacted only after the leader was asked again.
func TestJobCancelledDuringStaging(t *testing.T) {
	w := newHarness(t, tinyLimits)
	w.mustCommit(w.submission("a", "wk-1"))
	w.mustCommit(w.submission("b", "wk-2"))
	_ = w.Barrier(t.Context())
	w.mustCommit(w.endJob("wk-1", wire.Done))
	_ = w.Barrier(t.Context())
	asked := 0
	w.compactor.JobsWithTasks = func() (map[string]bool, bool) {
		if asked++; asked > 1 {
			return map[string]bool{"wk-2": true}, true
		}
		defer func() {
			w.mustCommit(w.endJob("wk-2", wire.Cancelled))
			_ = w.Barrier(t.Context())
		}()
		return nil, true
	}
	for range 2 {
		if err := w.compactAll(); err != nil {
			t.Fatal(err)
		}
	}
	if w.view.Compacted("wk-2") || !w.view.Compacted("wk-1") || asked < 2 {
		t.Errorf("settled: wk-1 %v, wk-2 %v, after %d questions", w.view.Compacted("wk-1"), w.view.Compacted("wk-2"), asked)
	}
}

// TestOutageDuringCompaction: refusals and silence end a step, with nothing half done
// that the next does not finish.
func TestOutageDuringCompaction(t *testing.T) {
	w := newHarness(t, tinyLimits)
	w.compactor.MergeThreshold = 1
	random := rand.New(rand.NewPCG(5, 5))
	for i := range 40 {
		var ids []string
		for k := range 10 {
			ids = append(ids, fmt.Sprintf("wk-%d", i*100+k))
		}
		w.submitAndEnd(random, fmt.Sprintf("b-%d", i), ids)
		if i%3 == 0 {
			w.storeError = fmt.Errorf("%w: status 429", store.ErrRefused)
			if err := w.compactAll(); !errors.Is(err, store.ErrRefused) {
				t.Fatalf("a refusal became %v", err)
			}
			w.storeError = nil
		}
	}
	if err := w.compactAll(); err != nil {
		t.Fatal(err)
	}
	w.checkAnswers("in the end")
	_, ended, _, _ := w.view.Size()
	if batches := w.view.EndedBatches(99, func(*store.Batch) bool { return true }); len(batches) > 0 {
		t.Errorf("%d batches are left, %d jobs", len(batches), ended)
	}
}

// TestReaderDoesNotCacheStaleBlocks: a block that was read before a change of it that is
// known already, or before changes were missed, answers once and is not kept.
func TestReaderDoesNotCacheStaleBlocks(t *testing.T) {
	old := jobblock.Pack("", []jobblock.Entry{{ID: "wk-1", Stage: wire.Done, Tasks: 1}})
	newer := jobblock.Pack("", []jobblock.Entry{{ID: "wk-1", Stage: wire.Done, Tasks: 1}, {ID: "wk-2", Stage: wire.Done, Tasks: 1}})
	key := store.ArchivePrefix + lastBlockKey
	for _, meanwhile := range []func(r *Reader){
		func(r *Reader) { r.BlockChanged(key, wire.Encode(newer), 9) },
		func(r *Reader) { r.BlockChanged(key, wire.Encode(newer), 9); r.cache.recency.Remove(lastBlockKey) }, // and fell out of the cache
		func(r *Reader) { r.Reset() },
	} {
		slow := &hookedLister{page: &wire.KeyValueList{Revision: 5, Items: []wire.KeyValue{{Key: key, Value: wire.Encode(old), Version: 4}}}}
		r := NewReader(slow, 8, slog.New(slog.DiscardHandler))
		slow.beforeReply = func() { meanwhile(r) }
		if _, known, err := r.Find(t.Context(), "wk-1"); !known || err != nil {
			t.Errorf("wk-1: %v, %v", known, err)
		}
		slow.beforeReply = func() {}
		slow.page = &wire.KeyValueList{Revision: 9, Items: []wire.KeyValue{{Key: key, Value: wire.Encode(newer), Version: 9}}}
		if _, known, err := r.Find(t.Context(), "wk-2"); !known || err != nil {
			t.Errorf("wk-2 is not found in what was read before it came: %v, %v", known, err)
		}
	}
}

type hookedLister struct {
	page        *wire.KeyValueList
	beforeReply func()
}

func (s *hookedLister) List(context.Context, string, string, int) (*wire.KeyValueList, error) {
	page := s.page
	s.beforeReply() // while the answer is on its way
	return page, nil
}

// TestVerifyFindsFaults plants one fault of each kind into a state that is whole.
func TestVerifyFindsFaults(t *testing.T) {
	entry := func(id string) jobblock.Entry { return jobblock.Entry{ID: id, Stage: wire.Done, Tasks: 1} }
	block := func(to, from string, entries ...jobblock.Entry) wire.KeyValue {
		return wire.KeyValue{Key: store.ArchivePrefix + to, Value: wire.Encode(jobblock.Pack(from, entries)), Version: 3}
	}
	put := func(key string, v any) wire.KeyValue {
		return wire.KeyValue{Key: key, Value: wire.Encode(v), Version: 3}
	}
	whole := []wire.KeyValue{put(store.FormatKey, store.FormatRecord{Format: store.Format}), put(store.FencingTokenKey, uint64(4)),
		block("0250", "", entry("wk-7")), block(lastBlockKey, "0250", entry("wk-60"))}
	if r := Verify(t.Context(), whole); len(r.Problems) > 0 {
		t.Fatalf("the state is whole: %v", r.Problems)
	}
	newer, damaged := jobblock.Pack("", nil), jobblock.Pack("", []jobblock.Entry{entry("wk-1")})
	newer.Format++
	damaged.Checksum = "0"
	for name, c := range map[string]struct {
		says string
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
		for _, it := range whole {
			items[it.Key] = it
		}
		if c.item.Key == "" {
			delete(items, store.ArchivePrefix+lastBlockKey)
		} else {
			items[c.item.Key] = c.item
		}
		var list []wire.KeyValue
		for _, it := range items {
			list = append(list, it)
		}
		if got := strings.Join(Verify(t.Context(), list).Problems, "\n"); !strings.Contains(got, c.says) {
			t.Errorf("%s: %q", name, got)
		}
	}
}

// countingLister counts the reads that are made, and how many at the same time.
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

// TestColdReaderLimitsConcurrentReads: after a start, users ask about all ended jobs at once.
// A few reads answer all of them, and never more than two at a time take the requests that the
// barriers of all other questions need.
func TestColdReaderLimitsConcurrentReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(t, tinyLimits)
		w.compactor.MergeThreshold = 0
		ids := rand.New(rand.NewPCG(1, 1)).Perm(900_000)
		for i := range 300 {
			rec := store.BatchRecord{Jobs: map[string]store.JobRecord{}}
			for k := range 10 {
				id := fmt.Sprintf("wk-%06d", ids[i*10+k])
				rec.Jobs[id] = store.JobRecord{Stage: wire.Done, Tasks: 1 + k, Ended: 1}
				w.reportedStages[id] = wire.Done
			}
			w.mustCommit(wire.Txn{Then: []wire.Operation{{Put: store.BatchKey(fmt.Sprint(i)), Value: rec}}})
			_ = w.Barrier(t.Context())
			if err := w.compactAll(); err != nil {
				t.Fatal(err)
			}
		}
		list := &countingLister{Lister: w}
		r := NewReader(list, 1000, slog.New(slog.DiscardHandler))
		var group sync.WaitGroup
		for id, stage := range w.reportedStages {
			if _, known := w.view.Job(id); known {
				continue
			}
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 1700*time.Millisecond)
				defer cancel()
				if e, known, err := r.Find(ctx, id); !known || e.Stage != stage {
					t.Errorf("%s was %s, is called %s (%v)", id, stage, e.Stage, err)
				}
			})
		}
		group.Wait()
		if blocks := int64(len(w.store.Page(store.ArchivePrefix, store.ArchivePrefix, 1000).Items)); blocks < 8 || list.total.Load() > blocks || list.peak.Load() > maxConcurrentReads {
			t.Errorf("%d reads of %d blocks, %d at the same time", list.total.Load(), blocks, list.peak.Load())
		}
	})
}
