package store

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/wire"
)

// LiveJob is a job that is neither done nor cancelled. Since is the revision
// from which on it is known.
type LiveJob struct {
	Record        JobRecord
	Batch         *Batch
	SinceRevision uint64
}

// RecentBlock is a block of jobs that are over and on their way into the history.
type RecentBlock struct {
	Index   int
	Version uint64
	Block   *jobblock.Block // nil where it was not understood
	Bytes   int
}

// putBatch takes in a home's newest value.
func (v *View) putBatch(h *Batch) {
	old := v.batches[h.Key]
	if old != nil && old.Version >= h.Version {
		return // taken in ahead of the watch
	}
	v.batches[h.Key] = h
	if old != nil {
		v.detach(old)
	}
	for _, m := range h.Jobs {
		v.batchesOf[m.ID] = append(v.batchesOf[m.ID], h)
	}
	v.refresh(h)
	if old != nil {
		v.refresh(old)
	}
	v.refreshEnded(h)
}

// detach takes a home from the jobs that it held.
func (v *View) detach(h *Batch) {
	v.endedBatches.Delete(h)
	for _, m := range h.Jobs {
		v.batchesOf[m.ID] = slices.DeleteFunc(v.batchesOf[m.ID], func(o *Batch) bool { return o == h })
		if len(v.batchesOf[m.ID]) == 0 {
			delete(v.batchesOf, m.ID)
		}
	}
}

// refresh finds out about all jobs of a home, and which of their other homes are
// over by it.
func (v *View) refresh(h *Batch) {
	for _, m := range h.Jobs {
		v.refreshJob(m.ID)
	}
	for _, m := range h.Jobs {
		for _, other := range v.batchesOf[m.ID] {
			if other != h {
				v.refreshEnded(other)
			}
		}
	}
}

// refreshEnded notes whether every job of a home is over.
func (v *View) refreshEnded(h *Batch) {
	for _, m := range h.Jobs {
		if v.liveJobs[m.ID] != nil {
			v.endedBatches.Delete(h)
			return
		}
	}
	v.endedBatches.Set(h)
}

// refreshJob finds out what a job's homes and the recent blocks say of it. The
// same job may be in several batches: the first revision that holds it is its
// beginning, and an end anywhere is its end.
func (v *View) refreshJob(id string) {
	delete(v.liveJobs, id)
	delete(v.endedJobs, id)
	if len(v.batchesOf[id]) == 0 {
		return
	}
	// What was folded came first: an end that comes late changes nothing.
	e, compacted := v.recentEntry(id)
	if compacted {
		v.endedJobs[id] = &JobRecord{Stage: e.Stage, Tasks: e.Tasks}
	}
	var batch *Batch
	since := uint64(0)
	for _, h := range v.batchesOf[id] {
		rec := h.job(id)
		if !compacted && (rec.Stage.Final() || rec.Job == nil) {
			v.endedJobs[id] = rec
		}
		if since == 0 || h.SinceRevision < since {
			since = h.SinceRevision
		}
		// A key of its own goes before a batch, as it did in version 1.
		if batch == nil || h.standalone && !batch.standalone || h.standalone == batch.standalone && h.SinceRevision < batch.SinceRevision {
			batch = h
		}
	}
	if _, over := v.endedJobs[id]; !over {
		v.liveJobs[id] = &LiveJob{*batch.job(id), batch, since}
	}
}

func (v *View) recentEntry(id string) (jobblock.Entry, bool) {
	for _, r := range v.recentBlocks {
		if r.Block != nil {
			if e, ok := r.Block.Find(id); ok {
				return e, true
			}
		}
	}
	return jobblock.Entry{}, false
}

func (v *View) putRecentBlock(key, name string, raw wire.Raw, version uint64) {
	index, err := strconv.Atoi(name)
	if err != nil || index < 0 {
		v.markUnreadable(key, fmt.Errorf("%q is not a slot", name))
		return
	}
	r := RecentBlock{Index: index, Version: version}
	if rec, ok := decodeRecord[jobblock.Record](v, key, raw); ok {
		if r.Block, err = rec.Unpack(); err != nil {
			v.markUnreadable(key, err)
		}
		r.Bytes = rec.Bytes()
	}
	v.recentBlocks[index] = r
	if r.Block == nil {
		return
	}
	for _, e := range r.Block.Entries() { // a home may still call it live
		for _, h := range v.batchesOf[e.ID] {
			v.refreshJob(e.ID)
			v.refreshEnded(h)
		}
	}
}

// Job looks a job up; its description is there only while it is live. One that
// is not known may stand in the history.
func (v *View) Job(id string) (rec JobRecord, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if l, ok := v.liveJobs[id]; ok {
		return l.Record, true
	}
	if rec, ok := v.endedJobs[id]; ok {
		return *rec, true
	}
	if e, ok := v.recentEntry(id); ok {
		return JobRecord{Stage: e.Stage, Tasks: e.Tasks}, true
	}
	return JobRecord{}, false
}

// Live looks a job up that is not over.
func (v *View) Live(id string) (*LiveJob, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, ok := v.liveJobs[id]
	return l, ok
}

// Compacted reports whether a job is over and was folded: no task of it can be
// anywhere any more.
func (v *View) Compacted(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	key, _ := v.unreadableRecordFor(id)
	return len(v.batchesOf[id]) == 0 && key == ""
}

// EndedBatches lists homes of which every job is over, the oldest first: at most so many
// of those that fit.
func (v *View) EndedBatches(limit int, accept func(*Batch) bool) []*Batch {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []*Batch
	v.endedBatches.Scan(func(h *Batch) bool {
		if accept(h) {
			out = append(out, h)
		}
		return len(out) < limit
	})
	return out
}

// RecentBlocks lists the recent blocks in order of their slots.
func (v *View) RecentBlocks() []RecentBlock {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.SortedFunc(maps.Values(v.recentBlocks), func(a, b RecentBlock) int { return a.Index - b.Index })
}

// Size tells how much the view holds: jobs that are live, jobs that are over and
// have a home, homes, and jobs in recent blocks.
func (v *View) Size() (live, ended, batches, recent int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.recentBlocks {
		if r.Block != nil {
			recent += r.Block.Len()
		}
	}
	return len(v.liveJobs), len(v.endedJobs), len(v.batches), recent
}

// Uncompacted reports whether there are homes of which every job is over.
func (v *View) Uncompacted() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.endedBatches.Len() > 0
}

// OldestEnd is when the first of the jobs ended that wait to be folded.
func (v *View) OldestEnd() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	var at int64
	if h, ok := v.endedBatches.Min(); ok {
		for _, m := range h.Jobs {
			if e := m.Record.Ended; e > 0 && (at == 0 || e < at) {
				at = e
			}
		}
	}
	if at == 0 {
		return time.Time{}
	}
	return time.UnixMilli(at)
}
