package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/leader/commit"
)

// roundState is what the leader keeps from one round to the next. It changes when a round is decided, committed or
// discarded. Finished tasks and machine lists of the cloud add to what the next round has to write.
type roundState struct {
	lastRound           uint64    // number of the last committed round
	lastDecidedAt       time.Time // when a round was last decided
	lastReconciledAt    time.Time // when the placements were last reconciled with the jobs
	attemptSequence     uint64    // last number given to an attempt or scale-out request under the fencing token
	sizeBackoff         commit.SizeBackoff
	conflictBackoff     commit.ConflictBackoff
	unstoredCompletions commit.CompletionQueue // jobs with finished tasks that are not stored as finished yet
	machinesToDrop      map[string]bool        // machines whose records have to be deleted
	typesChanged        bool                   // the machine types have to be stored
	resignReason        string                 // why the leader can't go on; empty if it can
}

func newRoundState(lastRound uint64, now time.Time) roundState {
	return roundState{lastRound: lastRound, lastDecidedAt: now, unstoredCompletions: commit.CompletionQueue{}, machinesToDrop: map[string]bool{}}
}

// attemptBits is the number of low bits of an attempt that count the attempts under one fencing token. The token is in
// the bits above, so that the attempts of a later leader are always greater.
const attemptBits = 24

// attemptsPerToken is the number of attempts after which a leader gives up its shard, so that the next one numbers them under a
// new token. It leaves room for what the last round decides.
const attemptsPerToken = 1<<attemptBits - 1<<20

// nextAttempt returns an attempt that no leader has used before.
func (r *roundState) nextAttempt(token uint64) uint64 {
	r.attemptSequence++
	return token<<attemptBits | r.attemptSequence
}

// splitAttempt returns the fencing token of an attempt, and its number under that token.
func splitAttempt(attempt uint64) (token, number uint64) {
	return attempt >> attemptBits, attempt & (1<<attemptBits - 1)
}

// recoveryState says how much of the fleet the leader has accounted for since its election. The fields are set when a
// cluster snapshot is taken, and never reset.
type recoveryState struct {
	rebuilt          bool // all machines are accounted for
	rebuiltReachable bool // all machines except unreachable ones are accounted for
}
