package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/store"
)

// noteLiveJobs notes which jobs of this part are live at a snapshot.
func (h *Leader) noteLiveJobs(snap store.Snapshot) {
	if h.sharding.IsSingle() {
		return
	}
	for id, j := range h.jobStates {
		if snap.LiveJobs[id] != nil {
			j.liveRevision = max(j.liveRevision, snap.Revision)
		}
	}
}

// clearedRevision tells up to which revision no task is in this part of any job that had ended by
// then. Whoever folds the jobs of all parts rests on it.
func (h *Leader) clearedRevision(revision uint64) uint64 {
	if h.sharding.IsSingle() || !h.rebuiltReachable {
		return 0
	}
	for _, m := range h.fleet.Machines() {
		for _, p := range m.Placements() {
			if h.liveJobs[p.Task.Job] == nil && !p.IsTombstone() {
				revision = min(revision, h.jobState(p.Task.Job).liveRevision)
			}
		}
	}
	return revision
}

// clearedInterval is how often a round is written only to say up to when this part is clear.
const clearedInterval = 5 * time.Second

func (h *Leader) clearedDue(now time.Time, cleared uint64) bool {
	return cleared > h.clearedWritten && now.Sub(h.lastDecided) >= clearedInterval && h.jobIndex.Uncompacted()
}
