package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/store"
)

// noteLiveJobs records the revision at which the jobs of this shard were last seen live.
func (l *Leader) noteLiveJobs(snap store.Snapshot) {
	if l.sharding.IsSingle() {
		return
	}
	for id, j := range l.jobStates {
		if snap.LiveJobs[id] != nil {
			j.liveRevision = max(j.liveRevision, snap.Revision)
		}
	}
}

// clearedRevision gives the revision up to which no task may be in this shard of any job that had ended by then.
// The compaction of ended jobs of all shards depends on it.
func (l *Leader) clearedRevision(revision uint64) uint64 {
	if l.sharding.IsSingle() || !l.rebuiltReachable {
		return 0
	}
	for _, m := range l.fleet.Machines() {
		for _, p := range m.Placements() {
			if l.liveJobs[p.Task.Job] == nil && !p.IsTombstone() {
				revision = min(revision, l.jobState(p.Task.Job).liveRevision)
			}
		}
	}
	return revision
}

// clearedInterval is the least time between rounds that are written only to record the cleared revision.
const clearedInterval = 5 * time.Second

// clearedDue reports whether a round is to be written only to record the cleared revision.
func (l *Leader) clearedDue(now time.Time, cleared uint64) bool {
	return cleared > l.clearedWritten && now.Sub(l.lastDecided) >= clearedInterval && l.jobIndex.Uncompacted()
}
