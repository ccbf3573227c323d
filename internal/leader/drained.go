package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/store"
)

// recordLiveRevisions records for each known job the last revision at which it was live.
func (l *Leader) recordLiveRevisions(snap store.Snapshot) {
	if l.sharding.IsSingle() {
		return
	}
	for id, j := range l.jobStates {
		if snap.LiveJobs[id] != nil {
			j.liveRevision = max(j.liveRevision, snap.Revision)
		}
	}
}

// drainedRevision returns the revision up to which this shard is drained of ended jobs: no task of a job that had
// ended by that revision can still be in this shard. Ended jobs are compacted only once all shards are drained of them.
func (l *Leader) drainedRevision(revision uint64) uint64 {
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

// drainedInterval is the minimum time between rounds that are written only to record the drained revision.
const drainedInterval = 5 * time.Second

// drainedRoundDue reports whether a round is due only to record the drained revision.
func (l *Leader) drainedRoundDue(now time.Time, drained uint64) bool {
	return drained > l.drainedWritten && now.Sub(l.lastDecidedAt) >= drainedInterval && l.jobIndex.HasEndedBatches()
}
