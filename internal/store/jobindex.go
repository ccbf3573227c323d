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
	Batch         *Batch // the batch whose version orders its launch, cancellation and end
	SinceRevision uint64 // the revision at which a batch first held it
}

// RecentBlock is a block of ended jobs that are not archived yet.
type RecentBlock struct {
	Index   int
	Version uint64
	Block   *jobblock.Block // nil if the record can't be decoded
	Bytes   int
}

// jobIndex finds jobs by ID in all batches and recent blocks, and finds the batches whose jobs have
// all ended. It has no lock of its own; the lock of its View protects it.
//
// A job may be in several batches, because a client that gets no response retries the submission
// at another controller. The job begins at the first revision at which a batch holds it, and has
// ended if it has ended in any batch.
type jobIndex struct {
	batches      map[string]*Batch     // by key
	batchesOf    map[string][]*Batch   // by job id
	live         map[string]*LiveJob   // by job id
	ended        map[string]*JobRecord // jobs that have ended but are still in a batch, by job id
	endedBatches *btree.BTreeG[*Batch] // batches whose jobs have all ended, oldest first
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

// putBatch adds or replaces a batch.
func (x *jobIndex) putBatch(b *Batch) {
	old := x.batches[b.Key]
	if old != nil && old.Version >= b.Version {
		return // the value was applied before the watch delivered it
	}
	x.batches[b.Key] = b
	if old != nil {
		x.detach(old)
	}
	for _, job := range b.Jobs {
		x.batchesOf[job.ID] = append(x.batchesOf[job.ID], b)
	}
	x.refreshJobs(b)
	if old != nil {
		x.refreshJobs(old)
	}
	x.refreshEnded(b)
}

// removeBatch removes a deleted batch.
func (x *jobIndex) removeBatch(key string) {
	b := x.batches[key]
	if b == nil {
		return
	}
	delete(x.batches, key)
	x.detach(b)
	x.refreshJobs(b)
}

// detach removes a batch from the index entries of its jobs.
func (x *jobIndex) detach(b *Batch) {
	x.endedBatches.Delete(b)
	for _, job := range b.Jobs {
		x.batchesOf[job.ID] = slices.DeleteFunc(x.batchesOf[job.ID], func(o *Batch) bool { return o == b })
		if len(x.batchesOf[job.ID]) == 0 {
			delete(x.batchesOf, job.ID)
		}
	}
}

// refreshJobs recomputes the state of all jobs of a batch, and whether the other batches that hold
// these jobs still have live ones.
func (x *jobIndex) refreshJobs(b *Batch) {
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

// refreshEnded updates whether a batch is among those whose jobs have all ended.
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
	if end := x.endRecord(id, batches); end != nil {
		x.ended[id] = end
		return
	}
	batch := owningBatch(batches)
	x.live[id] = &LiveJob{*batch.job(id), batch, firstRevision(batches)}
}

// endRecord returns the record of an ended job, or nil for a live job. An end in a recent block
// takes precedence: it was recorded first, and an end that a batch records later changes nothing.
func (x *jobIndex) endRecord(id string, batches []*Batch) (end *JobRecord) {
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

// owningBatch returns the batch whose version orders a job's changes: the oldest one, except that a
// job's own key of format 1 takes precedence over any batch, as it did in that format.
func owningBatch(batches []*Batch) *Batch {
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

// firstRevision returns the lowest revision at which one of the batches was created. Revision 0,
// which a batch that was never committed has, is ignored.
func firstRevision(batches []*Batch) uint64 {
	first := uint64(0)
	for _, b := range batches {
		if first == 0 || b.SinceRevision < first {
			first = b.SinceRevision
		}
	}
	return first
}

// recentEntry looks up a job in the recent blocks.
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

// putRecentBlock adds or replaces a recent block. Its jobs may still be live according to a batch, so
// their state is recomputed.
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

// job looks up the record of a job. The record of a compacted job has only the stage and the number
// of tasks.
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

// selectEnded lists, oldest first, at most limit batches whose jobs have all ended and for which
// accept returns true.
func (x *jobIndex) selectEnded(limit int, accept func(*Batch) bool) (out []*Batch) {
	x.endedBatches.Scan(func(b *Batch) bool {
		if accept(b) {
			out = append(out, b)
		}
		return len(out) < limit
	})
	return out
}

// sortedRecentBlocks lists the recent blocks in the order of their indexes.
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

// oldestEnd returns the earliest end time of the jobs in the oldest batch that waits for compaction.
// It returns the zero time if no batch waits or none of the batch's jobs has an end time.
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
