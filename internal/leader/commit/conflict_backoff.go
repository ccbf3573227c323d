package commit

// ConflictBackoff bounds how many batches of jobs a round is conditional on, by how the last rounds
// fared. Any cancellation of one of these jobs that is written first makes the state service refuse
// the round, and what it would have written is decided again together with all that has come since.
// While the state service is slow, such rounds would grow and be refused again and again. So each
// refusal halves the bound, down to a few batches, and each round that is committed doubles it.
//
// The zero value sets no bound.
type ConflictBackoff struct {
	maxBatches int // batches of a round, 0 while nothing bounds them
}

const (
	// minBatches is how many batches a round may always be conditional on.
	minBatches = 8
	// unboundedBatches is a bound that no round reaches, so that it can be dropped.
	unboundedBatches = 1 << 10
)

// Limit returns how many batches the next round may be conditional on, of so many that the state
// service allows.
func (c *ConflictBackoff) Limit(allowed int) int {
	if c.maxBatches == 0 {
		return allowed
	}
	return min(c.maxBatches, allowed)
}

// Refused records that a round that was conditional on so many batches was refused.
func (c *ConflictBackoff) Refused(batches int) { c.maxBatches = max(minBatches, batches/2) }

// Committed records that a round was committed.
func (c *ConflictBackoff) Committed() {
	if c.maxBatches *= 2; c.maxBatches > unboundedBatches {
		c.maxBatches = 0
	}
}
