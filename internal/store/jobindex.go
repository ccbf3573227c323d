package store

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/tidwall/btree"

	"amberdeal.example/amberdeal/internal/jobblock"
)

// LiveJob is a job that is neither done nor cancelled.
type LiveJob struct {
	Record        JobRecord
	Batch         *Batch // the batch that orders its launch, cancellation and end
	SinceRevision uint64 // the first revision at which any batch held it
}

// RecentBlock is a block of ended jobs on their way into the archive.
type RecentBlock struct {
	Index   int
	Version uint64
	Block   *jobblock.Block // nil where the record is unreadable
	Bytes   int
}

// jobIndex finds jobs by id in all batches and recent blocks, and batches all of whose jobs
// have ended. It has no lock of its own; its View's guards it.
//
// A job may be in several batches, because a submission without an answer is sent again to
// another controller. The first revision that holds it is its beginning, and an end in any
// of them is its end.
type jobIndex struct {
	batches      map[string]*Batch     // by key
	batchesOf    map[string][]*Batch   // by job id
	live         map[string]*LiveJob   // by job id
	ended        map[string]*JobRecord // jobs that have ended and that a batch still holds
	endedBatches *btree.BTreeG[*Batch] // batches whose jobs have all ended, the oldest first
	recentBlocks map[int]RecentBlock
}

func newJobIndex() jobIndex {
	return jobIndex{
		batches:   make(map[string]*Batch),
		batchesOf: make(map[string][]*Batch),
		live:      make(map[string]*LiveJob),
		ended:     make(map[string]*JobRecord),
		endedBatches: btree.NewBTreeGOptions(func(a, b *Batch) bool {
			return cmp.Or(cmp.Compare(a.SinceRevision, b.SinceRevision), strings.Compare(a.Key, b.Key)) < 0
		}, btree.Options{NoLocks: true}),
		recentBlocks: make(map[int]RecentBlock),
	}
}

// putBatch takes a batch's newest value.
func (x *jobIndex) putBatch(b *Batch) {
	old := x.batches[b.Key]
	if old != nil && old.Version >= b.Version {
		return // it was taken ahead of the watch
	}
	x.batches[b.Key] = b
	if old != nil {
		x.detach(old)
	}
	for _, job := range b.Jobs {
		x.batchesOf[job.ID] = append(x.batchesOf[job.ID], b)
	}
	x.refresh(b)
	if old != nil {
		x.refresh(old)
	}
	x.refreshEnded(b)
}

// removeBatch takes the deletion of a batch.
func (x *jobIndex) removeBatch(key string) {
	b := x.batches[key]
	if b == nil {
		return
	}
	delete(x.batches, key)
	x.detach(b)
	x.refresh(b)
}

// detach removes a batch from the jobs that it held.
func (x *jobIndex) detach(b *Batch) {
	x.endedBatches.Delete(b)
	for _, job := range b.Jobs {
		x.batchesOf[job.ID] = slices.DeleteFunc(x.batchesOf[job.ID], func(o *Batch) bool { return o == b })
		if len(x.batchesOf[job.ID]) == 0 {
			delete(x.batchesOf, job.ID)
		}
	}
}

// refresh recomputes the state of all jobs of a batch, and whether the other batches that
// hold them have ended by it.
func (x *jobIndex) refresh(b *Batch) {
	for _, job := range b.Jobs {
		x.refreshJob(job.ID)
	}
	for _, job := range b.Jobs {
		for _, other := range x.batchesOf[job.ID] {
			if other != b {
				x.refreshEnded(other)
			}
		}
	}
}

// refreshEnded records whether every job of a batch has ended.
func (x *jobIndex) refreshEnded(b *Batch) {
	for _, job := range b.Jobs {
		if x.live[job.ID] != nil {
			x.endedBatches.Delete(b)
			return
		}
	}
	x.endedBatches.Set(b)
}

// refreshJob recomputes the state of a job from its batches and the recent blocks.
func (x *jobIndex) refreshJob(id string) {
	delete(x.live, id)
	delete(x.ended, id)
	batches := x.batchesOf[id]
	if len(batches) == 0 {
		return
	}
	if end := x.endOf(id, batches); end != nil {
		x.ended[id] = end
		return
	}
	batch := owner(batches)
	x.live[id] = &LiveJob{*batch.job(id), batch, firstRevision(batches)}
}

