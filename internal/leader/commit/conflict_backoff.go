package commit

// ConflictBackoff bounds how many batches of jobs a round is conditional on, depending on the results of the last
// rounds. If a cancellation of any job in these batches is written first, the state service refuses the round. Its
// content is then decided again, together with everything that has come up since. While the state service is slow, the
// rounds would grow that way and be refused again and again. Therefore each refusal halves the bound, down to
// minBatches, and each committed round doubles it.
//
// The zero value sets no bound.
type ConflictBackoff struct {
	maxBatches int // limit on the batches of a round, 0 if there is none
}

const (
	// minBatches is the number of batches that a round may always be conditional on.
	minBatches = 8
	// unboundedBatches is larger than any round, so that a bound above it can be removed.
	unboundedBatches = 1 << 10
)

// Limit returns how many batches the next round may be conditional on, where the state service allows the given number.
func (c *ConflictBackoff) Limit(allowed int) int {
	if c.maxBatches == 0 {
		return allowed
	}
	return min(c.maxBatches, allowed)
}

// Refused records that the state service refused a round that was conditional on the given number of batches.
func (c *ConflictBackoff) Refused(batches int) { c.maxBatches = max(minBatches, batches/2) }

// Committed records that a round was committed.
func (c *ConflictBackoff) Committed() {
	if c.maxBatches *= 2; c.maxBatches > unboundedBatches {
		c.maxBatches = 0
	}
}
