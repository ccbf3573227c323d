package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/leader/commit"
)

// roundState is what the leader keeps from one round to the next.
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

// recoveryState says how much of the fleet is accounted for since the leader was elected.
type recoveryState struct {
	rebuilt          bool // every machine is
	rebuiltReachable bool // every machine is but those that are unreachable
}
