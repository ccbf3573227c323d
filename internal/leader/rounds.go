package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/leader/commit"
)

// roundState is what the leader keeps from one round to the next. Deciding, committing and discarding a
// round change it; ends of tasks and the cloud's lists add what the next one is to write.
type roundState struct {
	lastRound       uint64    // number of the last committed round
	lastDecided     time.Time // when a round was last decided
	lastReconciled  time.Time // when the placements were last compared with the jobs
	attemptSequence uint64    // of attempts and scale-out requests under the fencing token
	sizes           commit.SizeBackoff
	conflicts       commit.ConflictBackoff
	unstored        commit.CompletionQueue // jobs with tasks that have finished and are not stored as such
	machinesToDrop  map[string]bool        // machines whose records are to be deleted
	typesChanged    bool                   // the machine types are to be stored
}

func newRoundState(last uint64, now time.Time) roundState {
	return roundState{lastRound: last, lastDecided: now, unstored: commit.CompletionQueue{}, machinesToDrop: map[string]bool{}}
}

// attemptBits is how many bits of an attempt count the attempts under one fencing token, which is in
// the bits above: so attempts of a later leader are always newer.
const attemptBits = 24

// nextAttempt returns an attempt that no leader has given before.
func (r *roundState) nextAttempt(token uint64) uint64 {
	r.attemptSequence++
	return token<<attemptBits | r.attemptSequence
}

// splitAttempt returns the fencing token of an attempt, and its number under that.
func splitAttempt(attempt uint64) (token, number uint64) {
	return attempt >> attemptBits, attempt & (1<<attemptBits - 1)
}

// recoveryState says how much of the fleet is accounted for since the leader was elected. Taking a snapshot
// of the cluster sets it, and nothing takes it back.
type recoveryState struct {
	rebuilt          bool // every machine is
	rebuiltReachable bool // every machine is but those that are unreachable
}