// endOf returns the record of a job's end, or nil for a live job. An end in a recent block
// was there before any in a batch: one that comes later changes nothing.
func (x *jobIndex) endOf(id string, batches []*Batch) (end *JobRecord) {
	if e, compacted := x.recentEntry(id); compacted {
		return &JobRecord{Stage: e.Stage, Tasks: e.Tasks}
	}
	for _, b := range batches {
		if rec := b.job(id); rec.Stage.Final() || rec.Job == nil {
			end = rec
		}
	}
	return end
}

// owner returns the batch that orders a job's changes: the oldest one, where a key of the
// job's own goes before any batch, as it did in format 1.
func owner(batches []*Batch) *Batch {
	first := batches[0]
	for _, b := range batches[1:] {
		if b.standalone != first.standalone {
			if b.standalone {
				first = b
			}
			continue
		}
		if b.SinceRevision < first.SinceRevision {
			first = b
		}
	}
	return first
}

// firstRevision returns the first revision at which one of the batches was there; 0, of a
// batch that never was at any, is not one.
func firstRevision(batches []*Batch) uint64 {
	first := uint64(0)
	for _, b := range batches {
		if first == 0 || b.SinceRevision < first {
			first = b.SinceRevision
		}
	}
	return first
}

// recentEntry looks a job up in the recent blocks.
func (x *jobIndex) recentEntry(id string) (jobblock.Entry, bool) {
	for _, r := range x.recentBlocks {
		if r.Block == nil {
			continue
		}
		if e, ok := r.Block.Find(id); ok {
			return e, true
		}
	}
	return jobblock.Entry{}, false
}

// putRecentBlock takes a recent block's newest value. A batch may still call its jobs live.
func (x *jobIndex) putRecentBlock(r RecentBlock) {
	x.recentBlocks[r.Index] = r
	if r.Block == nil {
		return
	}
	for _, e := range r.Block.Entries() {
		for _, b := range x.batchesOf[e.ID] {
			x.refreshJob(e.ID)
			x.refreshEnded(b)
		}
	}
}

// job looks up the record of a job, of which an ended one has only its stage and size.
func (x *jobIndex) job(id string) (rec JobRecord, known bool) {
	if l, ok := x.live[id]; ok {
		return l.Record, true
	}
	if rec, ok := x.ended[id]; ok {
		return *rec, true
	}
	if e, ok := x.recentEntry(id); ok {
		return JobRecord{Stage: e.Stage, Tasks: e.Tasks}, true
	}
	return JobRecord{}, false
}

// selectEnded lists, the oldest first, at most limit batches whose jobs have all ended and
// that are accepted.
func (x *jobIndex) selectEnded(limit int, accept func(*Batch) bool) (out []*Batch) {
	x.endedBatches.Scan(func(b *Batch) bool {
		if accept(b) {
			out = append(out, b)
		}
		return len(out) < limit
	})
	return out
}

// sortedRecentBlocks lists the recent blocks by their index.
func (x *jobIndex) sortedRecentBlocks() []RecentBlock {
	return slices.SortedFunc(maps.Values(x.recentBlocks), func(a, b RecentBlock) int { return a.Index - b.Index })
}

// recentJobs counts the jobs in recent blocks.
func (x *jobIndex) recentJobs() (n int) {
	for _, r := range x.recentBlocks {
		if r.Block != nil {
			n += r.Block.Len()
		}
	}
	return n
}

// oldestEnd returns when the first job ended of the oldest batch that waits for compaction,
// or zero where none waits or its jobs do not say when they ended.
func (x *jobIndex) oldestEnd() time.Time {
	b, ok := x.endedBatches.Min()
	if !ok {
		return time.Time{}
	}
	first := int64(0)
	for _, job := range b.Jobs {
		if ended := job.Record.Ended; ended > 0 && (first == 0 || ended < first) {
			first = ended
		}
	}
	if first == 0 {
		return time.Time{}
	}
	return time.UnixMilli(first)
}
